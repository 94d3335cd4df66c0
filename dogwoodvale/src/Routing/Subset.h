#ifndef DOGWOODVALE_ROUTING_SUBSET_H
#define DOGWOODVALE_ROUTING_SUBSET_H

#include <cstddef>
#include <span>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Chooses the \p aSize servers that an entry keeps connections to, by
/// rendezvous hashing. The result doesn't depend on the order of \p aServers,
/// and a server that leaves or joins changes at most one element.
///
/// \return the subset in descending order of hash, so that a smaller \p aSize
/// keeps the first ones; all of \p aServers if there are at most \p aSize.
std::vector<InstanceName>
ChooseSubset(const InstanceName& aEntry,
             std::span<const InstanceName> aServers,
             std::size_t aSize);

} // namespace dogwoodvale

#endif
