#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "test/SchedulingSupport.h"

using namespace dogwoodvale;
using namespace dogwoodvale::testing;

namespace {

/// Reference model of the queue; every check scans all requests.
class QueueModel
{
public:
  explicit QueueModel(const QueueBounds& aBounds)
    : bounds(aBounds)
  {
  }

  EnqueueVerdict VerdictFor(const QueuedRequest& aRequest) const
  {
    Sums all;
    Sums ofClass;
    Sums ofCustomer;
    for (const auto& [id, other] : this->waiting) {
      const bool sameClass = other.className == aRequest.className;
      all.Add(other, other.tier <= aRequest.tier);
      ofClass.Add(other, sameClass);
      ofCustomer.Add(other, sameClass && other.customer == aRequest.customer);
    }
    const double share = RequestQueue::kSharingFactor;
    const double leftOfBound = aRequest.classQueueBound - ofClass.count;
    if (leftOfBound < 1 || ofCustomer.count + 1 > share * leftOfBound) {
      return EnqueueVerdict::RefusedClassBound;
    }
    const auto fits =
      [share](double aLeft, double aClass, double aCustomer, double aMore) {
        const double leftToClass = share * aLeft - aClass;
        return aMore <= aLeft && aMore <= leftToClass &&
               aCustomer + aMore <= share * leftToClass;
      };
    const bool room = fits(
      this->bounds.requests - all.count, ofClass.count, ofCustomer.count, 1);
    const bool memory =
      fits(static_cast<double>(this->bounds.bytes) - all.bytes,
           ofClass.bytes,
           ofCustomer.bytes,
           static_cast<double>(aRequest.bytes));
    return room && memory ? EnqueueVerdict::Queued
                          : EnqueueVerdict::RefusedMemory;
  }

  template<class Predicate>
  std::uint64_t CountIf(Predicate aPredicate) const
  {
    return static_cast<std::uint64_t>(std::count_if(
      this->waiting.begin(), this->waiting.end(), [&](const auto& aEntry) {
        return aPredicate(aEntry.second);
      }));
  }

  std::map<RequestId, QueuedRequest> waiting;
  QueueBounds bounds;

private:
  struct Sums
  {
    double count = 0;
    double bytes = 0;

    void Add(const QueuedRequest& aRequest, bool aCounts)
    {
      this->count += aCounts ? 1 : 0;
      this->bytes += aCounts ? static_cast<double>(aRequest.bytes) : 0;
    }
  };
};

/// Checks the starvation bound that RequestQueue documents.
class StarvationChecker
{
public:
  /// Records the overdue requests and their peers before a dequeue at \p aNow.
  void RecordDequeue(const std::map<RequestId, QueuedRequest>& aWaiting,
                     TimePoint aNow)
  {
    std::map<ClassName, std::set<CustomerName>> overdue;
    for (const auto& [id, request] : aWaiting) {
      if (IsOverdue(request, aNow)) {
        overdue[request.className].insert(request.customer);
      }
    }
    for (const auto& [id, request] : aWaiting) {
      if (!IsOverdue(request, aNow)) {
        continue;
      }
      Peers& peers = this->overduePeers[id];
      ++peers.dequeues;
      peers.classes = std::max(peers.classes, overdue.size());
      peers.customers =
        std::max(peers.customers, overdue.at(request.className).size());
      peers.rank = std::max(peers.rank, RankByAge(aWaiting, request));
    }
  }

  /// Whether the number of dequeues since the request became overdue is within
  /// the bound.
  bool IsWithinBound(const RequestId& aId, double aShare) const
  {
    const auto found = this->overduePeers.find(aId);
    if (found == this->overduePeers.end()) {
      return true;
    }
    const Peers& peers = found->second;
    return peers.dequeues <= static_cast<std::uint64_t>(std::ceil(1 / aShare)) *
                               peers.classes * peers.customers * peers.rank;
  }

  static bool IsOverdue(const QueuedRequest& aRequest, TimePoint aNow)
  {
    return aRequest.enqueued + aRequest.maxWait <= aNow;
  }

private:
  /// Dequeues since a request became overdue, and the largest numbers of
  /// overdue classes, of overdue customers of its class and its largest rank by
  /// age.
  struct Peers
  {
    std::uint64_t dequeues = 0;
    std::size_t classes = 0;
    std::size_t customers = 0;
    std::size_t rank = 0;
  };

  static std::size_t RankByAge(
    const std::map<RequestId, QueuedRequest>& aWaiting,
    const QueuedRequest& aRequest)
  {
    std::size_t rank = 0;
    for (const auto& [id, other] : aWaiting) {
      rank +=
        other.className == aRequest.className &&
        other.customer == aRequest.customer &&
        other.enqueued + other.maxWait <= aRequest.enqueued + aRequest.maxWait;
    }
    return rank;
  }

