#include "../Engine.h"
#include "../Program.h"

using namespace dogwoodvale;
using namespace dogwoodvale::standins;

namespace {

constexpr char kUsage[] =
  R"(standin_engine: a stand-in model engine with continuous batching.

Usage:
  standin_engine [options]

Options:
  --listen IP:PORT    Where to listen; port 0 takes a free one [default: 127.0.0.1:0].
  --name NAME         Name in records and answers [default: engine].
  --models LIST       Loaded models, with commas between [default: a].
  --step-ms N         Length of one step with one sequence [default: 6].
  --batch N           Most sequences in a step [default: 16].
  --kv-tokens N       Memory for sequences and cached prefixes [default: 200000].
  --seed N            Seed of answer lengths and lost events [default: 1].
  --load-lag-ms N     How late load and cache events are [default: 500].
  --load-ms N         How long loading a model takes [default: 0].
  --lost-events P     Share of cache events that are lost [default: 0.05].
  --check-fencing     Refuse orders with an old fencing number.
  -h --help           Show this.
  --version           Show the version.
)";

EngineSettings
SettingsOf(const Options& aOptions)
{
  EngineSettings settings;
  settings.name = aOptions.Text("--name");
  settings.models = aOptions.List("--models");
  settings.batching.step = aOptions.Milliseconds("--step-ms");
  settings.batching.batch =
    static_cast<std::size_t>(aOptions.Number("--batch"));
  settings.batching.kvTokens =
    static_cast<std::size_t>(aOptions.Number("--kv-tokens"));
  settings.seed = static_cast<std::uint64_t>(aOptions.Number("--seed"));
  settings.loadLag = aOptions.Milliseconds("--load-lag-ms");
  settings.loadTime = aOptions.Milliseconds("--load-ms");
  settings.lostEvents = std::min(aOptions.Number("--lost-events"), 1.0);
  settings.checksFencing = aOptions.Flag("--check-fencing");
  return settings;
}

} // namespace

int
main(int aCount, char** aWords)
{
  const Options options(kUsage, aCount, aWords);
  return RunStandin("engine", [&](EventLoop& aLoop) {
    return Engine::Create(
      aLoop, options.Address("--listen"), SettingsOf(options));
  });
}
