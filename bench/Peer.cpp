#include <benchmark/benchmark.h>

#include <event2/event.h>
#include <malloc.h>

#include "dogwoodvale/Peer"

using namespace dogwoodvale;

namespace {

Hello
MakeHello()
{
  Hello hello;
  hello.protocolVersion = 1;
  hello.secret = "shared";
  return hello;
}

/// About what one token takes.
Chunk
MakeChunk()
{
  Chunk chunk;
  chunk.sequence = 1000;
  chunk.tokens = 1;
  chunk.text = " token";
  return chunk;
}

class Echo : public PeerStreamHandler
{
public:
  explicit Echo(std::unique_ptr<PeerStream> aStream)
    : stream(std::move(aStream))
  {
    this->stream->SetHandler(this);
  }
  void OnMessage(Message aMessage) override { this->stream->Send(aMessage); }
  void OnEnd() override { this->stream->FinishSending(); }
  void OnLost(const absl::Status& /*aReason*/) override {}

private:
  std::unique_ptr<PeerStream> stream;
};

class Counter : public PeerStreamHandler
{
public:
  void OnMessage(Message /*aMessage*/) override { ++this->count; }
  void OnEnd() override { ++this->ended; }
  void OnLost(const absl::Status& /*aReason*/) override {}

  std::int64_t count = 0;
  std::int64_t ended = 0;
};

class Ends
  : public PeerAcceptor
  , public PeerConnectionHandler
{
public:
  Ends()
    : loop(std::move(*EventLoop::Create()))
    , listener(std::move(*PeerListener::Create(*this->loop,
                                               { "127.0.0.1", 0 },
                                               {},
                                               MakeHello(),
                                               *this)))
  {
  }
  PeerConnectionHandler& OnAccepted(std::unique_ptr<PeerConnection> aConnection,
                                    const Hello& /*aPeer*/) override
  {
    this->accepted.push_back(std::move(aConnection));
    return *this;
  }
  void OnReady(const Hello& /*aPeer*/) override { ++this->ready; }
  void OnNotice(const Notice& /*aNotice*/) override {}
  void OnClosed(const absl::Status& aReason) override
  {
    Log(LogLevel::Error, "closed", "reason", aReason.ToString());
  }
  void OnStream(std::unique_ptr<PeerStream> aStream) override
  {
    this->echoes.push_back(std::make_unique<Echo>(std::move(aStream)));
  }
  void Connect(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      this->opened.push_back(PeerConnection::Connect(
        *this->loop, this->listener->Address(), {}, MakeHello(), *this));
    }
    const std::size_t wanted = this->opened.size();
    this->loop->RunUntil([&] { return this->ready == wanted; }, seconds(10));
  }
  PeerConnection& First() { return *this->opened.front(); }
  void Turn() { event_base_loop(this->loop->Base(), EVLOOP_ONCE); }
  void Settle()
  {
    this->loop->RunUntil([] { return false; }, milliseconds(200));
  }

  std::unique_ptr<EventLoop> loop;
  std::unique_ptr<PeerListener> listener;
  std::vector<std::unique_ptr<PeerConnection>> accepted;
  std::vector<std::unique_ptr<PeerConnection>> opened;
  std::vector<std::unique_ptr<Echo>> echoes;
  std::size_t ready = 0;
};

double
BytesInUse()
{
  return static_cast<double>(mallinfo2().uordblks);
}

void
EncodeChunk(benchmark::State& aState)
{
  const Message message = MakeChunk();
  std::string out;
  for (auto _ : aState) {
    out.clear();
    AppendMessage(message, out);
    benchmark::DoNotOptimize(out.data());
  }
  aState.counters["bytes"] = static_cast<double>(out.size());
}
BENCHMARK(EncodeChunk);

