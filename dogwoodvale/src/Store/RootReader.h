#ifndef DOGWOODVALE_STORE_ROOTREADER_H
#define DOGWOODVALE_STORE_ROOTREADER_H

#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "StoreClient.h"
#include "dogwoodvale/Configuration"
#include "dogwoodvale/Membership"

namespace dogwoodvale {

/// Receives what the store holds of the configuration.
class RootObserver
{
public:
  virtual ~RootObserver() = default;
  /// \param aText the encoded root, empty if the store has none.
  virtual void OnStoreRoot(std::string_view aText) = 0;
  /// Those of the requested pages that the store has.
  virtual void OnStorePages(std::span<const Page> aPages) = 0;
  virtual void OnStorePagesFailed(const absl::Status& aReason) = 0;
  /// The store responded.
  virtual void OnStoreContact() = 0;
  virtual void OnStoreFailure(const absl::Status& aReason) = 0;
};

/// Reads the configuration's root and pages from the store.
///
/// While it watches, it also polls the root's revision: this detects a watch
/// whose connection died without being closed, and a store that was restored
/// from older data.
class RootReader final : public StoreWatchHandler
{
public:
  /// \param aConfirmPeriod of the polls, with a jitter of 30%.
  RootReader(EventLoop& aLoop,
             StoreClient& aStore,
             Duration aConfirmPeriod,
             RootObserver& aObserver);

  void SetWatching(bool aWatching);
  bool IsWatching() const { return this->watch != nullptr; }
  /// Reads the root once.
  void ReadRoot();
  /// Reads pages, up to 64 per call; ends with OnStorePages or
  /// OnStorePagesFailed. Cancels an earlier read of pages that is in flight.
  void ReadPages(std::span<const std::string> aHashes);
  bool IsReadingPages() const { return this->pagesCall != nullptr; }

  void OnSnapshot(Revision aRevision,
                  std::span<const KeyValue> aValues) override;
  void OnChanges(Revision aRevision,
                 std::span<const StoreChange> aChanges) override;
  void OnContact() override;
  void OnLost(const absl::Status& aReason) override;

private:
  void Confirm();
  void ScheduleConfirm();
  void ReportRoot(std::span<const KeyValue> aValues);
  void ReadNextPages();

  StoreClient& store;
  Duration confirmPeriod;
  RootObserver& observer;
  std::mt19937_64 random;
  Timer confirmTimer;
  std::unique_ptr<StoreWatch> watch;
  std::unique_ptr<StoreCall> rootCall;
  std::unique_ptr<StoreCall> confirmCall;
  std::unique_ptr<StoreCall> pagesCall;
  Revision rootRevision = 0;
  std::vector<std::string> wanted;
  std::size_t requestedCount = 0;
  std::vector<Page> pages;
};

} // namespace dogwoodvale

#endif
