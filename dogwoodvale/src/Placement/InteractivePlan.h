#ifndef DOGWOODVALE_PLACEMENT_INTERACTIVEPLAN_H
#define DOGWOODVALE_PLACEMENT_INTERACTIVEPLAN_H

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// A server that can be reserved for interactive requests.
struct PlannedServer
{
  InstanceName name;
  /// Mean time factor, see DecodeModel::TimeFactorOf().
  double timeFactor = 1.0;
  /// Interactive requests that it holds within their bound.
  double capacity = 0;
};

/// What is asked of the servers of a service.
struct PlannedLoad
{
  /// Peak of the interactive requests in flight, see ReservedServers::Peak().
  double peak = 0;
  /// Other requests in flight.
  std::uint64_t others = 0;
};

/// Determines which servers of a service are reserved for its interactive
/// requests when the servers differ in speed.
///
/// Load: streams with a bound on their pauses beside long prompts, on servers
/// of different speed that share their machines with other work. Reserved by
/// name alone, most of the servers are slow ones that hold too many streams.
///
/// Servers are taken in the order of their class of speed, fast ones first, and
/// of ReservationOrder() within a class, until their capacity suffices. All
/// gateways know about the same time factors; the classes are so wide that
/// these give the same order, and they change with hysteresis.
class InteractivePlan
{
public:
  /// Recomputes the reserved servers; called a few times a second.
  /// \param aServers the servers in service.
  /// \param aMaxServers the largest number to reserve, if limited.
  void Update(std::span<const PlannedServer> aServers,
              const PlannedLoad& aLoad,
              std::optional<std::size_t> aMaxServers,
              TimePoint aNow);

  bool IsReserved(const InstanceName& aInstance) const;
  /// Number of reserved servers.
  std::size_t Count() const { return this->count; }
  /// Sum of the capacities of the reserved servers, in requests.
  double Capacity() const { return this->capacity; }

private:
  struct State
  {
    /// Logarithm of the time factor in steps of a class, rounded.
    int speedClass = 0;
    /// Since when its time factor has been outside of the class.
    std::optional<TimePoint> outsideSince = {};
    /// When the plan last needed the server; nothing if it has not since it
    /// was last released.
    std::optional<TimePoint> neededAt = {};
    bool isReserved = false;
  };

  /// Drops servers that are not in service and updates the classes.
  void UpdateStates(std::span<const PlannedServer> aServers, TimePoint aNow);
  /// The servers in the order in which they are reserved.
  std::vector<const PlannedServer*> Sorted(
    std::span<const PlannedServer> aServers) const;

  absl::flat_hash_map<InstanceName, State> states;
  std::optional<TimePoint> othersSeenAt;
  std::size_t count = 0;
  double capacity = 0;
};

} // namespace dogwoodvale

#endif
