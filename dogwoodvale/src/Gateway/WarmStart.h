#ifndef DOGWOODVALE_GATEWAY_WARMSTART_H
#define DOGWOODVALE_GATEWAY_WARMSTART_H

#include <memory>

#include "DirectoryCache.h"
#include "OriginFinder.h"
#include "WarmState.h"

namespace dogwoodvale {

/// Saves the state that gateways have learned (WarmState) to the store, and
/// restores it at the start.
///
/// One gateway writes for all. Another gateway's state is fresher, so it is
/// requested too; if all gateways restart together, only the store has it.
class WarmStart
{
public:
  struct Options
  {
    bool isOn = true;
    std::string secret;
  };

  WarmStart(const InstanceName& aSelf,
            StoreClient& aStore,
            DirectoryCache& aDirectory,
            BackendPool& aPool,
            OriginFinder& aOrigins,
            Options aOptions);

  /// Reads the saved state.
  void Start();
  /// A digest arrived from a gateway that is one of those that may write.
  void OnHeard(const InstanceName& aGateway, TimePoint aNow);
  /// The list of backend servers in the pool has changed.
  void OnInstances() { this->SeedCaches(); }
  /// Saves the state when due. Call a few times a second.
  /// \param aMayWrite whether this gateway is one of those that may write; the
  /// first of them does.
  void RunMaintenance(TimePoint aNow, bool aMayWrite);
  /// Whether the state of another gateway is to be requested.
  bool WantsDocument(TimePoint aNow) const;
  /// This gateway's state, as Apply() reads it.
  std::string Document() const;
  /// Applies the state of another gateway or of the store; logs and ignores an
  /// invalid one. \param aFrom "store" or the gateway.
  void Apply(std::string_view aBytes, std::string_view aFrom);

  static constexpr std::string_view kKey = "dogwoodvale/warm";
  static constexpr std::string_view kPath = "/peer/warm";
  static constexpr Duration kWritePeriod = seconds(2);
  /// How long after the start the restored state is used: a gateway that has
  /// run longer has learned enough by itself.
  static constexpr Duration kStartDuration = seconds(3);

private:
  WarmState Collect() const;
  void Write();
  /// Passes the restored cache contents of listed servers to the pool.
  void SeedCaches();

  StoreClient& store;
  DirectoryCache& directory;
  BackendPool& pool;
  OriginFinder& origins;
  Options options;
  /// Elects the gateway that writes.
  DutyElection election;
  /// Cache contents not passed on yet, as their servers are not listed.
  std::vector<std::pair<InstanceName, std::vector<PromptStep>>> caches;
  std::unique_ptr<StoreCall> readCall;
  std::unique_ptr<StoreCall> writeCall;
  TimePoint startedAt{};
  TimePoint writtenAt{};
  /// Whether another gateway's state was applied.
  bool hasDocument = false;
};

} // namespace dogwoodvale

#endif
