#include "IdempotencyClaims.h"

#include <xxhash.h>

namespace dogwoodvale {

IdempotencyClaims::IdempotencyClaims(IdempotencyClaimsSettings aSettings)
  : settings(aSettings)
  , writes(aSettings.claimsPerSecond, aSettings.burst)
{
}

std::optional<IdempotencyClaim>
IdempotencyClaims::Open(const CustomerName& aCustomer,
                        std::string_view aIdempotencyKey,
                        const RequestId& aWriter,
                        std::int64_t aWallMillis,
                        TimePoint aNow)
{
  if (!this->writes.TryTake(1.0, aNow)) {
    return std::nullopt;
  }
  // The length prefix keeps different pairs of customer and key from yielding
  // the same text.
  const std::string scoped = fmt::format(
    "{}:{}{}", aCustomer.Value().size(), aCustomer.Value(), aIdempotencyKey);
  const XXH128_hash_t hash = XXH3_128bits(scoped.data(), scoped.size());
  const auto shard =
    static_cast<std::uint32_t>(hash.low64 % this->settings.shards);
  std::string key = fmt::format(
    "{}{:016x}{:016x}", this->ShardPrefix(shard), hash.high64, hash.low64);
  return IdempotencyClaim(std::move(key), ClaimRecord{ aWriter, aWallMillis });
}

std::string
IdempotencyClaims::ShardPrefix(std::uint32_t aShard) const
{
  return fmt::format("claims/{:04x}/", aShard);
}

bool
IdempotencyClaims::IsExpired(const ClaimRecord& aRecord,
                             std::int64_t aWallMillis) const
{
  const auto ttlMillis = milliseconds(this->settings.timeToLive).count();
  return aWallMillis - aRecord.createdMillis > ttlMillis;
}

} // namespace dogwoodvale
