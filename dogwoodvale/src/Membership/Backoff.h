#ifndef DOGWOODVALE_MEMBERSHIP_BACKOFF_H
#define DOGWOODVALE_MEMBERSHIP_BACKOFF_H

#include <algorithm>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Exponential backoff with full jitter above half the step, so that many
/// processes that failed together do not come back together.
class Backoff
{
public:
  Backoff(Duration aFirst, Duration aMost)
    : first(aFirst)
    , most(aMost)
  {
  }

  /// The delay before the next try; doubles with each call.
  /// \param aUniform random, in [0, 1).
  Duration Next(double aUniform)
  {
    const Duration step =
      std::min(this->most, this->first * (1 << this->steps));
    this->steps = std::min(this->steps + 1, kMostSteps);
    const double share = (1.0 + aUniform) / 2;
    return Duration(
      static_cast<Duration::rep>(static_cast<double>(step.count()) * share));
  }

  void Reset() { this->steps = 0; }
  int Failures() const { return this->steps; }

private:
  static constexpr int kMostSteps = 16;
  Duration first;
  Duration most;
  int steps = 0;
};

} // namespace dogwoodvale

#endif
