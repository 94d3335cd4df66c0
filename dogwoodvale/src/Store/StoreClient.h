#ifndef DOGWOODVALE_STORE_STORECLIENT_H
#define DOGWOODVALE_STORE_STORECLIENT_H

#include <functional>
#include <memory>
#include <span>

#include "StoreTypes.h"

namespace dogwoodvale {

/// A call in flight. Destroying it drops the result; a write may still take
/// effect.
class StoreCall
{
public:
  virtual ~StoreCall() = default;
};

/// Receives the events of a watch. Callbacks must not destroy the watch.
class StoreWatchHandler
{
public:
  virtual ~StoreWatchHandler() = default;
  /// All values under the watched prefix: at the start of the watch, and again
  /// whenever changes may have been missed (the store compacted them,
  /// restarted, or was restored with another history).
  ///
  /// \param aRevision may be lower than an earlier one if the store lost data.
  virtual void OnSnapshot(Revision aRevision,
                          std::span<const KeyValue> aValues) = 0;
  /// Changes since the snapshot, in order.
  virtual void OnChanges(Revision aRevision,
                         std::span<const StoreChange> aChanges) = 0;
  /// The store sent something on this watch, perhaps only a progress message.
  virtual void OnContact() {}
  /// The watch was lost and is being re-armed; called after each failed
  /// attempt.
  virtual void OnLost(const absl::Status& aReason) = 0;
};

/// A watch that re-arms itself after each loss until it is destroyed.
class StoreWatch
{
public:
  virtual ~StoreWatch() = default;
  /// Restarts the watch on a new connection, e.g. after the process was
  /// suspended, when the old connection may be dead without having been closed.
  /// A response that is being received is left to complete.
  virtual void Rearm() = 0;
  /// Asks the store, in a short call, for changes that the watch should have
  /// delivered: its answer may be lost while the connection stays open. The
  /// handler is told of these changes, or else of the contact.
  virtual void Check() = 0;
};

/// The platform's key-value store.
///
/// Each call invokes its handler once, from the event loop and never from
/// within the call. The handler may destroy the call.
class StoreClient
{
public:
  using RangeHandler = std::function<void(absl::StatusOr<RangeResult>)>;
  using WriteHandler = std::function<void(const WriteResult&)>;
  using LeaseHandler = std::function<void(absl::StatusOr<LeaseGrant>)>;

  virtual ~StoreClient() = default;

  /// Retried up to a bounded number of attempts.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> Range(
    const RangeQuery& aQuery,
    RangeHandler aHandler) = 0;
  /// Sent once, and to another endpoint only if nothing of it was sent; a
  /// transaction that only reads may be retried.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> Commit(
    const Transaction& aTransaction,
    WriteHandler aHandler) = 0;
  [[nodiscard]] virtual std::unique_ptr<StoreCall> GrantLease(
    Duration aTtl,
    LeaseHandler aHandler) = 0;
  /// Renews the lease; gives its new time to live, NotFound if it has expired.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> KeepAlive(
    LeaseId aLease,
    LeaseHandler aHandler) = 0;
  [[nodiscard]] virtual std::unique_ptr<StoreCall> RevokeLease(
    LeaseId aLease,
    WriteHandler aHandler) = 0;
  /// Reads all keys under \p aPrefix, then follows their changes.
  /// \param aHandler must outlive the watch.
  [[nodiscard]] virtual std::unique_ptr<StoreWatch> Watch(
    const std::string& aPrefix,
    StoreWatchHandler& aHandler) = 0;

  /// The newest era that a response reported; 0 if the store reports none.
  virtual StoreEra Era() const { return 0; }
  /// Calls sent; arming a watch counts as one.
  virtual std::uint64_t CallsSent() const = 0;

  [[nodiscard]] std::unique_ptr<StoreCall> Put(const std::string& aKey,
                                               const std::string& aValue,
                                               WriteHandler aHandler);
  [[nodiscard]] std::unique_ptr<StoreCall> DeleteRange(const std::string& aKey,
                                                       bool aIsPrefix,
                                                       WriteHandler aHandler);
  /// Puts the key if it is absent; else NotApplied with FailedPrecondition and
  /// the current value in reads[0].
  [[nodiscard]] std::unique_ptr<StoreCall> CreateIfAbsent(
    const std::string& aKey,
    const std::string& aValue,
    LeaseId aLease,
    WriteHandler aHandler);
  /// Puts the key if its latest change is still \p aModRevision (0: absent);
  /// else NotApplied with FailedPrecondition and the current value in reads[0].
  [[nodiscard]] std::unique_ptr<StoreCall> CompareAndSwap(
    const std::string& aKey,
    Revision aModRevision,
    const std::string& aValue,
    WriteHandler aHandler);
  /// Reads several keys, at most kMaxOperations, in one call; absent keys are
  /// left out of the result.
  [[nodiscard]] std::unique_ptr<StoreCall> ReadKeys(
    std::span<const std::string> aKeys,
    RangeHandler aHandler);

  /// Maximum operations in one transaction (the store's default limit).
  static constexpr std::size_t kMaxOperations = 128;
};

} // namespace dogwoodvale

#endif
