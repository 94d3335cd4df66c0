#include <array>

#include <catch2/catch.hpp>

#include "bench/LoadModel.h"

using namespace dogwoodvale;
using namespace dogwoodvale::model;

namespace {

constexpr QueueBounds kBounds{ 64U << 20U, 1500, 0.1 };
/// Requests a second that the modelled engine can just serve.
constexpr double kCapacity = 19;
constexpr std::size_t kTeller = 0;
constexpr std::size_t kDesk = 1;

Report
RunLoad(QueuePolicy aPolicy, const LoadModel& aLoad)
{
  const std::vector<ClassModel> classes = UsualClasses();
  ServerModel::Options options;
  const bool ours = aPolicy == QueuePolicy::Tiered;
  options.preempt = ours;
  options.refuseEarly = ours;
  options.passPriority = aPolicy != QueuePolicy::Fifo;
  auto limit = *AdaptiveConcurrencyLimit::Create({});
  ServerModel server(options,
                     classes,
                     *CreateQueue(aPolicy, kBounds),
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

// A wave of applicant questions (or of dossier reviews) trebles their class on
// a server at 0.9 of its capacity. Tellers must not notice, the server must not
// do less than under the best simple policy, and whoever waits must be served
// about its bound.
TEST_CASE("a burst of a lower class leaves the top tier alone")
{
  const char* burst = GENERATE("applicant", "review");
  const LoadModel load = MakeLoad(0.9, burst, 3);
  const std::vector<ClassModel> classes = UsualClasses();
  const Report ours = RunLoad(QueuePolicy::Tiered, load);
  const Report fifo = RunLoad(QueuePolicy::Fifo, load);
  const Report strict = RunLoad(QueuePolicy::Strict, load);
  const Report unloaded = RunLoad(QueuePolicy::Tiered, MakeLoad(0.5, "", 1));
  REQUIRE(ours.classes[kTeller].Attainment() >=
          unloaded.classes[kTeller].Attainment() - 0.02);
  REQUIRE(ours.goodput >= 0.95 * std::max(fifo.goodput, strict.goodput));
  REQUIRE(ours.wasted < 0.02);
  for (std::size_t index = 0; index < classes.size(); ++index) {
    CAPTURE(classes[index].name);
    REQUIRE(ours.classes[index].longestWait <= classes[index].maxWait * 5 / 4);
    REQUIRE(ours.classes[index].Attainment() >=
            std::min(strict.classes[index].Attainment(), 0.98));
  }
}

// At month-end demand is half as much again as the server can do. First in,
// first out makes everybody late and wastes what it spends on those who leave.
TEST_CASE("overload is borne by the lower tiers, without waste")
{
  const LoadModel load = MakeLoad(1.5, "", 1);
  const Report ours = RunLoad(QueuePolicy::Tiered, load);
  const Report fifo = RunLoad(QueuePolicy::Fifo, load);
  REQUIRE(ours.classes[kTeller].Attainment() >= 0.98);
  REQUIRE(ours.classes[kDesk].Attainment() >= 0.95);
  REQUIRE(ours.goodput >= fifo.goodput);
  REQUIRE(ours.wasted < 0.02);
  REQUIRE(fifo.wasted > 0.05);
}
