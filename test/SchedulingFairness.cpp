#include <array>
#include <cmath>
#include <deque>
#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "test/SchedulingSupport.h"

using namespace dogwoodvale;
using namespace dogwoodvale::testing;

namespace {

constexpr std::uint32_t kLongestPrompt = 1000;
constexpr std::uint32_t kLongestAnswer = 600;
constexpr std::size_t kRunning = 4;

/// How far apart two that always wait may be: one charge, and twice what the
/// estimates of the running ones can be off by.
constexpr double kServedBound =
  kLongestPrompt + RequestQueue::kOutputTokenCost * kLongestAnswer +
  2 * RequestQueue::kOutputTokenCost * kLongestAnswer * kRunning;

struct Party
{
  const char* className;
  const char* customer;
  double classWeight;
  double customerWeight;
  std::uint32_t longestPrompt;
  std::uint32_t longestAnswer;
  /// Answers are all short for a while, then all long, and so on.
  bool changing = false;
};

/// A server with a few slots and parties that always have something waiting.
class Backlog
{
public:
  explicit Backlog(const std::vector<Party>& aParties)
    : parties(aParties)
    , served(aParties.size(), 0)
    , queue(MakeQueue(kRoomy))
  {
    for (std::size_t index = 0; index < aParties.size(); ++index) {
      this->Refill(index);
      this->Refill(index);
    }
  }

  /// Starts one, and ends the one that runs longest when all slots are taken.
  void StartOne()
  {
    const auto started = this->queue.Dequeue(kStart);
    const std::size_t party = this->owners.at(started->id.sequence);
    const std::uint32_t answer = this->DrawAnswer(this->parties.at(party));
    this->served.at(party) +=
      (started->promptTokens + RequestQueue::kOutputTokenCost * answer) /
      (this->parties.at(party).classWeight *
       this->parties.at(party).customerWeight);
    this->running.push_back({ party, answer });
    if (this->running.size() > kRunning - 1) {
      const auto [ended, tokens] = this->running.front();
      this->running.pop_front();
      this->queue.OnFinished(ClassName(this->parties.at(ended).className),
                             CustomerName(this->parties.at(ended).customer),
                             tokens);
    }
    this->Refill(party);
  }

  double Served(std::size_t aParty) const { return this->served.at(aParty); }

private:
  std::uint32_t DrawAnswer(const Party& aParty)
  {
    const std::uint64_t phase = 100;
    if (aParty.changing) {
      return this->sequence / phase % 2 == 0 ? 1 : aParty.longestAnswer;
    }
    return *rc::gen::inRange<std::uint32_t>(1, aParty.longestAnswer + 1);
  }

  void Refill(std::size_t aParty)
  {
    const Party& party = this->parties.at(aParty);
    QueuedRequest request =
      MakeRequest(++this->sequence, 1, party.className, party.customer);
    request.classWeight = party.classWeight;
    request.customerWeight = party.customerWeight;
    request.promptTokens =
      *rc::gen::inRange<std::uint32_t>(1, party.longestPrompt + 1);
    request.maxTokens = party.longestAnswer;
    this->owners.emplace(request.id.sequence, aParty);
    this->queue.Enqueue(request, kStart);
  }

  std::vector<Party> parties;
  std::vector<double> served;
  std::map<std::uint64_t, std::size_t> owners;
  std::deque<std::pair<std::size_t, std::uint32_t>> running;
  RequestQueue queue;
  std::uint64_t sequence = 0;
};

/// Runs \p aStarts starts and checks the two parties after each.
void
CheckServedAlike(const std::vector<Party>& aParties)
{
  Backlog backlog(aParties);
  const double least =
    std::min(aParties[0].classWeight * aParties[0].customerWeight,
             aParties[1].classWeight * aParties[1].customerWeight);
  const int starts = 400;
  for (int start = 0; start < starts; ++start) {
    backlog.StartOne();
    RC_ASSERT(std::abs(backlog.Served(0) - backlog.Served(1)) <=
              kServedBound / least);
  }
}

} // namespace

// A customer with long prompts and answers takes most of the server although
// it has as many requests waiting as the other: a count of requests would give
// each every second start. Lengths are known only at the end.
TEST_CASE("two backlogged customers are served alike by tokens")
{
  rc::prop("large and small requests", [] {
    CheckServedAlike(
      { { "review", "large", 1, 1, kLongestPrompt, kLongestAnswer },
        { "review", "small", 1, 1, 50, 40 } });
  });
  rc::prop("lengths that change faster than they are learned", [] {
    CheckServedAlike({ { "review", "changing", 1, 1, 50, kLongestAnswer, true },
                       { "review", "small", 1, 1, 50, 40 } });
  });
  rc::prop("by customer weight", [] {
    CheckServedAlike(
      { { "review", "heavy", 1, 3, kLongestPrompt, kLongestAnswer },
        { "review", "light", 1, 1, kLongestPrompt, 40 } });
  });
}

