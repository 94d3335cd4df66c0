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
CustomerOf(std::uint64_t aNumber)
{
  return CustomerName(fmt::format("c{}", aNumber));
}

} // namespace

// A customer is billed for usage it did not have, since its counts arrived
// twice, out of order or through a third process. A lost update shows as a sum
// below the source's total.
TEST_CASE("counts are correct for any order and duplication of updates",
          "[usage]")
{
  CHECK(rc::check([] {
    UsageLedger sender(Source("a"));
    UsageLedger receiver(Source("b"));
    UsageCounts truth;
    std::vector<std::vector<UsageUpdate>> sent;
    const auto requests = *rc::gen::inRange(1, 60);
    for (int i = 0; i < requests; ++i) {
      const CustomerName customer =
        CustomerOf(*rc::gen::inRange<std::uint64_t>(0, 5));
      sender.Count(kWindow, customer);
      ++truth[customer];
      if (*rc::gen::inRange(0, 3) == 0) {
        sent.push_back(sender.OutgoingUpdates());
      }
    }
    for (const auto& update : sent) {
      const auto duplicates = *rc::gen::inRange(0, 3);
      for (int i = 0; i < duplicates; ++i) {
        receiver.OnUpdate(Source("a"), update);
      }
    }
    RC_ASSERT(!receiver.IsComplete(kWindow) ||
              receiver.CountsOf(kWindow) == truth ||
              receiver.CountsOf(kWindow).size() <= truth.size());
    for (const auto& [source, update] : sender.All()) {
      receiver.OnUpdate(source, update);
    }
    RC_ASSERT(receiver.IsComplete(kWindow));
    RC_ASSERT(receiver.CountsOf(kWindow) == truth);
  }));
}

TEST_CASE("a lost update is detected from its source's total", "[usage]")
{
  UsageLedger sender(Source("a"));
  UsageLedger receiver(Source("b"));
  sender.Count(kWindow, CustomerOf(1));
  for (int i = 0; i < UsageLedger::kTransmissions; ++i) {
    static_cast<void>(sender.OutgoingUpdates());
  }
  const std::vector<UsageUpdate> bare = sender.OutgoingUpdates();
  REQUIRE(bare.size() == 1);
  CHECK(bare[0].counts.empty());
  receiver.OnUpdate(Source("a"), bare);
  CHECK_FALSE(receiver.IsComplete(kWindow));
}

// A gateway is killed and restarted: the counts of its previous incarnation are
// a separate source, and updates about its current one are ignored.
TEST_CASE("each incarnation of a process is a separate source", "[usage]")
{
  UsageLedger again(Source("a", 2));
  again.Count(kWindow, CustomerOf(1));
  const std::vector<UsageUpdate> before{
    { kWindow, 5, { { CustomerOf(1), 5 } } }
  };
  again.OnUpdate(Source("a", 1), before);
  again.OnUpdate(Source("a", 2), before);
  CHECK(again.CountsOf(kWindow).at(CustomerOf(1)) == 6);
}

TEST_CASE("the size of updates and of the ledger is bounded", "[usage]")
{
  UsageLedger ledger(Source("a"));
  for (std::uint64_t i = 0; i < 2 * UsageLedger::kMaxCountsPerUpdate; ++i) {
    ledger.Count(kWindow, CustomerOf(i));
  }
  CHECK(ledger.OutgoingUpdates()[0].counts.size() ==
        UsageLedger::kMaxCountsPerUpdate);
  std::vector<UsageUpdate> many;
  for (WindowId window = 0; window < 100; ++window) {
    many.push_back({ window, 1, { { CustomerOf(1), 1 } } });
  }
  ledger.OnUpdate(Source("b"), many);
  CHECK(ledger.All()[Source("b")].size() == UsageLedger::kMaxWindows);
  ledger.DropBefore(kWindow + 1);
  CHECK(ledger.All().empty());
}

// A clock jumps by two seconds: without agreement that process's requests would
// be counted in another window and the report would be wrong.
TEST_CASE("the agreed time is the median of the clocks", "[usage]")
{
  TimeAgreement agreement;
  const milliseconds truth(1'790'000'000'000);
  const TimePoint now = At(seconds(5));
  for (int i = 0; i < 4; ++i) {
    agreement.OnClockSample(InstanceName(fmt::format("g{}", i)),
                            truth + milliseconds(i == 0 ? 2000 : i),
                            now);
  }
  CHECK(agreement.AgreedTime(truth - seconds(2), now) ==
        truth + milliseconds(2));
  const TimePoint later = now + seconds(1);
  CHECK(agreement.AgreedTime(truth + seconds(3), later) ==
        truth + milliseconds(1003));
  // Outdated samples are ignored.
  const TimePoint muchLater = now + seconds(60);
  CHECK(agreement.AgreedTime(truth + seconds(77), muchLater) ==
        truth + seconds(77));
}

// The holder crashes, and all other processes call the store at the same time,
// every second.
TEST_CASE("processes try to acquire a vacant duty one after the other",
          "[usage]")
{
  constexpr int kCount = 30;
  const auto name = [](int i) { return InstanceName(fmt::format("g{}", i)); };
  std::vector<DutyElection> all;
  for (int i = 0; i < kCount; ++i) {
    all.emplace_back(name(i), At({}));
  }
  const auto candidatesAt = [&](Duration aTime, std::optional<int> aHolder) {
    int candidates = 0;
    for (int i = 0; i < kCount; ++i) {
      for (int other = 0; other < kCount; ++other) {
        if (other != i && other != 7) {
          all[i].OnHeartbeat(name(other), other == aHolder, At(aTime));
        }
      }
      candidates += i != 7 && all[i].ShouldAcquire(At(aTime)) ? 1 : 0;
    }
    return candidates;
  };
  CHECK(candidatesAt(milliseconds(100), std::nullopt) == 0);
  CHECK(candidatesAt(milliseconds(700), std::nullopt) == 1);
  CHECK(candidatesAt(milliseconds(1100), std::nullopt) == 2);
  CHECK(candidatesAt(milliseconds(1200), 3) == 0);
  CHECK(candidatesAt(milliseconds(1300), std::nullopt) == 0);
  CHECK(candidatesAt(milliseconds(2000), std::nullopt) == 1);
  all[0].BackOffUntil(At(seconds(100)));
  CHECK_FALSE(all[0].ShouldAcquire(At(seconds(90))));
  // All other processes have timed out.
  CHECK(all[1].ShouldAcquire(At(seconds(90))));
}

TEST_CASE(
  "a usage document is read back unchanged, and malformed ones rejected",
  "[usage]")
{
  UsageDocument document;
  document.since = milliseconds(17);
  document.writtenAt = milliseconds(29);
  document.sources[Source("a", ~0ULL)] = {
    { kWindow, 3, { { CustomerOf(1), 3 } } }, { kWindow + 1, 0, {} }
  };
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
