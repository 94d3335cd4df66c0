#ifndef DOGWOODVALE_MEMBERSHIP_BACKOFF_H
#define DOGWOODVALE_MEMBERSHIP_BACKOFF_H

#include <algorithm>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Exponential back-off with jitter over the upper half of each step, so that
/// processes that failed at the same time don't retry at the same time.
class Backoff
{
public:
  Backoff(Duration aFirst, Duration aMax)
    : first(aFirst)
    , max(aMax)
  {
  }

  /// The delay before the next attempt; doubles with each call up to the
  /// maximum.
  /// \param aUniform random, in [0, 1).
  Duration Next(double aUniform)
  {
    const Duration step = std::min(this->max, this->first * (1 << this->steps));
    this->steps = std::min(this->steps + 1, kMaxSteps);
    const double share = (1.0 + aUniform) / 2;
    return Duration(
      static_cast<Duration::rep>(static_cast<double>(step.count()) * share));
  }

  void Reset() { this->steps = 0; }
  int Failures() const { return this->steps; }

private:
  static constexpr int kMaxSteps = 16;
  Duration first;
  Duration max;
  int steps = 0;
};

} // namespace dogwoodvale

#endif
