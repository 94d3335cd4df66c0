#ifndef DOGWOODVALE_STORE_STOREKEYS_H
#define DOGWOODVALE_STORE_STOREKEYS_H

#include <string>
#include <string_view>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Keys and key prefixes in the platform's store.
inline constexpr std::string_view kRootKey = "/dogwoodvale/config/root";
inline constexpr std::string_view kPagePrefix = "/dogwoodvale/config/pages/";
/// Earlier configuration roots, by epoch.
inline constexpr std::string_view kPastRootPrefix =
  "/dogwoodvale/config/roots/";

/// \param aHash SHA-256 of the page's content, in hexadecimal.
std::string
PageKey(std::string_view aHash);

/// The claim on an idempotency key.
/// \param aShard derived from a hash of the idempotency key.
std::string
ClaimKey(std::uint32_t aShard, std::string_view aIdempotencyKey);

/// The slot of one backend server, whose holder may send orders to it; see
/// SlotLease.
std::string
SlotKey(const InstanceName& aInstance);

} // namespace dogwoodvale

#endif
