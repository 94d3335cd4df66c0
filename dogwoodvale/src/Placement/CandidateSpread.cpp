#include "CandidateSpread.h"

#include <algorithm>
#include <functional>

namespace dogwoodvale {

namespace {

/// Candidates that are left. With n servers each is among those of a request
/// with probability 3/n, so of 170 requests at 55 servers at most 9 are sent to
/// the same one before its load is reported. With two, more requests pass over
/// the servers that have free slots; with eight, 25 go to the same one.
constexpr std::size_t kFew = 3;

} // namespace

void
SpreadCandidates(std::vector<DirectCandidate>& aCandidates,
                 std::mt19937_64& aRandom)
{
  std::ranges::shuffle(aCandidates, aRandom);
  // Not std::ranges, whose version clang-tidy 14 can't compile.
  std::stable_partition(
    aCandidates.begin(), aCandidates.end(), std::not_fn(IsUnavailable));
  if (aCandidates.size() > kFew) {
    aCandidates.resize(kFew);
  }
}

} // namespace dogwoodvale
