#include "SettingsFileWatch.h"

#include <utility>

#include <sys/stat.h>

namespace dogwoodvale {

SettingsFileWatch::SettingsFileWatch(EventLoop& aLoop,
                                     std::string aPath,
                                     std::function<void()> aHandler)
  : path(std::move(aPath))
  , handler(std::move(aHandler))
  , last(this->Read())
  , timer(aLoop, [this] { this->Check(); })
{
  this->timer.StartRepeating(kPeriod);
}

SettingsFileWatch::Stamp
SettingsFileWatch::Read() const
{
  struct stat state
  {};
  if (::stat(this->path.c_str(), &state) != 0) {
    return {};
  }
  return {
    state.st_mtim.tv_sec, state.st_mtim.tv_nsec, state.st_size, state.st_ino
  };
}

void
SettingsFileWatch::Check()
{
  const Stamp now = this->Read();
  if (now == this->last || now == Stamp{}) {
    return;
  }
  this->last = now;
  this->handler();
}

} // namespace dogwoodvale
