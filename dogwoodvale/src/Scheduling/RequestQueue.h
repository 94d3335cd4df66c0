#ifndef DOGWOODVALE_SCHEDULING_REQUESTQUEUE_H
#define DOGWOODVALE_SCHEDULING_REQUESTQUEUE_H

#include "AbstractRequestQueue.h"
#include "LengthEstimator.h"
#include "WaitingRequests.h"

namespace dogwoodvale {

/// The sidecar's production queue: strict priority between tiers, weighted
/// fairness by tokens between the classes of a tier and between the customers
/// of a class, least slack first among one customer's requests of a class.
///
/// Starvation bound: a class with a request that has waited longer than its
/// maxWait gets the next free slot, within QueueBounds::overdueShare of the
/// starts. With s that share, C the number of overdue classes, F the number of
/// overdue customers of a class and k a request's rank by age in its customer's
/// queue, a request is dequeued at the latest ceil(1/s)·C·F·k starts after it
/// became overdue, whatever arrives in higher tiers.
///
/// Fairness bound: between two customers (or classes) that are continuously
/// backlogged, tokens served divided by weight differ by at most the largest
/// charge of one request plus, for each running request, four times the longest
/// answer (an estimate is corrected only when the request finishes), all
/// divided by the smaller weight.
///
/// Each operation takes time logarithmic in the number of queued requests.
class RequestQueue : public AbstractRequestQueue
{
public:
  /// Charge for a generated token, in prompt tokens: decoding a token costs the
  /// server more than prefilling one.
  static constexpr double kOutputTokenCost = 2;

  /// Factor of the dynamic thresholds (Choudhury and Hahne, 1998): a customer
  /// may hold at most this many times the free part of its class's bound, and a
  /// class at most this many times the free part of the queue's limits. A
  /// single burst so takes at most four fifths and leaves the rest to others.
  static constexpr std::uint64_t kSharingFactor = 4;

  /// \return InvalidArgument when CheckBounds rejects the bounds.
  static absl::StatusOr<RequestQueue> Create(const QueueBounds& aBounds);

  EnqueueResult Enqueue(const QueuedRequest& aRequest, TimePoint aNow) override;
  std::optional<QueuedRequest> Dequeue(TimePoint aNow) override;
  const QueuedRequest* Peek(TimePoint aNow) override;
  bool Remove(const RequestId& aId) override;
  void OnFinished(const ClassName& aClass,
                  const CustomerName& aCustomer,
                  std::uint64_t aTokensGenerated) override;
  std::size_t Size() const override { return this->waiting.Total().size; }
  std::uint64_t Bytes() const override { return this->waiting.Total().bytes; }
  std::size_t SizeOfClass(const ClassName& aClass) const override;
  std::size_t SizeAtOrAbove(Tier aTier) const override;
  Duration OldestWait(const ClassName& aClass, TimePoint aNow) const override;
  std::vector<RequestId> DrainAll() override;

  /// Estimator of the tokens generated per start, fed by OnFinished.
  const LengthEstimator& Lengths() const { return this->lengths; }

  /// Number of (class, customer) flows whose state is kept, including idle
  /// ones.
  std::size_t TrackedFlows() const { return this->waiting.Flows().Size(); }

private:
  /// The request that Dequeue takes, and the rule that selected it.
  struct Choice
  {
    internal::SlabIndex entry = 0;
    /// It uses the turn of its class and customer in the overdue rotation.
    bool usesOverdueTurn = false;
    /// It starts ahead of the request that tier and fair share select, and so
    /// costs overdue credit.
    bool displaces = false;
  };

  RequestQueue(const QueueBounds& aBounds, LengthEstimator aLengths);

  bool IsWithinClassBound(const QueuedRequest& aRequest,
                          const internal::Flow& aFlow) const;
  bool IsWithinMemory(const QueuedRequest& aRequest,
                      const internal::Flow& aFlow) const;
  std::vector<RequestId> EvictOverflow();
  std::optional<Choice> Choose(TimePoint aNow);
  std::int64_t CreditAtNextStart() const;
  void ChargeStart(const QueuedRequest& aRequest, internal::SlabIndex aFlow);

  QueueBounds bounds;
  LengthEstimator lengths;
  internal::WaitingRequests waiting;
  /// Token bucket of the starts that overdue classes may take ahead of others,
  /// in millionths of a start.
  std::int64_t overdueCredit;
  std::int64_t overdueCreditPerStart;
};

} // namespace dogwoodvale

#endif
