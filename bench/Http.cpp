// What HTTP costs: a call from BackendClient to CallerServer and back on one
// loop, a streamed part, and memory per connection. Both ends and the kernel
// are in each time.

#include <malloc.h>

#include <benchmark/benchmark.h>

#include "dogwoodvale/Http"
#include "test/RawSockets.h"

namespace {

using namespace dogwoodvale;

std::size_t
HeldBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Answers at once, or keeps a stream open for each request.
class Answerer final : public CallerHandler
{
public:
  void OnRequest(std::unique_ptr<CallerExchange> aExchange) override
  {
    if (!this->streams) {
      aExchange->Respond(200, {}, "ok");
      return;
    }
    aExchange->StartStream(200, {});
    aExchange->SendPart("data: {}\n\n");
    this->open.push_back(std::move(aExchange));
  }

  bool streams = false;
  std::vector<std::unique_ptr<CallerExchange>> open;
};

class Waiter final : public BackendCallHandler
{
public:
  void OnHead(int /*aStatus*/, std::span<const HeaderField> /*a*/) override {}
  void OnBody(std::string_view aBytes) override
  {
    this->bytes += aBytes.size();
  }
  void OnComplete(AnswerEnd /*aEnd*/) override { this->ended = true; }
  void OnFailed(const absl::Status& /*aReason*/, bool /*aWritten*/) override
  {
    this->ended = true;
  }

  std::size_t bytes = 0;
  bool ended = false;
};

struct Fixture
{
  std::unique_ptr<EventLoop> loop = std::move(*EventLoop::Create());
  Answerer answerer;
  std::unique_ptr<CallerServer> server =
    std::move(*CallerServer::Create(*loop, { "127.0.0.1", 0 }, {}, answerer));
  std::unique_ptr<BackendClient> client =
    std::move(*BackendClient::Create(*loop, server->Address(), {}));
  HttpRequest request{ "POST",
                       "/v1/chat/completions",
                       { { "Content-Type", "application/json" } },
                       std::string(1000, 'x') };
};

void
Call(benchmark::State& aState)
{
  Fixture f;
  for (auto _ : aState) {
    Waiter waiter;
    const auto call = f.client->Start(f.request, waiter);
    f.loop->RunUntil([&] { return waiter.ended; }, seconds(5));
  }
}
BENCHMARK(Call);

void
StreamedPart(benchmark::State& aState)
{
  Fixture f;
  f.answerer.streams = true;
  Waiter waiter;
  const auto call = f.client->Start(f.request, waiter);
  f.loop->RunUntil([&] { return waiter.bytes > 0; }, seconds(5));
  const std::string part = "data: " + std::string(180, 'x') + "\n\n";
  std::size_t wanted = waiter.bytes;
  for (auto _ : aState) {
    f.answerer.open.front()->SendPart(part);
    wanted += part.size();
    f.loop->RunUntil([&] { return waiter.bytes >= wanted; }, seconds(5));
  }
}
BENCHMARK(StreamedPart);

/// Not a time: heap bytes for an idle connection and one with an open stream.
void
BytesPerConnection(benchmark::State& aState)
{
  constexpr std::size_t kConnections = 1000;
  for (auto _ : aState) {
    Fixture f;
    f.answerer.streams = aState.range(0) != 0;
    std::vector<test::RawSocket> callers;
    callers.reserve(kConnections);
    const std::size_t before = HeldBytes();
    for (std::size_t i = 0; i < kConnections; ++i) {
      callers.push_back(test::RawSocket::Connect(f.server->Address()));
      if (f.answerer.streams) {
        callers.back().Send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
      }
      f.loop->RunUntil(
        [&] {
          return f.server->OpenConnections() > i &&
                 (!f.answerer.streams || f.answerer.open.size() > i);
        },
        seconds(5));
    }
    aState.counters["bytes_per_connection"] =
      double(HeldBytes() - before) / double(kConnections);
  }
}
BENCHMARK(BytesPerConnection)->Arg(0)->Arg(1)->Iterations(1);

} // namespace
