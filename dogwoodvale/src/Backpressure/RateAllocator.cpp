#include "RateAllocator.h"

#include <algorithm>
#include <utility>

#include "dogwoodvale/Routing"

namespace dogwoodvale {

namespace {

/// Share of a server's rate that is divided among the holders.
constexpr double kSafetyFactor = 0.95;

/// Requests that all holders together may save up.
double
TotalBurst(double aPerSecond)
{
  return aPerSecond + RateAllocator::kExtraBurst;
}

} // namespace

RateAllocator::RateAllocator(InstanceName aSelf, Duration aSettle)
  : self(std::move(aSelf))
  , settle(aSettle)
{
}

void
RateAllocator::SetGateways(std::span<const InstanceName> aNames, TimePoint aNow)
{
  std::vector<InstanceName> names(aNames.begin(), aNames.end());
  std::ranges::sort(names);
  if (!this->memberships.empty() &&
      this->memberships.back().gateways == names) {
    return;
  }
  if (this->memberships.empty()) {
    this->SuspendShares(aNow);
  } else {
    this->memberships.back().replacedAt = aNow;
  }
  this->memberships.push_back({ std::move(names), {} });
  ++this->version;
}

void
RateAllocator::SuspendShares(TimePoint aNow)
{
  this->isActive = false;
  this->suspendedUntil = aNow + this->settle;
  ++this->version;
}

std::uint64_t
RateAllocator::Version(TimePoint aNow)
{
  if (!this->isActive && aNow >= this->suspendedUntil) {
    this->isActive = true;
    ++this->version;
  }
  const auto expired =
    std::erase_if(this->memberships, [&](const Membership& aMembership) {
      return aMembership.replacedAt != TimePoint{} &&
             Between(aMembership.replacedAt, aNow) >= this->settle;
    });
  this->version += expired;
  return this->version;
}

std::size_t
RateAllocator::HolderCount(double aPerSecond, std::size_t aGateways)
{
  const double maxHolders =
    std::min(TotalBurst(aPerSecond), static_cast<double>(aGateways));
  return static_cast<std::size_t>(maxHolders);
}

std::vector<InstanceName>
RateAllocator::EligibleGateways(const Membership& aMembership,
                                const InstanceName& aServer,
                                std::size_t aCells) const
{
  if (aCells <= 1) {
    return aMembership.gateways;
  }
  std::vector<InstanceName> inCell;
  const std::size_t cell = CellOf(aServer, aCells);
  std::ranges::copy_if(
    aMembership.gateways, std::back_inserter(inCell), [&](const auto& aName) {
      return CellOf(aName, aCells) == cell;
    });
  return inCell;
}

RateShare
RateAllocator::ShareOf(const InstanceName& aServer,
                       double aPerSecond,
                       std::size_t aCells) const
{
  if (!this->isActive) {
    return {};
  }
  std::size_t maxHolders = 0;
  for (const Membership& membership : this->memberships) {
    const auto gateways = this->EligibleGateways(membership, aServer, aCells);
    const std::size_t count = HolderCount(aPerSecond, gateways.size());
    const auto holders = ChooseSubset(aServer, gateways, count);
    if (std::ranges::find(holders, this->self) == holders.end()) {
      return {};
    }
    maxHolders = std::max(maxHolders, count);
  }
  const auto holders = static_cast<double>(maxHolders);
  return { kSafetyFactor * aPerSecond / holders,
           TotalBurst(aPerSecond) / holders };
}

} // namespace dogwoodvale
