#include <fstream>

#include "../Platform.h"
#include "../Program.h"

using namespace dogwoodvale;
using namespace dogwoodvale::standins;

namespace {

constexpr char kUsage[] =
  R"(standin_platform: a stand-in key-value service and list of instances.

Usage:
  standin_platform [options]

Options:
  --listen IP:PORT    Where to listen; port 0 takes a free one [default: 127.0.0.1:0].
  --instances FILE    The list at the start, as POST /standin/instances takes it.
  --list-lag-ms N     How late the list shows a change [default: 0].
  --reads-per-s N     Reads the store takes, 0 for no limit [default: 2000].
  --writes-per-s N    Writes the store takes, 0 for no limit [default: 500].
  -h --help           Show this.
  --version           Show the version.
)";

absl::StatusOr<Json::Value>
ReadJson(const std::string& aFile)
{
  std::ifstream stream(aFile);
  Json::Value value;
  std::string errors;
  if (!stream || !Json::parseFromStream(
                   Json::CharReaderBuilder(), stream, &value, &errors)) {
    return absl::InvalidArgumentError(aFile + ": can't be read: " + errors);
  }
  return value;
}

absl::StatusOr<std::unique_ptr<Platform>>
CreatePlatform(EventLoop& aLoop, const Options& aOptions)
{
  PlatformSettings settings;
  settings.listLag = aOptions.Milliseconds("--list-lag-ms");
  settings.readsPerSecond = aOptions.Number("--reads-per-s");
  settings.writesPerSecond = aOptions.Number("--writes-per-s");
  if (aOptions.Has("--instances")) {
    auto list = ReadJson(aOptions.Text("--instances"));
    if (!list.ok()) {
      return list.status();
    }
    settings.instances = std::move(*list);
  }
  return Platform::Create(aLoop, aOptions.Address("--listen"), settings);
}

} // namespace

int
main(int aCount, char** aWords)
{
  const Options options(kUsage, aCount, aWords);
  return RunStandin("platform", [&](EventLoop& aLoop) {
    return CreatePlatform(aLoop, options);
  });
}
