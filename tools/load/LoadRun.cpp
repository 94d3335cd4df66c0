#include "tools/load/LoadRun.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "tools/load/Answer.h"
#include "tools/load/Prompt.h"

namespace dogwoodvale::load {

namespace {

/// A refusal that names no time to come back waits this long, doubled with
/// each attempt.
constexpr double kDefaultRetryMs = 100;
constexpr double kLongestRetryMs = 5000;

Duration
FromMs(double aMs)
{
  return Duration(std::llround(aMs * 1000));
}

std::optional<double>
ParseRetryAfterMs(std::string_view aSeconds)
{
  int whole = 0;
  const auto [end, error] =
    std::from_chars(aSeconds.data(), aSeconds.data() + aSeconds.size(), whole);
  if (aSeconds.empty() || error != std::errc()) {
    return std::nullopt;
  }
  return whole * 1000.0;
}

HttpRequest
MakeRequest(const ClassPlan& aClass,
            const CustomerPlan& aCustomer,
            const Arrival& aArrival,
            const Call& aCall)
{
  RequestText text = RenderRequest(aClass, aArrival, aCall);
  HttpRequest made;
  made.method = aClass.method;
  made.path = std::move(text.path);
  made.body = std::move(text.body);
  made.headers = { { "Authorization", "Bearer " + aCustomer.apiKey },
                   { "X-Dogwoodvale-Class", aClass.name } };
  if (!made.body.empty()) {
    made.headers.emplace_back("Content-Type", "application/json");
  }
  if (!aCall.key.empty()) {
    made.headers.emplace_back("Idempotency-Key", aCall.key);
  }
  return made;
}

} // namespace

double
ToMs(TimePoint aTime)
{
  return std::chrono::duration<double, std::milli>(aTime.time_since_epoch())
    .count();
}

/// One request under way.
class LoadRun::ActiveCall : public AnswerSink
{
public:
  ActiveCall(LoadRun& aRun, const Arrival& aArrival, Call aCall)
    : run(aRun)
    , arrival(aArrival)
    , record(std::move(aCall))
    , answer(this->record, this->Plan().stream)
    , request(MakeRequest(this->Plan(),
                          aRun.plan.customers[aArrival.customerIndex],
                          aArrival,
                          this->record))
    , abandonTimer(aRun.loop, [this] { this->Abandon(Ending::Abandoned); })
  {
    if (aArrival.abandons) {
      this->abandonTimer.StartOnce(FromMs(this->Plan().abandon.afterMs));
    }
  }

  const ClassPlan& Plan() const
  {
    return this->run.plan.classes[this->arrival.classIndex];
  }
  const Arrival& From() const { return this->arrival; }
  const Call& Record() const { return this->record; }

  void Send()
  {
    const SocketAddress& target = this->run.balancer.Choose();
    this->record.target = target.ToString();
    this->record.sentMs = ToMs(Now());
    this->exchange = this->run.client.Send(target, this->request, *this);
  }

  /// The caller leaves: its connection is closed.
  void Abandon(Ending aEnding)
  {
    this->exchange.reset();
    this->abandonTimer.Stop();
    this->record.ending = aEnding;
    this->record.endedMs = ToMs(Now());
    this->run.Finish(*this);
  }

  void OnHead(const AnswerHead& aHead) override
  {
    this->record.requestId = aHead.requestId;
    this->record.retryAfterMs = ParseRetryAfterMs(aHead.retryAfter);
    this->answer.Begin(aHead.status, aHead.contentType);
  }

  void OnBody(std::string_view aBytes) override
  {
    this->answer.Take(aBytes, ToMs(Now()));
  }

