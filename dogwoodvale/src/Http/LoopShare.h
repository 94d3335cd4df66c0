#ifndef DOGWOODVALE_HTTP_LOOPSHARE_H
#define DOGWOODVALE_HTTP_LOOPSHARE_H

#include <algorithm>

#include "dogwoodvale/Core"

namespace dogwoodvale::internal {

/// Bounds the share of the loop's time that one server's connections take: a
/// token bucket of time, which may be overdrawn by one turn.
class LoopShare
{
public:
  /// \param aShare of the loop's time, above 0; 1 and more is unbounded.
  explicit LoopShare(double aShare)
    : share(aShare)
  {
  }

  bool IsBounded() const { return this->share < 1; }

  /// \return how long to wait before the next turn; 0 if it may begin.
  Duration UntilNextTurn(TimePoint aNow)
  {
    this->Refill(aNow);
    if (!this->IsBounded() || this->credit >= Duration(0)) {
      return Duration(0);
    }
    return Duration(static_cast<Duration::rep>(
             -static_cast<double>(this->credit.count()) / this->share)) +
           Duration(1);
  }

  void OnTurn(TimePoint aBegin, TimePoint aEnd)
  {
    this->Refill(aEnd);
    // A process that was stopped meanwhile has not worked all the time.
    this->credit = std::max(this->credit - Between(aBegin, aEnd), -kBurst);
  }

  /// Work that is done at once after a pause.
  static constexpr Duration kBurst = milliseconds(50);

private:
  void Refill(TimePoint aNow)
  {
    const auto earned = Duration(static_cast<Duration::rep>(
      static_cast<double>(Between(this->refilledAt, aNow).count()) *
      std::min(this->share, 1.0)));
    if (earned > Duration(0)) {
      this->credit = std::min(this->credit + earned, kBurst);
      this->refilledAt = aNow;
    }
  }

  double share;
  Duration credit = kBurst;
  TimePoint refilledAt{};
};

} // namespace dogwoodvale::internal

#endif
