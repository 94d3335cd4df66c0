#include "../Program.h"
#include "../SealedEngine.h"

#include <cstdlib>

using namespace dogwoodvale;
using namespace dogwoodvale::standins;

namespace {

constexpr int kCrashed = 70;

constexpr char kUsage[] =
  R"(standin_sealed_engine: a stand-in backend server of the users' platform.

Usage:
  standin_sealed_engine [options]

Options:
  --listen IP:PORT  Where to listen; port 0 takes a free one [default: 127.0.0.1:0].
  --instance ID     Its id [default: e1].
  --software TEXT   Version of its software, appended to each event [default: ].
  --events N        Events of each stream [default: 20].
  --gap-ms N        Pause between events [default: 10].
  --work-ms N       Time to an answer or a first event [default: 10].
  --crash-body TEXT  A request whose body contains this ends the process; "" for none [default: ].
  --crash-part ID  A request with this part of a prompt, not its last, ends the process; "" for none [default: ].
  -h --help         Show this.
  --version         Show the version.
)";

} // namespace

int
main(int aCount, char** aWords)
{
  const Options options(kUsage, aCount, aWords);
  SealedEngineSettings settings;
  settings.instance = options.Text("--instance");
  settings.softwareVersion = options.Text("--software");
  settings.events = static_cast<std::uint64_t>(options.Number("--events"));
  settings.gap = options.Milliseconds("--gap-ms");
  settings.crashBody = options.Text("--crash-body");
  if (const std::string part = options.Text("--crash-part"); !part.empty()) {
    settings.crashParts = { part };
  }
  settings.onCrash = [] { std::_Exit(kCrashed); };
  settings.work = options.Milliseconds("--work-ms");
  return RunStandin("sealed_engine", [&](EventLoop& aLoop) {
    return SealedEngine::Create(aLoop, options.Address("--listen"), settings);
  });
}