  void OnEnd(ExchangeEnd aEnd) override
  {
    ++this->tries;
    this->abandonTimer.Stop();
    if (aEnd == ExchangeEnd::NotConnected) {
      // Nothing was sent, so another target may have it, as behind a balancer.
      if (this->tries < this->run.balancer.TargetCount()) {
        this->Send();
        return;
      }
      this->record.ending = Ending::Error;
      this->record.code = "unreachable";
      this->record.disposition = Disposition::NotRun;
      this->record.endedMs = ToMs(Now());
    } else {
      this->answer.End(aEnd == ExchangeEnd::Whole, ToMs(Now()));
    }
    this->run.Finish(*this);
  }

private:
  LoadRun& run;
  Arrival arrival;
  Call record;
  Answer answer;
  HttpRequest request;
  std::unique_ptr<Exchange> exchange;
  std::size_t tries = 0;
  Timer abandonTimer;
};

/// A refused caller that will come again.
struct LoadRun::Retry
{
  Arrival arrival;
  Call earlier;
  std::unique_ptr<Timer> timer;
};

LoadRun::LoadRun(EventLoop& aLoop,
                 const LoadPlan& aPlan,
                 const RunOptions& aOptions,
                 CallSink& aSink)
  : loop(aLoop)
  , plan(aPlan)
  , options(aOptions)
  , sink(aSink)
  , client(aLoop)
  , balancer(aLoop, this->client, aOptions.targets, aOptions.balancer)
  , arrivals(aPlan, aOptions.seed, aOptions.rateScale)
  , random(aOptions.seed)
  , arrivalTimer(aLoop, [this] { this->SendDue(); })
  , drainTimer(aLoop, [this] { this->GiveUp(); })
  , sweep(aLoop, [this] { this->ended.clear(); })
{
}

LoadRun::~LoadRun() = default;

void
LoadRun::Start()
{
  this->startedAt = Now();
  this->SendDue();
}

void
LoadRun::SendDue()
{
  const double endSeconds =
    std::chrono::duration<double>(this->options.duration).count();
  while (!this->arrivalsEnded) {
    if (!this->next) {
      this->next = this->arrivals.Next(endSeconds);
    }
    if (!this->next) {
      this->StopArrivals();
      return;
    }
    const Duration due(std::llround(this->next->atSeconds * 1e6));
    const Duration passed = Between(this->startedAt, Now());
    if (due > passed) {
      this->arrivalTimer.StartOnce(due - passed);
      return;
    }
    this->longestLagMs =
      std::max(this->longestLagMs, double((passed - due).count()) / 1000);
    const Arrival arrival = *this->next;
    this->next.reset();
    this->Begin(arrival, nullptr);
  }
}

void
LoadRun::Begin(const Arrival& aArrival, const Call* aEarlier)
{
  const ClassPlan& of = this->plan.classes[aArrival.classIndex];
  Call call;
  call.nonce =
    fmt::format("{}x{}", this->options.noncePrefix, this->nextNonce++);
  call.call = aEarlier != nullptr ? aEarlier->call : call.nonce;
  call.attempt = aEarlier != nullptr ? aEarlier->attempt + 1 : 1;
  call.className = of.name;
  call.customer = this->plan.customers[aArrival.customerIndex].name;
  call.tier = of.tier;
  call.kind = of.kind;
  call.idempotent = of.idempotent;
  call.key = aArrival.isKeyed ? "key-" + call.call : std::string();
  call.expectedTokens = aArrival.outputTokens;
  this->active.push_back(
    std::make_unique<ActiveCall>(*this, aArrival, std::move(call)));
  this->mostOpenCalls = std::max(this->mostOpenCalls, this->active.size());
  this->active.back()->Send();
}

void
LoadRun::Finish(ActiveCall& aCall)
{
  this->sink.OnCall(aCall.Record());
  this->PlanRetry(aCall);
  const auto mine =
    std::find_if(this->active.begin(),
                 this->active.end(),
                 [&](const auto& aEach) { return aEach.get() == &aCall; });
  // It is still on the stack; the sweep destroys it from the loop.
  this->ended.splice(this->ended.end(), this->active, mine);
  this->sweep.StartOnce(Duration(0));
  this->CheckDone();
}

void
LoadRun::PlanRetry(const ActiveCall& aCall)
{
  const Call& record = aCall.Record();
  if (record.disposition != Disposition::NotRun ||
      record.attempt > aCall.Plan().retry.maxRetries) {
    return;
  }
  const double backoff = std::min(
    kDefaultRetryMs * std::pow(2, record.attempt - 1), kLongestRetryMs);
  const double jitter =
    std::uniform_real_distribution<double>(1, 1.2)(this->random);
  const double wait = record.retryAfterMs.value_or(backoff) * jitter;
  auto retry = std::make_unique<Retry>();
  retry->arrival = aCall.From();
  retry->earlier = record;
  Retry* const raw = retry.get();
  retry->timer = std::make_unique<Timer>(this->loop, [this, raw] {
    const Retry due{ raw->arrival, raw->earlier, nullptr };
    this->retries.remove_if(
      [raw](const auto& aEach) { return aEach.get() == raw; });
    this->Begin(due.arrival, &due.earlier);
  });
  retry->timer->StartOnce(FromMs(wait));
  this->retries.push_back(std::move(retry));
}

void
LoadRun::StopArrivals()
{
  if (this->arrivalsEnded) {
    return;
  }
  this->arrivalsEnded = true;
  this->arrivalTimer.Stop();
  this->drainTimer.StartOnce(this->options.drain);
  this->CheckDone();
}

void
LoadRun::GiveUp()
{
  this->retries.clear();
  while (!this->active.empty()) {
    this->active.front()->Abandon(Ending::Unanswered);
  }
  this->CheckDone();
}

void
LoadRun::CheckDone()
{
  this->isDone =
    this->arrivalsEnded && this->active.empty() && this->retries.empty();
}

} // namespace dogwoodvale::load
