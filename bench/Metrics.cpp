// What counting costs: time to record and to render, and memory per class and
// per busy customer.

#include <malloc.h>

#include <benchmark/benchmark.h>

#include "dogwoodvale/Metrics"

namespace {

using namespace dogwoodvale;

/// Bytes that the process holds from malloc, small and large.
std::size_t
HeldBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void
Fill(LatencyHistogram& aHistogram, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    aHistogram.Record(Duration((i * 7919) % 2000000));
  }
}

void
FillClass(ClassMetrics& aClass, int aCount)
{
  for (LatencyHistogram* histogram : { &aClass.firstToken,
                                       &aClass.betweenTokens,
                                       &aClass.total,
                                       &aClass.queueWait }) {
    Fill(*histogram, aCount);
  }
}

void
RecordLatency(benchmark::State& aState)
{
  LatencyHistogram histogram;
  int i = 0;
  for (auto _ : aState) {
    histogram.Record(Duration(i++ % 1000000));
  }
}
BENCHMARK(RecordLatency);

void
RecordCustomer(benchmark::State& aState)
{
  CustomerSketch sketch;
  std::vector<CustomerName> names;
  for (int i = 0; i < aState.range(0); ++i) {
    names.emplace_back("customer-" + std::to_string(i));
  }
  std::size_t i = 0;
  for (auto _ : aState) {
    sketch.Record(names[i++ % names.size()], { .total = milliseconds(5) });
  }
}
BENCHMARK(RecordCustomer)->Arg(10)->Arg(1000);

void
Render(benchmark::State& aState)
{
  ClassMetricsTable classes;
  CustomerSketch sketch;
  MetricsRegistry registry;
  registry.AddSource(classes);
  registry.AddSource(sketch);
  for (int i = 0; i < aState.range(0); ++i) {
    FillClass(classes.Of({ ServiceName("service"),
                           ClassName("class-" + std::to_string(i)) }),
              10000);
  }
  for (int i = 0; i < aState.range(1); ++i) {
    sketch.Record(CustomerName("customer-" + std::to_string(i)), {});
  }
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = registry.Render().size();
  }
  aState.counters["text_bytes"] = double(bytes);
}
BENCHMARK(Render)->Args({ 20, 0 })->Args({ 20, 32 });

/// Not a time: the bytes held for one class after so many requests.
void
BytesPerClass(benchmark::State& aState)
{
  constexpr int kClasses = 100;
  for (auto _ : aState) {
    ClassMetricsTable classes;
    const std::size_t before = HeldBytes();
    for (int i = 0; i < kClasses; ++i) {
      FillClass(classes.Of({ ServiceName("s"), ClassName(std::to_string(i)) }),
                int(aState.range(0)));
    }
    aState.counters["bytes_per_class"] =
      double(HeldBytes() - before) / kClasses;
  }
}
BENCHMARK(BytesPerClass)->Arg(0)->Arg(100)->Arg(100000)->Iterations(1);

void
BytesPerCustomer(benchmark::State& aState)
{
  constexpr std::size_t kCustomers = 64;
  for (auto _ : aState) {
    const std::size_t before = HeldBytes();
    CustomerSketch sketch(kCustomers);
    for (int i = 0; i < aState.range(0); ++i) {
      sketch.Record(CustomerName(std::to_string(i % kCustomers)),
                    { .total = Duration(i), .firstToken = Duration(i) });
    }
    aState.counters["bytes_per_customer"] =
      double(HeldBytes() - before) / double(kCustomers);
  }
}
BENCHMARK(BytesPerCustomer)->Arg(64)->Arg(6400)->Arg(6400000)->Iterations(1);

} // namespace
