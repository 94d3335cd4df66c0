#include "dogwoodvale/Store"

#include <utility>

namespace dogwoodvale {

namespace {

constexpr int kRenewalsPerTtl = 3;
constexpr int kRetriesPerTtl = 10;
constexpr int kRevisionBits = 40;

} // namespace

FencingToken
FencingTokenOf(StoreEra aEra, Revision aCreated)
{
  return (static_cast<FencingToken>(aEra) << kRevisionBits) + aCreated;
}

SlotLease::SlotLease(EventLoop& aLoop,
                     StoreClient& aStore,
                     const std::string& aKey,
                     const std::string& aHolder,
                     const SlotLeaseOptions& aOptions,
                     SlotLeaseObserver& aObserver)
  : store(aStore)
  , key(aKey)
  , holder(aHolder)
  , options(aOptions)
  , observer(aObserver)
  , random(DrawIncarnation())
  , timer(aLoop,
          [this] {
            if (this->state == State::Held) {
              this->Renew();
            } else {
              this->ReadSlot();
            }
          })
  , backoff(aOptions.ttl / kRetriesPerTtl, aOptions.ttl)
{
}

SlotLease::~SlotLease() = default;

std::string_view
SlotLease::StateName() const
{
  switch (this->state) {
    case State::Idle:
      return "idle";
    case State::Waiting:
      return "waiting";
    case State::Held:
      return "held";
  }
  return "idle";
}

double
SlotLease::DrawUniform()
{
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void
SlotLease::Acquire()
{
  if (this->state == State::Idle) {
    this->state = State::Waiting;
    this->backoff.Reset();
    this->ReadSlot();
  }
}

void
SlotLease::Release()
{
  this->state = State::Idle;
  this->timer.Stop();
  this->call.reset();
  this->RevokeOwnLease();
}

bool
SlotLease::MayOrder(TimePoint aNow) const
{
  const Duration suspended = SuspendedTime() - this->suspendedAtRenewal;
  return this->state == State::Held && this->IsCurrentEra() &&
         aNow + suspended + this->options.margin < this->expiresAt;
}

bool
SlotLease::IsCurrentEra() const
{
  return this->store.Era() == this->leaseEra;
}

void
SlotLease::RevokeOwnLease()
{
  // Also undoes a creation whose response was lost, as the store deletes the
  // key with its lease. Only in the same era: in a later one the id may belong
  // to another process's lease.
  const LeaseId ended = std::exchange(this->lease, 0);
  if (ended != 0 && this->IsCurrentEra()) {
    this->revokeCall =
      this->store.RevokeLease(ended, [](const WriteResult&) {});
  }
  this->fencing = 0;
}

void
SlotLease::RetryLater()
{
  this->timer.StartOnce(this->backoff.Next(this->DrawUniform()));
}

void
SlotLease::ReadSlot()
{
  this->call = this->store.Range(
    { .key = this->key }, [this](const absl::StatusOr<RangeResult>& aResult) {
      this->OnSlotRead(aResult);
    });
}

void
SlotLease::OnSlotRead(const absl::StatusOr<RangeResult>& aResult)
{
  if (!aResult.ok()) {
    this->RetryLater();
    return;
  }
  if (aResult->values.empty()) {
    this->Grant();
    return;
  }
  const KeyValue& slot = aResult->values.front();
  const bool isOwn = slot.value == this->holder && this->lease != 0 &&
                     slot.lease == this->lease &&
                     aResult->era == this->leaseEra;
  if (isOwn) {
    // The response to the creation was lost, but the read shows that it took
    // effect.
    this->keyRevision = slot.modRevision;
    this->OnHeld(slot.createRevision);
    return;
  }
  this->RevokeOwnLease();
  this->RetryLater();
}

void
SlotLease::Grant()
{
  this->RevokeOwnLease();
  const TimePoint sentAt = Now();
  const Duration suspended = SuspendedTime();
  this->call = this->store.GrantLease(
    this->options.ttl,
    [this, sentAt, suspended](const absl::StatusOr<LeaseGrant>& aResult) {
      if (!aResult.ok()) {
        this->RetryLater();
        return;
      }
      this->lease = aResult->id;
      this->leaseEra = aResult->era;
      this->expiresAt = sentAt + aResult->ttl;
      this->suspendedAtRenewal = suspended;
      this->Create();
    });
}

void
SlotLease::Create()
{
  this->call = this->store.CreateIfAbsent(
    this->key, this->holder, this->lease, [this](const WriteResult& aResult) {
      this->OnCreated(aResult);
    });
}

void
SlotLease::OnCreated(const WriteResult& aResult)
{
  switch (aResult.outcome) {
    case WriteOutcome::Applied:
      if (aResult.era != this->leaseEra) {
        this->RevokeOwnLease();
        this->RetryLater();
        return;
      }
      this->keyRevision = aResult.revision;
      this->OnHeld(aResult.revision);
      return;
    case WriteOutcome::NotApplied:
      this->RevokeOwnLease();
      this->RetryLater();
      return;
    case WriteOutcome::Unknown:
      this->ReadSlot();
      return;
  }
}

void
SlotLease::OnHeld(Revision aCreated)
{
  this->state = State::Held;
  this->fencing = FencingTokenOf(this->leaseEra, aCreated);
  this->acquiredAt = Now();
  this->backoff.Reset();
  this->timer.StartOnce(this->options.ttl / kRenewalsPerTtl);
  Log(LogLevel::Info,
      "slot_acquired",
      "key",
      this->key,
      "fencing",
      this->fencing);
  this->observer.OnSlotAcquired();
}

void
SlotLease::Renew()
{
  const TimePoint sentAt = Now();
  const Duration suspended = SuspendedTime();
  this->call = this->store.KeepAlive(
    this->lease,
    [this, sentAt, suspended](const absl::StatusOr<LeaseGrant>& aResult) {
      this->OnRenewed(aResult, sentAt, suspended);
    });
}

void
SlotLease::OnRenewed(const absl::StatusOr<LeaseGrant>& aResult,
                     TimePoint aSentAt,
                     Duration aSuspended)
{
  // In another era the same id belongs to a new lease, perhaps of another
  // process.
  const bool isExpired = aResult.ok() ? aResult->era != this->leaseEra
                                      : absl::IsNotFound(aResult.status());
  if (isExpired) {
    this->OnLeaseLost();
  } else if (aResult.ok()) {
    this->expiresAt = aSentAt + aResult->ttl;
    this->suspendedAtRenewal = aSuspended;
    this->timer.StartOnce(this->options.ttl / kRenewalsPerTtl);
  } else {
    this->timer.StartOnce(this->options.ttl / kRetriesPerTtl);
  }
}

void
SlotLease::OnLeaseLost()
{
  Log(
    LogLevel::Warning, "slot_lost", "key", this->key, "fencing", this->fencing);
  this->state = State::Waiting;
  this->lease = 0;
  this->fencing = 0;
  this->RetryLater();
  this->observer.OnSlotLost();
}

} // namespace dogwoodvale
