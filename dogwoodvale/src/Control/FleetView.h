#ifndef DOGWOODVALE_CONTROL_FLEETVIEW_H
#define DOGWOODVALE_CONTROL_FLEETVIEW_H

#include <optional>
#include <span>
#include <string>
#include <vector>

#include <json/json.h>

#include "dogwoodvale/Store"

namespace dogwoodvale {

/// Ends the tool's wait in any case; above what a client that watches for
/// progress needs for a large answer on a narrow link.
inline constexpr Duration kLongestTransfer = std::chrono::minutes(10);

/// What one process says of itself.
struct ProcessStatus
{
  SocketAddress address;
  /// Why there is no document.
  absl::Status status;
  /// Its /statusz.
  Json::Value document;

  bool IsReached() const { return this->status.ok(); }
  std::string Text(const char* aField) const;
  bool Flag(const char* aField) const;
  Epoch HeldEpoch() const;
};

/// Addresses of the operators' side of processes, and of the store.
struct SiteAddresses
{
  std::vector<SocketAddress> store;
  std::vector<SocketAddress> processes;
};

/// Reads {"store":["IP:PORT"],"processes":["IP:PORT"]} or
/// {"store":[...],"entries":[{"operators":"IP:PORT"}],"sidecars":[...]}.
SiteAddresses
ReadSite(const std::string& aPath, Findings& aFindings);

/// Parses "IP:PORT,IP:PORT".
std::vector<SocketAddress>
ParseAddresses(std::string_view aText,
               const Place& aPlace,
               Findings& aFindings);

/// Asks the processes of a fleet, many at a time.
class FleetView
{
public:
  FleetView(EventLoop& aLoop,
            std::vector<SocketAddress> aProcesses,
            Duration aTimeout)
    : loop(aLoop)
    , processes(std::move(aProcesses))
    , timeout(aTimeout)
  {
  }

  bool IsEmpty() const { return this->processes.empty(); }
  std::vector<ProcessStatus> Read();
  void Sleep(Duration aFor);
  /// The configuration that a process holds, whole.
  absl::StatusOr<ConfigurationBundle> ReadConfiguration(
    const SocketAddress& aProcess);

private:
  EventLoop& loop;
  std::vector<SocketAddress> processes;
  Duration timeout;
};

/// The process that holds the highest epoch; nullptr if none was reached.
const ProcessStatus*
Highest(std::span<const ProcessStatus> aProcesses);

} // namespace dogwoodvale

#endif
