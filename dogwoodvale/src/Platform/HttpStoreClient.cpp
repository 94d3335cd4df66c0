#include "dogwoodvale/Platform"

#include <algorithm>
#include <deque>
#include <random>
#include <utility>

#include "StoreJson.h"
#include "dogwoodvale/Membership"

namespace dogwoodvale {

namespace {

/// What one call came to, as JSON.
struct CallAnswer
{
  absl::Status status;
  Json::Value body;
  /// For writes that failed.
  bool mayHaveRun = false;
};

struct CallRequest
{
  std::string path;
  std::string body;
  /// May be sent again whatever happened to it.
  bool isRepeatable = false;
  /// Ahead of the budget's queue.
  bool isUrgent = false;
};

class Store;

/// One call: waits for the budget, is tried, is perhaps tried again.
class Call : public StoreCall
{
public:
  using Done = std::function<void(const CallAnswer&)>;

  Call(Store& aStore, CallRequest aRequest, Done aDone);
  ~Call() override;

  void Send();
  void Refuse(const absl::Status& aReason);
  const CallRequest& Request() const { return this->request; }

private:
  void OnAnswer(const HttpAnswer& aAnswer);
  void Retry();
  bool MayRetry(const HttpAnswer& aAnswer) const;
  void Finish(const CallAnswer& aAnswer);

  Store& store;
  CallRequest request;
  Done done;
  Backoff backoff;
  Timer timer;
  std::unique_ptr<HttpExchange> exchange;
  int tries = 0;
};

class Watch;

class Store : public HttpStoreClient
{
public:
  Store(EventLoop& aLoop, const HttpStoreOptions& aOptions)
    : loop(aLoop)
    , options(aOptions)
    , budget(aOptions.callsPerSecond, aOptions.callBurst, Now())
    , random(DrawIncarnation())
    , queueTimer(aLoop, [this] { this->SendWaiting(); })
  {
    // Fleets share one list of endpoints; start at a random one.
    this->endpoint = this->random() % this->options.endpoints.size();
  }

  std::unique_ptr<StoreCall> Range(const RangeQuery& aQuery,
                                   RangeHandler aHandler) override;
  std::unique_ptr<StoreCall> Commit(const Transaction& aTransaction,
                                    WriteHandler aHandler) override;
  std::unique_ptr<StoreCall> GrantLease(Duration aTtl,
                                        LeaseHandler aHandler) override;
  std::unique_ptr<StoreCall> KeepAlive(LeaseId aLease,
                                       LeaseHandler aHandler) override;
  std::unique_ptr<StoreCall> RevokeLease(LeaseId aLease,
                                         WriteHandler aHandler) override;
  std::unique_ptr<StoreWatch> Watch(const std::string& aPrefix,
                                    StoreWatchHandler& aHandler) override;
  std::uint64_t CallsSent() const override { return this->callsSent; }

  EventLoop& Loop() { return this->loop; }
  const HttpStoreOptions& Options() const { return this->options; }
  double Uniform()
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  Backoff NewBackoff() const
  {
    return { this->options.firstBackoff, this->options.longestBackoff };
  }
  const SocketAddress& Endpoint() const
  {
    return this->options.endpoints[this->endpoint];
  }
  void NextEndpoint()
  {
    this->endpoint = (this->endpoint + 1) % this->options.endpoints.size();
  }
  void CountCall() { ++this->callsSent; }
  /// A watch goes out right after its read, which has waited for the budget.
  void ChargeWatch()
  {
    this->CountCall();
    this->budget.TryTakeUrgent(Now());
  }

  void Enqueue(Call* aCall);
  void Forget(Call* aCall) { std::erase(this->waiting, aCall); }

private:
  void SendWaiting();

