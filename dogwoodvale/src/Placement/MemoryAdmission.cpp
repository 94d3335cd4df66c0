#include "MemoryAdmission.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// Fraction of the cache that expected requests may take. The rest is for the
/// growth that estimates miss: a request that runs cannot be moved when its
/// answer becomes longer than expected. If the lengths of 50 concurrent answers
/// deviate from the expected ones by as much as these are, their sum deviates
/// by 1 / sqrt(50) = 0.14. Where answers take half of the memory, as with
/// prompts of some hundred tokens, two such deviations are 0.14 of the cache.
constexpr double kUsableFraction = 0.85;

} // namespace

bool
LacksMemory(std::uint64_t aCacheTokens,
            const MemoryUse& aUse,
            std::uint64_t aAddedTokens)
{
  if (aCacheTokens == 0) {
    return false;
  }
  const double requests = static_cast<double>(aUse.requests) + 1;
  const double running =
    aUse.slots > 0 ? std::min<double>(requests, aUse.slots) : requests;
  const double tokens =
    (static_cast<double>(aUse.heldTokens) + static_cast<double>(aAddedTokens)) *
    running / requests;
  return tokens > kUsableFraction * static_cast<double>(aCacheTokens);
}

} // namespace dogwoodvale
