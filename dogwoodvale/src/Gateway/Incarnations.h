#ifndef DOGWOODVALE_GATEWAY_INCARNATIONS_H
#define DOGWOODVALE_GATEWAY_INCARNATIONS_H

#include <functional>
#include <map>
#include <span>
#include <vector>

#include "Ports.h"

namespace dogwoodvale {

/// Start of the latest known incarnation of each server
/// (DirectInstance::started), by the name of the server.
using IncarnationStarts = std::map<InstanceName, std::uint64_t>;

/// Backend servers by the name of their incarnation.
using Instances = std::map<InstanceName, DirectInstance>;

/// Start of the latest incarnation of each server in \p aRead.
/// \param aKnown the starts known so far.
IncarnationStarts
LatestStarts(const IncarnationStarts& aKnown,
             std::span<const DirectInstance> aRead);

/// The latest incarnation of each server in \p aRead. A stale read, or another
/// gateway's list, may still have the previous one; using it would discard what
/// is known of its successor.
/// \param aLatest must have each server of \p aRead, see LatestStarts().
Instances
LatestIncarnations(const IncarnationStarts& aLatest,
                   std::vector<DirectInstance> aRead);

/// Adds the entries of \p aKnown whose servers are missing from \p aMerged.
/// \param aIsGone whether an entry is left out.
void
AddMissing(Instances& aMerged,
           const Instances& aKnown,
           const std::function<bool(const DirectInstance&)>& aIsGone);

} // namespace dogwoodvale

#endif
