#ifndef DOGWOODVALE_STORE_CONTROLPLANE_H
#define DOGWOODVALE_STORE_CONTROLPLANE_H

#include <memory>

#include <json/json.h>

#include "ConfigurationManager.h"
#include "HttpStoreClient.h"
#include "InstanceListClient.h"
#include "dogwoodvale/Settings"

namespace dogwoodvale {

/// Receives the configuration in force and the instance list.
class ControlPlaneObserver : public ConfigurationObserver
{
public:
  virtual void OnList(std::span<const ListedInstance> aList) = 0;
};

/// The connections of a process to the platform, the same for every role: the
/// store, the instance list, and the configuration in force.
class ControlPlane final : public InstanceListObserver
{
public:
  /// The settings may leave out the store, the instance list or both.
  /// \return the error of HttpStoreClient::Create.
  static absl::StatusOr<std::unique_ptr<ControlPlane>> Create(
    EventLoop& aLoop,
    const DaemonSettings& aSettings,
    PeerFetch& aPeers,
    ControlPlaneObserver& aObserver);

  void Start();

  ConfigurationManager& Manager() { return *this->manager; }
  const ConfigurationManager& Keeper() const { return *this->manager; }
  /// nullptr if the settings have no store.
  StoreClient* Store() { return this->store.get(); }
  /// Age of the newest known contact with the store, in milliseconds, as sent
  /// to peers; kUnknownAge if none is known.
  std::uint32_t ContactAgeMillis() const;
  /// The state for /statusz.
  Json::Value Describe() const;

  static constexpr std::uint32_t kUnknownAge = 0xffffffffU;

  void OnList(std::span<const ListedInstance> aList) override;
  void OnListFailed(const absl::Status& aReason) override;

private:
  explicit ControlPlane(ControlPlaneObserver& aObserver);

  ControlPlaneObserver& observer;
  std::unique_ptr<HttpStoreClient> store;
  std::unique_ptr<InstanceListClient> list;
  std::unique_ptr<ConfigurationManager> manager;
  bool listFailed = false;
};

} // namespace dogwoodvale

#endif
