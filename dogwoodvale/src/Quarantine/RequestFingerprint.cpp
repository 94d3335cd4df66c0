#include "RequestFingerprint.h"

#include <cstring>

#include <xxhash.h>

namespace dogwoodvale {

RequestFingerprint
FingerprintOf(const RequestContent& aContent, std::string_view aSecret)
{
  // The body may be megabytes: it is hashed by the fast unkeyed function, and
  // only the short text that contains the result by the slower keyed one.
  const XXH128_hash_t body =
    XXH3_128bits(aContent.body.data(), aContent.body.size());
  const std::string text = fmt::format("{}\n{}\n{}\n{:016x}{:016x}",
                                       aContent.customer.Value(),
                                       aContent.method,
                                       aContent.path,
                                       body.high64,
                                       body.low64);
  const std::string digest = KeyedDigest(text, aSecret);
  RequestFingerprint fingerprint = 0;
  std::memcpy(&fingerprint, digest.data(), sizeof(fingerprint));
  return fingerprint;
}

std::string
FingerprintText(RequestFingerprint aFingerprint)
{
  return fmt::format("{:016x}", aFingerprint);
}

} // namespace dogwoodvale
