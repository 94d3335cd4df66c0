#include "FlowTable.h"

#include <algorithm>

namespace dogwoodvale::internal {

namespace {

/// To shed what it was charged, a customer would have to stay away until this
/// many others had left after it.
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
FlowTable::Provide(const QueuedRequest& aRequest)
{
  const SlabIndex classIndex = this->ProvideClass(aRequest);
  auto& owned = this->classes.At(classIndex).flows;
  auto found = owned.find(aRequest.customer);
  if (found == owned.end()) {
    Flow flow;
    flow.customer = aRequest.customer;
    flow.classIndex = classIndex;
    const SlabIndex index = this->flows.Add(std::move(flow));
    found = owned.emplace(aRequest.customer, index).first;
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
        !this->flows.At(found->second).charged.empty()) {
      running = found->second;
    }
  });
  return running;
}

void
FlowTable::RefreshIdle(SlabIndex aFlow)
{
  Flow& flow = this->flows.At(aFlow);
  if (flow.IsIdle() == (flow.idleSince != 0)) {
    return;
  }
  if (flow.idleSince != 0) {
    this->idle.erase({ flow.idleSince, aFlow });
    flow.idleSince = 0;
    return;
  }
  flow.idleSince = ++this->idleCount;
  this->idle.emplace(flow.idleSince, aFlow);
  if (this->idle.size() > kMaxIdleFlows) {
    this->ForgetLongestIdle();
  }
}

SlabIndex
FlowTable::ProvideClass(const QueuedRequest& aRequest)
{
  const Tier tier = TierOf(aRequest);
  auto& place = this->places[aRequest.className].at(tier);
  if (!place) {
    ClassState state;
    state.name = aRequest.className;
    state.tier = tier;
    place = this->classes.Add(std::move(state));
  }
  this->classes.At(*place).fair.weight = PositiveOrOne(aRequest.classWeight);
  return *place;
}

void
FlowTable::ForgetLongestIdle()
{
  const SlabIndex index = this->idle.begin()->second;
  this->idle.erase(this->idle.begin());
  const Flow flow = this->flows.Take(index);
  ClassState& owner = this->classes.At(flow.classIndex);
  owner.flows.erase(flow.customer);
  if (!owner.flows.empty()) {
    return;
  }
  const ClassState gone = this->classes.Take(flow.classIndex);
  const auto found = this->places.find(gone.name);
  found->second.at(gone.tier).reset();
  if (std::none_of(found->second.begin(),
                   found->second.end(),
                   [](const auto& aPlace) { return aPlace.has_value(); })) {
    this->places.erase(found);
  }
}

} // namespace dogwoodvale::internal
