#ifndef DOGWOODVALE_SETTINGS_DAEMONSETTINGS_H
#define DOGWOODVALE_SETTINGS_DAEMONSETTINGS_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "MemoryShares.h"
#include "dogwoodvale/Core"

namespace dogwoodvale {

enum class Role
{
  Entry,
  Sidecar,
  /// An entry that speaks to backend servers directly, with no sidecar.
  Gateway,
};

std::string_view
RoleName(Role aRole);

/// The names that settings may give to a chooser of backend servers and to the
/// order of a queue; Routing and Scheduling make them.
inline constexpr std::array<std::string_view, 5> kChooserNames{
  "least_loaded",
  "least_loaded_of_two",
  "least_connections",
  "round_robin",
  "random"
};
inline constexpr std::array<std::string_view, 3> kGatewayChooserNames{
  "expected_delay",
  "least_requests",
  "round_robin"
};
inline constexpr std::array<std::string_view, 3> kQueuePolicyNames{ "tiered",
                                                                    "fifo",
                                                                    "strict" };

/// Where the platform's services are.
struct PlatformSettings
{
  std::vector<SocketAddress> store;
  std::optional<SocketAddress> instanceList;
  Duration listPeriod = seconds(5);
  Duration storeTimeout = milliseconds(1000);
  /// Bound on this process's own calls to the store.
  double storeCallsPerSecond = 20;

  bool operator==(const PlatformSettings&) const = default;
};

/// Settings of an entry.
struct EntrySettings
{
  SocketAddress callers;
  std::size_t maxRequestBytes = 4U << 20U;
  std::size_t maxConnections = 10000;
  /// Sidecars connected to, for each service.
  std::size_t subsetSize = 20;
  std::string chooser = "least_loaded";
  /// Tries of one request in all.
  int maxAttempts = 4;
  /// How long an entry that stops still accepts, so that the balancer notices.
  Duration drainGrace = seconds(2);
  /// Memory that the process may use, in MiB.
  std::uint32_t memoryMegabytes = 2048;
  /// Bound on answer bytes held for one slow caller.
  std::size_t callerBufferBytes = 256U << 10U;

  bool operator==(const EntrySettings&) const = default;
};

/// Settings of a sidecar.
struct SidecarSettings
{
  /// Its one backend server and the service that it belongs to.
  SocketAddress backend;
  std::string service;
  std::string policy = "tiered";
  std::size_t queueBytes = 256U << 20U;
  std::size_t queueRequests = 20000;
  /// Most requests at the backend server at once; the limit learns below it.
  std::uint32_t maxConcurrency = 64;
  std::uint32_t minConcurrency = 1;
  bool adaptiveConcurrency = true;
  bool preemption = true;
  /// Silence from the backend server after which an attempt is given up.
  Duration backendIdleTimeout = seconds(30);
  /// Share of starts that may go to overdue lower tiers.
  double overdueShare = 0.1;

  bool operator==(const SidecarSettings&) const = default;
};

/// Mechanisms of a gateway's choice that can be switched off, to measure what
/// each is worth at a site. All are on unless the settings say otherwise.
struct GatewayDecisions
{
  /// Interactive requests have servers of their own, see ReservedServers.
  bool reservedServers = true;
  /// A shared part that no server holds has one server to read it, see
  /// HomeScore().
  bool homeServers = true;
  /// Only reading that comes first by rank counts as a request's wait.
  bool rankedReading = true;
  /// A server copies cached parts of a prompt from another one, see
  /// CacheFetchPolicy.
  bool cacheFetch = true;
  /// Prompts that will be late let the others pass, see Timeliness.
  bool lateLast = true;
  /// Requests that crash servers are kept from them, see CrashLedger.
  bool quarantine = true;
  /// Only requests that come first by rank count as ahead in a full server's
  /// queue.
  bool rankedTurns = true;
  /// What gateways have learned outlives their loss, see WarmState.
  bool warmStart = true;
  /// Gateways with the same list of backend servers read it for each other.
  bool sharedReads = true;
  /// Loads that servers report are used, see ReportedLoads.
  bool reportedLoad = true;
  /// Where servers state how fast they are, requests are placed by predicted
  /// times, see DecodeModel.
  bool predictedTimes = true;
  /// Requests of later ranks wait while earlier ones go without an answer, see
  /// RankGuard. Off unless a deployment asks for it.
  bool rankGuard = false;
  /// Customers beyond their share of a service that is short of capacity are
  /// served after the others, see CustomerShares. Off unless a deployment asks
  /// for it: the requests of its largest customers then pay for every shortage.
  bool customerShares = false;
  /// A server gets no more requests than its memory holds, see LacksMemory().
  /// Off unless a deployment asks for it.
  bool memoryAdmission = false;

