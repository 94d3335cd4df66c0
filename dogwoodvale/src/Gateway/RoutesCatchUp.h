#ifndef DOGWOODVALE_GATEWAY_ROUTESCATCHUP_H
#define DOGWOODVALE_GATEWAY_ROUTESCATCHUP_H

#include <map>
#include <optional>
#include <random>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Decides when a gateway requests newer routes from another one, and from
/// which.
///
/// The store notifies every gateway that watches it, so another gateway's copy
/// is needed only if the store's notification is late. The source is drawn at
/// random from the gateways that report the newest version, so that the first
/// one to have it need not send it to all. One request is in flight at a time.
class RoutesCatchUp
{
public:
  /// Another gateway reports its version; 0 is ignored.
  void OnPeerVersion(const SocketAddress& aGateway,
                     Epoch aVersion,
                     TimePoint aNow);
  /// A version came into force here.
  void OnInForce(Epoch aVersion);
  /// Whether the store's watch is established, as far as is known.
  void SetWatching(bool aWatching) { this->isWatching = aWatching; }

  /// \return the gateway to request the routes from now, if any. Another call
  /// may return another one until OnAsked() is called.
  std::optional<SocketAddress> Next(TimePoint aNow, std::mt19937_64& aRandom);
  /// The request was sent.
  void OnAsked() { this->isAsking = true; }
  /// The request has ended. \param aTaken whether a copy arrived and was
  /// applied.
  void OnAnswer(const SocketAddress& aGateway, bool aTaken, TimePoint aNow);

  /// The newest version that a gateway reported within kVersionTtl, or the one
  /// in force if that is newer.
  Epoch Newest(TimePoint aNow) const;
  /// For how long the oldest of the newer versions has been known of; in a
  /// series of changes each version has its own time to come into force.
  Duration BehindFor(TimePoint aNow) const;
  bool IsBehind(TimePoint aNow) const
  {
    return this->Newest(aNow) > this->inForce;
  }

  /// While the watch is established, how long to wait for the store to deliver
  /// a new version before it is requested from a gateway.
  static constexpr Duration kStoreGrace = milliseconds(300);
  /// Back-off for a gateway whose answer brought nothing new.
  static constexpr Duration kPeerBackoff = seconds(1);
  /// How long a reported version is valid after the gateway's last digest.
  static constexpr Duration kVersionTtl = seconds(3);
  /// Versions whose first report is kept. Beyond it only the older ones are, by
  /// which BehindFor() goes.
  static constexpr std::size_t kMaxMissing = 64;

private:
  struct Peer
  {
    Epoch version = 0;
    /// When the version was last reported.
    TimePoint heardAt{};
    TimePoint backoffUntil{};
  };
  /// Whether the report is not older than kVersionTtl.
  bool IsValid(const Peer& aPeer, TimePoint aNow) const;

  std::map<SocketAddress, Peer> peers;
  Epoch inForce = 0;
  bool isWatching = true;
  bool isAsking = false;
  /// When each version newer than the one in force was first reported.
  std::map<Epoch, TimePoint> missing;
};

} // namespace dogwoodvale

#endif
