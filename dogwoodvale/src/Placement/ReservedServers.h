#ifndef DOGWOODVALE_PLACEMENT_RESERVEDSERVERS_H
#define DOGWOODVALE_PLACEMENT_RESERVEDSERVERS_H

#include <cstdint>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// A server's place in the order in which servers of a service are reserved for
/// interactive requests: the same at every gateway, with no word between them.
std::uint64_t
ReservationOrder(const InstanceName& aInstance);

/// How many servers of a service are reserved for its interactive requests, see
/// PauseProfile.
///
/// Streams with a bound of 200 ms beside prompts of 17,000 tokens, with none
/// and with reserved servers: on 18 simulated engines 0.71 and 0.90 of their
/// worth is served (four loads, three seeds each), on 52 near their limit 0.12
/// and 0.68 (two loads).
///
/// The number follows from what the interactive requests take themselves. While
/// they run beside long prompts they take longer, and more of them are under
/// way; so the number starts high and falls as the reserved servers are emptied
/// of long prompts.
class ReservedServers
{
public:
  /// Interactive requests that were under way before this process began.
  void Seed(double aPeak, TimePoint aNow);
  double Peak() const { return this->peak; }

  /// What is known of the service now, a few times a second.
  /// \param aInteractive interactive requests under way on all its servers.
  /// \param aSlots of one server, \p aServers that take work.
  void Update(std::uint64_t aInteractive,
              std::uint32_t aSlots,
              std::size_t aServers,
              TimePoint aNow);

  std::size_t Count() const { return this->count; }

private:
  /// Interactive requests under way: the peak, lowered slowly.
  double peak = 0;
  TimePoint updatedAt{};
  std::size_t count = 0;
};

} // namespace dogwoodvale

#endif
