#ifndef DOGWOODVALE_PLACEMENT_CANDIDATESPREAD_H
#define DOGWOODVALE_PLACEMENT_CANDIDATESPREAD_H

#include <random>
#include <vector>

#include "DirectChoice.h"

namespace dogwoodvale {

/// Reduces the candidates to a random few, so that gateways which see the same
/// loads do not all choose the same server within one period of their digests.
///
/// Load: an overload at many gateways. Thirty of them with 380 to 1,200
/// requests a second send 55 to 170 within a period. All see the same server as
/// the best one; it gets more requests than it has slots, and they queue there
/// while other servers are idle.
///
/// Servers that should get no request are left only if there are too few
/// others, see IsUnavailable().
void
SpreadCandidates(std::vector<DirectCandidate>& aCandidates,
                 std::mt19937_64& aRandom);

} // namespace dogwoodvale

#endif
