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

/// Limits for the claims that one entry creates.
struct IdempotencyClaimsSettings
{
  /// Number of key prefixes that claims are spread over, so that the claims of
  /// one prefix can be listed in a single read for collection.
  std::uint32_t shards = 256;
  /// Claims per second that this entry may create; the store handles several
  /// hundred writes per second from all processes together.
  double claimsPerSecond = 20.0;
  /// Claims that may be created at once.
  double burst = 40.0;
  /// Lifetime of a claim; a repeat that arrives later is a new request.
  seconds timeToLive{ 24 * 3600 };
};

/// Creates this entry's claims on idempotency keys, within a write budget.
class IdempotencyClaims
{
public:
  explicit IdempotencyClaims(IdempotencyClaimsSettings aSettings = {});

  /// Opens a claim for a request with an idempotency key. \return nullopt if
  /// the write budget is used up: reject the request as not run (RateLimited).
  /// \param aWriter the request's first id; no other request may use it.
  /// \param aWallMillis wall clock in ms, from which the claim's age counts.
  std::optional<IdempotencyClaim> Open(const CustomerName& aCustomer,
                                       std::string_view aIdempotencyKey,
                                       const RequestId& aWriter,
                                       std::int64_t aWallMillis,
                                       TimePoint aNow);

  /// The key prefix of one shard, "claims/SHARD/".
  std::string ShardPrefix(std::uint32_t aShard) const;
  std::uint32_t ShardCount() const { return this->settings.shards; }

  /// Whether a claim has exceeded its time to live and may be deleted.
  /// \param aWallMillis wall clock in ms.
  bool IsExpired(const ClaimRecord& aRecord, std::int64_t aWallMillis) const;

private:
  IdempotencyClaimsSettings settings;
  TokenBucket writes;
};

} // namespace dogwoodvale

#endif
