#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

#include "dogwoodvale/Metrics"

using namespace dogwoodvale;
using Catch::Contains;

TEST_CASE("a quantile is good to one bin, from microseconds to minutes")
{
  LatencyHistogram histogram;
  REQUIRE_FALSE(histogram.Quantile(0.5));
  for (int i = 1; i <= 1000; ++i) {
    histogram.Record(milliseconds(i));
  }
  const auto isNear = [&](double aShare, Duration aWant) {
    const double ratio =
      double(histogram.Quantile(aShare)->count()) / double(aWant.count());
    return ratio > 0.86 && ratio < 1.16;
  };
  REQUIRE(isNear(0.5, milliseconds(500)));
  REQUIRE(isNear(0.99, milliseconds(990)));
  REQUIRE(isNear(1.0, seconds(1)));
  REQUIRE(histogram.Count() == 1000);
  REQUIRE(histogram.SumSeconds() == Approx(500.5));
}

TEST_CASE("durations beyond either end are counted, not lost")
{
  LatencyHistogram histogram;
  histogram.Record(Duration(-5));
  histogram.Record(Duration(0));
  histogram.Record(std::chrono::hours(10));
  REQUIRE(histogram.Count() == 3);
  REQUIRE(*histogram.Quantile(0.5) == Duration(100));
  REQUIRE(*histogram.Quantile(1) == seconds(1000));
  LatencyHistogram other;
  other.Record(seconds(1));
  histogram.Merge(other);
  REQUIRE(histogram.Count() == 4);
}

TEST_CASE("buckets rise and agree with the count")
{
  rc::prop("cumulative buckets", [](const std::vector<std::uint32_t>& aMicros) {
    LatencyHistogram histogram;
    for (const std::uint32_t micros : aMicros) {
      histogram.Record(Duration(micros));
    }
    std::uint64_t last = 0;
    double lastEdge = 0;
    int visits = 0;
    histogram.ForEachBucket([&](double aEdge, std::uint64_t aCount) {
      RC_ASSERT(aEdge > lastEdge);
      RC_ASSERT(aCount >= last);
      const auto below =
        std::ranges::count_if(aMicros, [&](std::uint32_t aMicro) {
          return double(aMicro) * 1e-6 < aEdge * 0.999999;
        });
      RC_ASSERT(aCount >= std::uint64_t(below));
      lastEdge = aEdge;
      last = aCount;
      ++visits;
    });
    RC_ASSERT(visits == LatencyHistogram::kBuckets + 1);
    RC_ASSERT(last <= histogram.Count());
  });
}

TEST_CASE("the Prometheus text is well-formed and escaped")
{
  MetricsRegistry registry;
  auto& bad =
    registry.AddCounter<ReasonLabels>("bad_input_total", "Bad\ninput.");
  ++bad.At({ "quote\" back\\ line\n" });
  registry.AddGauge("epoch", "Configuration in force.").At() = 1e15;
  ClassMetricsTable classes;
  registry.AddSource(classes);
  ClassMetrics& chat = classes.Of({ ServiceName("llm"), ClassName("chat") });
  chat.firstToken.Record(milliseconds(20));
  chat.CountFailure({ ErrorCode::QueueFull, Disposition::NotRun, "", {} });
  chat.CountWaste(WasteCause::CallerGone, 7);
  chat.attained = 3;
  chat.missed = 1;
  REQUIRE(*chat.Attainment() == Approx(0.75));
  const std::string text = registry.Render();
  for (
    const char* line : {
      "# HELP dogwoodvale_bad_input_total Bad\\ninput.\n",
      "# TYPE dogwoodvale_bad_input_total counter\n",
      "dogwoodvale_bad_input_total{reason=\"quote\\\" back\\\\ line\\n\"} 1\n",
      "dogwoodvale_epoch 1000000000000000\n",
      "# TYPE dogwoodvale_first_token_seconds histogram\n",
      "dogwoodvale_first_token_seconds_bucket{service=\"llm\",class=\"chat\","
      "le=\"0.01\"} 0\n",
      "class=\"chat\",le=\"+Inf\"} 1\n",
      "dogwoodvale_first_token_seconds_sum{service=\"llm\",class=\"chat\"} "
      "0.02\n",
      "dogwoodvale_requests_total{service=\"llm\",class=\"chat\","
      "outcome=\"queue_full\"} 1\n",
      "dogwoodvale_wasted_tokens_total{service=\"llm\",class=\"chat\","
      "cause=\"caller_gone\"} 7\n",
      "dogwoodvale_not_run_total{service=\"llm\",class=\"chat\"} 1\n",
    }) {
    REQUIRE_THAT(text, Contains(line));
  }
}

TEST_CASE("classes over the bound are counted together")
{
  ClassMetricsTable classes(2);
  const auto of = [&](const char* aName) -> ClassMetrics& {
    return classes.Of({ ServiceName("s"), ClassName(aName) });
  };
  ClassMetrics& first = of("a");
  of("b");
  REQUIRE(&of("c") == &of("d"));
  REQUIRE(&of("a") == &first);
  REQUIRE(classes.All().size() == 3);
}

TEST_CASE("the busiest customers are found in bounded memory")
{
  // Space-saving promises that a customer with more than 1/K of the requests
  // has a slot and that no count is below the truth or over it by more than
  // its stated error. Counted wrongly, operators would chase the wrong one.
  rc::prop("space-saving's bounds", [] {
    constexpr std::size_t kSlots = 4;
    const auto stream = *rc::gen::container<std::vector<int>>(rc::gen::map(
      rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 12)),
      [](const std::pair<int, int>& aPair) {
        return std::min(aPair.first, aPair.second);
      }));
    CustomerSketch sketch(kSlots);
    std::map<CustomerName, std::uint64_t> truth;
    for (const int id : stream) {
      const CustomerName name(std::to_string(id));
      sketch.Record(name, {});
      ++truth[name];
    }
    const auto busiest = sketch.Busiest();
    RC_ASSERT(busiest.size() <= kSlots);
    for (const CustomerMetrics* slot : busiest) {
      RC_ASSERT(slot->requests >= truth[slot->customer]);
      RC_ASSERT(slot->requests - slot->error <= truth[slot->customer]);
    }
    for (const auto& [name, count] : truth) {
      const bool isHeld = std::ranges::any_of(
        busiest, [&](const auto* aSlot) { return aSlot->customer == name; });
      RC_ASSERT(isHeld || count * kSlots <= stream.size());
    }
  });
}

TEST_CASE("a customer's own figures start with its slot")
{
  CustomerSketch sketch(1);
  sketch.Record(CustomerName("a"), { .total = seconds(1), .tokens = 5 });
  sketch.Record(CustomerName("b"),
                { .total = milliseconds(10),
                  .firstToken = milliseconds(2),
                  .tokens = 7,
                  .succeeded = true,
                  .attained = true });
  const CustomerMetrics& slot = *sketch.Busiest().front();
  REQUIRE(slot.customer == CustomerName("b"));
  REQUIRE(slot.requests == 2);
  REQUIRE(slot.error == 1);
  REQUIRE(slot.tokens == 7);
  REQUIRE(slot.failed == 0);
  REQUIRE(slot.total.Count() == 1);
  MetricsRegistry registry;
  registry.AddSource(sketch);
  REQUIRE_THAT(registry.Render(),
               Contains("dogwoodvale_customer_requests{customer=\"b\"} 2\n"));
}
