#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/Routing"

using namespace dogwoodvale;

namespace {

const TimePoint kStart{ seconds(100) };

InstanceName
ServerName(std::size_t aIndex)
{
  return InstanceName(fmt::format("server-{}", aIndex));
}

BackendTable
MakeTable(std::size_t aSize)
{
  BackendTable table;
  for (std::size_t index = 0; index < aSize; ++index) {
    table.Upsert(ServerName(index), DataCentreName("a"));
    table.SetAvailable(ServerName(index), true);
  }
  return table;
}

LoadReport
MakeReport(std::uint32_t aRunning, std::uint32_t aFromReader = 0)
{
  LoadReport report;
  report.running = aRunning;
  report.fromReader = aFromReader;
  report.limit = 10;
  report.stepMicros = 6000;
  return report;
}

/// How often each server is chosen in 1,000 choices without any request sent.
std::map<InstanceName, int>
CountChoices(const BackendTable& aTable,
             BackendChooser& aChooser,
             const ChoiceRequest& aRequest,
             TimePoint aNow)
{
  std::map<InstanceName, int> counts;
  std::mt19937_64 random(1);
  for (int choice = 0; choice < 1000; ++choice) {
    ++counts[aChooser.Choose(aTable, aRequest, aNow, random).value()];
  }
  return counts;
}

} // namespace

TEST_CASE("Every policy chooses a usable server if there is one, and no other")
{
  const auto* name = GENERATE("least_loaded",
                              "least_loaded_of_two",
                              "least_connections",
                              "round_robin",
                              "random");
  const auto chooser = std::move(CreateChooser(name)).value();
  rc::prop("usable, not excluded, and found whenever one is left", [&] {
    const auto size = *rc::gen::inRange<std::size_t>(0, 30);
    BackendTable table = MakeTable(size);
    std::vector<InstanceName> excluded;
    std::set<InstanceName> candidates;
    for (std::size_t index = 0; index < size; ++index) {
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          candidates.insert(ServerName(index));
          break;
        case 1:
          table.SetAvailable(ServerName(index), false);
          break;
        case 2:
          table.SetHealthState(ServerName(index), HealthState::Ejected);
          break;
        case 3:
          table.SetHealthState(ServerName(index), HealthState::Probing);
          table.OnSent(ServerName(index), 10, 0);
          break;
        case 4:
          table.SetHealthState(ServerName(index), HealthState::Probing);
          candidates.insert(ServerName(index));
          break;
        default:
          excluded.push_back(ServerName(index));
      }
    }
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    ChoiceRequest request;
    request.excluded = excluded;
    const auto chosen = chooser->Choose(table, request, kStart, random);
    RC_ASSERT(chosen.has_value() == !candidates.empty());
    RC_ASSERT(!chosen || candidates.contains(*chosen));
  });
}

TEST_CASE("An unknown policy name is an error")
{
  const auto chooser = CreateChooser("fastest");
  REQUIRE_FALSE(chooser.ok());
  CHECK(MessageOf(chooser.status()) ==
        "no routing policy is called \"fastest\"");
}

TEST_CASE("A delayed load report does not hide the entry's own requests")
{
  // A burst goes to one server, whose report was made before the burst, arrives
  // after it and says "idle". The entry must still count its own requests, or
  // the next ones queue behind the burst.
  BackendTable table = MakeTable(2);
  table.OnLoadReport(ServerName(0), MakeReport(0), kStart);
  table.OnLoadReport(ServerName(1), MakeReport(0), kStart);
  for (int sent = 0; sent < 20; ++sent) {
    table.OnSent(ServerName(0), 200, 0);
  }
  table.OnLoadReport(ServerName(0), MakeReport(0), kStart + milliseconds(1));
  LeastLoadedChooser chooser;
  const auto counts =
    CountChoices(table, chooser, {}, kStart + milliseconds(2));
  CHECK(counts.size() == 1);
  CHECK(counts.contains(ServerName(1)));
}

TEST_CASE("The entry's own requests count once when a report has them too")
{
  BackendTable table = MakeTable(2);
  for (int sent = 0; sent < 8; ++sent) {
    table.OnSent(ServerName(0), 200, 0);
  }
  table.OnLoadReport(ServerName(0), MakeReport(8, 8), kStart);
  CHECK(table.Find(ServerName(0))->Load() == Approx(0.8));
}

TEST_CASE("An overloaded server that stops reporting does not count as idle")
{
  // If an old report decayed to zero load, every entry would send to the one
  // server that is too overloaded to report.
  BackendTable table = MakeTable(3);
  table.OnLoadReport(ServerName(0), MakeReport(100), kStart);
  const TimePoint later = kStart + seconds(60);
  table.OnLoadReport(ServerName(1), MakeReport(2), later);
  table.OnLoadReport(ServerName(2), MakeReport(2), later);
  LeastLoadedChooser chooser;
  const auto counts = CountChoices(table, chooser, {}, later);
  CHECK_FALSE(counts.contains(ServerName(0)));
}

