#include "ServerRates.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

namespace {

/// How far the age of one word may seem to differ at two gateways.
constexpr Duration kAgeError = milliseconds(500);
constexpr milliseconds kMostAge = std::chrono::hours(1);

std::optional<double>
Bounded(std::optional<double> aPerSecond)
{
  if (!aPerSecond) {
    return std::nullopt;
  }
  // In this order what is no number comes to the least.
  return std::min(std::max(ServerRates::kLeastRate, *aPerSecond),
                  ServerRates::kMostRate);
}

} // namespace

ServerRates::ServerRates(InstanceName aSelf, Duration aSettle)
  : holders(std::move(aSelf), aSettle)
{
}

RateChange
ServerRates::Take(Entry& aEntry,
                  std::optional<double> aPerSecond,
                  TimePoint aHeardAt,
                  TimePoint aNow) const
{
  RateChange change;
  change.before = std::exchange(aEntry.perSecond, aPerSecond);
  change.lasted = aEntry.changedAt == TimePoint{}
                    ? Duration::zero()
                    : Between(aEntry.changedAt, aNow);
  aEntry.heardAt = aHeardAt;
  aEntry.changedAt = aNow;
  aEntry.tellUntil = aNow + kTellEnded;
  // The share is worked out anew at the next use.
  aEntry.cells = 0;
  return change;
}

std::optional<RateChange>
ServerRates::OnAnswer(const InstanceName& aServer,
                      std::optional<double> aPerSecond,
                      TimePoint aNow)
{
  const std::optional<double> rate = Bounded(aPerSecond);
  const auto found = this->entries.find(aServer);
  if (found == this->entries.end()) {
    if (!rate) {
      return std::nullopt;
    }
    return this->Take(this->entries[aServer], rate, aNow, aNow);
  }
  Entry& entry = found->second;
  if (entry.perSecond == rate) {
    entry.heardAt = aNow;
    return std::nullopt;
  }
  return this->Take(entry, rate, aNow, aNow);
}

std::optional<RateChange>
ServerRates::Hear(const RateNews& aNews, TimePoint aNow)
{
  const std::optional<double> rate = Bounded(aNews.perSecond);
  const TimePoint heardAt =
    aNow - std::clamp(aNews.age, milliseconds(0), kMostAge);
  const auto found = this->entries.find(aNews.server);
  if (found == this->entries.end()) {
    if (!rate) {
      return std::nullopt;
    }
    return this->Take(this->entries[aNews.server], rate, heardAt, aNow);
  }
  Entry& entry = found->second;
  if (entry.perSecond == rate) {
    // A word that went round would seem a little newer each time.
    if (Between(entry.heardAt, heardAt) > kAgeError) {
      entry.heardAt = heardAt;
    }
    return std::nullopt;
  }
  if (heardAt > entry.heardAt) {
    return this->Take(entry, rate, heardAt, aNow);
  }
  // Somebody has missed the word that this gateway has.
  entry.tellUntil = aNow + kTellEnded;
  return std::nullopt;
}

std::vector<RateNews>
ServerRates::Tell(TimePoint aNow) const
{
  std::vector<std::pair<TimePoint, RateNews>> dated;
  for (const auto& [server, entry] : this->entries) {
    if (entry.perSecond || aNow < entry.tellUntil) {
      const auto age =
        std::chrono::duration_cast<milliseconds>(Between(entry.heardAt, aNow));
      dated.push_back({ entry.changedAt, { server, entry.perSecond, age } });
    }
  }
  if (dated.size() > kMostNews) {
    std::ranges::partial_sort(dated,
                              dated.begin() + kMostNews,
                              std::greater{},
                              [](const auto& aOne) { return aOne.first; });
    dated.resize(kMostNews);
  }
  std::vector<RateNews> news;
  news.reserve(dated.size());
  for (auto& [changedAt, one] : dated) {
    news.push_back(std::move(one));
  }
  return news;
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
ServerRates::Limited(const InstanceName& aServer,
                     std::size_t aCells,
                     TimePoint aNow)
{
  const auto found = this->entries.find(aServer);
  if (found == this->entries.end() || !found->second.perSecond) {
    return nullptr;
  }
  Entry& entry = found->second;
  const std::uint64_t version = this->holders.Version(aNow);
  if (entry.cells == aCells && entry.holdersVersion == version) {
    return &entry;
  }
  entry.cells = aCells;
  entry.holdersVersion = version;
  const RateShare share =
    this->holders.ShareOf(aServer, *entry.perSecond, aCells);
  if (share != entry.share) {
    // Starts with what it had saved, at first with nothing: what was sent
    // before the server named its rate is still on its way.
    const double saved = std::min(entry.bucket.Available(aNow), share.burst);
    entry.bucket = TokenBucket(share.perSecond, share.burst, saved);
    // From now on it refills.
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
  Entry* entry = this->Limited(aServer, aCells, aNow);
  return entry == nullptr || entry->bucket.Available(aNow) >= 1.0;
}

void
ServerRates::OnSent(const InstanceName& aServer,
                    std::size_t aCells,
                    TimePoint aNow)
{
  if (Entry* entry = this->Limited(aServer, aCells, aNow)) {
    entry->bucket.TryTake(1.0, aNow);
  }
}

ServerRates::Room
ServerRates::RoomOf(const InstanceName& aServer,
                    std::size_t aCells,
                    TimePoint aNow)
{
  Entry* entry = this->Limited(aServer, aCells, aNow);
  return entry == nullptr
           ? Room{}
           : Room{ entry->bucket.Available(aNow), entry->share.burst };
}

Duration
ServerRates::UntilRoom(const InstanceName& aServer,
                       std::size_t aCells,
                       TimePoint aNow)
{
  Entry* entry = this->Limited(aServer, aCells, aNow);
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
