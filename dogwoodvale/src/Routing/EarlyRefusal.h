#ifndef DOGWOODVALE_ROUTING_EARLYREFUSAL_H
#define DOGWOODVALE_ROUTING_EARLYREFUSAL_H

#include <cstdint>

#include "BackendTable.h"
#include "LoadReport.h"

namespace dogwoodvale {

/// Maximum number of early refusals per request.
inline constexpr std::uint32_t kMaxEarlyRefusals = 2;

/// Called by the sidecar: whether to refuse a request immediately, without
/// running it, because it would queue here and might not at another server.
///
/// The load data of an entry that sends a server few requests can be seconds
/// old, while the sidecar knows its own load exactly. Trying another server
/// costs a round trip of a few milliseconds, which is less than the wait for a
/// slot.
///
/// \param aOwn the sidecar's current load.
/// \param aRefusalsLeft early refusals that the entry still allows for this
/// request.
bool
ShouldRefuseEarly(const LoadReport& aOwn, std::uint32_t aRefusalsLeft);

/// Called by the entry: the number of early refusals to allow a new request. 0
/// when no other server is usable, or when the mean load shows that all servers
/// are full: refusals would then only multiply the messages in an overload.
std::uint32_t
AllowedRefusals(const BackendTable& aTable);

} // namespace dogwoodvale

#endif
