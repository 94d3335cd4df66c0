#include "WarmStart.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

WarmStart::WarmStart(const InstanceName& aSelf,
                     StoreClient& aStore,
                     DirectoryCache& aDirectory,
                     BackendPool& aPool,
                     OriginFinder& aOrigins,
                     Options aOptions)
  : store(aStore)
  , directory(aDirectory)
  , pool(aPool)
  , origins(aOrigins)
  , options(std::move(aOptions))
  , election(aSelf, Now())
{
}

void
WarmStart::Start()
{
  this->startedAt = Now();
  // Delays the first write: a gateway that has just started knows less than
  // what is saved.
  this->writtenAt = this->startedAt;
  if (!this->options.isOn) {
    return;
  }
  RangeQuery query;
  query.key = kKey;
  // All gateways may start at once; stale reads do not count towards the
  // store's read limit.
  query.allowStale = true;
  this->readCall = this->store.Range(
    query, [this](const absl::StatusOr<RangeResult>& aResult) {
      const std::unique_ptr<StoreCall> ended = std::move(this->readCall);
      if (aResult.ok() && !aResult->values.empty()) {
        this->Apply(aResult->values.front().value, "store");
      }
    });
}

bool
WarmStart::WantsDocument(TimePoint aNow) const
{
  return this->options.isOn && !this->hasDocument &&
         Between(this->startedAt, aNow) < kStartDuration;
}

WarmState
WarmStart::Collect() const
{
  WarmState state;
  state.instances = this->directory.Listed();
  const auto gateways = this->directory.Roster().Members();
  state.gateways.assign(gateways.begin(), gateways.end());
  state.services = this->pool.Estimates(Now());
  const std::size_t servers = std::max<std::size_t>(this->pool.Count(), 1);
  state.caches = this->pool.Caches().MostRecentlyUsed(
    std::min(WarmState::kMaxStepsPerServer, WarmState::kMaxSteps / servers));
  state.streamLifetimes = this->origins.LifetimesToSave(Now());
  return state;
}

std::string
WarmStart::Document() const
{
  return WriteWarmState(this->Collect(), this->options.secret);
}

void
WarmStart::Apply(std::string_view aBytes, std::string_view aFrom)
{
  const TimePoint now = Now();
  const auto state = ReadWarmState(aBytes, this->options.secret);
  if (!state.ok()) {
    Log(LogLevel::Warning,
        "warm_state_rejected",
        "from",
        aFrom,
        "reason",
        MessageOf(state.status()));
    return;
  }
  Log(LogLevel::Info,
      "warm_state",
      "from",
      aFrom,
      "instances",
      state->instances.size(),
      "gateways",
      state->gateways.size(),
      "services",
      state->services.size(),
      "caches",
      state->caches.size(),
      "since_start_ms",
      WholeMillis(Between(this->startedAt, now)));
  this->hasDocument = this->hasDocument || aFrom != "store";
  this->directory.Roster().ApplyHints(state->gateways, now);
  this->directory.ApplyHints(state->instances, now);
  this->pool.Seed(state->services, now);
  this->origins.ApplySavedLifetimes(state->streamLifetimes);
  this->caches = state->caches;
  this->SeedCaches();
}

void
WarmStart::SeedCaches()
{
  std::erase_if(this->caches, [this](const auto& aItem) {
    return this->pool.SeedCache(aItem.first, aItem.second);
  });
}

void
WarmStart::OnHeard(const InstanceName& aGateway, TimePoint aNow)
{
  this->election.OnHeartbeat(aGateway, false, aNow);
}

void
WarmStart::RunMaintenance(TimePoint aNow, bool aMayWrite)
{
  const bool isDue = Between(this->writtenAt, aNow) >= kWritePeriod;
  if (!this->options.isOn || !isDue || this->writeCall != nullptr) {
    return;
  }
  if (Between(this->startedAt, aNow) > kStartDuration) {
    this->caches.clear();
  }
  if (aMayWrite && this->election.RankOfSelf(aNow) == 0) {
    this->writtenAt = aNow;
    this->Write();
  }
}

void
WarmStart::Write()
{
  const WarmState state = this->Collect();
  if (state.instances.empty()) {
    return;
  }
  this->writeCall =
    this->store.Put(std::string(kKey),
                    WriteWarmState(state, this->options.secret),
                    [this](const WriteResult& aResult) {
                      const std::unique_ptr<StoreCall> ended =
                        std::move(this->writeCall);
                      if (aResult.outcome != WriteOutcome::Applied) {
                        Log(LogLevel::Warning,
                            "warm_state_not_kept",
                            "reason",
                            MessageOf(aResult.status));
                      }
                    });
}

} // namespace dogwoodvale