  std::map<RequestId, Peers> overduePeers;
};

constexpr std::array<const char*, 5> kClassNames{ "teller",
                                                  "desk",
                                                  "review",
                                                  "applicant",
                                                  "note" };
constexpr std::array<Tier, 5> kClassTiers{ 0, 1, 1, 2, 4 };
constexpr std::array<const char*, 3> kCustomerNames{ "a", "b", "c" };

/// A queue and its reference model; every call checks the documented
/// guarantees.
class CheckedQueue
{
public:
  explicit CheckedQueue(const QueueBounds& aBounds)
    : model(aBounds)
    , queue(MakeQueue(aBounds))
  {
  }

  void Enqueue(std::size_t aClass, std::size_t aCustomer, std::uint64_t aBytes)
  {
    QueuedRequest request = MakeRequest(++this->sequence,
                                        kClassTiers.at(aClass),
                                        kClassNames.at(aClass),
                                        kCustomerNames.at(aCustomer),
                                        this->now);
    request.maxWait = milliseconds(20 + 10 * aClass);
    request.target = this->now + milliseconds(5 + 7 * (aBytes % 5));
    request.bytes = aBytes;
    request.maxTokens = 50;
    request.classQueueBound = 12;
    const EnqueueVerdict expected = this->model.VerdictFor(request);
    const EnqueueResult result = this->queue.Enqueue(request, this->now);
    RC_ASSERT(result.verdict == expected);
    if (result.verdict == EnqueueVerdict::Queued) {
      this->model.waiting.emplace(request.id, request);
    }
    this->CheckEvicted(request, result);
    this->CheckSizes();
  }

  void Dequeue()
  {
    const auto& waiting = this->model.waiting;
    this->starvation.RecordDequeue(waiting, this->now);
    const QueuedRequest* peeked = this->queue.Peek(this->now);
    const std::optional<RequestId> next =
      peeked == nullptr ? std::nullopt : std::optional(peeked->id);
    const auto started = this->queue.Dequeue(this->now);
    RC_ASSERT(started.has_value() == !waiting.empty());
    if (!started) {
      return;
    }
    ++this->dequeues;
    RC_ASSERT(next == started->id);
    RC_ASSERT(waiting.contains(started->id));
    this->CheckOrder(*started);
    for (const auto& [id, request] : waiting) {
      RC_ASSERT(
        this->starvation.IsWithinBound(id, this->model.bounds.overdueShare));
    }
    this->model.waiting.erase(started->id);
    this->queue.OnFinished(
      started->className, started->customer, this->sequence % 50);
    this->CheckSizes();
  }

  void Remove(std::size_t aPick)
  {
    auto& waiting = this->model.waiting;
    const RequestId id{ 1, this->sequence == 0 ? 0 : aPick % this->sequence };
    RC_ASSERT(this->queue.Remove(id) == (waiting.erase(id) == 1));
    this->CheckSizes();
  }

  void Advance(Duration aSpan) { this->now += aSpan; }

  void DrainAll()
  {
    std::vector<RequestId> expected;
    for (const auto& [id, request] : this->model.waiting) {
      expected.push_back(id);
    }
    RC_ASSERT(this->queue.DrainAll() == expected);
    this->model.waiting.clear();
    this->CheckSizes();
  }

  const QueueModel& Model() const { return this->model; }

private:
  void CheckEvicted(const QueuedRequest& aArrival, const EnqueueResult& aResult)
  {
    RC_ASSERT(aResult.evicted.empty() ||
              aResult.verdict == EnqueueVerdict::Queued);
    for (const RequestId& id : aResult.evicted) {
      const auto victim = this->model.waiting.find(id);
      RC_ASSERT(victim != this->model.waiting.end());
      const Tier tier = victim->second.tier;
      RC_ASSERT(tier > aArrival.tier);
      this->model.waiting.erase(victim);
      // Lowest tier first: no request of a still lower tier is left.
      RC_ASSERT(this->model.CountIf(
                  [&](const auto& aOther) { return aOther.tier > tier; }) == 0);
    }
  }

  void CheckOrder(const QueuedRequest& aStarted)
  {
    const std::uint64_t above = this->model.CountIf(
      [&](const auto& aOther) { return aOther.tier < aStarted.tier; });
    if (above == 0) {
      return;
    }
    RC_ASSERT(aStarted.startedOverdue);
    RC_ASSERT(StarvationChecker::IsOverdue(aStarted, this->now));
    ++this->displacing;
    RC_ASSERT(static_cast<double>(this->displacing) <=
              1 + this->model.bounds.overdueShare *
                    static_cast<double>(this->dequeues));
  }

