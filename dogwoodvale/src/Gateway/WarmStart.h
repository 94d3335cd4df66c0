#ifndef DOGWOODVALE_GATEWAY_WARMSTART_H
#define DOGWOODVALE_GATEWAY_WARMSTART_H

#include <memory>

#include "DirectoryKeeper.h"
#include "WarmState.h"

namespace dogwoodvale {

/// Keeps what gateways have learned in the store, and takes it at a start.
///
/// One gateway writes for all. What other gateways know is fresher, so one of
/// them is asked too; when all have started together, only the store knows.
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
            DirectoryKeeper& aDirectory,
            BackendPool& aPool,
            Options aOptions);

  /// Reads what is kept.
  void Start();
  /// A gateway that may write gave a sign of life.
  void OnHeard(const InstanceName& aGateway, TimePoint aNow);
  /// The pool has a new list.
  void OnInstances() { this->SeedCaches(); }
  /// Call a few times a second. \param aMayWrite whether this gateway is one of
  /// those that write; the first of them does.
  void Tend(TimePoint aNow, bool aMayWrite);
  /// Whether another gateway is to be asked for what it knows.
  bool WantsDocument(TimePoint aNow) const;
  std::string Document() const;
  /// Takes what another gateway or the store knows.
  void Take(std::string_view aBytes, std::string_view aFrom);

  static constexpr std::string_view kKey = "dogwoodvale/warm";
  static constexpr std::string_view kPath = "/peer/warm";
  static constexpr Duration kWritePeriod = seconds(2);
  /// A gateway that has run for so long has learned by itself.
  static constexpr Duration kStartTakes = seconds(3);

private:
  WarmState Collect() const;
  void Write();
  /// Hands on what is known of the caches of servers that the pool has.
  void SeedCaches();

  StoreClient& store;
  DirectoryKeeper& directory;
  BackendPool& pool;
  Options options;
  /// In whose order gateways write.
  DutyElection order;
  /// Not handed on yet, as their servers are not listed.
  std::vector<std::pair<InstanceName, std::vector<PromptStep>>> caches;
  std::unique_ptr<StoreCall> readCall;
  std::unique_ptr<StoreCall> writeCall;
  TimePoint startedAt{};
  TimePoint writtenAt{};
  bool hasDocument = false;
};

} // namespace dogwoodvale

#endif
