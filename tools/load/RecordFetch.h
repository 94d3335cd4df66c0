#ifndef DOGWOODVALE_TOOLS_LOAD_RECORDFETCH_H
#define DOGWOODVALE_TOOLS_LOAD_RECORDFETCH_H

#include <span>
#include <string>
#include <vector>

#include "tools/load/Execution.h"

namespace dogwoodvale::load {

/// Asks each stand-in for its record of executions.
///
/// \param aDirectory where to save each as IP-PORT.json; empty for nowhere.
/// \return all executions, or an error that names each stand-in which gave no
/// record.
absl::StatusOr<std::vector<Execution>>
FetchRecords(EventLoop& aLoop,
             std::span<const SocketAddress> aStandIns,
             const std::string& aDirectory);

} // namespace dogwoodvale::load

#endif