TEST_CASE("A queue without a token estimate does not count as empty")
{
  // If a queue without a token estimate counted as taking no time, a server
  // with a slightly faster step would get all requests while the others are
  // idle.
  BackendTable table = MakeTable(2);
  for (int sent = 0; sent < 50; ++sent) {
    table.OnSent(ServerName(0), 200, 0);
  }
  LoadReport overloaded = MakeReport(10, 50);
  overloaded.queued = 40;
  overloaded.queuedByTier = { 40 };
  overloaded.stepMicros = 2000;
  table.OnLoadReport(ServerName(0), overloaded, kStart);
  table.OnLoadReport(ServerName(1), MakeReport(0), kStart);
  LeastLoadedChooser chooser;
  CHECK_FALSE(CountChoices(table, chooser, {}, kStart).contains(ServerName(0)));
}

TEST_CASE("A cached prefix wins while its queue costs less than the prefill")
{
  BackendTable table = MakeTable(4);
  for (std::size_t index = 0; index < 4; ++index) {
    table.OnLoadReport(ServerName(index), MakeReport(0), kStart);
  }
  table.Prefixes().OnRouted(7, ServerName(2), kStart);
  LeastLoadedChooser chooser;
  const ChoiceRequest request{ .promptTokens = 4000, .prefixHash = 7 };
  CHECK(CountChoices(table, chooser, request, kStart).size() == 1);
  CHECK(CountChoices(table, chooser, request, kStart).contains(ServerName(2)));
  for (int sent = 0; sent < 30; ++sent) {
    table.OnSent(ServerName(2), 200, 0);
  }
  CHECK_FALSE(
    CountChoices(table, chooser, request, kStart).contains(ServerName(2)));
}

TEST_CASE(
  "A sidecar refuses early only without a free slot and if still allowed")
{
  CHECK(ShouldRefuseEarly(MakeReport(10), 1));
  CHECK_FALSE(ShouldRefuseEarly(MakeReport(9), 1));
  CHECK_FALSE(ShouldRefuseEarly(MakeReport(10), 0));
}

TEST_CASE("ExpectedDrain assumes one token per step and slot")
{
  LoadReport report = MakeReport(10);
  report.queuedTokens = 5000;
  CHECK(ExpectedDrain(report) == seconds(3));
  CHECK(ExpectedDrain({}) == Duration{ 0 });
}

TEST_CASE("No early refusals are allowed when all servers are full")
{
  // In an overload every sidecar would refuse: allowing two refusals would
  // treble the messages without finding a free slot.
  BackendTable table = MakeTable(4);
  CHECK(AllowedRefusals(table) == kMaxEarlyRefusals);
  for (std::size_t index = 0; index < 4; ++index) {
    table.OnLoadReport(ServerName(index), MakeReport(20), kStart);
  }
  CHECK(AllowedRefusals(table) == 0);
  CHECK(AllowedRefusals(MakeTable(1)) == 0);
  CHECK(AllowedRefusals(MakeTable(0)) == 0);
}

TEST_CASE("BackendTable counts stay right for any order of calls")
{
  // Reports and completions may arrive after a server was removed, or twice.
  rc::prop("in flight equals sent minus ended; the mean is exact", [] {
    BackendTable table;
    std::map<InstanceName, std::uint32_t> inFlight;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 4)));
    for (const auto& [action, index] : steps) {
      const InstanceName name = ServerName(static_cast<std::size_t>(index));
      const bool known = table.Find(name) != nullptr;
      if (action == 0) {
        table.Upsert(name, DataCentreName("a"));
      } else if (action == 1) {
        table.Remove(name);
        inFlight.erase(name);
      } else if (action == 2) {
        table.OnSent(name, 10, 1);
        inFlight[name] += known ? 1 : 0;
      } else if (action == 3) {
        table.OnEnded(
          name, 10, 1, SendResult::Completed, Duration{ 5 }, kStart);
        inFlight[name] -= known && inFlight[name] > 0 ? 1 : 0;
      } else {
        table.OnLoadReport(name, MakeReport(5), kStart);
      }
    }
    for (const Backend& backend : table.All()) {
      RC_ASSERT(backend.inFlight == inFlight[backend.name]);
      RC_ASSERT(backend.inFlightTokens == 10 * backend.inFlight);
      RC_ASSERT(table.Find(backend.name) == &backend);
    }
    const double mean = table.MeanOthersPerSlot();
    RC_ASSERT(mean == 0.0 || std::abs(mean - 0.5) < 1e-9);
  });
}
