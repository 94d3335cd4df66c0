#ifndef DOGWOODVALE_STORE_STORECLIENT_H
#define DOGWOODVALE_STORE_STORECLIENT_H

#include <functional>
#include <memory>
#include <span>

#include "StoreTypes.h"

namespace dogwoodvale {

/// One call under way. Destroying it drops the answer; a write may still take
/// effect then.
class StoreCall
{
public:
  virtual ~StoreCall() = default;
};

/// Is told what a watch sees. Callbacks must not destroy the watch.
class StoreWatchHandler
{
public:
  virtual ~StoreWatchHandler() = default;
  /// All values under the watched prefix: first, and again whenever changes
  /// may have been missed (the store compacted them, restarted, or came back
  /// with another history).
  /// \param aRevision may be lower than one seen before, if the store lost
  /// data.
  virtual void OnSnapshot(Revision aRevision,
                          std::span<const KeyValue> aValues) = 0;
  /// Changes since the snapshot, in order.
  virtual void OnChanges(Revision aRevision,
                         std::span<const StoreChange> aChanges) = 0;
  /// The store gave a sign of life on this watch.
  virtual void OnContact() {}
  /// The watch is being re-armed; reported at each failed try.
  virtual void OnLost(const absl::Status& aReason) = 0;
};

/// A watch that keeps itself armed until destroyed.
class StoreWatch
{
public:
  virtual ~StoreWatch() = default;
  /// Asks anew on a fresh connection, e.g. after the process stood still, when
  /// the old one may be dead without a word. An answer that is coming in is
  /// left to come.
  virtual void Rearm() = 0;
};

/// The platform's key-value store.
///
/// Each call has one answer, given from the event loop and never from within
/// the call. The handler may destroy the call.
class StoreClient
{
public:
  using RangeHandler = std::function<void(absl::StatusOr<RangeResult>)>;
  using WriteHandler = std::function<void(const WriteResult&)>;
  using LeaseHandler = std::function<void(absl::StatusOr<LeaseGrant>)>;

  virtual ~StoreClient() = default;

  /// Retried within bounds.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> Range(
    const RangeQuery& aQuery,
    RangeHandler aHandler) = 0;
  /// Sent once; tried at another endpoint only if it surely was not sent.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> Commit(
    const Transaction& aTransaction,
    WriteHandler aHandler) = 0;
  [[nodiscard]] virtual std::unique_ptr<StoreCall> GrantLease(
    Duration aTtl,
    LeaseHandler aHandler) = 0;
  /// Answers with the time left; NotFound when the lease has lapsed.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> KeepAlive(
    LeaseId aLease,
    LeaseHandler aHandler) = 0;
  [[nodiscard]] virtual std::unique_ptr<StoreCall> RevokeLease(
    LeaseId aLease,
    WriteHandler aHandler) = 0;
  /// Reads all under \p aPrefix and follows its changes.
  [[nodiscard]] virtual std::unique_ptr<StoreWatch> Watch(
    const std::string& aPrefix,
    StoreWatchHandler& aHandler) = 0;

  /// The newest era that an answer has told.
  virtual StoreEra Era() const { return 0; }
  /// Calls sent, a watch armed counting as one.
  virtual std::uint64_t CallsSent() const = 0;

  [[nodiscard]] std::unique_ptr<StoreCall> Put(const std::string& aKey,
                                               const std::string& aValue,
                                               WriteHandler aHandler);
  [[nodiscard]] std::unique_ptr<StoreCall> DeleteRange(const std::string& aKey,
                                                       bool aIsPrefix,
                                                       WriteHandler aHandler);
  /// Puts the key if it is absent; else NotApplied with FailedPrecondition and
  /// the present value in reads[0].
  [[nodiscard]] std::unique_ptr<StoreCall> CreateIfAbsent(
    const std::string& aKey,
    const std::string& aValue,
    LeaseId aLease,
    WriteHandler aHandler);
  /// Puts the key if its latest change is still \p aModRevision (0: absent);
  /// else NotApplied with FailedPrecondition and the present value in reads[0].
  [[nodiscard]] std::unique_ptr<StoreCall> CompareAndSwap(
    const std::string& aKey,
    Revision aModRevision,
    const std::string& aValue,
    WriteHandler aHandler);
  /// Several keys in one call; absent ones are left out of the answer.
  [[nodiscard]] std::unique_ptr<StoreCall> ReadKeys(
    std::span<const std::string> aKeys,
    RangeHandler aHandler);

  /// Most operations of one transaction (the store's default bound).
  static constexpr std::size_t kMaxOperations = 128;
};

} // namespace dogwoodvale

#endif