/// A heartbeat is this and a frame header of 9 bytes.
void
EncodeNotice(benchmark::State& aState)
{
  Notice notice;
  notice.epoch = 1000;
  notice.rootHash = std::string(64, 'f');
  notice.storeContactAgeMillis = 2000;
  notice.load.running = 48;
  notice.load.queued = 12;
  notice.load.fromReader = 15;
  notice.load.limit = 64;
  notice.load.queuedTokens = 20000;
  notice.load.firstTokenMicros = 150000;
  notice.load.stepMicros = 20000;
  notice.load.queuedByTier = { 0, 4, 8, 0 };
  const Message message = notice;
  std::string out;
  for (auto _ : aState) {
    out.clear();
    AppendMessage(message, out);
    benchmark::DoNotOptimize(out.data());
  }
  aState.counters["bytes"] = static_cast<double>(out.size());
}
BENCHMARK(EncodeNotice);

void
DecodeChunk(benchmark::State& aState)
{
  const std::string bytes = EncodeMessage(MakeChunk());
  MessageReader reader;
  std::vector<Message> out;
  for (auto _ : aState) {
    out.clear();
    benchmark::DoNotOptimize(reader.Feed(bytes, out).ok());
  }
}
BENCHMARK(DecodeChunk);

/// One chunk on each of so many streams goes out and comes back; both ends run
/// on this one thread, so that the CPU time is that of both.
void
RoundTrip(benchmark::State& aState)
{
  Ends ends;
  ends.Connect(1);
  const std::int64_t streams = aState.range(0);
  std::vector<std::unique_ptr<PeerStream>> calls;
  Counter counter;
  for (std::int64_t i = 0; i < streams; ++i) {
    calls.push_back(ends.First().OpenStream());
    calls.back()->SetHandler(&counter);
  }
  const Message message = MakeChunk();
  for (auto _ : aState) {
    counter.count = 0;
    for (const auto& call : calls) {
      call->Send(message);
    }
    while (counter.count < streams) {
      ends.Turn();
    }
  }
  aState.SetItemsProcessed(aState.iterations() * streams);
}
BENCHMARK(RoundTrip)->Arg(1)->Arg(100)->Arg(1000);

/// The same with a stream opened for the chunk and ended both ways after it.
/// Its difference from RoundTrip is what a stream for each request costs.
void
StreamPerRequest(benchmark::State& aState)
{
  Ends ends;
  ends.Connect(1);
  const std::int64_t streams = aState.range(0);
  std::vector<std::unique_ptr<PeerStream>> calls;
  Counter counter;
  const Message message = MakeChunk();
  for (auto _ : aState) {
    counter.ended = 0;
    calls.clear();
    ends.echoes.clear();
    for (std::int64_t i = 0; i < streams; ++i) {
      calls.push_back(ends.First().OpenStream());
      calls.back()->SetHandler(&counter);
      calls.back()->Send(message);
      calls.back()->FinishSending();
    }
    while (counter.ended < streams) {
      ends.Turn();
    }
  }
  aState.SetItemsProcessed(aState.iterations() * streams);
}
BENCHMARK(StreamPerRequest)->Arg(1)->Arg(100)->Arg(1000);

/// Heap bytes of one idle connection, per end.
void
MemoryPerConnection(benchmark::State& aState)
{
  constexpr std::size_t kCount = 1000;
  for (auto _ : aState) {
    Ends ends;
    ends.Connect(1);
    const double before = BytesInUse();
    ends.Connect(kCount);
    ends.Settle();
    aState.counters["bytes_per_end"] =
      (BytesInUse() - before) / static_cast<double>(2 * kCount);
  }
}
BENCHMARK(MemoryPerConnection)->Iterations(1);

/// Heap bytes of one open stream that has carried a chunk both ways, per end.
void
MemoryPerStream(benchmark::State& aState)
{
  constexpr std::int64_t kCount = 1000;
  for (auto _ : aState) {
    Ends ends;
    ends.Connect(1);
    Counter counter;
    std::vector<std::unique_ptr<PeerStream>> calls;
    const double before = BytesInUse();
    for (std::int64_t i = 0; i < kCount; ++i) {
      calls.push_back(ends.First().OpenStream());
      calls.back()->SetHandler(&counter);
      calls.back()->Send(MakeChunk());
    }
    while (counter.count < kCount) {
      ends.Turn();
    }
    ends.Settle();
    aState.counters["bytes_per_end"] =
      (BytesInUse() - before) / static_cast<double>(2 * kCount);
  }
}
BENCHMARK(MemoryPerStream)->Iterations(1);

} // namespace