  void CheckSizes() const
  {
    const auto& waiting = this->model.waiting;
    std::uint64_t bytes = 0;
    for (const auto& [id, request] : waiting) {
      bytes += request.bytes;
    }
    RC_ASSERT(this->queue.Size() == waiting.size());
    RC_ASSERT(this->queue.Bytes() == bytes);
    RC_ASSERT(bytes <= this->model.bounds.bytes);
    RC_ASSERT(waiting.size() <= this->model.bounds.requests);
    for (const char* name : kClassNames) {
      const ClassName className(name);
      Duration oldest{ 0 };
      for (const auto& [id, request] : waiting) {
        if (request.className == className) {
          oldest = std::max(oldest, Between(request.enqueued, this->now));
        }
      }
      RC_ASSERT(this->queue.SizeOfClass(className) ==
                this->model.CountIf([&](const auto& aOther) {
                  return aOther.className == className;
                }));
      RC_ASSERT(this->queue.OldestWait(className, this->now) == oldest);
    }
  }

  QueueModel model;
  RequestQueue queue;
  StarvationChecker starvation;
  TimePoint now = kStart;
  std::uint64_t sequence = 0;
  std::uint64_t dequeues = 0;
  /// Starts ahead of a higher tier.
  std::uint64_t displacing = 0;
};

int
Draw(int aBelow)
{
  return *rc::gen::inRange(0, aBelow);
}

} // namespace

// Guards against refusing a request while lower tiers hold the room, losing or
// starting a request twice, and starting lower tiers ahead of higher ones
// beyond the overdue share. Random calls against a reference model, with limits
// tight enough that all of them apply.
TEST_CASE("the queue agrees with its reference model for any sequence of calls")
{
  rc::prop("random calls", [] {
    const double share = *rc::gen::element(0.1, 0.25, 0.3, 1.0);
    CheckedQueue checked({ 400, 20, share });
    const int calls = 200;
    for (int call = 0; call < calls; ++call) {
      const int kind = Draw(20);
      if (kind < 10) {
        checked.Enqueue(static_cast<std::size_t>(Draw(5)),
                        static_cast<std::size_t>(Draw(3)),
                        static_cast<std::uint64_t>(1 + Draw(60)));
      } else if (kind < 16) {
        checked.Dequeue();
      } else if (kind < 17) {
        checked.Remove(static_cast<std::size_t>(Draw(1000)));
      } else {
        checked.Advance(milliseconds(Draw(15)));
      }
    }
    checked.DrainAll();
  });
}

// A low tier would starve while higher tiers keep the server busy. An adversary
// refills the higher tiers before each start, with random classes and
// customers, in a queue with room for all. Every request must start within
// ceil(1/s)*C*F*k starts after it became overdue.
TEST_CASE("no class starves while higher tiers always have work")
{
  rc::prop("starvation bound", [] {
    const double share = *rc::gen::element(0.1, 0.25, 0.5);
    CheckedQueue checked({ 1U << 20U, 1000, share });
    for (int customer = 0; customer < 3; ++customer) {
      checked.Enqueue(3, static_cast<std::size_t>(customer), 1);
      checked.Enqueue(4, static_cast<std::size_t>(customer), 1);
    }
    checked.Advance(milliseconds(100));
    const int rounds = 250;
    for (int round = 0; round < rounds; ++round) {
      const int refill = Draw(3);
      for (int arrival = 0; arrival < refill; ++arrival) {
        checked.Enqueue(static_cast<std::size_t>(Draw(3)),
                        static_cast<std::size_t>(Draw(3)),
                        1);
      }
      // The top tier always has a queued request.
      checked.Enqueue(0, static_cast<std::size_t>(Draw(3)), 1);
      checked.Dequeue();
      checked.Advance(milliseconds(Draw(4)));
    }
    RC_ASSERT(checked.Model().CountIf(
                [](const auto& aOther) { return aOther.tier >= 2; }) == 0);
  });
}

TEST_CASE("unusable limits and unknown policies are rejected")
{
  REQUIRE_FALSE(RequestQueue::Create({ 0, 1, 0.1 }).ok());
  REQUIRE_FALSE(RequestQueue::Create({ 1, 0, 0.1 }).ok());
  REQUIRE_FALSE(RequestQueue::Create({ 1, 1, 0 }).ok());
  REQUIRE_FALSE(RequestQueue::Create({ 1, 1, 1.5 }).ok());
  REQUIRE_FALSE(ParseQueuePolicy("lifo").ok());
  for (const char* policy : { "tiered", "fifo", "strict" }) {
    const auto queue = CreateQueue(*ParseQueuePolicy(policy), kAmpleBounds);
    REQUIRE(queue.ok());
    REQUIRE(
      (*queue)->Enqueue(MakeRequest(1, 0, "teller", "a"), kStart).verdict ==
      EnqueueVerdict::Queued);
    REQUIRE((*queue)->Dequeue(kStart)->id == RequestId{ 1, 1 });
  }
}

