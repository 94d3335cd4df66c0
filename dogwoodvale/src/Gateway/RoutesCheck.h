#ifndef DOGWOODVALE_GATEWAY_ROUTESCHECK_H
#define DOGWOODVALE_GATEWAY_ROUTESCHECK_H

#include <random>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Decides when this gateway asks the store whether the routes in force are
/// still the newest: the news of a change may have been lost on its way to
/// every gateway at once.
///
/// One gateway's answer counts for all that have the same routes, so that the
/// store gets about one such call in each period from a site of any size. The
/// gateway that asked last asks again after one period, the others only if they
/// have heard of no answer for longer.
class RoutesCheck
{
public:
  RoutesCheck(Duration aPeriod, std::mt19937_64& aRandom);

  /// The store has told this gateway that its routes are the newest.
  void OnConfirmed(TimePoint aWhen);
  /// The same, told to a gateway that has the same routes.
  void OnPeerConfirmed(TimePoint aWhen);
  /// Other routes came into force, of which only an answer of the store that is
  /// still to come tells that they are the newest.
  void OnChanged();
  /// This gateway asks the store.
  void OnAsked(TimePoint aNow) { this->askedAt = aNow; }
  /// Time until this gateway has to ask the store; zero or less if it is due.
  Duration UntilDue(TimePoint aNow) const;

  /// Bounds of the time, in periods, after which a gateway takes over from the
  /// one that asked last.
  static constexpr double kLeastPatience = 1.25;
  static constexpr double kMostPatience = 1.5;

private:
  Duration period;
  Duration patience;
  TimePoint confirmedAt{};
  TimePoint peerConfirmedAt{};
  TimePoint askedAt{};
};

} // namespace dogwoodvale

#endif
