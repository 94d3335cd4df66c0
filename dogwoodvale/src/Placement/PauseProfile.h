#ifndef DOGWOODVALE_PLACEMENT_PAUSEPROFILE_H
#define DOGWOODVALE_PLACEMENT_PAUSEPROFILE_H

#include <map>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Determines which streams of a service are interactive: those with the
/// tightest bound on the pause between events, if streams with a looser bound
/// have pauses close to that bound.
///
/// A model engine prefills prompts in chunks between the decoding steps of the
/// answers that it generates. On an engine that prefills long prompts all the
/// time, every answer has pauses of several chunks. Routes with a loose bound
/// tolerate them; an answer with a tight bound misses it there however soon it
/// has begun.
class PauseProfile
{
public:
  /// A request of a route with this bound has arrived.
  void OnRequest(Duration aBound);
  /// A stream of a route with this bound is complete; \p aLongestPause is its
  /// longest pause.
  void OnStream(Duration aBound, Duration aLongestPause);

  bool IsInteractive(Duration aBound) const;
  /// Whether requests of any bound are interactive.
  bool HasInteractive() const;
  /// The tightest bound, not counting those that hardly any request has; zero
  /// before the first request.
  Duration Tightest() const;

private:
  /// Moving average of the share of requests with each bound; a service has as
  /// many bounds as kinds of routes.
  std::map<Duration, double> shares;
  /// Moving average of the share of streams with a looser bound that had a
  /// pause close to the tightest one. Starts at 1: separating requests
  /// needlessly for a second costs less than a second of late requests.
  double disturbedShare = 1.0;
};

} // namespace dogwoodvale

#endif
