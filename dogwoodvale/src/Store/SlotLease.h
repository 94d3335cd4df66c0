#ifndef DOGWOODVALE_STORE_SLOTLEASE_H
#define DOGWOODVALE_STORE_SLOTLEASE_H

#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "StoreClient.h"
#include "dogwoodvale/Membership"

namespace dogwoodvale {

/// Fencing token: rises with each holder. A receiver of orders rejects a token
/// lower than the highest it has seen, and so orders of former holders.
using FencingToken = std::int64_t;

/// The era in the bits above the 40 of the revision, as revisions of a later
/// era may be lower. Stays below 2^53, up to which JSON numbers are exact
/// integers, for 2^13 eras of 2^40 revisions.
///
/// \param aCreated the revision that created the holder's key.
FencingToken
FencingTokenOf(StoreEra aEra, Revision aCreated);

struct SlotLeaseOptions
{
  /// Time to live of the lease; whole seconds.
  Duration ttl = seconds(15);
  /// How long before the lease expires its holder stops sending orders: covers
  /// the drift of the two clocks over one ttl, and the time an order takes to
  /// reach the engine.
  Duration margin = seconds(2);
};

/// Is notified when the slot is acquired or lost.
class SlotLeaseObserver
{
public:
  virtual ~SlotLeaseObserver() = default;
  virtual void OnSlotAcquired() = 0;
  virtual void OnSlotLost() = 0;
};

/// The exclusive right to send orders to one backend server: a key in the store
/// that is attached to its holder's lease and exists while that is renewed.
///
/// The holder computes the expiry from its own clock and does not wait for the
/// store to report it: the time to live counts from when the renewal was sent,
/// and time during which the machine was suspended counts too. So a holder that
/// was paused past the expiry sees on its next check of the clock that it no
/// longer holds the slot, before the store tells it. A lease of an earlier era
/// of the store is void.
class SlotLease
{
public:
  /// \param aHolder identifies this run of the process, so that it recognises a
  /// key that it created itself.
  SlotLease(EventLoop& aLoop,
            StoreClient& aStore,
            const std::string& aKey,
            const std::string& aHolder,
            const SlotLeaseOptions& aOptions,
            SlotLeaseObserver& aObserver);
  ~SlotLease();
  SlotLease(const SlotLease&) = delete;
  SlotLease& operator=(const SlotLease&) = delete;

  /// Keeps trying until the slot is held, and again after it was lost.
  void Acquire();
  /// Gives the slot up and revokes the lease in the store.
  void Release();

  /// Whether an order may be sent at \p aNow. Check right before each order, as
  /// the process may have been paused in between.
  bool MayOrder(TimePoint aNow) const;
  /// Higher for each holder, also across eras of the store; 0 while not held.
  FencingToken Fencing() const { return this->fencing; }
  /// The era of the store in which the lease was granted.
  StoreEra Era() const { return this->leaseEra; }
  /// The key's latest change: comparing with it limits a transaction to the
  /// slot's holder.
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

  void ReadSlot();
  void OnSlotRead(const absl::StatusOr<RangeResult>& aResult);
  void Grant();
  void Create();
  void OnCreated(const WriteResult& aResult);
  void Renew();
  void OnRenewed(const absl::StatusOr<LeaseGrant>& aResult,
                 TimePoint aSentAt,
                 Duration aSuspended);
  void OnHeld(Revision aCreated);
  bool IsCurrentEra() const;
  void OnLeaseLost();
  void RetryLater();
  void RevokeOwnLease();
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
  /// SuspendedTime() when the lease was last renewed.
  Duration suspendedAtRenewal{ 0 };
  TimePoint acquiredAt;
};

} // namespace dogwoodvale

#endif
