#ifndef DOGWOODVALE_PLACEMENT_CACHEFETCH_H
#define DOGWOODVALE_PLACEMENT_CACHEFETCH_H

#include <memory>
#include <optional>
#include <random>
#include <span>

#include "DirectChoice.h"

namespace dogwoodvale {

/// A server from which another copies what it lacks of a prompt.
struct FetchSource
{
  InstanceName instance;
  /// What the copy saves the other one to read.
  std::uint32_t tokens = 0;
};

/// Whether a server copies cached parts of a prompt from another one instead
/// of reading them again, and from which.
///
/// Copying 6,300 tokens takes some 15 ms where reading them takes 150. In a
/// rush at 24 modelled engines with small caches 0.59 of the long prompts are
/// in time with copies and 0.49 without (three seeds,
/// test/PlacementUnderLoad.cpp). Requests still go first of all to a server
/// that holds their parts: a copy takes room in a second cache, and with copies
/// everywhere other parts are pushed out.
///
/// A source that is gone, has restarted or no longer holds the part costs the
/// read that there would have been without it; the answer is the same.
class CacheFetchPolicy
{
public:
  virtual ~CacheFetchPolicy() = default;

  /// \param aCandidates servers of the service, of which \p aChosen gets the
  /// request.
  virtual std::optional<FetchSource> SourceFor(
    std::span<const DirectCandidate> aCandidates,
    std::size_t aChosen,
    std::mt19937_64& aRandom) const = 0;

  /// \param aFetches whether servers fetch at all, a setting of the gateway.
  static std::unique_ptr<CacheFetchPolicy> Create(bool aFetches);
};

} // namespace dogwoodvale

#endif
