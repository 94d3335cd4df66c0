#include "RequestQueue.h"

#include <algorithm>
#include <cmath>

#include "QueuePolicy.h"

namespace dogwoodvale {

using internal::ClassState;
using internal::Flow;
using internal::Held;
using internal::OverdueRotation;
using internal::SlabIndex;

namespace {

constexpr std::int64_t kWholeStart = 1000000;

/// Whether one who holds \p aHeld may take \p aMore of the \p aLeft that are
/// free. \sa RequestQueue::kSharingFactor
bool
IsWithinShare(std::uint64_t aHeld, std::uint64_t aMore, std::uint64_t aLeft)
{
  return aHeld + aMore <= RequestQueue::kSharingFactor * aLeft;
}

/// Whether class and customer each stay within their share of one resource.
bool
AreWithinShares(std::uint64_t aClassHeld,
                std::uint64_t aCustomerHeld,
                std::uint64_t aMore,
                std::uint64_t aLeft)
{
  if (!IsWithinShare(aClassHeld, aMore, aLeft)) {
    return false;
  }
  const std::uint64_t leftToClass =
    RequestQueue::kSharingFactor * aLeft - aClassHeld;
  return IsWithinShare(aCustomerHeld, aMore, leftToClass);
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
  , credit(kWholeStart)
  , creditPerStart(std::max<std::int64_t>(
      1,
      std::llround(aBounds.overdueShare * static_cast<double>(kWholeStart))))
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
  const SlabIndex index = this->waiting.Flows().Provide(aRequest);
  const Flow& flow = this->waiting.Flows().At(index);
  if (!this->IsWithinClassBound(aRequest, flow)) {
    result.verdict = EnqueueVerdict::RefusedClassBound;
  } else if (!this->IsWithinMemory(aRequest, flow)) {
    result.verdict = EnqueueVerdict::RefusedMemory;
  } else {
    this->waiting.Insert(aRequest, index);
  }
  this->waiting.Flows().RefreshIdle(index);
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
  this->credit = this->CreditAtNextStart();
  if (choice->displaces) {
    this->credit -= kWholeStart;
  }
  const SlabIndex flow = this->waiting.FlowOf(choice->entry);
  QueuedRequest started = this->waiting.Extract(choice->entry);
  started.startedOverdue = choice->usesTurn;
  if (choice->usesTurn) {
    this->waiting.PassTurn(flow);
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
  this->waiting.Flows().RefreshIdle(flow);
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
  // The charges of one customer in one class come off in the order they were
  // made; in sum that is right whichever of its requests ends first.
  Flow& flow = this->waiting.Flows().At(*index);
  const double charged = flow.charged.front();
  flow.charged.pop_front();
  const double missing = static_cast<double>(aTokensGenerated) - charged;
  this->waiting.Charge(*index, kOutputTokenCost * missing);
  this->waiting.Flows().RefreshIdle(*index);
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
  return this->waiting.HeldAtOrAbove(aTier).size;
}

Duration
RequestQueue::OldestWait(const ClassName& aClass, TimePoint aNow) const
{
  Duration oldest{ 0 };
  const auto consider = [&](SlabIndex aFlow) {
    const SlabIndex entry = this->waiting.Flows().At(aFlow).line.Oldest();
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
  const ClassState& owner = this->waiting.Flows().ClassAt(aFlow.classIndex);
  if (owner.size >= aRequest.classQueueBound) {
    return false;
  }
  // Without this, one customer's burst fills its class's bound and the class's
  // other customers are refused until it is worked off.
  return IsWithinShare(
    aFlow.line.Size(), 1, aRequest.classQueueBound - owner.size);
}

bool
RequestQueue::IsWithinMemory(const QueuedRequest& aRequest,
                             const Flow& aFlow) const
{
  // Lower tiers do not count: they are evicted for the newcomer.
  const Held held = this->waiting.HeldAtOrAbove(internal::TierOf(aRequest));
  if (held.size >= this->bounds.requests ||
      held.bytes + aRequest.bytes > this->bounds.bytes) {
    return false;
  }
  if (aRequest.resumed) {
    return true;
  }
  // Without this, one burst fills the memory, and the other classes and
  // customers of its tier and below are refused however little they hold.
  const ClassState& owner = this->waiting.Flows().ClassAt(aFlow.classIndex);
  return AreWithinShares(owner.size,
                         aFlow.line.Size(),
                         1,
                         this->bounds.requests - held.size) &&
         AreWithinShares(owner.bytes,
                         aFlow.bytes,
                         aRequest.bytes,
                         this->bounds.bytes - held.bytes);
}

std::vector<RequestId>
RequestQueue::EvictOverflow()
{
  // IsWithinMemory has made sure that the newcomer fits beside its own and
  // higher tiers, so whatever goes here is of a tier below it.
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
  if (!overdue || this->CreditAtNextStart() < kWholeStart) {
    return Choice{ byTier, false, false };
  }
  // A class that is also first by tier uses up its turn, though it displaces
  // nobody: else it would stay in front of the rotation, and the classes behind
  // it would starve for as long as it has work.
  return Choice{ *overdue, true, *overdue != byTier };
}

std::int64_t
RequestQueue::CreditAtNextStart() const
{
  return std::min(this->credit + this->creditPerStart, kWholeStart);
}

void
RequestQueue::ChargeStart(const QueuedRequest& aRequest, SlabIndex aFlow)
{
  Flow& flow = this->waiting.Flows().At(aFlow);
  const double expected =
    this->lengths.Mean(aRequest.className, aRequest.customer);
  const double output =
    std::min(expected, static_cast<double>(aRequest.maxTokens));
  flow.charged.push_back(output);
  const double tokens =
    static_cast<double>(aRequest.promptTokens) + kOutputTokenCost * output;
  // Plain services have no tokens; there each request counts the same.
  this->waiting.Charge(aFlow, std::max(1.0, tokens));
}

} // namespace dogwoodvale