  bool operator==(const GatewayDecisions&) const = default;
};

/// What one process at a time does for all, see Duties.
struct DutySettings
{
  /// Where duties are carried out; none where there are none.
  std::optional<SocketAddress> api;
  /// Names of duties, as the receiver calls them.
  std::vector<std::string> assigned;
  /// How long a holder that is not heard of stays the holder.
  Duration lease = seconds(3);
  Duration usageWindow = seconds(5);
  /// From a window's end until its report is due.
  Duration usageDue = seconds(10);

  bool operator==(const DutySettings&) const = default;
};

/// Settings of a gateway.
struct GatewaySettings
{
  SocketAddress callers;
  /// Other gateways that may be asked while the store gives no answer.
  std::vector<SocketAddress> seeds;
  /// Retries that all gateways together may add to a service in any window:
  /// this share of its requests, and a fixed number besides.
  double retryRatio = 0.1;
  Duration retryWindow = seconds(10);
  std::uint32_t retryExtra = 10;
  /// A backend server that has said that it leaves gets no new work after this.
  Duration instanceDrain = seconds(2);
  /// An accepted change of the routes must be in force everywhere after this.
  Duration routesApply = seconds(2);
  /// How long a request that crashes servers is kept from them.
  Duration quarantine = seconds(600);
  /// From the order to stop until the process is killed.
  Duration stopGrace = seconds(8);
  /// File descriptors that the process may hold.
  std::uint32_t descriptors = 4096;
  /// Memory that the process may use, in MiB.
  std::uint32_t memoryMegabytes = 128;
  /// How backend servers are chosen, one of kGatewayChooserNames.
  std::string chooser = "expected_delay";
  GatewayDecisions decisions;
  DutySettings duties;

  bool operator==(const GatewaySettings&) const = default;
};

/// A sidecar that the settings name.
struct StaticInstance
{
  InstanceName name;
  std::string service;
  DataCentreName dataCentre;
  SocketAddress address;
};

/// A process's settings, whole and checked.
struct DaemonSettings
{
  Role role = Role::Entry;
  InstanceName instance;
  DataCentreName dataCentre;
  RegionName region;
  /// For the other processes (sidecar and entry).
  SocketAddress peers;
  /// For operators: metrics, health, status.
  SocketAddress operators;
  /// Shared by all processes of the system; others get nothing.
  std::string peerSecret;
  PlatformSettings platform;
  /// A configuration used when the store and the peers give none, for small
  /// sites and tests; relative to the settings file.
  std::string configurationFile;
  /// Backend servers known without the platform's list, for small sites.
  std::vector<StaticInstance> staticInstances;
  /// Longest time a planned stop waits for work in flight.
  Duration stopTimeout = seconds(600);
  EntrySettings entry;
  SidecarSettings sidecar;
  GatewaySettings gateway;
};

/// Parses and checks settings.
///
/// \param aFile the name for findings.
/// \param aFindings gets every finding, with its place; when it stays empty
/// the returned settings may be used.
DaemonSettings
ParseDaemonSettings(std::string_view aText,
                    std::string_view aFile,
                    Findings& aFindings);

/// Reads the file and parses it; a file that can't be read is a finding.
DaemonSettings
LoadDaemonSettings(const std::string& aPath, Findings& aFindings);

} // namespace dogwoodvale

#endif
