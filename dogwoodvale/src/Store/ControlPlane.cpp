#include "dogwoodvale/Store"

namespace dogwoodvale {

namespace {

/// Sidecars need the instance list only for their number, so they read it less
/// often than entries: else its load would grow with the number of backend
/// servers.
constexpr int kSidecarListPeriodFactor = 6;

ConfigurationOptions
OptionsOf(const DaemonSettings& aSettings)
{
  ConfigurationOptions options;
  options.instance = aSettings.instance;
  options.dataCentre = aSettings.dataCentre;
  options.hasInstanceList = aSettings.platform.instanceList.has_value();
  return options;
}

} // namespace

absl::StatusOr<std::unique_ptr<ControlPlane>>
ControlPlane::Create(EventLoop& aLoop,
                     const DaemonSettings& aSettings,
                     PeerFetch& aPeers,
                     ControlPlaneObserver& aObserver)
{
  std::unique_ptr<ControlPlane> plane(new ControlPlane(aObserver));
  const PlatformSettings& platform = aSettings.platform;
  if (!platform.store.empty()) {
    HttpStoreOptions options;
    options.endpoints = platform.store;
    options.timeout = platform.storeTimeout;
    options.callsPerSecond = platform.storeCallsPerSecond;
    auto client = HttpStoreClient::Create(aLoop, options);
    if (!client.ok()) {
      return client.status();
    }
    plane->store = *std::move(client);
  }
  if (platform.instanceList) {
    const int factor =
      aSettings.role == Role::Sidecar ? kSidecarListPeriodFactor : 1;
    plane->list =
      std::make_unique<InstanceListClient>(aLoop,
                                           *platform.instanceList,
                                           platform.listPeriod * factor,
                                           platform.storeTimeout,
                                           *plane);
  }
  plane->manager = std::make_unique<ConfigurationManager>(
    aLoop, OptionsOf(aSettings), plane->store.get(), aPeers, aObserver);
  return plane;
}

ControlPlane::ControlPlane(ControlPlaneObserver& aObserver)
  : observer(aObserver)
{
}

void
ControlPlane::Start()
{
  if (this->list) {
    this->list->Start();
  }
  this->manager->Start();
}

void
ControlPlane::OnList(std::span<const ListedInstance> aList)
{
  this->listFailed = false;
  this->manager->OnList(aList);
  this->observer.OnList(aList);
}

void
ControlPlane::OnListFailed(const absl::Status& /*aReason*/)
{
  this->listFailed = true;
}

std::uint32_t
ControlPlane::ContactAgeMillis() const
{
  const auto age =
    std::chrono::duration_cast<milliseconds>(this->manager->StoreContactAge())
      .count();
  return age < static_cast<std::int64_t>(kUnknownAge)
           ? static_cast<std::uint32_t>(age)
           : kUnknownAge;
}

Json::Value
ControlPlane::Describe() const
{
  Json::Value view;
  const ConfigurationCounters& counters = this->manager->Counters();
  const StoreView& seen = this->manager->Store();
  view["watching"] = this->manager->IsWatching();
  view["state"] = std::string(StoreStateName(seen.state));
  view["epoch"] = Json::UInt64(seen.epoch);
  view["contact_age_ms"] = this->ContactAgeMillis();
  view["calls"] = Json::UInt64(this->store ? this->store->CallsSent() : 0);
  view["list_failed"] = this->listFailed;
  view["refusal"] = this->manager->Refusal();
  view["accepted"] = Json::UInt64(counters.accepted);
  view["refused"] = Json::UInt64(counters.refused);
  view["fetches_sent"] = Json::UInt64(counters.fetchesSent);
  view["fetches_answered"] = Json::UInt64(counters.fetchesAnswered);
  view["older_store"] = Json::UInt64(counters.olderStore);
  return view;
}

} // namespace dogwoodvale
