#include "Fingerprint.h"

#include <cstring>

#include <xxhash.h>

namespace dogwoodvale {

namespace {

Fingerprint
KeyedFingerprint(std::string_view aText, std::string_view aSecret)
{
  const std::string digest = KeyedDigest(aText, aSecret);
  Fingerprint fingerprint = 0;
  std::memcpy(&fingerprint, digest.data(), sizeof(fingerprint));
  return fingerprint;
}

} // namespace

Fingerprint
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
  return KeyedFingerprint(text, aSecret);
}

Fingerprint
FingerprintOfPart(const CustomerName& aCustomer,
                  std::uint64_t aId,
                  std::string_view aSecret)
{
  return KeyedFingerprint(
    fmt::format("part\n{}\n{:016x}", aCustomer.Value(), aId), aSecret);
}

std::string
FingerprintText(Fingerprint aFingerprint)
{
  return fmt::format("{:016x}", aFingerprint);
}

} // namespace dogwoodvale
