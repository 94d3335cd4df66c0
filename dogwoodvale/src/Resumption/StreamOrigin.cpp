#include "StreamOrigin.h"

#include <cstring>

namespace dogwoodvale {

StreamKey
StreamKeyOf(const CustomerName& aCustomer,
            std::string_view aAttemptId,
            std::string_view aSecret)
{
  if (aAttemptId.empty()) {
    return 0;
  }
  const std::string digest = KeyedDigest(
    fmt::format("stream\n{}\n{}", aCustomer.Value(), aAttemptId), aSecret);
  StreamKey key = 0;
  std::memcpy(&key, digest.data(), sizeof(key));
  return key;
}

bool
IsSameSoftware(std::string_view aLeft, std::string_view aRight)
{
  return !aLeft.empty() && aLeft == aRight;
}

} // namespace dogwoodvale
