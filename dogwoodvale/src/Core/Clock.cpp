#include "Clock.h"

#include <ctime>

namespace dogwoodvale {

Duration
SuspendedTime()
{
  const auto read = [](clockid_t aClock) {
    timespec time{};
    clock_gettime(aClock, &time);
    return std::chrono::duration_cast<Duration>(
      seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
  };
  return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
}

milliseconds
TimeOfDay()
{
  return std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace dogwoodvale
