#include "WaitingRequests.h"

#include <algorithm>

namespace dogwoodvale::internal {

std::optional<SlabIndex>
WaitingRequests::Find(const RequestId& aId) const
{
  const auto found = this->entryById.find(aId);
  return found == this->entryById.end() ? std::nullopt
                                        : std::optional(found->second);
}

std::vector<RequestId>
WaitingRequests::SortedIds() const
{
  std::vector<RequestId> ids;
  ids.reserve(this->entryById.size());
  for (const auto& [id, entry] : this->entryById) {
    ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

void
WaitingRequests::Insert(const QueuedRequest& aRequest, SlabIndex aFlow)
{
  const SlabIndex entry = this->entries.Add({ aRequest, aFlow });
  this->entryById.emplace(aRequest.id, entry);
  Flow& flow = this->flows.At(aFlow);
  ClassState& classState = this->flows.ClassAt(flow.classIndex);
  flow.queue.Add(aRequest, entry);
  this->UpdateTotals(aRequest, aFlow, true);
  if (!flow.fair.active) {
    classState.customers.Activate(flow.fair, aFlow);
  }
  if (!classState.fair.active) {
    this->tiers.at(classState.tier)
      .classes.Activate(classState.fair, flow.classIndex);
  }
  this->UpdateRotation(aFlow);
}

QueuedRequest
WaitingRequests::Extract(SlabIndex aEntry)
{
  Entry taken = this->entries.Take(aEntry);
  this->entryById.erase(taken.request.id);
  Flow& flow = this->flows.At(taken.flow);
  ClassState& classState = this->flows.ClassAt(flow.classIndex);
  flow.queue.Remove(taken.request, aEntry);
  this->UpdateTotals(taken.request, taken.flow, false);
  if (flow.queue.IsEmpty()) {
    classState.customers.Deactivate(flow.fair, taken.flow);
  }
  if (classState.size == 0) {
    this->tiers.at(classState.tier)
      .classes.Deactivate(classState.fair, flow.classIndex);
  }
  this->UpdateRotation(taken.flow);
  return std::move(taken.request);
}

void
WaitingRequests::AdvanceTo(TimePoint aNow)
{
  this->now = std::max(this->now, aNow);
  while (const auto classIndex = this->overdueClasses.FirstDue(this->now)) {
    const OverdueRotation& customers =
      this->flows.ClassAt(*classIndex).overdueCustomers;
    this->UpdateRotation(*customers.FirstDue(this->now));
  }
}

SlabIndex
WaitingRequests::FirstByTier() const
{
  const auto highest =
    std::find_if(this->tiers.begin(),
                 this->tiers.end(),
                 [](const TierState& aTier) { return aTier.usage.size > 0; });
  const ClassState& first = this->flows.ClassAt(highest->classes.First());
  return this->flows.At(first.customers.First()).queue.Next(this->now);
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
  return this->flows.At(*customers.FirstOverdue()).queue.Oldest();
}

void
WaitingRequests::MoveToBackOfRotation(SlabIndex aFlow)
{
  Flow& flow = this->flows.At(aFlow);
  ClassState& classState = this->flows.ClassAt(flow.classIndex);
  if (flow.rotation.turn) {
    classState.overdueCustomers.MoveToBack(flow.rotation, aFlow);
  }
  if (classState.rotation.turn) {
    this->overdueClasses.MoveToBack(classState.rotation, flow.classIndex);
  }
}

SlabIndex
WaitingRequests::FirstToEvict() const
{
  const auto lowest =
    std::find_if(this->tiers.rbegin(),
                 this->tiers.rend(),
                 [](const TierState& aTier) { return aTier.usage.size > 0; });
  // Evicting the newest lets the oldest requests keep their position and be
  // served eventually.
  return this->flows.At(lowest->flowsByBytes.rbegin()->second).queue.Newest();
}

void
WaitingRequests::Charge(SlabIndex aFlow, double aTokens)
{
  Flow& flow = this->flows.At(aFlow);
  ClassState& classState = this->flows.ClassAt(flow.classIndex);
  classState.customers.Charge(flow.fair, aFlow, aTokens);
  this->tiers.at(classState.tier)
    .classes.Charge(classState.fair, flow.classIndex, aTokens);
}

QueueUsage
WaitingRequests::UsageAtOrAbove(Tier aTier) const
{
  QueueUsage sum;
  for (std::size_t tier = 0; tier <= aTier && tier < kTierCount; ++tier) {
    sum.size += this->tiers.at(tier).usage.size;
    sum.bytes += this->tiers.at(tier).usage.bytes;
  }
  return sum;
}

void
WaitingRequests::UpdateTotals(const QueuedRequest& aRequest,
                              SlabIndex aFlow,
                              bool aAdded)
{
  Flow& flow = this->flows.At(aFlow);
  ClassState& classState = this->flows.ClassAt(flow.classIndex);
  TierState& tier = this->tiers.at(classState.tier);
  tier.flowsByBytes.erase({ flow.bytes, aFlow });
  // Subtraction adds the negated value; unsigned arithmetic wraps, so the
  // totals stay exact.
  const std::uint64_t bytes = aAdded ? aRequest.bytes : -aRequest.bytes;
  const std::size_t one = aAdded ? 1 : -std::size_t{ 1 };
  flow.bytes += bytes;
  classState.bytes += bytes;
  tier.usage.bytes += bytes;
  classState.size += one;
  tier.usage.size += one;
  if (!flow.queue.IsEmpty()) {
    tier.flowsByBytes.emplace(flow.bytes, aFlow);
  }
}

void
WaitingRequests::UpdateRotation(SlabIndex aFlow)
{
  Flow& flow = this->flows.At(aFlow);
  ClassState& classState = this->flows.ClassAt(flow.classIndex);
  std::optional<TimePoint> due;
  if (!flow.queue.IsEmpty()) {
    due = flow.queue.Due();
  }
  const bool overdue = due && *due <= this->now;
  OverdueRotation& customers = classState.overdueCustomers;
  customers.SetOverdue(flow.rotation, aFlow, overdue);
  customers.SetDue(flow.rotation, aFlow, overdue ? std::nullopt : due);
  this->overdueClasses.SetOverdue(
    classState.rotation, flow.classIndex, customers.FirstOverdue().has_value());
  this->overdueClasses.SetDue(
    classState.rotation, flow.classIndex, customers.NextDue());
}

} // namespace dogwoodvale::internal
