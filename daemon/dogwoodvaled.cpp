#include <csignal>
#include <cstdio>
#include <map>

#include <docopt/docopt.h>

#include "dogwoodvale/Entry"
#include "dogwoodvale/Gateway"
#include "dogwoodvale/Sidecar"
#include "platform/Adapters.h"

namespace {

using namespace dogwoodvale;

constexpr const char* kUsage =
  R"(dogwoodvaled: routes language-model traffic: an entry, a sidecar or a gateway.

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

void
LogStart(const DaemonSettings& aSettings)
{
  Log(LogLevel::Info,
      "started",
      "role",
      RoleName(aSettings.role),
      "instance",
      aSettings.instance.Value(),
      "version",
      DOGWOODVALE_VERSION);
}

int
FailToStart(const absl::Status& aStatus)
{
  Log(LogLevel::Error, "start_failed", "reason", MessageOf(aStatus));
  return kExitFailed;
}

template<class Daemon>
int
RunDaemon(EventLoop& aLoop, const DaemonSettings& aSettings)
{
  auto daemon = Daemon::Create(aLoop, aSettings);
  if (!daemon.ok()) {
    return FailToStart(daemon.status());
  }
  const auto stop = [&](TimePoint) { (*daemon)->BeginStop(); };
  const SignalWatch onTerminate(aLoop, SIGTERM, stop);
  const SignalWatch onInterrupt(aLoop, SIGINT, stop);
  LogStart(aSettings);
  aLoop.Run();
  return 0;
}

/// Reads the settings anew; wrong ones change nothing.
void
ReloadGateway(Gateway& aGateway, const std::string& aPath)
{
  Findings findings;
  const DaemonSettings settings = LoadDaemonSettings(aPath, findings);
  if (!findings.IsEmpty()) {
    Log(LogLevel::Error, "reload_failed", "reason", findings.Render());
    return;
  }
  aGateway.Reload(settings);
  Log(LogLevel::Info, "reloaded", "path", aPath);
}

int
RunGateway(EventLoop& aLoop,
           const DaemonSettings& aSettings,
           const std::string& aPath)
{
  SetLogFlush(LogFlush::Batched);
  auto ports = platform::CreatePorts(aLoop, aSettings);
  if (!ports.ok()) {
    return FailToStart(ports.status());
  }
  auto gateway = Gateway::Create(aLoop, aSettings, *std::move(ports));
  if (!gateway.ok()) {
    return FailToStart(gateway.status());
  }
  const auto stop = [&](TimePoint aOrdered) {
    (*gateway)->BeginStop(aOrdered);
  };
  const auto reload = [&] { ReloadGateway(**gateway, aPath); };
  const SignalWatch onTerminate(aLoop, SIGTERM, stop);
  const SignalWatch onInterrupt(aLoop, SIGINT, stop);
  const SignalWatch onHangUp(aLoop, SIGHUP, [&](TimePoint) { reload(); });
  const SettingsFileWatch onChange(aLoop, aPath, reload);
  LogStart(aSettings);
  aLoop.Run();
  FlushLog();
  return 0;
}

int
RunRole(const DaemonSettings& aSettings, const std::string& aPath)
{
  LimitHeapRetention();
  // A peer that closes while we write must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  auto loop = EventLoop::Create();
  if (!loop.ok()) {
    return FailToStart(loop.status());
  }
  switch (aSettings.role) {
    case Role::Entry:
      return RunDaemon<Entry>(**loop, aSettings);
    case Role::Sidecar:
      return RunDaemon<Sidecar>(**loop, aSettings);
    case Role::Gateway:
      return RunGateway(**loop, aSettings, aPath);
  }
  return kExitFailed;
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
  const std::string path = arguments.at("--settings").asString();
  const DaemonSettings settings = LoadDaemonSettings(path, findings);
  if (!findings.IsEmpty()) {
    fmt::print(stderr, "{}", findings.Render());
    return kExitSettings;
  }
  if (arguments.at("--check").asBool()) {
    return 0;
  }
  return RunRole(settings, path);
}