  EventLoop& loop;
  HttpStoreOptions options;
  StoreCallBudget budget;
  std::mt19937_64 random;
  std::size_t endpoint = 0;
  std::deque<Call*> waiting;
  Timer queueTimer;
  std::uint64_t callsSent = 0;
};

absl::Status
StatusOfCode(const HttpAnswer& aAnswer)
{
  const std::string message = internal::ErrorMessage(aAnswer.body);
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

/// Whether a refusal was made before anything took effect. A 503 or 504 is
/// also what the store says when its own write timed out half way.
bool
IsSureRefusal(int aCode)
{
  return aCode >= 400 && aCode < 500;
}

Call::Call(Store& aStore, CallRequest aRequest, Done aDone)
  : store(aStore)
  , request(std::move(aRequest))
  , done(std::move(aDone))
  , backoff(aStore.NewBackoff())
  , timer(aStore.Loop(), [this] { this->store.Enqueue(this); })
{
}

Call::~Call()
{
  this->store.Forget(this);
}

void
Call::Send()
{
  ++this->tries;
  this->store.CountCall();
  HttpCall call;
  call.address = this->store.Endpoint();
  call.method = "POST";
  call.path = this->request.path;
  call.body = this->request.body;
  call.timeout = this->store.Options().timeout;
  this->exchange = HttpExchange::Start(
    this->store.Loop(), call, [this](const HttpAnswer& aAnswer) {
      this->OnAnswer(aAnswer);
    });
}

void
Call::Refuse(const absl::Status& aReason)
{
  CallAnswer answer;
  answer.status = aReason;
  this->Finish(answer);
}

void
Call::OnAnswer(const HttpAnswer& aAnswer)
{
  CallAnswer answer;
  if (aAnswer.status.ok() && aAnswer.code == 200) {
    absl::StatusOr<Json::Value> body = internal::ParseJson(aAnswer.body);
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
Call::MayRetry(const HttpAnswer& aAnswer) const
{
  const HttpStoreOptions& options = this->store.Options();
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
Call::Retry()
{
  this->store.NextEndpoint();
  this->timer.StartOnce(this->backoff.Next(this->store.Uniform()));
}

void
Call::Finish(const CallAnswer& aAnswer)
{
  if (!aAnswer.status.ok() && this->tries > 0) {
    this->store.NextEndpoint();
  }
  const Done handler = std::exchange(this->done, nullptr);
  handler(aAnswer);
}

void
Store::Enqueue(Call* aCall)
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
Store::SendWaiting()
{
  while (this->waiting.size() > this->options.maxWaiting) {
    Call* newest = this->waiting.back();
    this->waiting.pop_back();
    newest->Refuse(absl::ResourceExhaustedError(
      "too many calls wait for this process's share of the store"));
  }
  while (!this->waiting.empty() && this->budget.TryTake(Now())) {
    Call* next = this->waiting.front();
    this->waiting.pop_front();
    next->Send();
  }
  if (!this->waiting.empty()) {
    this->queueTimer.StartOnce(this->budget.Wait(Now()));
  }
}

std::unique_ptr<StoreCall>
Store::Range(const RangeQuery& aQuery, RangeHandler aHandler)
{
  CallRequest request{ .path = "/v3/kv/range",
                       .body =
                         internal::WriteJson(internal::RangeToJson(aQuery)),
                       .isRepeatable = true };
  auto call = std::make_unique<Call>(
    *this,
    std::move(request),
    [handler = std::move(aHandler)](const CallAnswer& aAnswer) {
      if (aAnswer.status.ok()) {
        handler(internal::RangeFromJson(aAnswer.body));
      } else {
        handler(aAnswer.status);
      }
    });
  this->Enqueue(call.get());
  return call;
}

WriteResult
FailedWrite(const CallAnswer& aAnswer)
{
  return { .outcome = aAnswer.mayHaveRun ? WriteOutcome::Unknown
                                         : WriteOutcome::NotApplied,
           .status = aAnswer.status,
           .reads = {} };
}

bool
IsReadOnly(const Transaction& aTransaction)
{
  const auto isRead = [](const Operation& aOperation) {
    return aOperation.kind == Operation::Kind::Range;
  };
  return std::all_of(
           aTransaction.then.begin(), aTransaction.then.end(), isRead) &&
         std::all_of(aTransaction.otherwise.begin(),
                     aTransaction.otherwise.end(),
                     isRead);
}

std::unique_ptr<StoreCall>
Store::Commit(const Transaction& aTransaction, WriteHandler aHandler)
{
  CallRequest request{ .path = "/v3/kv/txn",
                       .body = internal::WriteJson(
                         internal::TransactionToJson(aTransaction)),
                       .isRepeatable = IsReadOnly(aTransaction) };
  auto call = std::make_unique<Call>(
    *this,
    std::move(request),
    [handler = std::move(aHandler)](const CallAnswer& aAnswer) {
      if (!aAnswer.status.ok()) {
        handler(FailedWrite(aAnswer));
        return;
      }
      const absl::StatusOr<WriteResult> result =
        internal::WriteFromJson(aAnswer.body);
      if (result.ok()) {
        handler(*result);
        return;
      }
      CallAnswer unreadable;
      unreadable.status = result.status();
      unreadable.mayHaveRun = true;
      handler(FailedWrite(unreadable));
    });
  this->Enqueue(call.get());
  return call;
}

Call::Done
LeaseAnswer(StoreClient::LeaseHandler aHandler)
{
  return [handler = std::move(aHandler)](const CallAnswer& aAnswer) {
    if (aAnswer.status.ok()) {
      handler(internal::LeaseFromJson(aAnswer.body));
    } else {
      handler(aAnswer.status);
    }
  };
}

std::unique_ptr<StoreCall>
Store::GrantLease(Duration aTtl, LeaseHandler aHandler)
{
  const auto whole = std::chrono::ceil<seconds>(aTtl);
  Json::Value body(Json::objectValue);
  body["TTL"] = std::to_string(whole.count());
  // A grant whose reply was lost leaves a lease that nobody renews, which
  // lapses by itself; so it may be asked for again.
  CallRequest request{ .path = "/v3/lease/grant",
                       .body = internal::WriteJson(body),
                       .isRepeatable = true };
  auto call = std::make_unique<Call>(
    *this, std::move(request), LeaseAnswer(std::move(aHandler)));
  this->Enqueue(call.get());
  return call;
}

std::unique_ptr<StoreCall>
Store::KeepAlive(LeaseId aLease, LeaseHandler aHandler)
{
  CallRequest request{ .path = "/v3/lease/keepalive",
                       .body =
                         internal::WriteJson(internal::LeaseToJson(aLease)),
                       .isRepeatable = true,
                       .isUrgent = true };
  auto call = std::make_unique<Call>(
    *this, std::move(request), LeaseAnswer(std::move(aHandler)));
  this->Enqueue(call.get());
  return call;
}

std::unique_ptr<StoreCall>
Store::RevokeLease(LeaseId aLease, WriteHandler aHandler)
{
  CallRequest request{ .path = "/v3/lease/revoke",
                       .body =
                         internal::WriteJson(internal::LeaseToJson(aLease)) };
  auto call = std::make_unique<Call>(
    *this,
    std::move(request),
    [handler = std::move(aHandler)](const CallAnswer& aAnswer) {
      WriteResult result = FailedWrite(aAnswer);
      if (aAnswer.status.ok()) {
        result.outcome = WriteOutcome::Applied;
      }
      handler(result);
    });
  this->Enqueue(call.get());
  return call;
}

/// Reads all under the prefix, then follows the changes from there; after any
/// loss it starts over with a read.
///
/// Going on from the next revision would save the read, but a store that came
/// back with older data and has since counted past that revision would hide
/// its other history from us. The prefixes watched are small.
class Watch : public StoreWatch
{
public:
  Watch(Store& aStore, std::string aPrefix, StoreWatchHandler& aHandler)
    : store(aStore)
    , prefix(std::move(aPrefix))
    , handler(aHandler)
    , backoff(aStore.NewBackoff())
    , timer(aStore.Loop(), [this] { this->Read(); })
    , createdTimer(aStore.Loop(), [this] {
      this->Lose(absl::DeadlineExceededError("the watch was not confirmed"));
    })
  {
    this->Read();
  }

private:
  void Read()
  {
    this->stream.reset();
    this->call = this->store.Range(
      { .key = this->prefix, .isPrefix = true },
      [this](const absl::StatusOr<RangeResult>& aResult) {
        if (!aResult.ok()) {
          this->Lose(aResult.status());
          return;
        }
        this->handler.OnContact();
        this->handler.OnSnapshot(aResult->revision, aResult->values);
        this->Arm(aResult->revision + 1);
      });
  }

  void Arm(Revision aFrom)
  {
    this->buffer.clear();
    this->armedAt = Now();
    this->store.ChargeWatch();
    HttpCall request;
    request.address = this->store.Endpoint();
    request.method = "POST";
    request.path = "/v3/watch";
    request.body =
      internal::WriteJson(internal::WatchToJson(this->prefix, aFrom));
    request.timeout = this->store.Options().watchSilence;
    this->createdTimer.StartOnce(this->store.Options().timeout);
    this->stream = HttpExchange::StartStream(
      this->store.Loop(),
      request,
      [this](std::string_view aBytes) { this->OnBytes(aBytes); },
      [this](const HttpAnswer& aAnswer) {
        absl::Status reason = aAnswer.status;
        if (reason.ok()) {
          reason = aAnswer.code == 200
                     ? absl::UnavailableError("the store ended the watch")
                     : StatusOfCode(aAnswer);
        }
        this->Lose(reason);
      });
  }

  void OnBytes(std::string_view aBytes)
  {
    this->buffer += aBytes;
    std::size_t begin = 0;
    for (std::size_t end = this->buffer.find('\n'); end != std::string::npos;
         end = this->buffer.find('\n', begin)) {
      const std::string_view line =
        std::string_view(this->buffer).substr(begin, end - begin);
      begin = end + 1;
      if (!line.empty() && !this->OnLine(line)) {
        return;
      }
    }
    this->buffer.erase(0, begin);
  }

  bool OnLine(std::string_view aLine)
  {
    const absl::StatusOr<internal::WatchLine> line =
      internal::WatchLineFromJson(aLine);
    if (!line.ok()) {
      this->Lose(line.status());
      return false;
    }
    if (line->isCanceled) {
      this->Lose(MakeError(
        absl::StatusCode::kOutOfRange, "watch cancelled: {}", line->reason));
      return false;
    }
    this->createdTimer.Stop();
    this->backoff.Reset();
    this->handler.OnContact();
    if (!line->changes.empty()) {
      this->handler.OnChanges(line->revision, line->changes);
    }
    return true;
  }

  void Lose(const absl::Status& aReason)
  {
    this->stream.reset();
    this->createdTimer.Stop();
    // Silence is no loss: the watch is only refreshed, and the read that goes
    // with it tells whether the store is there.
    const bool isSilence =
      aReason.code() == absl::StatusCode::kDeadlineExceeded &&
      Now() - this->armedAt >= this->store.Options().watchSilence;
    if (!isSilence) {
      this->store.NextEndpoint();
      this->handler.OnLost(aReason);
    }
    this->timer.StartOnce(this->backoff.Next(this->store.Uniform()));
  }

  Store& store;
  std::string prefix;
  StoreWatchHandler& handler;
  Backoff backoff;
  Timer timer;
  Timer createdTimer;
  std::unique_ptr<StoreCall> call;
  std::unique_ptr<HttpExchange> stream;
  std::string buffer;
  TimePoint armedAt;
};

std::unique_ptr<StoreWatch>
Store::Watch(const std::string& aPrefix, StoreWatchHandler& aHandler)
{
  return std::make_unique<class Watch>(*this, aPrefix, aHandler);
}

} // namespace

absl::StatusOr<std::unique_ptr<HttpStoreClient>>
HttpStoreClient::Create(EventLoop& aLoop, const HttpStoreOptions& aOptions)
{
  if (aOptions.endpoints.empty()) {
    return absl::InvalidArgumentError("the store has no endpoints");
  }
  if (aOptions.callsPerSecond <= 0) {
    return absl::InvalidArgumentError(
      "the rate of store calls must be above 0");
  }
  return std::make_unique<Store>(aLoop, aOptions);
}

} // namespace dogwoodvale
