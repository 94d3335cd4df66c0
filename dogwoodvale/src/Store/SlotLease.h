#ifndef DOGWOODVALE_STORE_SLOTLEASE_H
#define DOGWOODVALE_STORE_SLOTLEASE_H

#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "StoreClient.h"
#include "dogwoodvale/Membership"

namespace dogwoodvale {

/// Tells the orders of one holder from those of the next: who receives them
/// refuses a lower one than it has seen.
using FencingToken = std::int64_t;

/// \param aCreated the revision that created the holder's key. Revisions of a
/// later era may be lower, so the era stands above them. Fits into 53 bits, as
/// far as JSON numbers are whole, for 2^13 eras of 2^40 revisions.
FencingToken
FencingTokenOf(StoreEra aEra, Revision aCreated);

struct SlotLeaseOptions
{
  /// Whole seconds.
  Duration ttl = seconds(15);
  /// How long before the lease lapses its holder stops: covers the drift of
  /// two clocks over one ttl, and an order's way to the engine.
  Duration margin = seconds(2);
};

/// Is told when the slot is gained or lost.
class SlotLeaseObserver
{
public:
  virtual ~SlotLeaseObserver() = default;
  virtual void OnSlotAcquired() = 0;
  virtual void OnSlotLost() = 0;
};

/// The right to give orders to one backend server: a key in the store that
/// lives as long as its holder's lease is renewed.
///
/// The holder trusts its own clock, not the store's word: a lease counts from
/// when its renewal was sent, the time included for which the machine was
/// suspended. A holder that was paused past that finds on its first look at the
/// clock that it holds nothing, before it hears of it. A lease of an earlier
/// era of the store is none.
class SlotLease
{
public:
  /// \param aHolder names this process and run, to know one's own key again.
  SlotLease(EventLoop& aLoop,
            StoreClient& aStore,
            const std::string& aKey,
            const std::string& aHolder,
            const SlotLeaseOptions& aOptions,
            SlotLeaseObserver& aObserver);
  ~SlotLease();
  SlotLease(const SlotLease&) = delete;
  SlotLease& operator=(const SlotLease&) = delete;

  /// Tries until it is held, and again if it is lost.
  void Acquire();
  /// Gives it up, and tells the store.
  void Release();

  /// Whether an order may go out now. Look right before each one.
  bool MayOrder(TimePoint aNow) const;
  /// Higher for each holder, also over the store's eras.
  FencingToken Fencing() const { return this->fencing; }
  /// The store's era in which it is held.
  StoreEra Era() const { return this->leaseEra; }
  /// The key's latest change, for transactions that only its holder may make.
  Revision KeyRevision() const { return this->keyRevision; }
  bool IsHeld() const { return this->state == State::Held; }
  bool IsWanted() const { return this->state != State::Idle; }
  TimePoint AcquiredAt() const { return this->acquiredAt; }
  Duration Ttl() const { return this->options.ttl; }
  /// "idle", "waiting", "held".
  std::string_view StateName() const;

private:
  enum class State : std::uint8_t
  {
    Idle,
    Waiting,
    Held,
  };

  void Look();
  void OnLooked(const absl::StatusOr<RangeResult>& aResult);
  void Grant();
  void Create();
  void OnCreated(const WriteResult& aResult);
  void Renew();
  void OnRenewed(const absl::StatusOr<LeaseGrant>& aResult,
                 TimePoint aSentAt,
                 Duration aSuspended);
  void Hold(Revision aCreated);
  bool IsOfThisEra() const;
  void Lose();
  void TryLater();
  void DropLease();
  double DrawUniform();

  StoreClient& store;
  std::string key;
  std::string holder;
  SlotLeaseOptions options;
  SlotLeaseObserver& observer;
  std::mt19937_64 random;
  Timer timer;
  Backoff backoff;
  State state = State::Idle;
  std::unique_ptr<StoreCall> call;
  std::unique_ptr<StoreCall> revokeCall;
  LeaseId lease = 0;
  StoreEra leaseEra = 0;
  Revision keyRevision = 0;
  FencingToken fencing = 0;
  TimePoint expiresAt;
  /// See SuspendedTime(), when the lease was last renewed.
  Duration suspendedBefore{ 0 };
  TimePoint acquiredAt;
};

} // namespace dogwoodvale

#endif
