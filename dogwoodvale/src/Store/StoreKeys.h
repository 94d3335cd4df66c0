#ifndef DOGWOODVALE_STORE_STOREKEYS_H
#define DOGWOODVALE_STORE_STOREKEYS_H

#include <string>
#include <string_view>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Where things lie in the platform's store.
inline constexpr std::string_view kRootKey = "/dogwoodvale/config/root";
inline constexpr std::string_view kPagePrefix = "/dogwoodvale/config/pages/";
/// Roots of the past, by epoch.
inline constexpr std::string_view kPastRootPrefix =
  "/dogwoodvale/config/roots/";

std::string
PageKey(std::string_view aHash);

/// A claim on an idempotency key. \param aShard from a hash of the key.
std::string
ClaimKey(std::uint32_t aShard, std::string_view aIdempotencyKey);

/// The slot beside one backend server.
std::string
SlotKey(const InstanceName& aInstance);

} // namespace dogwoodvale

#endif
