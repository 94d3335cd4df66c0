#include "EarlyRefusal.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// Mean number of requests per slot from which all servers count as full.
constexpr double kOverloadedMeanLoad = 1.5;

} // namespace

bool
ShouldRefuseEarly(const LoadReport& aOwn, std::uint32_t aRefusalsLeft)
{
  const bool hasFreeSlot = aOwn.running + aOwn.queued < aOwn.limit;
  return !hasFreeSlot && aRefusalsLeft > 0;
}

std::uint32_t
AllowedRefusals(const BackendTable& aTable)
{
  if (aTable.MeanLoad() >= kOverloadedMeanLoad) {
    return 0;
  }
  const std::size_t usable = aTable.UsableCount();
  return static_cast<std::uint32_t>(
    std::min<std::size_t>(usable == 0 ? 0 : usable - 1, kMaxEarlyRefusals));
}

} // namespace dogwoodvale
