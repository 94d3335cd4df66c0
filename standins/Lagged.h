#ifndef DOGWOODVALE_STANDINS_LAGGED_H
#define DOGWOODVALE_STANDINS_LAGGED_H

#include <deque>
#include <utility>

#include "dogwoodvale/Core"

namespace dogwoodvale::standins {

/// A value that is read as it was some time ago.
template<class T>
class Lagged
{
public:
  Lagged(Duration aLag, T aInitial)
    : lag(aLag)
  {
    this->history.emplace_back(TimePoint::min(), std::move(aInitial));
  }

  void Set(TimePoint aNow, T aValue)
  {
    this->Prune(aNow);
    // At most one a millisecond is kept, so that memory is bounded by the lag.
    if (this->history.size() > 1 &&
        aNow - this->history.back().first < milliseconds(1)) {
      this->history.back().second = std::move(aValue);
    } else {
      this->history.emplace_back(aNow, std::move(aValue));
    }
  }

  const T& Get(TimePoint aNow)
  {
    this->Prune(aNow);
    return this->history.front().second;
  }

private:
  void Prune(TimePoint aNow)
  {
    while (this->history.size() > 1 &&
           this->history[1].first + this->lag <= aNow) {
      this->history.pop_front();
    }
  }

  Duration lag;
  std::deque<std::pair<TimePoint, T>> history;
};

} // namespace dogwoodvale::standins

#endif
