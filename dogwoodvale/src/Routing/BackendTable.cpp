#include "BackendTable.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

namespace {

/// Weight of a new sample in the moving average of the time to the first token.
constexpr double kLatencySmoothing = 0.2;

} // namespace

BackendTable::BackendTable(PrefixIndexSettings aPrefixes)
  : prefixes(aPrefixes)
{
}

void
BackendTable::Upsert(const InstanceName& aName,
                     const DataCentreName& aDataCentre)
{
  if (Backend* known = this->FindMutable(aName)) {
    known->dataCentre = aDataCentre;
    return;
  }
  this->positions[aName] = this->backends.size();
  Backend& added = this->backends.emplace_back();
  added.name = aName;
  added.dataCentre = aDataCentre;
}

void
BackendTable::Remove(const InstanceName& aName)
{
  const auto found = this->positions.find(aName);
  if (found == this->positions.end()) {
    return;
  }
  const std::size_t position = found->second;
  this->positions.erase(found);
  this->AddReportToSums(this->backends[position], -1.0);
  if (position + 1 != this->backends.size()) {
    this->backends[position] = std::move(this->backends.back());
    this->positions[this->backends[position].name] = position;
  }
  this->backends.pop_back();
  this->prefixes.Forget(aName);
}

void
BackendTable::SetAvailable(const InstanceName& aName, bool aAvailable)
{
  if (Backend* known = this->FindMutable(aName)) {
    known->available = aAvailable;
  }
}

void
BackendTable::SetHealthState(const InstanceName& aName, HealthState aState)
{
  if (Backend* known = this->FindMutable(aName)) {
    known->healthState = aState;
  }
}

void
BackendTable::OnLoadReport(const InstanceName& aName,
                           const LoadReport& aReport,
                           TimePoint aNow)
{
  if (Backend* known = this->FindMutable(aName)) {
    this->AddReportToSums(*known, -1.0);
    known->report = aReport;
    known->reportedAt = aNow;
    this->AddReportToSums(*known, 1.0);
  }
}

void
BackendTable::OnSent(const InstanceName& aName,
                     std::uint64_t aEstimatedTokens,
                     Tier aTier)
{
  if (Backend* known = this->FindMutable(aName)) {
    ++known->inFlight;
    ++known->sent;
    ++known->inFlightByTier[aTier % kTierCount];
    known->inFlightTokens += aEstimatedTokens;
  }
}

void
BackendTable::OnEnded(const InstanceName& aName,
                      std::uint64_t aEstimatedTokens,
                      Tier aTier,
                      SendResult /*aResult*/,
                      Duration aFirstToken,
                      TimePoint /*aNow*/)
{
  Backend* known = this->FindMutable(aName);
  if (known == nullptr || known->inFlight == 0) {
    return;
  }
  --known->inFlight;
  std::uint32_t& ofTier = known->inFlightByTier[aTier % kTierCount];
  ofTier -= std::min<std::uint32_t>(ofTier, 1);
  known->inFlightTokens -= std::min(known->inFlightTokens, aEstimatedTokens);
  if (aFirstToken > Duration{ 0 }) {
    const auto sample = static_cast<double>(aFirstToken.count());
    known->firstTokenMicros =
      known->firstTokenMicros == 0.0
        ? sample
        : known->firstTokenMicros +
            kLatencySmoothing * (sample - known->firstTokenMicros);
  }
}

const Backend*
BackendTable::Find(const InstanceName& aName) const
{
  const auto found = this->positions.find(aName);
  return found == this->positions.end() ? nullptr
                                        : &this->backends[found->second];
}

std::size_t
BackendTable::AvailableCount() const
{
  return static_cast<std::size_t>(std::count_if(
    this->backends.begin(), this->backends.end(), [](const Backend& aBackend) {
      return aBackend.available;
    }));
}

std::size_t
BackendTable::UsableCount() const
{
  return static_cast<std::size_t>(std::count_if(
    this->backends.begin(), this->backends.end(), [](const Backend& aBackend) {
      return aBackend.IsUsable();
    }));
}

double
BackendTable::MeanLoad() const
{
  double sum = 0.0;
  std::size_t count = 0;
  for (const Backend& backend : this->backends) {
    if (backend.available && backend.HasReport()) {
      sum += backend.Load();
      ++count;
    }
  }
  return count == 0 ? 0.0 : sum / static_cast<double>(count);
}

double
BackendTable::MeanOthersPerSlot() const
{
  return this->reportedCount == 0
           ? 0.0
           : this->othersSum / static_cast<double>(this->reportedCount);
}

void
BackendTable::AddReportToSums(const Backend& aBackend, double aSign)
{
  if (!aBackend.HasReport()) {
    return;
  }
  const double others = aBackend.ReportedByOthers() / aBackend.Slots();
  this->othersSum += aSign * others;
  this->reportedCount += aSign > 0.0 ? 1 : -1;
}

Backend*
BackendTable::FindMutable(const InstanceName& aName)
{
  return const_cast<Backend*>(std::as_const(*this).Find(aName));
}

} // namespace dogwoodvale
