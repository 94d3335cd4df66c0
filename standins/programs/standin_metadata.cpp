#include "../MetadataStore.h"
#include "../Program.h"

using namespace dogwoodvale;
using namespace dogwoodvale::standins;

namespace {

constexpr char kUsage[] =
  R"(standin_metadata: a stand-in of the users' platform's metadata store.

Usage:
  standin_metadata [options]

Options:
  --listen IP:PORT  Where to listen; port 0 takes a free one [default: 127.0.0.1:0].
  --era N           The era that answers tell at first [default: 1].
  -h --help         Show this.
  --version         Show the version.
)";

} // namespace

int
main(int aCount, char** aWords)
{
  const Options options(kUsage, aCount, aWords);
  return RunStandin("metadata", [&](EventLoop& aLoop) {
    auto store = MetadataStore::Create(aLoop, options.Address("--listen"));
    if (store.ok()) {
      (*store)->SetEra(static_cast<std::int64_t>(options.Number("--era")));
    }
    return store;
  });
}
