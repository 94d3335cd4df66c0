#include <array>

#include <catch2/catch.hpp>

#include "bench/LoadModel.h"

using namespace dogwoodvale;
using namespace dogwoodvale::model;

namespace {

constexpr QueueBounds kQueueBounds{ 64U << 20U, 1500, 0.1 };
/// Capacity of the modelled engine, in requests per second.
constexpr double kCapacity = 19;
/// Indices into UsualClasses().
constexpr std::size_t kTeller = 0;
constexpr std::size_t kDesk = 1;

Report
RunLoad(QueuePolicy aPolicy, const LoadModel& aLoad)
{
  const std::vector<ClassModel> classes = UsualClasses();
  ServerModel::Options options;
  const bool tiered = aPolicy == QueuePolicy::Tiered;
  options.preempt = tiered;
  options.refuseEarly = tiered;
  options.passPriority = aPolicy != QueuePolicy::Fifo;
  auto limit = *AdaptiveConcurrencyLimit::Create({});
  ServerModel server(options,
                     classes,
                     *CreateQueue(aPolicy, kQueueBounds),
                     std::make_unique<AdaptiveConcurrencyLimit>(limit));
  return server.Run(GenerateArrivals(aLoad, classes, 1));
}

LoadModel
MakeLoad(double aShare, const char* aBurst, double aFactor)
{
  LoadModel load;
  load.rate = aShare * kCapacity;
  load.burstClass = aBurst;
  load.burstFactor = aFactor;
  return load;
}

} // namespace

// The arrivals of one lower-tier class triple on a server at 0.9 of its
// capacity. Guards against a lower attainment of the top tier, less goodput
// than under the better baseline queue, and requests that wait far beyond their
// bound.
TEST_CASE("a burst of a lower-tier class does not affect the top tier")
{
  const char* burst = GENERATE("applicant", "review");
  const LoadModel load = MakeLoad(0.9, burst, 3);
  const std::vector<ClassModel> classes = UsualClasses();
  const Report tiered = RunLoad(QueuePolicy::Tiered, load);
  const Report fifo = RunLoad(QueuePolicy::Fifo, load);
  const Report strict = RunLoad(QueuePolicy::Strict, load);
  const Report unloaded = RunLoad(QueuePolicy::Tiered, MakeLoad(0.5, "", 1));
  REQUIRE(tiered.classes[kTeller].Attainment() >=
          unloaded.classes[kTeller].Attainment() - 0.02);
  REQUIRE(tiered.goodput >= 0.95 * std::max(fifo.goodput, strict.goodput));
  REQUIRE(tiered.wasted < 0.02);
  for (std::size_t index = 0; index < classes.size(); ++index) {
    CAPTURE(classes[index].name);
    REQUIRE(tiered.classes[index].longestWait <=
            classes[index].maxWait * 5 / 4);
    REQUIRE(tiered.classes[index].Attainment() >=
            std::min(strict.classes[index].Attainment(), 0.98));
  }
}

// Sustained load of 1.5 times the capacity. A FIFO queue makes all classes late
// and wastes work on requests whose callers have given up.
TEST_CASE("sustained overload degrades only the lower tiers, without waste")
{
  const LoadModel load = MakeLoad(1.5, "", 1);
  const Report tiered = RunLoad(QueuePolicy::Tiered, load);
  const Report fifo = RunLoad(QueuePolicy::Fifo, load);
  REQUIRE(tiered.classes[kTeller].Attainment() >= 0.98);
  REQUIRE(tiered.classes[kDesk].Attainment() >= 0.95);
  REQUIRE(tiered.goodput >= fifo.goodput);
  REQUIRE(tiered.wasted < 0.02);
  REQUIRE(fifo.wasted > 0.05);
}
