#include "StoreCalls.h"

#include <utility>

#include "StoreJson.h"

namespace dogwoodvale::internal {

namespace {

/// Whether a refusal was made before anything took effect. A 503 or 504 is
/// also what the store says when its own write timed out half way.
bool
IsSureRefusal(int aCode)
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
  this->calls.Forget(this);
}

void
QueuedCall::Send()
{
  ++this->tries;
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
QueuedCall::Refuse(const absl::Status& aReason)
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
    // The store ran it, but what came back can't be read.
    answer.mayHaveRun = !body.ok();
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
    answer.mayHaveRun = !IsSureRefusal(aAnswer.code);
  } else {
    answer.status = aAnswer.status;
    answer.mayHaveRun = aAnswer.written;
  }
  this->Finish(answer);
}

bool
QueuedCall::MayRetry(const HttpAnswer& aAnswer) const
{
  const HttpStoreOptions& options = this->calls.Options();
  if (this->request.isRepeatable) {
    const bool isTransient =
      !aAnswer.status.ok() || aAnswer.code == 429 || aAnswer.code >= 500;
    return isTransient && this->tries < options.maxReadTries;
  }
  // A write that may have been seen is never sent again: by then another may
  // have followed it, which the second copy would undo.
  const auto endpoints = static_cast<int>(options.endpoints.size());
  return !aAnswer.status.ok() && !aAnswer.written && this->tries < endpoints;
}

void
QueuedCall::Retry()
{
  this->calls.NextEndpoint();
  this->timer.StartOnce(this->backoff.Next(this->calls.Uniform()));
}

void
QueuedCall::Finish(const CallAnswer& aAnswer)
{
  if (!aAnswer.status.ok() && this->tries > 0) {
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
  // Fleets share one list of endpoints; start at a random one.
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
  this->waiting.push_back(aCall);
  if (!this->queueTimer.IsPending()) {
    this->queueTimer.StartOnce(
      this->waiting.size() == 1 ? this->budget.Wait(Now()) : Duration(0));
  }
}

void
StoreCalls::SendWaiting()
{
  while (this->waiting.size() > this->options.maxWaiting) {
    QueuedCall* newest = this->waiting.back();
    this->waiting.pop_back();
    newest->Refuse(absl::ResourceExhaustedError(
      "too many calls wait for this process's share of the store"));
  }
  while (!this->waiting.empty() && this->budget.TryTake(Now())) {
    QueuedCall* next = this->waiting.front();
    this->waiting.pop_front();
    next->Send();
  }
  if (!this->waiting.empty()) {
    this->queueTimer.StartOnce(this->budget.Wait(Now()));
  }
}

} // namespace dogwoodvale::internal
