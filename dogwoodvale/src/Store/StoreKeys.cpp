#include "dogwoodvale/Store"

#include <fmt/format.h>

namespace dogwoodvale {

std::string
PageKey(std::string_view aHash)
{
  return fmt::format("{}{}", kPagePrefix, aHash);
}

std::string
ClaimKey(std::uint32_t aShard, std::string_view aIdempotencyKey)
{
  return fmt::format("/dogwoodvale/claims/{}/{}", aShard, aIdempotencyKey);
}

std::string
SlotKey(const InstanceName& aInstance)
{
  return fmt::format("/dogwoodvale/slots/{}", aInstance.Value());
}

} // namespace dogwoodvale
