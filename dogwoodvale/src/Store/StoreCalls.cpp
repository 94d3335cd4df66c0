#include "StoreCalls.h"

#include <utility>

#include "StoreJson.h"

namespace dogwoodvale::internal {

namespace {

/// Whether an error code means that the write took no effect and never will.
/// The store also sends 503 and 504 when its own write timed out half way.
bool
IsDefinitelyNotApplied(int aCode)
{
  return aCode >= 400 && aCode < 500;
}

} // namespace

absl::Status
StatusOfCode(const HttpAnswer& aAnswer)
{
  const std::string message = ErrorMessage(aAnswer.body);
  absl::StatusCode code = absl::StatusCode::kInternal;
  switch (aAnswer.code) {
    case 400:
      code = absl::StatusCode::kInvalidArgument;
      break;
    case 401:
    case 403:
      code = absl::StatusCode::kPermissionDenied;
      break;
    case 404:
      code = absl::StatusCode::kNotFound;
      break;
    case 429:
    case 502:
    case 503:
    case 504:
      code = absl::StatusCode::kUnavailable;
      break;
    default:
      break;
  }
  return MakeError(code, "the store answered {}: {}", aAnswer.code, message);
}

QueuedCall::QueuedCall(StoreCalls& aCalls, CallRequest aRequest, Done aDone)
  : calls(aCalls)
  , request(std::move(aRequest))
  , done(std::move(aDone))
  , backoff(aCalls.NewBackoff())
  , timer(aCalls.Loop(), [this] { this->calls.Enqueue(this); })
{
}

QueuedCall::~QueuedCall()
{
  this->calls.Remove(this);
}

void
QueuedCall::Send()
{
  ++this->attempts;
  this->calls.CountCall();
  HttpCall call;
  call.address = this->calls.Endpoint();
  call.method = "POST";
  call.path = this->request.path;
  call.body = this->request.body;
  call.timeout = this->calls.Options().timeout;
  this->exchange = HttpExchange::Start(
    this->calls.Loop(), call, [this](const HttpAnswer& aAnswer) {
      this->OnAnswer(aAnswer);
    });
}

void
QueuedCall::Fail(const absl::Status& aReason)
{
  CallAnswer answer;
  answer.status = aReason;
  this->Finish(answer);
}

void
QueuedCall::OnAnswer(const HttpAnswer& aAnswer)
{
  CallAnswer answer;
  if (aAnswer.status.ok() && aAnswer.code == 200) {
    absl::StatusOr<Json::Value> body = ParseJson(aAnswer.body);
    answer.status = body.status();
    // The store applied the call, but its response can't be parsed.
    answer.mayHaveBeenApplied = !body.ok();
    if (body.ok()) {
      answer.body = *std::move(body);
    }
    this->Finish(answer);
    return;
  }
  if (this->MayRetry(aAnswer)) {
    this->Retry();
    return;
  }
  if (aAnswer.status.ok()) {
    answer.status = StatusOfCode(aAnswer);
    answer.mayHaveBeenApplied = !IsDefinitelyNotApplied(aAnswer.code);
  } else {
    answer.status = aAnswer.status;
    answer.mayHaveBeenApplied = aAnswer.written;
  }
  this->Finish(answer);
}

bool
QueuedCall::MayRetry(const HttpAnswer& aAnswer) const
{
  const HttpStoreOptions& options = this->calls.Options();
  if (this->request.isIdempotent) {
    const bool isTransient =
      !aAnswer.status.ok() || aAnswer.code == 429 || aAnswer.code >= 500;
    return isTransient && this->attempts < options.maxReadAttempts;
  }
  // A write that the store may have received is never sent again: another write
  // may have followed it, which the duplicate would undo.
  const auto endpoints = static_cast<int>(options.endpoints.size());
  return !aAnswer.status.ok() && !aAnswer.written && this->attempts < endpoints;
}

void
QueuedCall::Retry()
{
  this->calls.NextEndpoint();
  this->timer.StartOnce(this->backoff.Next(this->calls.DrawUniform()));
}

void
QueuedCall::Finish(const CallAnswer& aAnswer)
{
  if (!aAnswer.status.ok() && this->attempts > 0) {
    this->calls.NextEndpoint();
  }
  const Done handler = std::exchange(this->done, nullptr);
  handler(aAnswer);
}

StoreCalls::StoreCalls(EventLoop& aLoop, const HttpStoreOptions& aOptions)
  : loop(aLoop)
  , options(aOptions)
  , budget(aOptions.callsPerSecond, aOptions.callBurst, Now())
  , random(DrawIncarnation())
  , queueTimer(aLoop, [this] { this->SendWaiting(); })
{
  // All processes have the same list of endpoints; a random start spreads them.
  this->endpoint = this->random() % this->options.endpoints.size();
}

std::unique_ptr<StoreCall>
StoreCalls::Start(CallRequest aRequest, QueuedCall::Done aDone)
{
  auto call =
    std::make_unique<QueuedCall>(*this, std::move(aRequest), std::move(aDone));
  this->Enqueue(call.get());
  return call;
}

void
StoreCalls::Enqueue(QueuedCall* aCall)
{
  if (aCall->Request().isUrgent && this->budget.TryTakeUrgent(Now())) {
    aCall->Send();
    return;
  }
  this->queue.push_back(aCall);
  if (!this->queueTimer.IsPending()) {
    this->queueTimer.StartOnce(
      this->queue.size() == 1 ? this->budget.Wait(Now()) : Duration(0));
  }
}

void
StoreCalls::SendWaiting()
{
  while (this->queue.size() > this->options.maxQueuedCalls) {
    QueuedCall* newest = this->queue.back();
    this->queue.pop_back();
    newest->Fail(absl::ResourceExhaustedError(
      "too many calls to the store queued for this process's rate limit"));
  }
  while (!this->queue.empty() && this->budget.TryTake(Now())) {
    QueuedCall* next = this->queue.front();
    this->queue.pop_front();
    next->Send();
  }
  if (!this->queue.empty()) {
    this->queueTimer.StartOnce(this->budget.Wait(Now()));
  }
}

} // namespace dogwoodvale::internal
