#ifndef DOGWOODVALE_ROUTING_EARLYREFUSAL_H
#define DOGWOODVALE_ROUTING_EARLYREFUSAL_H

#include <cstdint>

#include "BackendTable.h"
#include "LoadReport.h"

namespace dogwoodvale {

/// How often a sidecar may refuse a request early and send it elsewhere.
inline constexpr std::uint32_t kMaxEarlyRefusals = 2;

/// The sidecar's side: whether to refuse a request at once, not run, because it
/// would have to wait here and may not have to elsewhere.
///
/// An entry's picture of the load is seconds old where it sends little. The
/// sidecar's is exact, and a hop costs a round trip of a few milliseconds,
/// against the wait for a slot.
///
/// \param aOwn the sidecar's load as it is now.
/// \param aRefusalsLeft what the entry allowed, with the request.
bool
ShouldRefuseEarly(const LoadReport& aOwn, std::uint32_t aRefusalsLeft);

/// The entry's side: how many early refusals to allow a new request. None where
/// no other server is usable, or all are believed full: there refusals would
/// only multiply the messages of an overload.
std::uint32_t
AllowedRefusals(const BackendTable& aTable);

} // namespace dogwoodvale

#endif
