/// Processor time of the queue's operations by how many wait, spread over
/// classes and customers. `--benchmark_counters_tabular=true` shows how they
/// grow.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "dogwoodvale/Scheduling"

using namespace dogwoodvale;

namespace {

constexpr std::uint64_t kClasses = 20;
constexpr std::uint64_t kCustomers = 20;
constexpr QueueBounds kBounds{ 1ULL << 40U, 1U << 22U, 0.1 };
constexpr TimePoint kStart = TimePoint() + std::chrono::hours(1);

/// Requests of hundreds of customers in classes, in an order like chance.
class Arrivals
{
public:
  explicit Arrivals(Duration aMaxWait)
    : maxWait(aMaxWait)
  {
  }

  QueuedRequest Next(TimePoint aNow)
  {
    this->draw = this->draw * 6364136223846793005ULL + 1442695040888963407ULL;
    const std::uint64_t pick = this->draw >> 33U;
    QueuedRequest request;
    request.id = { 1, ++this->sequence };
    request.service = ServiceName("cheque-reading");
    request.className = ClassName("class-" + std::to_string(pick % kClasses));
    request.customer =
      CustomerName("customer-" + std::to_string(pick / kClasses % kCustomers));
    request.tier = static_cast<Tier>(pick % kClasses % 7);
    request.enqueued = aNow;
    request.target = aNow + milliseconds(100 + pick % 1000);
    request.maxWait = this->maxWait;
    request.promptTokens = static_cast<std::uint32_t>(pick % 4000);
    request.maxTokens = 500;
    request.bytes = 1000 + pick % 5000;
    request.classQueueBound = 1U << 22U;
    return request;
  }

private:
  Duration maxWait;
  std::uint64_t draw = 1;
  std::uint64_t sequence = 0;
};

std::unique_ptr<AbstractRequestQueue>
MakeQueue(QueuePolicy aPolicy, const QueueBounds& aBounds)
{
  auto queue = CreateQueue(aPolicy, aBounds);
  if (!queue.ok()) {
    std::abort();
  }
  return *std::move(queue);
}

void
Fill(AbstractRequestQueue& aQueue, Arrivals& aArrivals, std::int64_t aCount)
{
  for (std::int64_t index = 0; index < aCount; ++index) {
    aQueue.Enqueue(aArrivals.Next(kStart), kStart);
  }
}

/// One batch of operations is timed at a time, the undoing of it is not.
constexpr int kBatch = 64;

void
Enqueue(benchmark::State& aState, QueuePolicy aPolicy)
{
  const auto queue = MakeQueue(aPolicy, kBounds);
  Arrivals arrivals(seconds(60));
  Fill(*queue, arrivals, aState.range(0));
  std::vector<QueuedRequest> batch;
  while (aState.KeepRunningBatch(kBatch)) {
    aState.PauseTiming();
    for (const QueuedRequest& request : batch) {
      queue->Remove(request.id);
    }
    batch.clear();
    for (int index = 0; index < kBatch; ++index) {
      batch.push_back(arrivals.Next(kStart));
    }
    aState.ResumeTiming();
    for (const QueuedRequest& request : batch) {
      benchmark::DoNotOptimize(queue->Enqueue(request, kStart));
    }
  }
}

/// \param aMaxWait how long until all that wait are overdue
void
Dequeue(benchmark::State& aState, QueuePolicy aPolicy, Duration aMaxWait)
{
  const auto queue = MakeQueue(aPolicy, kBounds);
  Arrivals arrivals(aMaxWait);
  Fill(*queue, arrivals, aState.range(0));
  const TimePoint now = kStart + seconds(1);
  std::vector<QueuedRequest> batch;
  batch.reserve(kBatch);
  while (aState.KeepRunningBatch(kBatch)) {
    aState.PauseTiming();
    for (const QueuedRequest& request : batch) {
      queue->OnFinished(request.className, request.customer, 300);
      queue->Enqueue(request, now);
    }
    batch.clear();
    aState.ResumeTiming();
    for (int index = 0; index < kBatch; ++index) {
      batch.push_back(*queue->Dequeue(now));
    }
  }
}

/// A start and an end, as the sidecar does them.
void
DequeueAndFinish(benchmark::State& aState)
{
  const auto queue = MakeQueue(QueuePolicy::Tiered, kBounds);
  Arrivals arrivals(milliseconds(500));
  Fill(*queue, arrivals, aState.range(0));
  const TimePoint now = kStart + seconds(1);
  while (aState.KeepRunningBatch(1)) {
    QueuedRequest started = *queue->Dequeue(now);
    queue->OnFinished(started.className, started.customer, 300);
    queue->Enqueue(started, now);
  }
}

/// A full queue: each newcomer of the top tier evicts one.
void
EnqueueEvicting(benchmark::State& aState)
{
  const auto waiting = static_cast<std::uint32_t>(aState.range(0));
  const auto queue =
    MakeQueue(QueuePolicy::Tiered, { 1ULL << 40U, waiting, 0.1 });
  Arrivals arrivals(seconds(60));
  // Lower tiers fill it; what the shares refuse is made up for by others.
  while (queue->Size() < waiting * 9 / 10) {
    QueuedRequest request = arrivals.Next(kStart);
    request.tier = static_cast<Tier>(1 + request.id.sequence % 6);
    queue->Enqueue(request, kStart);
  }
  std::vector<QueuedRequest> batch;
  while (aState.KeepRunningBatch(kBatch)) {
    aState.PauseTiming();
    for (const QueuedRequest& request : batch) {
      queue->Remove(request.id);
    }
    while (queue->Size() < waiting) {
      QueuedRequest request = arrivals.Next(kStart);
      request.tier = 15;
      request.bytes = 10;
      request.className = ClassName("filler");
      request.resumed = true;
      queue->Enqueue(request, kStart);
    }
    batch.clear();
    for (int index = 0; index < kBatch; ++index) {
      batch.push_back(arrivals.Next(kStart));
      batch.back().tier = 0;
    }
    aState.ResumeTiming();
    for (const QueuedRequest& request : batch) {
      benchmark::DoNotOptimize(queue->Enqueue(request, kStart));
    }
  }
}

void
Register()
{
  const auto sizes = [](benchmark::internal::Benchmark* aBenchmark) {
    for (const std::int64_t size : { 100, 1000, 10000, 100000 }) {
      aBenchmark->Arg(size);
    }
  };
  const auto add = [&](const char* aName, auto aFunction) {
    sizes(benchmark::RegisterBenchmark(aName, aFunction));
  };
  using benchmark::State;
  add("tiered/enqueue",
      [](State& aState) { Enqueue(aState, QueuePolicy::Tiered); });
  add("tiered/enqueue-evicting",
      [](State& aState) { EnqueueEvicting(aState); });
  add("tiered/dequeue",
      [](State& aState) { Dequeue(aState, QueuePolicy::Tiered, seconds(60)); });
  add("tiered/dequeue-all-overdue", [](State& aState) {
    Dequeue(aState, QueuePolicy::Tiered, milliseconds(500));
  });
  add("tiered/dequeue+finish+enqueue",
      [](State& aState) { DequeueAndFinish(aState); });
  add("strict/enqueue",
      [](State& aState) { Enqueue(aState, QueuePolicy::Strict); });
  add("strict/dequeue",
      [](State& aState) { Dequeue(aState, QueuePolicy::Strict, seconds(60)); });
}

const bool kRegistered = [] {
  Register();
  return true;
}();

} // namespace
