#include "FlowTable.h"

#include <algorithm>

namespace dogwoodvale::internal {

namespace {

/// Maximum number of idle flows kept. A customer can lose its accumulated
/// charge only by staying idle until this many other flows have become idle
/// after it.
constexpr std::size_t kMaxIdleFlows = 4096;

double
PositiveOrOne(double aWeight)
{
  return aWeight > 0 ? aWeight : 1;
}

} // namespace

Tier
TierOf(const QueuedRequest& aRequest)
{
  return std::min<Tier>(aRequest.tier, kTierCount - 1);
}

SlabIndex
FlowTable::FindOrCreate(const QueuedRequest& aRequest)
{
  const SlabIndex classIndex = this->FindOrCreateClass(aRequest);
  auto& classFlows = this->classes.At(classIndex).flows;
  auto found = classFlows.find(aRequest.customer);
  if (found == classFlows.end()) {
    Flow flow;
    flow.customer = aRequest.customer;
    flow.classIndex = classIndex;
    const SlabIndex index = this->flows.Add(std::move(flow));
    found = classFlows.emplace(aRequest.customer, index).first;
  }
  this->flows.At(found->second).fair.weight =
    PositiveOrOne(aRequest.customerWeight);
  return found->second;
}

std::optional<SlabIndex>
FlowTable::FindRunning(const ClassName& aClass,
                       const CustomerName& aCustomer) const
{
  std::optional<SlabIndex> running;
  this->VisitClass(aClass, [&](const ClassState& aState) {
    const auto found = aState.flows.find(aCustomer);
    if (found != aState.flows.end() &&
        !this->flows.At(found->second).outstandingCharges.empty()) {
      running = found->second;
    }
  });
  return running;
}

void
FlowTable::UpdateIdle(SlabIndex aFlow)
{
  Flow& flow = this->flows.At(aFlow);
  if (flow.IsIdle() == (flow.idleSequence != 0)) {
    return;
  }
  if (flow.idleSequence != 0) {
    this->idle.erase({ flow.idleSequence, aFlow });
    flow.idleSequence = 0;
    return;
  }
  flow.idleSequence = ++this->lastIdleSequence;
  this->idle.emplace(flow.idleSequence, aFlow);
  if (this->idle.size() > kMaxIdleFlows) {
    this->EvictLongestIdle();
  }
}

SlabIndex
FlowTable::FindOrCreateClass(const QueuedRequest& aRequest)
{
  const Tier tier = TierOf(aRequest);
  auto& index = this->classIndices[aRequest.className].at(tier);
  if (!index) {
    ClassState state;
    state.name = aRequest.className;
    state.tier = tier;
    index = this->classes.Add(std::move(state));
  }
  this->classes.At(*index).fair.weight = PositiveOrOne(aRequest.classWeight);
  return *index;
}

void
FlowTable::EvictLongestIdle()
{
  const SlabIndex index = this->idle.begin()->second;
  this->idle.erase(this->idle.begin());
  const Flow flow = this->flows.Take(index);
  ClassState& classState = this->classes.At(flow.classIndex);
  classState.flows.erase(flow.customer);
  if (!classState.flows.empty()) {
    return;
  }
  const ClassState removed = this->classes.Take(flow.classIndex);
  const auto found = this->classIndices.find(removed.name);
  found->second.at(removed.tier).reset();
  if (std::none_of(found->second.begin(),
                   found->second.end(),
                   [](const auto& aIndex) { return aIndex.has_value(); })) {
    this->classIndices.erase(found);
  }
}

} // namespace dogwoodvale::internal
