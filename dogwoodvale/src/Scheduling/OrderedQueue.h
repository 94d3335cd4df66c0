#ifndef DOGWOODVALE_SCHEDULING_ORDEREDQUEUE_H
#define DOGWOODVALE_SCHEDULING_ORDEREDQUEUE_H

#include <array>
#include <cstdint>
#include <map>

#include <absl/container/flat_hash_map.h>

#include "AbstractRequestQueue.h"

namespace dogwoodvale::internal {

/// One line of requests in order of rank, then arrival. The base of the
/// simple policies that RequestQueue is measured against.
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
  std::size_t Size() const override { return this->line.size(); }
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

  /// Smaller ranks leave first, larger ranks are evicted first.
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
  using Line = std::map<Key, QueuedRequest>;

  QueuedRequest Take(Line::iterator aPlace);

  QueueBounds bounds;
  Line line;
  absl::flat_hash_map<RequestId, Key> places;
  std::array<std::size_t, kTierCount> sizes{};
  std::uint64_t bytes = 0;
  std::uint64_t arrivals = 0;
};

} // namespace dogwoodvale::internal

#endif
