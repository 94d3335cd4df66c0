#ifndef DOGWOODVALE_GATEWAY_ROUTESCATCHUP_H
#define DOGWOODVALE_GATEWAY_ROUTESCATCHUP_H

#include <map>
#include <optional>
#include <random>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Decides when a gateway asks another one for newer routes, and which.
///
/// The store tells every gateway that watches it, so another's copy is for
/// those that the store does not reach in time. Any gateway that tells the
/// newest version may be asked, drawn at random, so that the first to have it
/// does not send it to all; one is asked at a time.
class RoutesCatchUp
{
public:
  /// Another gateway says that it has this version.
  void OnTold(const SocketAddress& aGateway, Epoch aVersion, TimePoint aNow);
  void OnInForce(Epoch aVersion);
  /// Whether the store's watch stands, as far as is known.
  void SetWatching(bool aWatching) { this->isWatching = aWatching; }

  /// \return whom to ask now, if anybody; until OnAsked() it may be drawn anew.
  std::optional<SocketAddress> Next(TimePoint aNow, std::mt19937_64& aRandom);
  void OnAsked() { this->isAsking = true; }
  /// \param aTaken whether a copy came that took effect.
  void OnAnswer(const SocketAddress& aGateway, bool aTaken, TimePoint aNow);

  /// The newest version that a gateway told of lately, or what is in force.
  Epoch Newest(TimePoint aNow) const;
  /// For how long a newer version than the one in force has been known of.
  Duration BehindFor(TimePoint aNow) const;
  bool IsBehind(TimePoint aNow) const
  {
    return this->Newest(aNow) > this->inForce;
  }

  /// The store's own answer to a watch that stands is awaited for this long.
  static constexpr Duration kStoreFirst = milliseconds(300);
  /// A gateway whose answer brought nothing is not asked again for this long.
  static constexpr Duration kAvoidFor = seconds(1);
  /// What a gateway told counts for this long after its last digest.
  static constexpr Duration kWordLife = seconds(3);

private:
  struct Teller
  {
    Epoch version = 0;
    TimePoint at{};
    TimePoint avoidedUntil{};
  };
  bool Counts(const Teller& aTeller, TimePoint aNow) const;

  std::map<SocketAddress, Teller> tellers;
  Epoch inForce = 0;
  bool isWatching = true;
  bool isAsking = false;
  std::optional<TimePoint> behindSince;
};

} // namespace dogwoodvale

#endif
