#include "../PlainService.h"
#include "../Program.h"

using namespace dogwoodvale;
using namespace dogwoodvale::standins;

namespace {

constexpr char kUsage[] =
  R"(standin_service: a stand-in plain HTTP service that records executions.

Usage:
  standin_service [options]

Options:
  --listen IP:PORT  Where to listen; port 0 takes a free one [default: 127.0.0.1:0].
  --delay-ms N      Time from execution to answer [default: 5].
  -h --help         Show this.
  --version         Show the version.
)";

} // namespace

int
main(int aCount, char** aWords)
{
  const Options options(kUsage, aCount, aWords);
  return RunStandin("service", [&](EventLoop& aLoop) {
    return PlainService::Create(
      aLoop, options.Address("--listen"), options.Milliseconds("--delay-ms"));
  });
}
