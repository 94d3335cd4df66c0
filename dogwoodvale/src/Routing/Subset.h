#ifndef DOGWOODVALE_ROUTING_SUBSET_H
#define DOGWOODVALE_ROUTING_SUBSET_H

#include <cstddef>
#include <span>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// The \p aSize servers that an entry keeps connections to, by rendezvous
/// hashing: the same names give the same subset in whatever order they come,
/// and a server that leaves or joins changes at most one slot.
///
/// \return all of \p aServers when there are no more than \p aSize; ordered by
/// descending hash, so the first ones are kept when \p aSize shrinks.
std::vector<InstanceName>
ChooseSubset(const InstanceName& aEntry,
             std::span<const InstanceName> aServers,
             std::size_t aSize);

} // namespace dogwoodvale

#endif
