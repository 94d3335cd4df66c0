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

/// Bound on the difference of tokens served between two backlogged parties of
/// weight 1: the largest charge of one request, plus twice the largest error of
/// the estimates of the running requests.
constexpr double kServedBound =
  kLongestPrompt + RequestQueue::kOutputTokenCost * kLongestAnswer +
  2 * RequestQueue::kOutputTokenCost * kLongestAnswer * kRunning;

/// One customer of one class, and the lengths of its requests in tokens.
struct Party
{
  const char* className;
  const char* customer;
  double classWeight;
  double customerWeight;
  std::uint32_t longestPrompt;
  std::uint32_t longestAnswer;
  /// Answers alternate between phases of all short and all long ones.
  bool alternating = false;
};

/// A server with a few slots, and parties that are continuously backlogged.
class BackloggedServer
{
public:
  explicit BackloggedServer(const std::vector<Party>& aParties)
    : parties(aParties)
    , served(aParties.size(), 0)
    , queue(MakeQueue(kAmpleBounds))
  {
    for (std::size_t index = 0; index < aParties.size(); ++index) {
      this->Refill(index);
      this->Refill(index);
    }
  }

  /// Starts a request; when all slots are taken, finishes the one started
  /// first.
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

  /// Tokens served to the party, divided by its weights.
  double Served(std::size_t aParty) const { return this->served.at(aParty); }

private:
  std::uint32_t DrawAnswer(const Party& aParty)
  {
    const std::uint64_t phase = 100;
    if (aParty.alternating) {
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

/// Starts 400 requests and checks the fairness bound between the two parties
/// after each.
void
CheckFairness(const std::vector<Party>& aParties)
{
  BackloggedServer server(aParties);
  const double minWeight =
    std::min(aParties[0].classWeight * aParties[0].customerWeight,
             aParties[1].classWeight * aParties[1].customerWeight);
  const int starts = 400;
  for (int start = 0; start < starts; ++start) {
    server.StartOne();
    RC_ASSERT(std::abs(server.Served(0) - server.Served(1)) <=
              kServedBound / minWeight);
  }
}

} // namespace

// Fairness by number of requests would give a customer with long prompts and
// answers most of the server's time. Answer lengths are known only at the end.
TEST_CASE("two backlogged customers get equal service by tokens")
{
  rc::prop("large and small requests", [] {
    CheckFairness({ { "review", "large", 1, 1, kLongestPrompt, kLongestAnswer },
                    { "review", "small", 1, 1, 50, 40 } });
  });
  rc::prop("lengths that change faster than the estimator adapts", [] {
    CheckFairness({ { "review", "alternating", 1, 1, 50, kLongestAnswer, true },
                    { "review", "small", 1, 1, 50, 40 } });
  });
  rc::prop("by customer weight", [] {
    CheckFairness({ { "review", "heavy", 1, 3, kLongestPrompt, kLongestAnswer },
                    { "review", "light", 1, 1, kLongestPrompt, 40 } });
  });
}

TEST_CASE("two backlogged classes get equal service by tokens")
{
  rc::prop("by class weight", [] {
    CheckFairness({ { "review", "a", 2, 1, kLongestPrompt, kLongestAnswer },
                    { "applicant", "a", 1, 1, 50, 40 } });
  });
}

// One customer is idle while the other is served, then returns. If its fairness
// counter were not raised, it would get every start until it had caught up, and
// the other customer's requests would wait that much longer.
TEST_CASE("an idle customer accumulates no credit")
{
  RequestQueue queue = MakeQueue(kAmpleBounds);
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

// A burst of another class, or of another customer of the class, fills the
// queue. Requests of the other customer must neither be refused nor wait behind
// it.
TEST_CASE("a burst causes refusals and delays only to its own customer")
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

// A request of a higher tier arrives when lower tiers fill the memory.
TEST_CASE("eviction takes from the lowest tier and its largest holder")
{
  RequestQueue queue = MakeQueue({ 100, 100, 0.1 });
  QueuedRequest smallest = MakeRequest(1, 3, "note", "smallest");
  QueuedRequest middle = MakeRequest(2, 2, "review", "a");
  queue.Enqueue(smallest, kStart);
  queue.Enqueue(middle, kStart);
  for (const std::uint64_t sequence : { 3, 4, 5 }) {
    QueuedRequest largest = MakeRequest(sequence, 3, "note", "largest");
    largest.enqueued = kStart + milliseconds(sequence);
    largest.bytes = 20;
    REQUIRE(queue.Enqueue(largest, kStart).verdict == EnqueueVerdict::Queued);
  }
  QueuedRequest teller = MakeRequest(6, 0, "teller", "a");
  teller.bytes = 50;
  const EnqueueResult result = queue.Enqueue(teller, kStart);
  REQUIRE(result.verdict == EnqueueVerdict::Queued);
  // The newest request of the customer that holds the most is evicted first.
  REQUIRE(result.evicted == std::vector<RequestId>{ { 1, 5 }, { 1, 4 } });
}

TEST_CASE("the state of idle customers is bounded")
{
  RequestQueue queue = MakeQueue(kAmpleBounds);
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
  REQUIRE(queue.TrackedFlows() < 5000);
  REQUIRE(queue.Lengths().Size() < 5000);
}
