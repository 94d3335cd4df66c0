#ifndef DOGWOODVALE_REQUESTS_IDEMPOTENCYCLAIMS_H
#define DOGWOODVALE_REQUESTS_IDEMPOTENCYCLAIMS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "IdempotencyClaim.h"
#include "dogwoodvale/Core"
#include "dogwoodvale/Routing"

namespace dogwoodvale {

/// Bounds of the claims that one entry makes.
struct IdempotencyClaimsSettings
{
  /// Prefixes that the claims are spread over, so that one can be listed in
  /// one read to collect it.
  std::uint32_t shards = 256;
  /// Claims a second that this entry may make; the store takes several hundred
  /// writes a second from all processes together.
  double claimsPerSecond = 20.0;
  double burst = 40.0;
  /// A repeat that comes later than this is a new request.
  seconds keep{ 24 * 3600 };
};

/// The claims of idempotency keys that one entry makes in the store.
class IdempotencyClaims
{
public:
  explicit IdempotencyClaims(IdempotencyClaimsSettings aSettings = {});

  /// Opens a claim for a keyed request. \return nothing when the write budget
  /// is spent: refuse the request as not run (RateLimited).
  /// \param aWriter the request's first id; no other request may use it.
  /// \param aWallMillis the wall clock, for collection by age.
  std::optional<IdempotencyClaim> Open(const CustomerName& aCustomer,
                                       std::string_view aIdempotencyKey,
                                       const RequestId& aWriter,
                                       std::int64_t aWallMillis,
                                       TimePoint aNow);

  /// "claims/SHARD/", which lists one shard.
  std::string ShardPrefix(std::uint32_t aShard) const;
  std::uint32_t ShardCount() const { return this->settings.shards; }

  /// Whether the collector may delete a claim.
  bool IsExpired(const ClaimRecord& aRecord, std::int64_t aWallMillis) const;

private:
  IdempotencyClaimsSettings settings;
  TokenBucket writes;
};

} // namespace dogwoodvale

#endif
