#ifndef DOGWOODVALE_STANDINS_PROGRAM_H
#define DOGWOODVALE_STANDINS_PROGRAM_H

#include <csignal>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <docopt/docopt.h>

#include "dogwoodvale/Core"

namespace dogwoodvale::standins {

/// The options of a stand-in's command line, typed; the first value of a wrong
/// form ends the program with exit code 2.
class Options
{
public:
  Options(const char* aUsage, int aCount, char** aWords);

  bool Flag(const std::string& aName) const;
  /// Whether an option that has no default was given.
  bool Has(const std::string& aName) const;
  std::string Text(const std::string& aName) const;
  /// The items between commas.
  std::vector<std::string> List(const std::string& aName) const;
  double Number(const std::string& aName) const;
  Duration Milliseconds(const std::string& aName) const;
  SocketAddress Address(const std::string& aName) const;

private:
  [[noreturn]] void Refuse(const std::string& aName) const;
  std::map<std::string, docopt::value> values;
};

/// Creates a stand-in by \p aCreate from a loop and runs it until SIGTERM or
/// SIGINT. \return the exit code: 0, or 1 if it could not start.
template<class Create>
int
RunStandin(std::string_view aKind, Create aCreate)
{
  auto loop = EventLoop::Create();
  if (!loop.ok()) {
    Log(LogLevel::Error, "start_failed", "why", MessageOf(loop.status()));
    return 1;
  }
  auto standin = aCreate(**loop);
  if (!standin.ok()) {
    Log(LogLevel::Error, "start_failed", "why", MessageOf(standin.status()));
    return 1;
  }
  const SignalWatch terminated(
    **loop, SIGTERM, [&](TimePoint) { (*loop)->Stop(); });
  const SignalWatch interrupted(
    **loop, SIGINT, [&](TimePoint) { (*loop)->Stop(); });
  Log(LogLevel::Info,
      "ready",
      "standin",
      aKind,
      "listen",
      (*standin)->Address().ToString());
  (*loop)->Run();
  return 0;
}

} // namespace dogwoodvale::standins

#endif
