#include "WaitingRequests.h"

#include <algorithm>

namespace dogwoodvale::internal {

std::optional<SlabIndex>
WaitingRequests::Find(const RequestId& aId) const
{
  const auto found = this->places.find(aId);
  return found == this->places.end() ? std::nullopt
                                     : std::optional(found->second);
}

std::vector<RequestId>
WaitingRequests::SortedIds() const
{
  std::vector<RequestId> ids;
  ids.reserve(this->places.size());
  for (const auto& [id, entry] : this->places) {
    ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

void
WaitingRequests::Insert(const QueuedRequest& aRequest, SlabIndex aFlow)
{
  const SlabIndex entry = this->entries.Add({ aRequest, aFlow });
  this->places.emplace(aRequest.id, entry);
  Flow& flow = this->flows.At(aFlow);
  ClassState& owner = this->flows.ClassAt(flow.classIndex);
  flow.line.Add(aRequest, entry);
  this->Count(aRequest, aFlow, true);
  if (!flow.fair.active) {
    owner.customers.Activate(flow.fair, aFlow);
  }
  if (!owner.fair.active) {
    this->tiers.at(owner.tier).classes.Activate(owner.fair, flow.classIndex);
  }
  this->RefreshRotation(aFlow);
}

QueuedRequest
WaitingRequests::Extract(SlabIndex aEntry)
{
  Entry taken = this->entries.Take(aEntry);
  this->places.erase(taken.request.id);
  Flow& flow = this->flows.At(taken.flow);
  ClassState& owner = this->flows.ClassAt(flow.classIndex);
  flow.line.Remove(taken.request, aEntry);
  this->Count(taken.request, taken.flow, false);
  if (flow.line.IsEmpty()) {
    owner.customers.Deactivate(flow.fair, taken.flow);
  }
  if (owner.size == 0) {
    this->tiers.at(owner.tier).classes.Deactivate(owner.fair, flow.classIndex);
  }
  this->RefreshRotation(taken.flow);
  return std::move(taken.request);
}

void
WaitingRequests::AdvanceTo(TimePoint aNow)
{
  this->latest = std::max(this->latest, aNow);
  while (const auto classIndex = this->overdueClasses.FirstDue(this->latest)) {
    const OverdueRotation& customers =
      this->flows.ClassAt(*classIndex).overdueCustomers;
    this->RefreshRotation(*customers.FirstDue(this->latest));
  }
}

SlabIndex
WaitingRequests::FirstByTier() const
{
  const auto highest =
    std::find_if(this->tiers.begin(),
                 this->tiers.end(),
                 [](const TierState& aTier) { return aTier.held.size > 0; });
  const ClassState& first = this->flows.ClassAt(highest->classes.First());
  return this->flows.At(first.customers.First()).line.Next(this->latest);
}

std::optional<SlabIndex>
WaitingRequests::FirstOverdue() const
{
  const auto classIndex = this->overdueClasses.FirstOverdue();
  if (!classIndex) {
    return std::nullopt;
  }
  const OverdueRotation& customers =
    this->flows.ClassAt(*classIndex).overdueCustomers;
  return this->flows.At(*customers.FirstOverdue()).line.Oldest();
}

void
WaitingRequests::PassTurn(SlabIndex aFlow)
{
  Flow& flow = this->flows.At(aFlow);
  ClassState& owner = this->flows.ClassAt(flow.classIndex);
  if (flow.rotation.turn) {
    owner.overdueCustomers.MoveToBack(flow.rotation, aFlow);
  }
  if (owner.rotation.turn) {
    this->overdueClasses.MoveToBack(owner.rotation, flow.classIndex);
  }
}

SlabIndex
WaitingRequests::FirstToEvict() const
{
  const auto lowest =
    std::find_if(this->tiers.rbegin(),
                 this->tiers.rend(),
                 [](const TierState& aTier) { return aTier.held.size > 0; });
  // The oldest keep their place and are served in the end.
  return this->flows.At(lowest->holdings.rbegin()->second).line.Newest();
}

void
WaitingRequests::Charge(SlabIndex aFlow, double aTokens)
{
  Flow& flow = this->flows.At(aFlow);
  ClassState& owner = this->flows.ClassAt(flow.classIndex);
  owner.customers.Charge(flow.fair, aFlow, aTokens);
  this->tiers.at(owner.tier)
    .classes.Charge(owner.fair, flow.classIndex, aTokens);
}

Held
WaitingRequests::HeldAtOrAbove(Tier aTier) const
{
  Held sum;
  for (std::size_t tier = 0; tier <= aTier && tier < kTierCount; ++tier) {
    sum.size += this->tiers.at(tier).held.size;
    sum.bytes += this->tiers.at(tier).held.bytes;
  }
  return sum;
}

void
WaitingRequests::Count(const QueuedRequest& aRequest,
                       SlabIndex aFlow,
                       bool aAdded)
{
  Flow& flow = this->flows.At(aFlow);
  ClassState& owner = this->flows.ClassAt(flow.classIndex);
  TierState& tier = this->tiers.at(owner.tier);
  tier.holdings.erase({ flow.bytes, aFlow });
  // Taking away adds the two's complement, which is exact for unsigned types.
  const std::uint64_t bytes = aAdded ? aRequest.bytes : -aRequest.bytes;
  const std::size_t one = aAdded ? 1 : -std::size_t{ 1 };
  flow.bytes += bytes;
  owner.bytes += bytes;
  tier.held.bytes += bytes;
  owner.size += one;
  tier.held.size += one;
  if (!flow.line.IsEmpty()) {
    tier.holdings.emplace(flow.bytes, aFlow);
  }
}

void
WaitingRequests::RefreshRotation(SlabIndex aFlow)
{
  Flow& flow = this->flows.At(aFlow);
  ClassState& owner = this->flows.ClassAt(flow.classIndex);
  std::optional<TimePoint> due;
  if (!flow.line.IsEmpty()) {
    due = flow.line.Due();
  }
  const bool overdue = due && *due <= this->latest;
  OverdueRotation& customers = owner.overdueCustomers;
  customers.SetOverdue(flow.rotation, aFlow, overdue);
  customers.SetDue(flow.rotation, aFlow, overdue ? std::nullopt : due);
  this->overdueClasses.SetOverdue(
    owner.rotation, flow.classIndex, customers.FirstOverdue().has_value());
  this->overdueClasses.SetDue(
    owner.rotation, flow.classIndex, customers.NextDue());
}

} // namespace dogwoodvale::internal
