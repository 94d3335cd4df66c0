#ifndef DOGWOODVALE_STANDINS_DELAYLINE_H
#define DOGWOODVALE_STANDINS_DELAYLINE_H

#include <functional>
#include <map>
#include <set>
#include <utility>

#include "JsonServer.h"

namespace dogwoodvale::standins {

/// Holds exchanges back for a time each.
class DelayLine
{
public:
  /// \param aOnDue takes an exchange that has been removed.
  DelayLine(EventLoop& aLoop, std::function<void(Exchange&)> aOnDue);

  void Add(Exchange& aExchange, Duration aDelay);
  /// The client has left; does nothing if the exchange isn't held.
  void Remove(Exchange& aExchange);
  void Clear();
  /// While stopped nothing comes due.
  void Stop(bool aIsStopped);

private:
  void Schedule();
  void Release();

  std::function<void(Exchange&)> onDue;
  std::set<std::pair<TimePoint, Exchange*>> byTime;
  std::map<Exchange*, TimePoint> times;
  bool stopped = false;
  Timer timer;
};

} // namespace dogwoodvale::standins

#endif
