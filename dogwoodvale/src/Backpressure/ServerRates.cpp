#include "ServerRates.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

namespace {

/// Tolerance when the ages of one update at two gateways are compared.
constexpr Duration kAgeTolerance = milliseconds(500);
constexpr milliseconds kMaxAge = std::chrono::hours(1);

std::optional<double>
ClampRate(std::optional<double> aPerSecond)
{
  if (!aPerSecond) {
    return std::nullopt;
  }
  // The order of the arguments makes NaN come out as kMinRate.
  return std::min(std::max(ServerRates::kMinRate, *aPerSecond),
                  ServerRates::kMaxRate);
}

} // namespace

ServerRates::ServerRates(InstanceName aSelf, Duration aSettle)
  : allocator(std::move(aSelf), aSettle)
{
}

RateChange
ServerRates::SetRate(Entry& aEntry,
                     std::optional<double> aPerSecond,
                     TimePoint aAnsweredAt,
                     TimePoint aNow) const
{
  RateChange change;
  change.before = std::exchange(aEntry.perSecond, aPerSecond);
  change.lasted = aEntry.changedAt == TimePoint{}
                    ? Duration::zero()
                    : Between(aEntry.changedAt, aNow);
  aEntry.answeredAt = aAnsweredAt;
  aEntry.changedAt = aNow;
  aEntry.announceUntil = aNow + kAnnounceEndedFor;
  // Makes FindLimited() recompute the share.
  aEntry.cells = 0;
  return change;
}

std::optional<RateChange>
ServerRates::OnAnswer(const InstanceName& aServer,
                      std::optional<double> aPerSecond,
                      TimePoint aNow)
{
  const std::optional<double> rate = ClampRate(aPerSecond);
  const auto found = this->entries.find(aServer);
  if (found == this->entries.end()) {
    if (!rate) {
      return std::nullopt;
    }
    return this->SetRate(this->entries[aServer], rate, aNow, aNow);
  }
  Entry& entry = found->second;
  if (entry.perSecond == rate) {
    entry.answeredAt = aNow;
    return std::nullopt;
  }
  return this->SetRate(entry, rate, aNow, aNow);
}

std::optional<RateChange>
ServerRates::OnUpdate(const RateUpdate& aUpdate, TimePoint aNow)
{
  const std::optional<double> rate = ClampRate(aUpdate.perSecond);
  const TimePoint answeredAt =
    aNow - std::clamp(aUpdate.age, milliseconds(0), kMaxAge);
  const auto found = this->entries.find(aUpdate.server);
  if (found == this->entries.end()) {
    if (!rate) {
      return std::nullopt;
    }
    return this->SetRate(this->entries[aUpdate.server], rate, answeredAt, aNow);
  }
  Entry& entry = found->second;
  if (entry.perSecond == rate) {
    // Without the tolerance, an update passed around among the gateways would
    // appear a little newer each time.
    if (Between(entry.answeredAt, answeredAt) > kAgeTolerance) {
      entry.answeredAt = answeredAt;
    }
    return std::nullopt;
  }
  if (answeredAt > entry.answeredAt) {
    return this->SetRate(entry, rate, answeredAt, aNow);
  }
  // The sender has missed the newer update that this gateway has.
  entry.announceUntil = aNow + kAnnounceEndedFor;
  return std::nullopt;
}

std::vector<RateUpdate>
ServerRates::OutgoingUpdates(TimePoint aNow) const
{
  std::vector<std::pair<TimePoint, RateUpdate>> candidates;
  for (const auto& [server, entry] : this->entries) {
    if (entry.perSecond || aNow < entry.announceUntil) {
      const auto age = std::chrono::duration_cast<milliseconds>(
        Between(entry.answeredAt, aNow));
      candidates.push_back(
        { entry.changedAt, { server, entry.perSecond, age } });
    }
  }
  if (candidates.size() > kMaxUpdates) {
    std::ranges::partial_sort(
      candidates,
      candidates.begin() + kMaxUpdates,
      std::greater{},
      [](const auto& aCandidate) { return aCandidate.first; });
    candidates.resize(kMaxUpdates);
  }
  std::vector<RateUpdate> updates;
  updates.reserve(candidates.size());
  for (auto& [changedAt, update] : candidates) {
    updates.push_back(std::move(update));
  }
  return updates;
}

void
ServerRates::Forget(const InstanceName& aServer)
{
  this->entries.erase(aServer);
}

bool
ServerRates::IsLimited(const InstanceName& aServer) const
{
  const auto found = this->entries.find(aServer);
  return found != this->entries.end() && found->second.perSecond.has_value();
}

std::size_t
ServerRates::LimitedCount() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->entries, [](const auto& aItem) {
      return aItem.second.perSecond.has_value();
    }));
}

ServerRates::Entry*
ServerRates::FindLimited(const InstanceName& aServer,
                         std::size_t aCells,
                         TimePoint aNow)
{
  const auto found = this->entries.find(aServer);
  if (found == this->entries.end() || !found->second.perSecond) {
    return nullptr;
  }
  Entry& entry = found->second;
  const std::uint64_t version = this->allocator.Version(aNow);
  if (entry.cells == aCells && entry.holdersVersion == version) {
    return &entry;
  }
  entry.cells = aCells;
  entry.holdersVersion = version;
  const RateShare share =
    this->allocator.ShareOf(aServer, *entry.perSecond, aCells);
  if (share != entry.share) {
    // Keeps the saved tokens, up to the new burst size. A new bucket starts
    // empty, since requests sent before the server stated its limit are still
    // in flight.
    const double saved = std::min(entry.bucket.Available(aNow), share.burst);
    entry.bucket = TokenBucket(share.perSecond, share.burst, saved);
    // The first call starts the refill.
    entry.bucket.Available(aNow);
    entry.share = share;
  }
  return &entry;
}

bool
ServerRates::MaySend(const InstanceName& aServer,
                     std::size_t aCells,
                     TimePoint aNow)
{
  Entry* entry = this->FindLimited(aServer, aCells, aNow);
  return entry == nullptr || entry->bucket.Available(aNow) >= 1.0;
}

void
ServerRates::OnSent(const InstanceName& aServer,
                    std::size_t aCells,
                    TimePoint aNow)
{
  if (Entry* entry = this->FindLimited(aServer, aCells, aNow)) {
    entry->bucket.TryTake(1.0, aNow);
  }
}

ServerRates::Allowance
ServerRates::AllowanceOf(const InstanceName& aServer,
                         std::size_t aCells,
                         TimePoint aNow)
{
  Entry* entry = this->FindLimited(aServer, aCells, aNow);
  return entry == nullptr
           ? Allowance{}
           : Allowance{ entry->bucket.Available(aNow), entry->share.burst };
}

Duration
ServerRates::UntilAllowed(const InstanceName& aServer,
                          std::size_t aCells,
                          TimePoint aNow)
{
  Entry* entry = this->FindLimited(aServer, aCells, aNow);
  if (entry == nullptr) {
    return Duration::zero();
  }
  if (entry->share.perSecond > 0) {
    return entry->bucket.UntilAvailable(1.0, aNow);
  }
  constexpr double kMicros = 1e6;
  return Duration(static_cast<Duration::rep>(kMicros / *entry->perSecond));
}

} // namespace dogwoodvale
