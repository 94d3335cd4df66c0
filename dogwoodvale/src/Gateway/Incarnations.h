#ifndef DOGWOODVALE_GATEWAY_INCARNATIONS_H
#define DOGWOODVALE_GATEWAY_INCARNATIONS_H

#include <functional>
#include <map>
#include <span>
#include <vector>

#include "Ports.h"

namespace dogwoodvale {

/// When the latest known incarnation of each server began, by the name that the
/// server goes by.
using IncarnationStarts = std::map<InstanceName, std::uint64_t>;

/// Backend servers by the name of their incarnation.
using Instances = std::map<InstanceName, DirectInstance>;

/// When the latest incarnation of each server that was read began.
/// \param aKnown the same until now.
IncarnationStarts
LatestStarts(const IncarnationStarts& aKnown,
             std::span<const DirectInstance> aRead);

/// The latest incarnation of each server that was read. A list that is read
/// late, or told by another gateway, may still have the one before: sending to
/// it would undo what is known of its successor.
Instances
LatestIncarnations(const IncarnationStarts& aLatest,
                   std::vector<DirectInstance> aRead);

/// Adds what \p aKnown has of servers that \p aMerged lacks.
/// \param aIsGone entries that are not kept.
void
KeepMissing(Instances& aMerged,
            const Instances& aKnown,
            const std::function<bool(const DirectInstance&)>& aIsGone);

} // namespace dogwoodvale

#endif
