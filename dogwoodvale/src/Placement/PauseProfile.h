#ifndef DOGWOODVALE_PLACEMENT_PAUSEPROFILE_H
#define DOGWOODVALE_PLACEMENT_PAUSEPROFILE_H

#include <map>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Tells which streams of a service are interactive: those with the tightest
/// bound on the pauses between events, where streams with a looser one have to
/// sit out pauses that come near it.
///
/// A model engine reads prompts in pieces between the steps of the answers that
/// it generates. On one that reads long prompts all the time, every answer has
/// pauses of several pieces. Routes with a loose bound don't mind; an answer
/// with a tight one is late there however soon it began.
class PauseProfile
{
public:
  /// A request of a route with this bound came.
  void OnRequest(Duration aBound);
  /// A stream of a route with this bound is complete; \p aLongest is its
  /// longest pause.
  void OnStream(Duration aBound, Duration aLongest);

  bool IsInteractive(Duration aBound) const;
  /// Whether requests with some bound are.
  bool HasInteractive() const;

private:
  /// The tightest bound that is more than a few stray requests.
  Duration Tightest() const;

  /// Share of the latest requests by bound; a service has as many bounds as
  /// kinds of routes.
  std::map<Duration, double> shares;
  /// Share of the latest streams with a looser bound that had a pause near the
  /// tightest one. Begins as if all had: keeping requests apart needlessly for
  /// a second costs less than a second of late ones.
  double disturbed = 1.0;
};

} // namespace dogwoodvale

#endif
