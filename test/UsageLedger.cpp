#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "dogwoodvale/Gateway"

using namespace dogwoodvale;

namespace {

constexpr WindowId kWindow = 1000;

TimePoint
At(Duration aTime)
{
  return TimePoint{} + seconds(1000) + aTime;
}

UsageSource
Source(const std::string& aName, Incarnation aIncarnation = 1)
{
  return { InstanceName(aName), aIncarnation };
}

CustomerName
Payer(std::uint64_t aNumber)
{
  return CustomerName(fmt::format("c{}", aNumber));
}

} // namespace

// A customer is billed for what it did not use: its counts came twice, in
// another order, or by a third process. Whatever is lost of what a source tells
// shows as a sum below its total.
TEST_CASE("counts add up however they are told", "[usage]")
{
  CHECK(rc::check([] {
    UsageLedger teller(Source("a"));
    UsageLedger hearer(Source("b"));
    UsageCounts truth;
    std::vector<std::vector<UsageNews>> sent;
    const auto requests = *rc::gen::inRange(1, 60);
    for (int i = 0; i < requests; ++i) {
      const CustomerName customer =
        Payer(*rc::gen::inRange<std::uint64_t>(0, 5));
      teller.Count(kWindow, customer);
      ++truth[customer];
      if (*rc::gen::inRange(0, 3) == 0) {
        sent.push_back(teller.Tell());
      }
    }
    for (const auto& news : sent) {
      const auto copies = *rc::gen::inRange(0, 3);
      for (int i = 0; i < copies; ++i) {
        hearer.Hear(Source("a"), news);
      }
    }
    RC_ASSERT(!hearer.IsWhole(kWindow) || hearer.CountsOf(kWindow) == truth ||
              hearer.CountsOf(kWindow).size() <= truth.size());
    for (const auto& [source, news] : teller.All()) {
      hearer.Hear(source, news);
    }
    RC_ASSERT(hearer.IsWhole(kWindow));
    RC_ASSERT(hearer.CountsOf(kWindow) == truth);
  }));
}

TEST_CASE("a lost word is noticed by its source's total", "[usage]")
{
  UsageLedger teller(Source("a"));
  UsageLedger hearer(Source("b"));
  teller.Count(kWindow, Payer(1));
  for (int i = 0; i < UsageLedger::kTellings; ++i) {
    static_cast<void>(teller.Tell());
  }
  const std::vector<UsageNews> bare = teller.Tell();
  REQUIRE(bare.size() == 1);
  CHECK(bare[0].counts.empty());
  hearer.Hear(Source("a"), bare);
  CHECK_FALSE(hearer.IsWhole(kWindow));
}

// A gateway is killed and starts again: its counts of before are another
// source's, and what others say of its present ones changes nothing.
TEST_CASE("each lifetime of a process counts by itself", "[usage]")
{
  UsageLedger again(Source("a", 2));
  again.Count(kWindow, Payer(1));
  const std::vector<UsageNews> before{ { kWindow, 5, { { Payer(1), 5 } } } };
  again.Hear(Source("a", 1), before);
  again.Hear(Source("a", 2), before);
  CHECK(again.CountsOf(kWindow).at(Payer(1)) == 6);
}

TEST_CASE("what is told and kept is bounded", "[usage]")
{
  UsageLedger ledger(Source("a"));
  for (std::uint64_t i = 0; i < 2 * UsageLedger::kMostTold; ++i) {
    ledger.Count(kWindow, Payer(i));
  }
  CHECK(ledger.Tell()[0].counts.size() == UsageLedger::kMostTold);
  std::vector<UsageNews> many;
  for (WindowId window = 0; window < 100; ++window) {
    many.push_back({ window, 1, { { Payer(1), 1 } } });
  }
  ledger.Hear(Source("b"), many);
  CHECK(ledger.All()[Source("b")].size() == UsageLedger::kMostWindows);
  ledger.DropBefore(kWindow + 1);
  CHECK(ledger.All().empty());
}

// A clock that jumps by two seconds moves that process's requests into another
// window, and a report is off by them.
TEST_CASE("time is what most clocks show", "[usage]")
{
  TimeAgreement agreement;
  const milliseconds truth(1'790'000'000'000);
  const TimePoint now = At(seconds(5));
  for (int i = 0; i < 4; ++i) {
    agreement.OnHeard(InstanceName(fmt::format("g{}", i)),
                      truth + milliseconds(i == 0 ? 2000 : i),
                      now);
  }
  CHECK(agreement.TrueTime(truth - seconds(2), now) == truth + milliseconds(2));
  const TimePoint later = now + seconds(1);
  CHECK(agreement.TrueTime(truth + seconds(3), later) ==
        truth + milliseconds(1003));
  // Those that fell silent no longer count.
  const TimePoint muchLater = now + seconds(60);
  CHECK(agreement.TrueTime(truth + seconds(77), muchLater) ==
        truth + seconds(77));
}

// The holder dies and all other processes ask the store at once, each second.
TEST_CASE("processes stand for a duty one after the other", "[usage]")
{
  constexpr int kCount = 30;
  const auto name = [](int i) { return InstanceName(fmt::format("g{}", i)); };
  std::vector<DutyElection> all;
  for (int i = 0; i < kCount; ++i) {
    all.emplace_back(name(i), At({}));
  }
  const auto standingAt = [&](Duration aTime, std::optional<int> aHolder) {
    int standing = 0;
    for (int i = 0; i < kCount; ++i) {
      for (int other = 0; other < kCount; ++other) {
        if (other != i && other != 7) {
          all[i].OnHeard(name(other), other == aHolder, At(aTime));
        }
      }
      standing += i != 7 && all[i].ShouldStand(At(aTime)) ? 1 : 0;
    }
    return standing;
  };
  CHECK(standingAt(milliseconds(100), std::nullopt) == 0);
  CHECK(standingAt(milliseconds(700), std::nullopt) == 1);
  CHECK(standingAt(milliseconds(1100), std::nullopt) == 2);
  CHECK(standingAt(milliseconds(1200), 3) == 0);
  CHECK(standingAt(milliseconds(1300), std::nullopt) == 0);
  CHECK(standingAt(milliseconds(2000), std::nullopt) == 1);
  all[0].StandBack(At(seconds(100)));
  CHECK_FALSE(all[0].ShouldStand(At(seconds(90))));
  // Nobody else is left.
  CHECK(all[1].ShouldStand(At(seconds(90))));
}

TEST_CASE("a usage document comes through as it was, or not at all", "[usage]")
{
  UsageDocument document;
  document.since = milliseconds(17);
  document.writtenAt = milliseconds(29);
  document.sources[Source("a", ~0ULL)] = { { kWindow, 3, { { Payer(1), 3 } } },
                                           { kWindow + 1, 0, {} } };
  const auto read = ReadUsageDocument(WriteUsageDocument(document));
  REQUIRE(read.ok());
  CHECK(read->since == document.since);
  CHECK(read->writtenAt == document.writtenAt);
  CHECK(read->sources == document.sources);
  for (const char* wrong :
       { "7",
         R"({"since_ms":1,"written_ms":1,"lines":[7]})",
         R"({"since_ms":1,"written_ms":1,"lines":[{"process":"a",)"
         R"("incarnation":1,"window":1,"total":1,"counts":{"c":"x"}}]})" }) {
    CHECK_FALSE(ReadUsageDocument(wrong).ok());
  }
}
