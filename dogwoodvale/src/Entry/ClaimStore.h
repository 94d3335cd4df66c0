#ifndef DOGWOODVALE_ENTRY_CLAIMSTORE_H
#define DOGWOODVALE_ENTRY_CLAIMSTORE_H

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <random>

#include "dogwoodvale/Requests"
#include "dogwoodvale/Store"

namespace dogwoodvale {

/// One keyed request's claim on its way through the store. Destroying it drops
/// what is under way.
class ClaimRun
{
public:
  /// Told once how the claim was settled: Proceed, Duplicate or Refuse. Not
  /// from within Start(); may destroy the run.
  using SettledHandler = std::function<void(ClaimStep)>;

  ClaimRun(StoreClient& aStore, IdempotencyClaim aClaim, SettledHandler aDone);
  void Start();
  const IdempotencyClaim& Claim() const { return this->claim; }

private:
  void Create();
  void Read();
  void Take(const ClaimReply& aReply);

  StoreClient& store;
  IdempotencyClaim claim;
  SettledHandler done;
  std::unique_ptr<StoreCall> call;
};

/// The claims of idempotency keys that this entry makes in the platform's
/// store, lets go, and collects when they are old.
class ClaimStore
{
public:
  /// \param aStore nullptr when there is none: every keyed request is refused.
  ClaimStore(EventLoop& aLoop, StoreClient* aStore);

  /// Begins to claim \p aKey for \p aWriter.
  /// \return nothing, with \p aError set, when it can't be tried.
  std::unique_ptr<ClaimRun> Open(const CustomerName& aCustomer,
                                 std::string_view aKey,
                                 const RequestId& aWriter,
                                 ClaimRun::SettledHandler aDone,
                                 RequestError& aError);

  /// The request was not run: lets a repeat claim the key.
  void Release(const IdempotencyClaim& aClaim);

  /// Few processes collect: those that watch the store.
  void SetCollecting(bool aCollecting);

  static constexpr std::size_t kMaxKeyBytes = 256;

private:
  using Calls = std::list<std::unique_ptr<StoreCall>>;
  void CollectOne();
  void OnShard(const absl::StatusOr<RangeResult>& aShard);
  void CommitKept(const Transaction& aTransaction);
  void ReapLater(Calls::iterator aCall);

  StoreClient* store;
  IdempotencyClaims claims;
  std::mt19937_64 random;
  /// Releases under way; the request that asked for one may be gone.
  Calls calls;
  Calls ended;
  std::unique_ptr<StoreCall> shardRead;
  Timer collectTimer;
  Timer reapTimer;
};

} // namespace dogwoodvale

#endif
