#ifndef DOGWOODVALE_STORE_CONTROLPLANE_H
#define DOGWOODVALE_STORE_CONTROLPLANE_H

#include <memory>

#include <json/json.h>

#include "ConfigurationKeeper.h"
#include "HttpStoreClient.h"
#include "InstanceListClient.h"
#include "dogwoodvale/Settings"

namespace dogwoodvale {

/// Is told what the platform and the peers say.
class ControlPlaneObserver : public ConfigurationObserver
{
public:
  virtual void OnList(std::span<const ListedInstance> aList) = 0;
};

/// What every process has of the platform, whichever its role: the store, the
/// list of instances, and the configuration in force.
class ControlPlane final : public InstanceListObserver
{
public:
  /// Either of store and list may be missing from the settings.
  static absl::StatusOr<std::unique_ptr<ControlPlane>> Create(
    EventLoop& aLoop,
    const DaemonSettings& aSettings,
    PeerFetch& aPeers,
    ControlPlaneObserver& aObserver);

  void Start();

  ConfigurationKeeper& Keeper() { return *this->keeper; }
  const ConfigurationKeeper& Keeper() const { return *this->keeper; }
  /// nullptr if the settings name none.
  StoreClient* Store() { return this->store.get(); }
  /// For notices, in milliseconds; kUnknownAge when no contact is known of.
  std::uint32_t ContactAgeMillis() const;
  /// For /statusz.
  Json::Value Describe() const;

  static constexpr std::uint32_t kUnknownAge = 0xffffffffU;

  void OnList(std::span<const ListedInstance> aList) override;
  void OnListFailed(const absl::Status& aReason) override;

private:
  explicit ControlPlane(ControlPlaneObserver& aObserver);

  ControlPlaneObserver& observer;
  std::unique_ptr<HttpStoreClient> store;
  std::unique_ptr<InstanceListClient> list;
  std::unique_ptr<ConfigurationKeeper> keeper;
  bool listFailed = false;
};

} // namespace dogwoodvale

#endif
