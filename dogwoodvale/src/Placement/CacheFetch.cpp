#include "CacheFetch.h"

namespace dogwoodvale {

namespace {

/// Fewer tokens are prefilled before a transfer has started: a round trip
/// between servers takes 2 to 3 ms, in which an engine with 43 tokens per
/// millisecond prefills 100 tokens and one with 157 prefills 400.
constexpr std::uint32_t kMinFetchedTokens = 256;

class NoFetch final : public CacheFetchPolicy
{
public:
  std::optional<FetchSource> SourceFor(
    std::span<const DirectCandidate> /*aCandidates*/,
    std::size_t /*aChosen*/,
    std::mt19937_64& /*aRandom*/) const override
  {
    return std::nullopt;
  }
};

/// Fetches from one of the servers that hold most of the prompt, preferably in
/// the same data centre. Ties are broken at random, as transfers from one
/// source queue on its link.
class FetchFromHolder final : public CacheFetchPolicy
{
public:
  std::optional<FetchSource> SourceFor(
    std::span<const DirectCandidate> aCandidates,
    std::size_t aChosen,
    std::mt19937_64& aRandom) const override
  {
    const DirectCandidate& chosen = aCandidates[aChosen];
    const DirectCandidate* best = nullptr;
    std::uint32_t ties = 0;
    for (const DirectCandidate& candidate : aCandidates) {
      if (!IsSource(candidate, chosen)) {
        continue;
      }
      const int order =
        best == nullptr ? 1 : Compare(candidate, *best, chosen.dataCentre);
      if (order > 0) {
        best = &candidate;
        ties = 1;
      } else if (order == 0 && std::uniform_int_distribution<std::uint32_t>(
                                 0, ties++)(aRandom) == 0) {
        best = &candidate;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    return FetchSource{ best->name, best->cachedTokens - chosen.cachedTokens };
  }

private:
  /// A server that is ejected or probing may not answer, and the server that
  /// fetches from it would wait for it. Cached parts fit only servers of the
  /// same software version.
  static bool IsSource(const DirectCandidate& aCandidate,
                       const DirectCandidate& aChosen)
  {
    return aCandidate.healthState == HealthState::InService &&
           IsSameSoftware(aCandidate.softwareVersion,
                          aChosen.softwareVersion) &&
           aCandidate.cachedTokens >= aChosen.cachedTokens + kMinFetchedTokens;
  }

  /// \return above 0 if \p aLeft is the better source, 0 if both are as good.
  static int Compare(const DirectCandidate& aLeft,
                     const DirectCandidate& aRight,
                     const DataCentreName& aNear)
  {
    if (aLeft.cachedTokens != aRight.cachedTokens) {
      return aLeft.cachedTokens > aRight.cachedTokens ? 1 : -1;
    }
    return static_cast<int>(aLeft.dataCentre == aNear) -
           static_cast<int>(aRight.dataCentre == aNear);
  }
};

} // namespace

std::unique_ptr<CacheFetchPolicy>
CacheFetchPolicy::Create(bool aFetches)
{
  if (aFetches) {
    return std::make_unique<FetchFromHolder>();
  }
  return std::make_unique<NoFetch>();
}

} // namespace dogwoodvale
