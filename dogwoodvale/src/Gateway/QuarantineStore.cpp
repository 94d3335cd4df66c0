#include "QuarantineStore.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dogwoodvale {

namespace {

constexpr std::string_view kLifted = " lifted";
constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;

template<class Number>
bool
ReadWhole(std::string_view aText, int aBase, Number& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto [at, error] = std::from_chars(aText.data(), end, aNumber, aBase);
  return error == std::errc() && at == end;
}

} // namespace

std::string
WriteVerdict(const QuarantineVerdict& aVerdict)
{
  return fmt::format("{}{}", aVerdict.round, aVerdict.isLifted ? kLifted : "");
}

absl::StatusOr<QuarantineVerdict>
ReadVerdict(std::string_view aKey, std::string_view aValue)
{
  QuarantineVerdict verdict;
  verdict.isLifted = aValue.ends_with(kLifted);
  if (verdict.isLifted) {
    aValue.remove_suffix(kLifted.size());
  }
  const bool isRead = aKey.starts_with(QuarantineStore::kPrefix) &&
                      ReadWhole(aKey.substr(QuarantineStore::kPrefix.size()),
                                kHexadecimal,
                                verdict.subject) &&
                      ReadWhole(aValue, kDecimal, verdict.round);
  if (!isRead) {
    return absl::InvalidArgumentError("not a quarantine");
  }
  return verdict;
}

QuarantineStore::QuarantineStore(EventLoop& aLoop,
                                 StoreClient& aStore,
                                 Handler aHandler)
  : store(aStore)
  , handler(std::move(aHandler))
  , readTimer(aLoop, [this] { this->Read(false); })
  , writeTimer(aLoop, [this] { this->WriteNext(); })
{
}

void
QuarantineStore::Start()
{
  this->Read(true);
  this->readTimer.StartOnce(kRereadDelay);
}

void
QuarantineStore::Read(bool aAllowStale)
{
  RangeQuery query;
  query.key = kPrefix;
  query.isPrefix = true;
  query.allowStale = aAllowStale;
  this->readCall = this->store.Range(
    query, [this, aAllowStale](const absl::StatusOr<RangeResult>& aResult) {
      const std::unique_ptr<StoreCall> ended = std::move(this->readCall);
      if (aResult.ok()) {
        this->OnRead(*aResult);
      } else if (!aAllowStale) {
        this->readTimer.StartOnce(kRereadDelay);
      }
    });
}

void
QuarantineStore::OnRead(const RangeResult& aResult)
{
  for (const KeyValue& value : aResult.values) {
    auto verdict = ReadVerdict(value.key, value.value);
    if (!verdict.ok()) {
      Log(LogLevel::Warning,
          "quarantine_rejected",
          "key",
          value.key,
          "reason",
          MessageOf(verdict.status()));
      continue;
    }
    // The remaining time isn't stored: the lease, and with it the key, ends
    // with the quarantine.
    verdict->left = verdict->isLifted ? Duration::zero() : Duration::max();
    this->handler(*verdict);
  }
}

void
QuarantineStore::Persist(const QuarantineVerdict& aVerdict)
{
  if (this->pending.size() >= kMaxPendingWrites) {
    return;
  }
  this->pending[aVerdict.subject] = aVerdict;
  this->WriteNext();
}

void
QuarantineStore::RunMaintenance()
{
  const TimePoint now = Now();
  std::erase_if(this->stored,
                [now](const auto& aItem) { return aItem.second.until <= now; });
  const StoreEra before = std::exchange(this->era, this->store.Era());
  if (before == this->era) {
    return;
  }
  for (const auto& [subject, one] : this->stored) {
    QuarantineVerdict verdict = one.verdict;
    verdict.left = verdict.isLifted ? verdict.left : Between(now, one.until);
    this->Persist(verdict);
  }
}

void
QuarantineStore::WriteNext()
{
  if (this->pending.empty() || this->writeCall != nullptr) {
    return;
  }
  const QuarantineVerdict verdict = this->pending.begin()->second;
  // The record of a lifted quarantine is stored for as long as a gateway may
  // still report the quarantine.
  const Duration ttl =
    verdict.isLifted ? kMaxLeaseTtl : std::min(verdict.left, kMaxLeaseTtl);
  this->writeCall = this->store.GrantLease(
    ttl, [this, verdict](const absl::StatusOr<LeaseGrant>& aGrant) {
      const std::unique_ptr<StoreCall> ended = std::move(this->writeCall);
      if (aGrant.ok()) {
        this->stored[verdict.subject] = { verdict, Now() + aGrant->ttl };
        this->Put(verdict, aGrant->id);
      } else {
        this->writeTimer.StartOnce(kRetryPeriod);
      }
    });
}

void
QuarantineStore::Put(const QuarantineVerdict& aVerdict, LeaseId aLease)
{
  Operation put;
  put.key = fmt::format("{}{}", kPrefix, FingerprintText(aVerdict.subject));
  put.value = WriteVerdict(aVerdict);
  put.lease = aLease;
  Transaction transaction;
  transaction.then.push_back(std::move(put));
  this->writeCall = this->store.Commit(
    transaction, [this, aVerdict](const WriteResult& aResult) {
      const std::unique_ptr<StoreCall> ended = std::move(this->writeCall);
      if (aResult.outcome != WriteOutcome::Applied) {
        this->writeTimer.StartOnce(kRetryPeriod);
        return;
      }
      const auto written = this->pending.find(aVerdict.subject);
      if (written != this->pending.end() && written->second == aVerdict) {
        this->pending.erase(written);
      }
      this->WriteNext();
    });
}

} // namespace dogwoodvale
