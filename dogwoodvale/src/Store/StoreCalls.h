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

class StoreCalls;

/// One call: waits for the budget, is tried, is perhaps tried again.
class QueuedCall final : public StoreCall
{
public:
  using Done = std::function<void(const CallAnswer&)>;

  QueuedCall(StoreCalls& aCalls, CallRequest aRequest, Done aDone);
  ~QueuedCall() override;
  QueuedCall(const QueuedCall&) = delete;
  QueuedCall& operator=(const QueuedCall&) = delete;

  void Send();
  void Refuse(const absl::Status& aReason);
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
  int tries = 0;
};

/// What all calls to the store share: endpoints, budget and queue.
class StoreCalls
{
public:
  StoreCalls(EventLoop& aLoop, const HttpStoreOptions& aOptions);

  /// Must not outlive this.
  std::unique_ptr<StoreCall> Start(CallRequest aRequest,
                                   QueuedCall::Done aDone);

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
  std::uint64_t CallsSent() const { return this->callsSent; }
  void CountCall() { ++this->callsSent; }
  /// A watch goes out right after its read, which has waited for the budget.
  void ChargeWatch()
  {
    this->CountCall();
    this->budget.TryTakeUrgent(Now());
  }

  void Enqueue(QueuedCall* aCall);
  void Forget(QueuedCall* aCall) { std::erase(this->waiting, aCall); }

private:
  void SendWaiting();

  EventLoop& loop;
  HttpStoreOptions options;
  StoreCallBudget budget;
  std::mt19937_64 random;
  std::size_t endpoint = 0;
  std::deque<QueuedCall*> waiting;
  Timer queueTimer;
  std::uint64_t callsSent = 0;
};

/// The error that an HTTP code of the store stands for.
absl::Status
StatusOfCode(const HttpAnswer& aAnswer);

} // namespace dogwoodvale::internal

#endif
