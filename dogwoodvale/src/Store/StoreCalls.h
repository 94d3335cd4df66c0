#ifndef DOGWOODVALE_STORE_STORECALLS_H
#define DOGWOODVALE_STORE_STORECALLS_H

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include <json/json.h>

#include "HttpExchange.h"
#include "HttpStoreClient.h"
#include "dogwoodvale/Membership"

namespace dogwoodvale::internal {

/// The result of one call, as JSON.
struct CallAnswer
{
  absl::Status status;
  Json::Value body;
  /// For failed writes: whether it may still have taken effect.
  bool mayHaveBeenApplied = false;
};

struct CallRequest
{
  std::string path;
  std::string body;
  /// Idempotent: may be sent again whatever became of an earlier attempt.
  bool isIdempotent = false;
  /// Sent ahead of the calls that wait for the budget, and may overdraw it.
  bool isUrgent = false;
};

class StoreCalls;

/// One call: queued until the budget allows it, sent, and retried where that is
/// safe.
class QueuedCall final : public StoreCall
{
public:
  using Done = std::function<void(const CallAnswer&)>;

  QueuedCall(StoreCalls& aCalls, CallRequest aRequest, Done aDone);
  ~QueuedCall() override;
  QueuedCall(const QueuedCall&) = delete;
  QueuedCall& operator=(const QueuedCall&) = delete;

  void Send();
  void Fail(const absl::Status& aReason);
  const CallRequest& Request() const { return this->request; }

private:
  void OnAnswer(const HttpAnswer& aAnswer);
  void Retry();
  bool MayRetry(const HttpAnswer& aAnswer) const;
  void Finish(const CallAnswer& aAnswer);

  StoreCalls& calls;
  CallRequest request;
  Done done;
  Backoff backoff;
  Timer timer;
  std::unique_ptr<HttpExchange> exchange;
  int attempts = 0;
};

/// State shared by all calls to the store: endpoints, budget and queue.
class StoreCalls
{
public:
  StoreCalls(EventLoop& aLoop, const HttpStoreOptions& aOptions);

  /// \return the call, which must not outlive this object.
  std::unique_ptr<StoreCall> Start(CallRequest aRequest,
                                   QueuedCall::Done aDone);

  EventLoop& Loop() { return this->loop; }
  const HttpStoreOptions& Options() const { return this->options; }
  double DrawUniform()
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  Backoff NewBackoff() const
  {
    return { this->options.initialBackoff, this->options.maxBackoff };
  }
  const SocketAddress& Endpoint() const
  {
    return this->options.endpoints[this->endpoint];
  }
  void NextEndpoint()
  {
    this->endpoint = (this->endpoint + 1) % this->options.endpoints.size();
  }
  std::uint64_t CallsSent() const { return this->callsSent; }
  void CountCall() { ++this->callsSent; }
  /// A watch is sent right after its read, which has waited for the budget, so
  /// it takes its token at once instead of queueing.
  void ChargeWatch()
  {
    this->CountCall();
    this->budget.TryTakeUrgent(Now());
  }

  void Enqueue(QueuedCall* aCall);
  void Remove(QueuedCall* aCall) { std::erase(this->queue, aCall); }

private:
  void SendWaiting();

  EventLoop& loop;
  HttpStoreOptions options;
  StoreCallBudget budget;
  std::mt19937_64 random;
  std::size_t endpoint = 0;
  std::deque<QueuedCall*> queue;
  Timer queueTimer;
  std::uint64_t callsSent = 0;
};

/// The error for an HTTP response of the store with a code other than 200.
absl::Status
StatusOfCode(const HttpAnswer& aAnswer);

} // namespace dogwoodvale::internal

#endif
