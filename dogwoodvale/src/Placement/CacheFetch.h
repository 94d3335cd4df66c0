#ifndef DOGWOODVALE_PLACEMENT_CACHEFETCH_H
#define DOGWOODVALE_PLACEMENT_CACHEFETCH_H

#include <memory>
#include <optional>
#include <random>
#include <span>

#include "DirectChoice.h"

namespace dogwoodvale {

/// A server from whose KV cache another copies the part of a prompt that it
/// lacks.
struct FetchSource
{
  InstanceName instance;
  /// Tokens that the other one need not prefill because of the copy.
  std::uint32_t tokens = 0;
};

/// Decides whether a server copies cached parts of a prompt from another one
/// instead of prefilling them again, and from which.
///
/// Copying 6,300 tokens takes some 15 ms, prefilling them 150 ms. In an
/// overload of 24 simulated engines with small caches, 0.59 of the long prompts
/// are in time with copies and 0.49 without (three seeds,
/// test/PlacementUnderLoad.cpp). Requests still prefer a server that has their
/// parts cached: a copy takes room in a second cache, and copies everywhere
/// would evict other parts.
///
/// If the source is gone, has restarted or no longer holds the part, the server
/// prefills it as it would have without a source; the answer is the same.
class CacheFetchPolicy
{
public:
  virtual ~CacheFetchPolicy() = default;

  /// \param aCandidates servers of the service.
  /// \param aChosen index of the one that gets the request.
  /// \return nothing if it should not copy.
  virtual std::optional<FetchSource> SourceFor(
    std::span<const DirectCandidate> aCandidates,
    std::size_t aChosen,
    std::mt19937_64& aRandom) const = 0;

  /// \param aFetches whether servers copy at all, a setting of the gateway.
  static std::unique_ptr<CacheFetchPolicy> Create(bool aFetches);
};

} // namespace dogwoodvale

#endif
