#ifndef DOGWOODVALE_STORE_SLOTLEASE_H
#define DOGWOODVALE_STORE_SLOTLEASE_H

#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "StoreClient.h"
#include "dogwoodvale/Membership"

namespace dogwoodvale {

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
/// when its renewal was sent. A holder that was paused past that finds on its
/// first look at the clock that it holds nothing, before it hears of it.
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
  /// The revision at which the slot's key came to be: higher for each holder.
  Revision Fencing() const { return this->fencing; }
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
  void OnRenewed(const absl::StatusOr<LeaseGrant>& aResult, TimePoint aSentAt);
  void Hold(Revision aFencing);
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
  Revision fencing = 0;
  TimePoint expiresAt;
  TimePoint acquiredAt;
};

} // namespace dogwoodvale

#endif