TEST_CASE("two backlogged classes are served alike by tokens")
{
  rc::prop("by class weight", [] {
    CheckServedAlike({ { "review", "a", 2, 1, kLongestPrompt, kLongestAnswer },
                       { "applicant", "a", 1, 1, 50, 40 } });
  });
}

// One customer idles while the other works, then comes back. Were its counter
// left behind, it would have the server to itself until it had caught up, and
// the other's callers would see their waits grow by that much.
TEST_CASE("idling earns no claim")
{
  RequestQueue queue = MakeQueue(kRoomy);
  std::uint64_t sequence = 0;
  const auto add = [&](const char* aCustomer) {
    queue.Enqueue(MakeRequest(++sequence, 1, "desk", aCustomer), kStart);
  };
  const int alone = 1000;
  add("steady");
  for (int start = 0; start < alone; ++start) {
    add("steady");
    queue.Dequeue(kStart);
  }
  const int together = 20;
  int steady = 0;
  for (int start = 0; start < together; ++start) {
    add("steady");
    add("idle");
    steady += queue.Dequeue(kStart)->customer.Value() == "steady" ? 1 : 0;
  }
  REQUIRE(steady >= together / 2 - 1);
}

// A burst of one class (then of one customer) fills the queue. The others'
// callers must neither be told "queue full" nor wait behind the burst.
TEST_CASE("a burst sheds and delays only its own")
{
  const std::uint32_t classBound = GENERATE(50U, 100000U);
  RequestQueue queue = MakeQueue({ 10000, 1000, 0.1 });
  const char* burstClass = GENERATE("applicant", "desk");
  const char* burstCustomer = "large";
  std::uint64_t sequence = 0;
  int refused = 0;
  const int burst = 3000;
  for (int arrival = 0; arrival < burst; ++arrival) {
    QueuedRequest request =
      MakeRequest(++sequence, 1, burstClass, burstCustomer);
    request.classQueueBound = classBound;
    refused +=
      queue.Enqueue(request, kStart).verdict != EnqueueVerdict::Queued ? 1 : 0;
  }
  REQUIRE(refused > 0);
  const int others = 8;
  for (int arrival = 0; arrival < others; ++arrival) {
    QueuedRequest request = MakeRequest(++sequence, 1, "desk", "small");
    request.classQueueBound = classBound;
    REQUIRE(queue.Enqueue(request, kStart).verdict == EnqueueVerdict::Queued);
  }
  int smallStarts = 0;
  for (int start = 0; start < 2 * others; ++start) {
    smallStarts += queue.Dequeue(kStart)->customer.Value() == "small" ? 1 : 0;
  }
  REQUIRE(smallStarts >= others - 1);
}

// A higher tier's newcomer arrives when lower tiers fill the memory.
TEST_CASE("memory is taken from the lowest tier, from who holds most")
{
  RequestQueue queue = MakeQueue({ 100, 100, 0.1 });
  QueuedRequest modest = MakeRequest(1, 3, "note", "modest");
  QueuedRequest middle = MakeRequest(2, 2, "review", "a");
  queue.Enqueue(modest, kStart);
  queue.Enqueue(middle, kStart);
  for (const std::uint64_t sequence : { 3, 4, 5 }) {
    QueuedRequest hog = MakeRequest(sequence, 3, "note", "hog");
    hog.enqueued = kStart + milliseconds(sequence);
    hog.bytes = 20;
    REQUIRE(queue.Enqueue(hog, kStart).verdict == EnqueueVerdict::Queued);
  }
  QueuedRequest teller = MakeRequest(6, 0, "teller", "a");
  teller.bytes = 50;
  const EnqueueResult result = queue.Enqueue(teller, kStart);
  REQUIRE(result.verdict == EnqueueVerdict::Queued);
  // The newest of the one that holds most goes first.
  REQUIRE(result.evicted == std::vector<RequestId>{ { 1, 5 }, { 1, 4 } });
}

TEST_CASE("customers that left are forgotten in the end")
{
  RequestQueue queue = MakeQueue(kRoomy);
  const int customers = 20000;
  for (int customer = 1; customer <= customers; ++customer) {
    const std::string name = std::to_string(customer);
    queue.Enqueue(
      MakeRequest(
        static_cast<std::uint64_t>(customer), 1, name.c_str(), name.c_str()),
      kStart);
    const auto started = queue.Dequeue(kStart);
    queue.OnFinished(started->className, started->customer, 0);
  }
  REQUIRE(queue.RememberedCustomers() < 5000);
  REQUIRE(queue.Lengths().Size() < 5000);
}
