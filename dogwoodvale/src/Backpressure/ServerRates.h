#ifndef DOGWOODVALE_BACKPRESSURE_SERVERRATES_H
#define DOGWOODVALE_BACKPRESSURE_SERVERRATES_H

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "RateHolders.h"
#include "dogwoodvale/Routing"

namespace dogwoodvale {

/// What a gateway tells others of the rate that a server has named.
struct RateNews
{
  InstanceName server;
  /// Nothing where the server names no rate any more.
  std::optional<double> perSecond;
  /// Since the answer came that said so.
  milliseconds age{ 0 };

  bool operator==(const RateNews&) const = default;
};

/// A change of the rate that a server names.
struct RateChange
{
  std::optional<double> before;
  /// For how long that was so.
  Duration lasted{ 0 };
};

/// The rates that servers have named in their answers, and what this gateway
/// may send under them.
///
/// A server's newest answer holds, whichever gateway got it: one that names no
/// rate ends the bound.
class ServerRates
{
public:
  ServerRates(InstanceName aSelf, Duration aSettle);

  RateHolders& Holders() { return this->holders; }

  /// The head of an answer came. \return what changed, if anything.
  std::optional<RateChange> OnAnswer(const InstanceName& aServer,
                                     std::optional<double> aPerSecond,
                                     TimePoint aNow);
  /// \param aNews of a server that this gateway knows.
  std::optional<RateChange> Hear(const RateNews& aNews, TimePoint aNow);
  /// For the other gateways: what is limited, and what has lately ceased to be.
  std::vector<RateNews> Tell(TimePoint aNow) const;
  void Forget(const InstanceName& aServer);

  bool IsLimited(const InstanceName& aServer) const;
  std::size_t LimitedCount() const;
  /// \param aCells 1 for a server that gateways of all cells use.
  bool MaySend(const InstanceName& aServer, std::size_t aCells, TimePoint aNow);
  /// Counts a request that goes to the server.
  void OnSent(const InstanceName& aServer, std::size_t aCells, TimePoint aNow);
  /// Requests that may be sent at once, and the most that ever may; a part of
  /// one counts.
  struct Room
  {
    double now = 0;
    double most = 0;
  };
  Room RoomOf(const InstanceName& aServer, std::size_t aCells, TimePoint aNow);
  /// Until the server takes a request again: from this gateway if it holds a
  /// part of the rate, else from any.
  Duration UntilRoom(const InstanceName& aServer,
                     std::size_t aCells,
                     TimePoint aNow);

  /// A server that names less gets a request now and then all the same, or
  /// nobody would hear when it takes more.
  static constexpr double kLeastRate = 0.05;
  static constexpr double kMostRate = 1e6;
  /// How long gateways tell that a bound has ended.
  static constexpr Duration kTellEnded = seconds(10);
  /// Most servers told of at once, the newest changes first.
  static constexpr std::size_t kMostNews = 512;

private:
  struct Entry
  {
    std::optional<double> perSecond;
    /// When the newest answer came that said so.
    TimePoint heardAt{};
    TimePoint changedAt{};
    TimePoint tellUntil{};
    TokenBucket bucket{ 0, 0 };
    RateShare share;
    std::size_t cells = 0;
    std::uint64_t holdersVersion = 0;
  };

  RateChange Take(Entry& aEntry,
                  std::optional<double> aPerSecond,
                  TimePoint aHeardAt,
                  TimePoint aNow) const;
  /// The entry with its share as it is now; null for a server without a bound.
  Entry* Limited(const InstanceName& aServer,
                 std::size_t aCells,
                 TimePoint aNow);

  RateHolders holders;
  std::map<InstanceName, Entry> entries;
};

} // namespace dogwoodvale

#endif
