#ifndef DOGWOODVALE_ENTRY_CONFIGURATIONSYNC_H
#define DOGWOODVALE_ENTRY_CONFIGURATIONSYNC_H

#include <memory>

#include <absl/container/flat_hash_map.h>

#include "Fleet.h"
#include "dogwoodvale/Store"

namespace dogwoodvale {

/// Exchanges configurations with sidecars on the links of an entry: fetches
/// from those ahead, offers to those behind.
class ConfigurationSync final : public PeerFetch
{
public:
  ConfigurationSync(EventLoop& aLoop, Fleet& aServers);
  ~ConfigurationSync() override;

  /// \pre called once, before anything else.
  void SetKeeper(ConfigurationManager& aKeeper) { this->keeper = &aKeeper; }

  bool Fetch(const InstanceName& aPeer,
             const ConfigurationRequest& aRequest) override;
  /// The peer is behind. Offers once at a time to each peer.
  void Offer(const InstanceName& aPeer);

private:
  class FetchStream;
  class OfferStream;
  void EndFetch(const InstanceName& aPeer,
                const absl::StatusOr<ConfigurationBundle>& aAnswer);
  void EndOffer(const InstanceName& aPeer);

  EventLoop& loop;
  Fleet& servers;
  ConfigurationManager* keeper = nullptr;
  absl::flat_hash_map<InstanceName, std::unique_ptr<FetchStream>> fetches;
  absl::flat_hash_map<InstanceName, std::unique_ptr<OfferStream>> offers;
  /// Ended inside their own callback.
  std::vector<std::unique_ptr<PeerStreamHandler>> ended;
  Timer sweepTimer;
};

} // namespace dogwoodvale

#endif
