#ifndef DOGWOODVALE_SETTINGS_SETTINGSFILEWATCH_H
#define DOGWOODVALE_SETTINGS_SETTINGSFILEWATCH_H

#include <functional>
#include <string>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Notices that the settings file has changed, also where no signal says so.
class SettingsFileWatch
{
public:
  /// \param aHandler told after each change of the file.
  SettingsFileWatch(EventLoop& aLoop,
                    std::string aPath,
                    std::function<void()> aHandler);

  /// Looks at once, e.g. after SIGHUP.
  void Check();

  static constexpr Duration kPeriod = seconds(1);

private:
  /// What of a file's state differs after a change.
  struct Stamp
  {
    std::int64_t seconds = 0;
    std::int64_t nanoseconds = 0;
    std::int64_t size = 0;
    std::uint64_t inode = 0;

    bool operator==(const Stamp&) const = default;
  };
  Stamp Read() const;

  std::string path;
  std::function<void()> handler;
  Stamp last;
  Timer timer;
};

} // namespace dogwoodvale

#endif
