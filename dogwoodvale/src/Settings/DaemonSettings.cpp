#include "dogwoodvale/Settings"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace dogwoodvale {

namespace {

constexpr IntegerBounds kSecretLength{ 16, 256 };
constexpr IntegerBounds kListPeriodMs{ 100, 600'000 };
constexpr IntegerBounds kStoreTimeoutMs{ 10, 60'000 };
constexpr NumberBounds kStoreCallsPerSecond{ 0.01, 1000 };
constexpr IntegerBounds kStopTimeoutMs{ 0, 24LL * 3600 * 1000 };

constexpr IntegerBounds kRequestBytes{ 1024, 256LL << 20U };
constexpr IntegerBounds kConnections{ 1, 1'000'000 };
constexpr IntegerBounds kSubsetSize{ 1, 10'000 };
constexpr IntegerBounds kAttempts{ 1, 16 };
constexpr IntegerBounds kDrainGraceMs{ 0, 600'000 };
constexpr IntegerBounds kCallerBufferBytes{ 4096, 64LL << 20U };

constexpr IntegerBounds kQueueBytes{ 1LL << 16U, 64LL << 30U };
constexpr IntegerBounds kQueueRequests{ 1, 10'000'000 };
constexpr IntegerBounds kConcurrency{ 1, 65'536 };
constexpr IntegerBounds kBackendIdleMs{ 100, 3'600'000 };
constexpr NumberBounds kOverdueShare{ 0, 0.5 };

constexpr NumberBounds kRetryRatio{ 0, 10 };
constexpr NumberBounds kBoundSeconds{ 0.001, 3600 };
constexpr NumberBounds kRetryExtra{ 0, 1'000'000 };
constexpr NumberBounds kBoundMs{ 1, 3'600'000 };
constexpr NumberBounds kDescriptors{ 64, 10'000'000 };
constexpr NumberBounds kMemoryMb{ MemoryShares::kSmallest, 1'000'000 };

constexpr NumberBounds kLeaseMs{ 1000, 600'000 };

constexpr std::size_t kMaxStaticInstances = 100'000;
constexpr std::size_t kMaxStoreAddresses = 16;

std::string
ResolveBeside(std::string_view aFile, const std::string& aPath)
{
  const std::filesystem::path path(aPath);
  if (path.is_absolute()) {
    return aPath;
  }
  return (std::filesystem::path(aFile).parent_path() / path).string();
}

bool
ReadWholeFile(const std::string& aPath, std::string& aText)
{
  std::ifstream stream(aPath, std::ios::binary);
  if (!stream || std::filesystem::is_directory(aPath)) {
    return false;
  }
  aText.assign(std::istreambuf_iterator<char>(stream), {});
  return !stream.bad();
}

void
ReadAddressList(const ReadScope& aScope,
                const Json::Value& aList,
                std::string_view aKey,
                std::vector<SocketAddress>& aTarget)
{
  if (aList.size() > kMaxStoreAddresses) {
    aScope.Add(aList,
               fmt::format("\"{}\" has {} addresses; at most {} allowed",
                           aKey,
                           aList.size(),
                           kMaxStoreAddresses));
  }
  for (const Json::Value& item : aList) {
    auto address =
      SocketAddress::Parse(item.isString() ? item.asString() : std::string());
    if (address.ok()) {
      aTarget.push_back(*std::move(address));
    } else {
      aScope.Add(item, std::string(address.status().message()));
    }
  }
}

void
ReadPlatform(const ReadScope& aScope,
             const Json::Value& aValue,
             PlatformSettings& aPlatform)
{
  ObjectReader reader(aScope, aValue, "\"platform\"");
  if (const Json::Value* list = reader.FindList("store")) {
    ReadAddressList(aScope, *list, "store", aPlatform.store);
  }
  SocketAddress list;
  if (reader.ReadAddress("instance_list", list)) {
    aPlatform.instanceList = list;
  }
  reader.ReadMilliseconds(
    "list_period_ms", kListPeriodMs, aPlatform.listPeriod);
  reader.ReadMilliseconds(
    "store_timeout_ms", kStoreTimeoutMs, aPlatform.storeTimeout);
  reader.ReadNumber("store_calls_per_second",
                    kStoreCallsPerSecond,
                    aPlatform.storeCallsPerSecond);
  reader.Finish();
}

/// An upper limit on a count; a fraction is rounded down, which keeps it.
void
ReadCountLimit(ObjectReader& aReader,
               std::string_view aKey,
               NumberBounds aBounds,
               std::uint32_t& aTarget)
{
  double value = 0;
  if (aReader.ReadNumber(aKey, aBounds, value)) {
    aTarget = static_cast<std::uint32_t>(value);
  }
}

void
ReadEntry(const ReadScope& aScope,
          const Json::Value& aValue,
          EntrySettings& aEntry)
{
  ObjectReader reader(aScope, aValue, "\"entry\"");
  reader.Require("callers");
  reader.ReadAddress("callers", aEntry.callers);
  reader.ReadInteger(
    "max_request_bytes", kRequestBytes, aEntry.maxRequestBytes);
  reader.ReadInteger("max_connections", kConnections, aEntry.maxConnections);
  reader.ReadInteger("subset_size", kSubsetSize, aEntry.subsetSize);
  reader.ReadChoice("chooser", kChooserNames, aEntry.chooser);
  reader.ReadInteger("max_attempts", kAttempts, aEntry.maxAttempts);
  reader.ReadMilliseconds("drain_grace_ms", kDrainGraceMs, aEntry.drainGrace);
  reader.ReadInteger(
    "caller_buffer_bytes", kCallerBufferBytes, aEntry.callerBufferBytes);
  ReadCountLimit(reader, "memory_mb", kMemoryMb, aEntry.memoryMegabytes);
  reader.Finish();
  const MemoryShares memory(aEntry.memoryMegabytes);
  if (aEntry.maxRequestBytes > memory.LargestBody()) {
    aScope.Add(aValue,
               fmt::format("\"max_request_bytes\" {} does not fit into "
                           "\"memory_mb\" {}: at most {}",
                           aEntry.maxRequestBytes,
                           aEntry.memoryMegabytes,
                           memory.LargestBody()));
  }
}

/// A number of seconds, whole or not.
void
ReadSeconds(ObjectReader& aReader, std::string_view aKey, Duration& aTarget)
{
  constexpr double kMicros = 1e6;
  double value = 0;
  if (aReader.ReadNumber(aKey, kBoundSeconds, value)) {
    aTarget = Duration(static_cast<Duration::rep>(value * kMicros));
  }
}

/// A number of milliseconds, whole or not.
void
ReadBoundMillis(ObjectReader& aReader,
                std::string_view aKey,
                NumberBounds aBounds,
                Duration& aTarget)
{
  constexpr double kMicros = 1e3;
  double value = 0;
  if (aReader.ReadNumber(aKey, aBounds, value)) {
    aTarget = Duration(static_cast<Duration::rep>(value * kMicros));
  }
}

void
ReadDecisions(const ReadScope& aScope,
              const Json::Value& aValue,
              GatewayDecisions& aDecisions)
{
  ObjectReader reader(aScope, aValue, "\"decisions\"");
  reader.ReadBoolean("reserved_servers", aDecisions.reservedServers);
  reader.ReadBoolean("home_servers", aDecisions.homeServers);
  reader.ReadBoolean("ranked_reading", aDecisions.rankedReading);
  reader.ReadBoolean("cache_fetch", aDecisions.cacheFetch);
  reader.ReadBoolean("late_last", aDecisions.lateLast);
  reader.ReadBoolean("quarantine", aDecisions.quarantine);
  reader.ReadBoolean("ranked_turns", aDecisions.rankedTurns);
  reader.ReadBoolean("warm_start", aDecisions.warmStart);
  reader.ReadBoolean("shared_reads", aDecisions.sharedReads);
  reader.ReadBoolean("reported_load", aDecisions.reportedLoad);
  reader.ReadBoolean("predicted_times", aDecisions.predictedTimes);
  reader.ReadBoolean("rank_guard", aDecisions.rankGuard);
  reader.ReadBoolean("customer_shares", aDecisions.customerShares);
  reader.ReadBoolean("memory_admission", aDecisions.memoryAdmission);
  reader.Finish();
}

void
ReadDuties(const ReadScope& aScope,
           const Json::Value& aValue,
           DutySettings& aDuties)
{
  ObjectReader reader(aScope, aValue, "\"duties\"");
  reader.Require("api");
  SocketAddress api;
  if (reader.ReadAddress("api", api)) {
    aDuties.api = api;
  }
  reader.Require("assigned");
  reader.ReadStrings("assigned", aDuties.assigned);
  ReadBoundMillis(reader, "lease_ms", kLeaseMs, aDuties.lease);
  ReadSeconds(reader, "usage_window_s", aDuties.usageWindow);
  ReadSeconds(reader, "usage_due_s", aDuties.usageDue);
  reader.Finish();
}

void
ReadGateway(const ReadScope& aScope,
            const Json::Value& aValue,
            GatewaySettings& aGateway)
{
  ObjectReader reader(aScope, aValue, "\"gateway\"");
  reader.Require("callers");
  reader.ReadAddress("callers", aGateway.callers);
  if (const Json::Value* list = reader.FindList("seeds")) {
    ReadAddressList(aScope, *list, "seeds", aGateway.seeds);
  }
  reader.ReadNumber("retry_ratio", kRetryRatio, aGateway.retryRatio);
  ReadSeconds(reader, "retry_window_s", aGateway.retryWindow);
  ReadCountLimit(reader, "retry_extra", kRetryExtra, aGateway.retryExtra);
  ReadBoundMillis(
    reader, "instance_drain_ms", kBoundMs, aGateway.instanceDrain);
  ReadBoundMillis(reader, "routes_apply_ms", kBoundMs, aGateway.routesApply);
  ReadSeconds(reader, "quarantine_s", aGateway.quarantine);
  ReadSeconds(reader, "stop_grace_s", aGateway.stopGrace);
  ReadCountLimit(reader, "descriptors", kDescriptors, aGateway.descriptors);
  ReadCountLimit(reader, "memory_mb", kMemoryMb, aGateway.memoryMegabytes);
  reader.ReadChoice("chooser", kGatewayChooserNames, aGateway.chooser);
  if (const Json::Value* decisions = reader.Find("decisions")) {
    ReadDecisions(aScope, *decisions, aGateway.decisions);
  }
  if (const Json::Value* duties = reader.Find("duties")) {
    ReadDuties(aScope, *duties, aGateway.duties);
  }
  reader.Finish();
}

void
ReadSidecar(const ReadScope& aScope,
            const Json::Value& aValue,
            SidecarSettings& aSidecar)
{
  ObjectReader reader(aScope, aValue, "\"sidecar\"");
  reader.Require("backend");
  reader.ReadAddress("backend", aSidecar.backend);
  reader.Require("service");
  reader.ReadName("service", aSidecar.service);
  reader.ReadChoice("policy", kQueuePolicyNames, aSidecar.policy);
  reader.ReadInteger("queue_bytes", kQueueBytes, aSidecar.queueBytes);
  reader.ReadInteger("queue_requests", kQueueRequests, aSidecar.queueRequests);
  reader.ReadInteger("max_concurrency", kConcurrency, aSidecar.maxConcurrency);
  reader.ReadInteger("min_concurrency", kConcurrency, aSidecar.minConcurrency);
  reader.ReadBoolean("adaptive_concurrency", aSidecar.adaptiveConcurrency);
  reader.ReadBoolean("preemption", aSidecar.preemption);
  reader.ReadMilliseconds(
    "backend_idle_timeout_ms", kBackendIdleMs, aSidecar.backendIdleTimeout);
  reader.ReadNumber("overdue_share", kOverdueShare, aSidecar.overdueShare);
  reader.Finish();
  if (aSidecar.minConcurrency > aSidecar.maxConcurrency) {
    aScope.Add(aValue,
               fmt::format("\"min_concurrency\" {} is above "
                           "\"max_concurrency\" {}",
                           aSidecar.minConcurrency,
                           aSidecar.maxConcurrency));
  }
}

void
ReadStaticInstances(const ReadScope& aScope,
                    const Json::Value& aList,
                    std::vector<StaticInstance>& aInstances)
{
  if (aList.size() > kMaxStaticInstances) {
    aScope.Add(aList,
               fmt::format("{} instances; at most {} allowed",
                           aList.size(),
                           kMaxStaticInstances));
    return;
  }
  for (const Json::Value& item : aList) {
    StaticInstance instance;
    ObjectReader reader(aScope, item, "a static instance");
    for (const char* key : { "name", "service", "data_centre", "address" }) {
      reader.Require(key);
    }
    reader.ReadName("name", instance.name);
    reader.ReadName("service", instance.service);
    reader.ReadName("data_centre", instance.dataCentre);
    reader.ReadAddress("address", instance.address);
    reader.Finish();
    aInstances.push_back(std::move(instance));
  }
}

/// Reads the secret from the settings or from the file that they name.
void
ReadPeerSecret(ObjectReader& aReader,
               std::string_view aFile,
               std::string& aSecret)
{
  aReader.ReadString("peer_secret", aSecret, kSecretLength);
  const Json::Value* direct = aReader.Find("peer_secret");
  const Json::Value* fromFile = aReader.Find("peer_secret_file");
  if ((direct == nullptr) == (fromFile == nullptr)) {
    aReader.Scope().Add(fromFile == nullptr ? aReader.Object() : *fromFile,
                        "give one of \"peer_secret\" and \"peer_secret_file\"");
    return;
  }
  std::string path;
  if (fromFile == nullptr || !aReader.ReadString("peer_secret_file", path)) {
    return;
  }
  std::string text;
  if (!ReadWholeFile(ResolveBeside(aFile, path), text)) {
    aReader.Scope().Add(*fromFile, "the file can't be read");
    return;
  }
  const std::size_t end = text.find_last_not_of(" \t\r\n");
  text.resize(end == std::string::npos ? 0 : end + 1);
  const auto length = static_cast<std::int64_t>(text.size());
  if (length < kSecretLength.min || length > kSecretLength.max) {
    aReader.Scope().Add(*fromFile,
                        fmt::format("the file's secret has {} bytes; {} to {} "
                                    "allowed",
                                    length,
                                    kSecretLength.min,
                                    kSecretLength.max));
    return;
  }
  aSecret = std::move(text);
}

/// \return whether the role is known, so that its section can be asked for.
bool
ReadRole(ObjectReader& aReader, Role& aRole)
{
  constexpr std::array<std::string_view, 3> kRoles{ "entry",
                                                    "sidecar",
                                                    "gateway" };
  std::string text;
  aReader.Require("role");
  if (!aReader.ReadChoice("role", kRoles, text)) {
    return false;
  }
  for (const Role role : { Role::Entry, Role::Sidecar, Role::Gateway }) {
    if (text == RoleName(role)) {
      aRole = role;
    }
  }
  return true;
}

void
ReadRoleSection(ObjectReader& aReader,
                bool aRoleKnown,
                DaemonSettings& aSettings)
{
  const ReadScope& scope = aReader.Scope();
  const Json::Value* entry = aReader.Find("entry");
  const Json::Value* sidecar = aReader.Find("sidecar");
  const Json::Value* gateway = aReader.Find("gateway");
  if (entry != nullptr) {
    ReadEntry(scope, *entry, aSettings.entry);
  }
  if (sidecar != nullptr) {
    ReadSidecar(scope, *sidecar, aSettings.sidecar);
  }
  if (gateway != nullptr) {
    ReadGateway(scope, *gateway, aSettings.gateway);
  }
  if (!aRoleKnown) {
    return;
  }
  const std::string_view own = RoleName(aSettings.role);
  for (const std::string_view other : { "entry", "sidecar", "gateway" }) {
    if (other != own && aReader.Object().isMember(std::string(other))) {
      scope.AddAt(scope.document.PlaceOfKey(aReader.Object(), other),
                  fmt::format("section \"{}\" has no meaning for role \"{}\"",
                              other,
                              own));
    }
  }
  aReader.Require(own);
}

} // namespace

std::string_view
RoleName(Role aRole)
{
  switch (aRole) {
    case Role::Entry:
      return "entry";
    case Role::Sidecar:
      return "sidecar";
    case Role::Gateway:
      return "gateway";
  }
  return "entry";
}

DaemonSettings
ParseDaemonSettings(std::string_view aText,
                    std::string_view aFile,
                    Findings& aFindings)
{
  DaemonSettings settings;
  Findings parseFindings;
  const JsonDocument document =
    JsonDocument::Parse(aText, aFile, parseFindings);
  if (!parseFindings.IsEmpty()) {
    aFindings.Append(parseFindings);
    return settings;
  }
  const ReadScope scope{ document, aFindings, "" };
  ObjectReader reader(scope, document.Root(), "the settings");
  const bool roleKnown = ReadRole(reader, settings.role);
  for (const char* key :
       { "instance", "data_centre", "region", "peers", "operators" }) {
    reader.Require(key);
  }
  reader.ReadName("instance", settings.instance);
  reader.ReadName("data_centre", settings.dataCentre);
  reader.ReadName("region", settings.region);
  reader.ReadAddress("peers", settings.peers);
  reader.ReadAddress("operators", settings.operators);
  ReadPeerSecret(reader, aFile, settings.peerSecret);
  if (const Json::Value* platform = reader.Find("platform")) {
    ReadPlatform(scope, *platform, settings.platform);
  }
  if (reader.ReadString("configuration_file", settings.configurationFile)) {
    settings.configurationFile =
      ResolveBeside(aFile, settings.configurationFile);
  }
  if (const Json::Value* list = reader.FindList("static_instances")) {
    ReadStaticInstances(scope, *list, settings.staticInstances);
  }
  reader.ReadMilliseconds(
    "stop_timeout_ms", kStopTimeoutMs, settings.stopTimeout);
  ReadRoleSection(reader, roleKnown, settings);
  reader.Finish();
  return settings;
}

DaemonSettings
LoadDaemonSettings(const std::string& aPath, Findings& aFindings)
{
  std::string text;
  if (!ReadWholeFile(aPath, text)) {
    aFindings.Add({ aPath, 0, 0 }, "the file can't be read");
    return {};
  }
  return ParseDaemonSettings(text, aPath, aFindings);
}

} // namespace dogwoodvale
