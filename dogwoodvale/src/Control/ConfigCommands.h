#ifndef DOGWOODVALE_CONTROL_CONFIGCOMMANDS_H
#define DOGWOODVALE_CONTROL_CONFIGCOMMANDS_H

#include <functional>
#include <optional>
#include <string>

#include "CommandResult.h"
#include "ConfigurationStore.h"
#include "FleetView.h"

namespace dogwoodvale {

/// Is told how far a waiting command has got; for a terminal.
using Progress = std::function<void(const std::string&)>;

/// How an operator wants a change applied.
struct ApplyOptions
{
  std::string author;
  std::string comment;
  /// Only if the store (or the fleet, if ahead of it) still holds this epoch.
  std::optional<Epoch> expectEpoch;
  /// Wait until it is in force in every process.
  bool wait = false;
  Duration waitTimeout = seconds(30);
};

CommandResult
ValidateConfiguration(const std::string& aPath);

CommandResult
DiffConfiguration(const std::string& aPath, ConfigurationStore& aStore);

/// Validates, brings a store that is behind the fleet up to it, and applies.
CommandResult
ApplyConfiguration(const std::string& aPath,
                   const ApplyOptions& aOptions,
                   ConfigurationStore& aStore,
                   FleetView& aFleet,
                   const Progress& aProgress);

/// Re-applies the fleet's configuration to a store that is behind it.
CommandResult
RepairStore(ConfigurationStore& aStore, FleetView& aFleet);

CommandResult
ShowConfiguration(ConfigurationStore& aStore, std::optional<Epoch> aEpoch);

CommandResult
ConfigurationHistory(ConfigurationStore& aStore);

/// Which processes have which epoch, and how the store stands to them.
CommandResult
ConfigurationStatus(ConfigurationStore* aStore, FleetView& aFleet);

CommandResult
PruneConfiguration(ConfigurationStore& aStore, std::size_t aKeep);

} // namespace dogwoodvale

#endif
