#include "GatewayRoster.h"

#include <algorithm>
#include <utility>

#include "PeerDocuments.h"

namespace dogwoodvale {

GatewayRoster::GatewayRoster(EventLoop& aLoop,
                             StoreClient& aStore,
                             GatewayMember aSelf,
                             Handler aHandler)
  : store(aStore)
  , self(std::move(aSelf))
  , handler(std::move(aHandler))
  , timer(aLoop, [this] { this->OnTimer(); })
{
}

void
GatewayRoster::Start()
{
  this->startedAt = Now();
  this->OnTimer();
}

void
GatewayRoster::OnTimer()
{
  if (this->leaving) {
    return;
  }
  const TimePoint now = Now();
  const bool isStarting = Between(this->startedAt, now) < kStartDuration;
  this->timer.StartOnce(isStarting ? kStartPeriod : kPeriod);
  if (this->leaseCall == nullptr) {
    // A lease of an earlier era of the store no longer exists, and its id may
    // have been reassigned.
    if (this->lease == 0 || this->leaseEra != this->store.Era()) {
      this->Join();
    } else if (!isStarting) {
      this->Renew();
    }
  }
  if (this->readCall == nullptr) {
    this->Read();
  }
  this->Announce(now);
}

void
GatewayRoster::Join()
{
  this->lease = 0;
  this->leaseCall = this->store.GrantLease(
    kLeaseTtl, [this](const absl::StatusOr<LeaseGrant>& aGrant) {
      const std::unique_ptr<StoreCall> ended = std::move(this->leaseCall);
      if (aGrant.ok()) {
        this->lease = aGrant->id;
        this->leaseEra = aGrant->era;
        this->PutSelf();
      }
    });
}

void
GatewayRoster::PutSelf()
{
  Operation put;
  put.key = fmt::format("{}{}", kPrefix, this->self.name.Value());
  put.value = WriteGatewayEntry(this->self.peers);
  put.lease = this->lease;
  Transaction transaction;
  transaction.then.push_back(std::move(put));
  this->leaseCall =
    this->store.Commit(transaction, [this](const WriteResult& aResult) {
      const std::unique_ptr<StoreCall> ended = std::move(this->leaseCall);
      if (aResult.outcome != WriteOutcome::Applied) {
        // Joins again in the next period. If this write took effect after all,
        // that only overwrites the same key.
        this->lease = 0;
      }
    });
}

void
GatewayRoster::Renew()
{
  this->leaseCall = this->store.KeepAlive(
    this->lease, [this](const absl::StatusOr<LeaseGrant>& aLeft) {
      const std::unique_ptr<StoreCall> ended = std::move(this->leaseCall);
      if (absl::IsNotFound(aLeft.status())) {
        this->Join();
      }
    });
}

void
GatewayRoster::Read()
{
  RangeQuery query;
  query.key = kPrefix;
  query.isPrefix = true;
  // A list that is seconds old does no harm here, and a stale read is cheap for
  // the store.
  query.allowStale = true;
  this->readCall = this->store.Range(
    query, [this](const absl::StatusOr<RangeResult>& aResult) {
      const std::unique_ptr<StoreCall> ended = std::move(this->readCall);
      if (aResult.ok()) {
        this->OnRead(*aResult);
      }
    });
}

void
GatewayRoster::OnRead(const RangeResult& aResult)
{
  this->read.clear();
  for (const KeyValue& value : aResult.values) {
    auto address = ReadGatewayEntry(value.value);
    if (!address.ok()) {
      Log(LogLevel::Warning,
          "gateway_rejected",
          "key",
          value.key,
          "reason",
          MessageOf(address.status()));
      continue;
    }
    this->read.push_back(
      { InstanceName(value.key.substr(kPrefix.size())), *std::move(address) });
  }
  this->Announce(Now());
}

void
GatewayRoster::ApplyHints(std::span<const GatewayMember> aHints, TimePoint aNow)
{
  this->hints.assign(aHints.begin(), aHints.end());
  this->Announce(aNow);
}

void
GatewayRoster::Announce(TimePoint aNow)
{
  std::vector<GatewayMember> now = this->read;
  if (Between(this->startedAt, aNow) < kStartDuration) {
    for (const GatewayMember& hint : this->hints) {
      if (std::ranges::find(now, hint.name, &GatewayMember::name) ==
          now.end()) {
        now.push_back(hint);
      }
    }
    std::ranges::sort(now, {}, &GatewayMember::name);
  }
  if (now.empty() || now == this->members) {
    return;
  }
  this->members = std::move(now);
  Log(LogLevel::Info,
      "gateways",
      "count",
      this->members.size(),
      "read",
      this->read.size());
  this->handler(this->members);
}

void
GatewayRoster::Leave()
{
  this->leaving = true;
  this->timer.Stop();
  if (this->lease != 0 && this->leaseEra == this->store.Era()) {
    this->leaseCall =
      this->store.RevokeLease(this->lease, [](const WriteResult&) {});
  }
}

} // namespace dogwoodvale
