#include <csignal>
#include <cstdio>
#include <map>

#include <docopt/docopt.h>

#include "dogwoodvale/Entry"
#include "dogwoodvale/Sidecar"

namespace {

using namespace dogwoodvale;

constexpr const char* kUsage =
  R"(dogwoodvaled: routes language-model traffic, as an entry or as a sidecar.

Usage:
  dogwoodvaled --settings FILE [--check]
  dogwoodvaled --help
  dogwoodvaled --version

Options:
  --settings FILE  The process's settings: JSON with comments.
  --check          Only check the settings: prints every finding as
                   file:line:column: message.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 stopped as planned or settings are right; 1 could not start;
2 settings are wrong; 64 wrong usage.
)";

constexpr int kExitFailed = 1;
constexpr int kExitSettings = 2;
constexpr int kExitUsage = 64;

template<class Daemon>
int
RunDaemon(EventLoop& aLoop, const DaemonSettings& aSettings)
{
  auto daemon = Daemon::Create(aLoop, aSettings);
  if (!daemon.ok()) {
    Log(LogLevel::Error, "start_failed", "reason", MessageOf(daemon.status()));
    return kExitFailed;
  }
  const auto stop = [&] { (*daemon)->BeginStop(); };
  const SignalWatch onTerminate(aLoop, SIGTERM, stop);
  const SignalWatch onInterrupt(aLoop, SIGINT, stop);
  Log(LogLevel::Info,
      "started",
      "role",
      RoleName(aSettings.role),
      "instance",
      aSettings.instance.Value(),
      "version",
      DOGWOODVALE_VERSION);
  aLoop.Run();
  return 0;
}

int
RunRole(const DaemonSettings& aSettings)
{
  // A peer that closes while we write must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  auto loop = EventLoop::Create();
  if (!loop.ok()) {
    Log(LogLevel::Error, "start_failed", "reason", MessageOf(loop.status()));
    return kExitFailed;
  }
  if (aSettings.role == Role::Entry) {
    return RunDaemon<Entry>(**loop, aSettings);
  }
  return RunDaemon<Sidecar>(**loop, aSettings);
}

} // namespace

int
main(int argc, char** argv)
{
  std::map<std::string, docopt::value> arguments;
  try {
    arguments = docopt::docopt_parse(
      kUsage, { argv + 1, argv + argc }, true, true, false);
  } catch (const docopt::DocoptExitHelp&) {
    fmt::print("{}", kUsage);
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    fmt::print("dogwoodvaled {}\n", DOGWOODVALE_VERSION);
    return 0;
  } catch (const std::exception&) {
    fmt::print(stderr, "{}", kUsage);
    return kExitUsage;
  }
  Findings findings;
  const DaemonSettings settings =
    LoadDaemonSettings(arguments.at("--settings").asString(), findings);
  if (!findings.IsEmpty()) {
    fmt::print(stderr, "{}", findings.Render());
    return kExitSettings;
  }
  if (arguments.at("--check").asBool()) {
    return 0;
  }
  return RunRole(settings);
}