TEST_CASE("an id that is already queued is refused")
{
  RequestQueue queue = MakeQueue(kAmpleBounds);
  queue.Enqueue(MakeRequest(1, 0, "teller", "a"), kStart);
  REQUIRE(queue.Enqueue(MakeRequest(1, 0, "teller", "a"), kStart).verdict ==
          EnqueueVerdict::RefusedClassBound);
  REQUIRE(queue.Size() == 1);
}

// A request that has already missed its target must not delay one that can
// still meet it. Requests arrive in another order than that of their targets,
// and the first is late when slots become free.
TEST_CASE("a customer's requests start by slack, late ones last")
{
  RequestQueue queue = MakeQueue(kAmpleBounds);
  const std::array<int, 4> targets{ 10, 400, 300, 200 };
  for (std::size_t index = 0; index < targets.size(); ++index) {
    QueuedRequest request = MakeRequest(index, 0, "teller", "a");
    request.target = kStart + milliseconds(targets.at(index));
    queue.Enqueue(request, kStart);
  }
  // Its long prompt needs 350 ms to the first token, so it has the least slack.
  QueuedRequest longPrompt = MakeRequest(4, 0, "teller", "a");
  longPrompt.target = kStart + milliseconds(500);
  longPrompt.expectedFirstToken = milliseconds(350);
  queue.Enqueue(longPrompt, kStart);
  for (const std::uint64_t expected : { 4, 3, 2, 1, 0 }) {
    REQUIRE(queue.Dequeue(kStart + milliseconds(20))->id.sequence == expected);
  }
}

// A late request would wait for as long as its customer sends requests that can
// meet their target. Once it is overdue, it must get the next slot.
TEST_CASE("a late request starts when it becomes overdue")
{
  RequestQueue queue = MakeQueue(kAmpleBounds);
  QueuedRequest late = MakeRequest(0, 0, "teller", "a");
  late.target = kStart;
  late.maxWait = milliseconds(50);
  queue.Enqueue(late, kStart);
  TimePoint now = kStart;
  std::uint64_t sequence = 0;
  bool served = false;
  while (!served && now < kStart + seconds(1)) {
    now += milliseconds(10);
    QueuedRequest onTime = MakeRequest(++sequence, 0, "teller", "a", now);
    queue.Enqueue(onTime, now);
    served = queue.Dequeue(now)->id.sequence == 0;
  }
  REQUIRE(served);
  REQUIRE(Between(kStart, now) <= milliseconds(60));
}

// A preempted request returns when its class is at its bound. Refusing it would
// discard the tokens it has generated.
TEST_CASE("a resumed request is exempt from its class's bound")
{
  RequestQueue queue = MakeQueue(kAmpleBounds);
  QueuedRequest first = MakeRequest(1, 0, "note", "a");
  first.classQueueBound = 1;
  queue.Enqueue(first, kStart);
  QueuedRequest second = MakeRequest(2, 0, "note", "a");
  second.classQueueBound = 1;
  REQUIRE(queue.Enqueue(second, kStart).verdict ==
          EnqueueVerdict::RefusedClassBound);
  second.resumed = true;
  REQUIRE(queue.Enqueue(second, kStart).verdict == EnqueueVerdict::Queued);
  // The class is now beyond its bound; new requests are still refused.
  QueuedRequest third = MakeRequest(3, 0, "note", "a");
  third.classQueueBound = 1;
  REQUIRE(queue.Enqueue(third, kStart).verdict ==
          EnqueueVerdict::RefusedClassBound);
}

// Guards against decisions that depend on hash map iteration order or
// addresses: a replayed sequence of calls must give the same decisions.
TEST_CASE("equal sequences of calls give equal decisions")
{
  const auto run = [] {
    RequestQueue queue = MakeQueue({ 4000, 200, 0.1 });
    std::vector<RequestId> order;
    TimePoint now = kStart;
    for (std::uint64_t step = 1; step <= 2000; ++step) {
      const std::size_t pick = step * 7919 % 5;
      QueuedRequest request = MakeRequest(step,
                                          kClassTiers.at(pick),
                                          kClassNames.at(pick),
                                          kCustomerNames.at(step * 31 % 3),
                                          now);
      request.maxWait = milliseconds(30);
      for (const RequestId& id : queue.Enqueue(request, now).evicted) {
        order.push_back(id);
      }
      if (step % 3 != 0) {
        order.push_back(queue.Dequeue(now)->id);
      }
      now += milliseconds(1);
    }
    return order;
  };
  REQUIRE(run() == run());
}
