#include "RequestQueue.h"

#include <algorithm>
#include <cmath>

#include "QueuePolicy.h"

namespace dogwoodvale {

using internal::ClassState;
using internal::Flow;
using internal::OverdueRotation;
using internal::QueueUsage;
using internal::SlabIndex;

namespace {

/// Overdue credit for one start, in millionths of a start.
constexpr std::int64_t kCreditOfOneStart = 1000000;

/// Whether a holder of \p aUsed units may take \p aRequested more when
/// \p aFree are free. \sa RequestQueue::kSharingFactor
bool
IsWithinShare(std::uint64_t aUsed,
              std::uint64_t aRequested,
              std::uint64_t aFree)
{
  return aUsed + aRequested <= RequestQueue::kSharingFactor * aFree;
}

/// Whether class and customer each stay within their share of one resource
/// (requests or bytes) of the queue.
bool
AreWithinShares(std::uint64_t aUsedByClass,
                std::uint64_t aUsedByCustomer,
                std::uint64_t aRequested,
                std::uint64_t aFree)
{
  if (!IsWithinShare(aUsedByClass, aRequested, aFree)) {
    return false;
  }
  const std::uint64_t freeForClass =
    RequestQueue::kSharingFactor * aFree - aUsedByClass;
  return IsWithinShare(aUsedByCustomer, aRequested, freeForClass);
}

} // namespace

absl::StatusOr<RequestQueue>
RequestQueue::Create(const QueueBounds& aBounds)
{
  if (absl::Status status = CheckBounds(aBounds); !status.ok()) {
    return status;
  }
  auto lengths = LengthEstimator::Create(LengthEstimator::Options());
  if (!lengths.ok()) {
    return lengths.status();
  }
  return RequestQueue(aBounds, *std::move(lengths));
}

RequestQueue::RequestQueue(const QueueBounds& aBounds, LengthEstimator aLengths)
  : bounds(aBounds)
  , lengths(std::move(aLengths))
  , overdueCredit(kCreditOfOneStart)
  , overdueCreditPerStart(std::max<std::int64_t>(
      1,
      std::llround(aBounds.overdueShare *
                   static_cast<double>(kCreditOfOneStart))))
{
}

EnqueueResult
RequestQueue::Enqueue(const QueuedRequest& aRequest, TimePoint aNow)
{
  this->waiting.AdvanceTo(aNow);
  EnqueueResult result;
  if (this->waiting.Contains(aRequest.id)) {
    result.verdict = EnqueueVerdict::RefusedClassBound;
    return result;
  }
  const SlabIndex index = this->waiting.Flows().FindOrCreate(aRequest);
  const Flow& flow = this->waiting.Flows().At(index);
  if (!this->IsWithinClassBound(aRequest, flow)) {
    result.verdict = EnqueueVerdict::RefusedClassBound;
  } else if (!this->IsWithinMemory(aRequest, flow)) {
    result.verdict = EnqueueVerdict::RefusedMemory;
  } else {
    this->waiting.Insert(aRequest, index);
  }
  this->waiting.Flows().UpdateIdle(index);
  result.evicted = this->EvictOverflow();
  return result;
}

std::optional<QueuedRequest>
RequestQueue::Dequeue(TimePoint aNow)
{
  const std::optional<Choice> choice = this->Choose(aNow);
  if (!choice) {
    return std::nullopt;
  }
  this->overdueCredit = this->CreditAtNextStart();
  if (choice->displaces) {
    this->overdueCredit -= kCreditOfOneStart;
  }
  const SlabIndex flow = this->waiting.FlowOf(choice->entry);
  QueuedRequest started = this->waiting.Extract(choice->entry);
  started.startedOverdue = choice->usesOverdueTurn;
  if (choice->usesOverdueTurn) {
    this->waiting.MoveToBackOfRotation(flow);
  }
  this->ChargeStart(started, flow);
  return started;
}

const QueuedRequest*
RequestQueue::Peek(TimePoint aNow)
{
  const std::optional<Choice> choice = this->Choose(aNow);
  return choice ? &this->waiting.At(choice->entry) : nullptr;
}

bool
RequestQueue::Remove(const RequestId& aId)
{
  const std::optional<SlabIndex> entry = this->waiting.Find(aId);
  if (!entry) {
    return false;
  }
  const SlabIndex flow = this->waiting.FlowOf(*entry);
  this->waiting.Extract(*entry);
  this->waiting.Flows().UpdateIdle(flow);
  return true;
}

void
RequestQueue::OnFinished(const ClassName& aClass,
                         const CustomerName& aCustomer,
                         std::uint64_t aTokensGenerated)
{
  const auto index = this->waiting.Flows().FindRunning(aClass, aCustomer);
  if (!index) {
    return;
  }
  this->lengths.Observe(aClass, aCustomer, aTokensGenerated);
  // The call does not identify the start, so the oldest outstanding charge of
  // the flow is settled. The sum over the flow is right in any order of
  // completion.
  Flow& flow = this->waiting.Flows().At(*index);
  const double charged = flow.outstandingCharges.front();
  flow.outstandingCharges.pop_front();
  const double correction = static_cast<double>(aTokensGenerated) - charged;
  this->waiting.Charge(*index, kOutputTokenCost * correction);
  this->waiting.Flows().UpdateIdle(*index);
}

std::size_t
RequestQueue::SizeOfClass(const ClassName& aClass) const
{
  std::size_t size = 0;
  this->waiting.Flows().VisitClass(
    aClass, [&](const ClassState& aState) { size += aState.size; });
  return size;
}

std::size_t
RequestQueue::SizeAtOrAbove(Tier aTier) const
{
  return this->waiting.UsageAtOrAbove(aTier).size;
}

Duration
RequestQueue::OldestWait(const ClassName& aClass, TimePoint aNow) const
{
  Duration oldest{ 0 };
  const auto consider = [&](SlabIndex aFlow) {
    const SlabIndex entry = this->waiting.Flows().At(aFlow).queue.Oldest();
    const TimePoint since = this->waiting.At(entry).enqueued;
    oldest = std::max(oldest, Between(since, aNow));
  };
  this->waiting.Flows().VisitClass(aClass, [&](const ClassState& aState) {
    const OverdueRotation& customers = aState.overdueCustomers;
    for (const auto& [turn, flow] : customers.Turns()) {
      consider(flow);
    }
    if (const auto next = customers.FirstDue(TimePoint::max())) {
      consider(*next);
    }
  });
  return oldest;
}

std::vector<RequestId>
RequestQueue::DrainAll()
{
  std::vector<RequestId> drained = this->waiting.SortedIds();
  for (const RequestId& id : drained) {
    this->Remove(id);
  }
  return drained;
}

bool
RequestQueue::IsWithinClassBound(const QueuedRequest& aRequest,
                                 const Flow& aFlow) const
{
  if (aRequest.resumed) {
    return true;
  }
  const ClassState& classState =
    this->waiting.Flows().ClassAt(aFlow.classIndex);
  if (classState.size >= aRequest.classQueueBound) {
    return false;
  }
  // Otherwise a burst of one customer would fill the class's bound, and the
  // class's other customers would be refused until the burst is served.
  return IsWithinShare(
    aFlow.queue.Size(), 1, aRequest.classQueueBound - classState.size);
}

bool
RequestQueue::IsWithinMemory(const QueuedRequest& aRequest,
                             const Flow& aFlow) const
{
  // Lower tiers are not counted: EvictOverflow removes them for this request.
  const QueueUsage usage =
    this->waiting.UsageAtOrAbove(internal::TierOf(aRequest));
  if (usage.size >= this->bounds.requests ||
      usage.bytes + aRequest.bytes > this->bounds.bytes) {
    return false;
  }
  if (aRequest.resumed) {
    return true;
  }
  // Otherwise one burst would fill the queue, and the other classes and
  // customers of its tier and below would be refused however little they hold.
  const ClassState& classState =
    this->waiting.Flows().ClassAt(aFlow.classIndex);
  return AreWithinShares(classState.size,
                         aFlow.queue.Size(),
                         1,
                         this->bounds.requests - usage.size) &&
         AreWithinShares(classState.bytes,
                         aFlow.bytes,
                         aRequest.bytes,
                         this->bounds.bytes - usage.bytes);
}

std::vector<RequestId>
RequestQueue::EvictOverflow()
{
  // IsWithinMemory has checked that the new request fits beside its own and
  // higher tiers, so only requests of lower tiers are evicted here.
  std::vector<RequestId> evicted;
  while (this->Size() > this->bounds.requests ||
         this->Bytes() > this->bounds.bytes) {
    const SlabIndex entry = this->waiting.FirstToEvict();
    evicted.push_back(this->waiting.At(entry).id);
    this->Remove(evicted.back());
  }
  return evicted;
}

std::optional<RequestQueue::Choice>
RequestQueue::Choose(TimePoint aNow)
{
  this->waiting.AdvanceTo(aNow);
  if (this->Size() == 0) {
    return std::nullopt;
  }
  const SlabIndex byTier = this->waiting.FirstByTier();
  const std::optional<SlabIndex> overdue = this->waiting.FirstOverdue();
  if (!overdue || this->CreditAtNextStart() < kCreditOfOneStart) {
    return Choice{ byTier, false, false };
  }
  // An overdue class uses up its turn also when its request is first by tier
  // and displaces none. Otherwise it would stay at the front of the rotation,
  // and the classes behind it would starve for as long as it has work.
  return Choice{ *overdue, true, *overdue != byTier };
}

std::int64_t
RequestQueue::CreditAtNextStart() const
{
  return std::min(this->overdueCredit + this->overdueCreditPerStart,
                  kCreditOfOneStart);
}

void
RequestQueue::ChargeStart(const QueuedRequest& aRequest, SlabIndex aFlow)
{
  Flow& flow = this->waiting.Flows().At(aFlow);
  const double expected =
    this->lengths.Mean(aRequest.className, aRequest.customer);
  const double output =
    std::min(expected, static_cast<double>(aRequest.maxTokens));
  flow.outstandingCharges.push_back(output);
  const double tokens =
    static_cast<double>(aRequest.promptTokens) + kOutputTokenCost * output;
  // Requests of services without tokens are charged one token each.
  this->waiting.Charge(aFlow, std::max(1.0, tokens));
}

} // namespace dogwoodvale
