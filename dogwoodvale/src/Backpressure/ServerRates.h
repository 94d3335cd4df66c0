#ifndef DOGWOODVALE_BACKPRESSURE_SERVERRATES_H
#define DOGWOODVALE_BACKPRESSURE_SERVERRATES_H

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "RateAllocator.h"
#include "dogwoodvale/Routing"

namespace dogwoodvale {

/// Sent to other gateways about the rate limit of a server.
struct RateUpdate
{
  InstanceName server;
  /// Requests per second; nothing if the server has no rate limit any more.
  std::optional<double> perSecond;
  /// Time since the response that said so arrived.
  milliseconds age{ 0 };

  bool operator==(const RateUpdate&) const = default;
};

/// A change of a server's rate limit.
struct RateChange
{
  /// The previous limit in requests per second; nothing if there was none.
  std::optional<double> before;
  /// How long that was in force; zero if not known.
  Duration lasted{ 0 };
};

/// The rate limits that servers state in their responses, and what this gateway
/// may send within them.
///
/// The newest response of a server applies, whichever gateway received it; one
/// without a rate limit removes the limit.
class ServerRates
{
public:
  ServerRates(InstanceName aSelf, Duration aSettle);

  RateAllocator& Allocator() { return this->allocator; }

  /// Handles the headers of a response.
  /// \return the change of the server's limit; nothing if it is unchanged.
  std::optional<RateChange> OnAnswer(const InstanceName& aServer,
                                     std::optional<double> aPerSecond,
                                     TimePoint aNow);
  /// Handles an update from another gateway.
  /// \param aUpdate about a server in this gateway's list.
  /// \return the change of the server's limit; nothing if it is unchanged.
  std::optional<RateChange> OnUpdate(const RateUpdate& aUpdate, TimePoint aNow);
  /// The updates to send to other gateways: the servers with a limit, and those
  /// whose limit has changed or ended recently.
  std::vector<RateUpdate> OutgoingUpdates(TimePoint aNow) const;
  /// Removes the server's limit.
  void Forget(const InstanceName& aServer);

  bool IsLimited(const InstanceName& aServer) const;
  std::size_t LimitedCount() const;
  /// Whether this gateway may send the server a request now.
  /// \param aCells see RateAllocator::ShareOf().
  bool MaySend(const InstanceName& aServer, std::size_t aCells, TimePoint aNow);
  /// Counts a request sent to the server.
  void OnSent(const InstanceName& aServer, std::size_t aCells, TimePoint aNow);
  /// What this gateway may send to a server with a limit, in requests; may be
  /// fractional.
  struct Allowance
  {
    /// Requests that may be sent now.
    double now = 0;
    /// Maximum that `now` can reach.
    double burst = 0;
  };
  /// Zero for a server without a limit.
  Allowance AllowanceOf(const InstanceName& aServer,
                        std::size_t aCells,
                        TimePoint aNow);
  /// Time until the server accepts another request: from this gateway if it
  /// holds a share of the rate, else from any gateway.
  Duration UntilAllowed(const InstanceName& aServer,
                        std::size_t aCells,
                        TimePoint aNow);

  /// Limits are clamped to this range, in requests per second. A server that
  /// asks for less than the minimum still gets a request now and then, since
  /// only its responses tell when it accepts more.
  static constexpr double kMinRate = 0.05;
  static constexpr double kMaxRate = 1e6;
  /// How long other gateways are told that a limit has changed or ended.
  static constexpr Duration kAnnounceEndedFor = seconds(10);
  /// Maximum number of updates sent at once; the newest changes have priority.
  static constexpr std::size_t kMaxUpdates = 512;

private:
  struct Entry
  {
    /// Requests per second; nothing if the limit has ended.
    std::optional<double> perSecond;
    /// When the newest response that said so arrived, at any gateway.
    TimePoint answeredAt{};
    TimePoint changedAt{};
    /// Until when the entry is sent to others even without a limit.
    TimePoint announceUntil{};
    TokenBucket bucket{ 0, 0 };
    RateShare share;
    /// The number of cells and the version of the shares that `share` was
    /// computed with; 0 cells if it has to be recomputed.
    std::size_t cells = 0;
    std::uint64_t holdersVersion = 0;
  };

  RateChange SetRate(Entry& aEntry,
                     std::optional<double> aPerSecond,
                     TimePoint aAnsweredAt,
                     TimePoint aNow) const;
  /// The entry with its share brought up to date; null for a server without a
  /// limit.
  Entry* FindLimited(const InstanceName& aServer,
                     std::size_t aCells,
                     TimePoint aNow);

  RateAllocator allocator;
  std::map<InstanceName, Entry> entries;
};

} // namespace dogwoodvale

#endif
