#ifndef DOGWOODVALE_SCHEDULING_REQUESTQUEUE_H
#define DOGWOODVALE_SCHEDULING_REQUESTQUEUE_H

#include "AbstractRequestQueue.h"
#include "LengthEstimator.h"
#include "WaitingRequests.h"

namespace dogwoodvale {

/// The sidecar's queue: strictly by tier, fair by tokens within a tier, by
/// slack within one customer's requests of a class.
///
/// A class that has waited beyond its bound gets the next free slot, within
/// QueueBounds::overdueShare of the starts. With s that share, C the overdue
/// classes, F the overdue customers of a class and k a request's rank by age
/// in its customer's line, a request is dequeued at the latest ceil(1/s)·C·F·k
/// starts after it became overdue, whatever arrives in higher tiers.
///
/// Among customers (and classes) that always have something waiting, the
/// tokens served over weight differ by at most the largest charge of one
/// request plus, for each request that runs, four times the longest answer (an
/// estimate is corrected only at the end); all over the smaller weight.
///
/// Each operation takes logarithmic time in what waits; there are no scans.
class RequestQueue : public AbstractRequestQueue
{
public:
  /// A generated token costs the server more than a token of the prompt.
  static constexpr double kOutputTokenCost = 2;

  /// A customer may hold this many times what is left of its class's bound,
  /// and a class this many times what is left of the memory (dynamic
  /// thresholds, Choudhury and Hahne, 1998). One burst alone takes four fifths
  /// and leaves the rest to others.
  static constexpr std::uint64_t kSharingFactor = 4;

  /// \return InvalidArgument when the bounds are unusable.
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

  /// Tokens that one start generates, learned from OnFinished.
  const LengthEstimator& Lengths() const { return this->lengths; }

  /// Customers of classes that are remembered, waiting or not. Bounded.
  std::size_t RememberedCustomers() const
  {
    return this->waiting.Flows().Size();
  }

private:
  /// What Dequeue takes, and by which rule.
  struct Choice
  {
    internal::SlabIndex entry = 0;
    /// It uses its class's turn in the overdue rotation.
    bool usesTurn = false;
    /// It goes ahead of the request that tiers and shares would pick.
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
  /// Millionths of a start that overdue classes may take.
  std::int64_t credit;
  std::int64_t creditPerStart;
};

} // namespace dogwoodvale

#endif
