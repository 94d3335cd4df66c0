#ifndef DOGWOODVALE_SCHEDULING_ORDEREDQUEUE_H
#define DOGWOODVALE_SCHEDULING_ORDEREDQUEUE_H

#include <array>
#include <cstdint>
#include <map>

#include <absl/container/flat_hash_map.h>

#include "AbstractRequestQueue.h"

namespace dogwoodvale::internal {

/// Requests in order of rank, then arrival. Base class of the baseline queues
/// that benchmarks compare RequestQueue with.
class OrderedQueue : public AbstractRequestQueue
{
public:
  EnqueueResult Enqueue(const QueuedRequest& aRequest, TimePoint aNow) override;
  std::optional<QueuedRequest> Dequeue(TimePoint aNow) override;
  const QueuedRequest* Peek(TimePoint aNow) override;
  bool Remove(const RequestId& aId) override;
  void OnFinished(const ClassName& aClass,
                  const CustomerName& aCustomer,
                  std::uint64_t aTokensGenerated) override;
  std::size_t Size() const override { return this->requests.size(); }
  std::uint64_t Bytes() const override { return this->bytes; }
  std::size_t SizeOfClass(const ClassName& aClass) const override;
  std::size_t SizeAtOrAbove(Tier aTier) const override;
  Duration OldestWait(const ClassName& aClass, TimePoint aNow) const override;
  std::vector<RequestId> DrainAll() override;

protected:
  explicit OrderedQueue(const QueueBounds& aBounds)
    : bounds(aBounds)
  {
  }

  /// Smaller ranks are dequeued first, larger ranks are evicted first.
  virtual std::int64_t RankOf(const QueuedRequest& aRequest) const = 0;

private:
  struct Key
  {
    std::int64_t rank;
    std::uint64_t sequence;

    bool operator<(const Key& aOther) const
    {
      return this->rank != aOther.rank ? this->rank < aOther.rank
                                       : this->sequence < aOther.sequence;
    }
  };
  using Requests = std::map<Key, QueuedRequest>;

  QueuedRequest Take(Requests::iterator aPosition);

  QueueBounds bounds;
  Requests requests;
  absl::flat_hash_map<RequestId, Key> keys;
  std::array<std::size_t, kTierCount> sizeByTier{};
  std::uint64_t bytes = 0;
  std::uint64_t nextSequence = 0;
};

} // namespace dogwoodvale::internal

#endif
