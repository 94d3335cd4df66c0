#ifndef DOGWOODVALE_TOOLS_LOAD_TIERORDER_H
#define DOGWOODVALE_TOOLS_LOAD_TIERORDER_H

#include <vector>

#include "tools/load/HistoryChecker.h"
#include "tools/load/HistoryIndex.h"

namespace dogwoodvale::load {

/// The part of Check that judges tier order.
/// \sa Check for the criterion
std::vector<Violation>
CheckTierOrder(const HistoryIndex& aIndex, const Rules& aRules);

} // namespace dogwoodvale::load

#endif
