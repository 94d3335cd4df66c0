#include "ServerActivity.h"

#include <algorithm>
#include <cmath>

namespace dogwoodvale {

namespace {

double
SecondsBetween(TimePoint aFrom, TimePoint aTo)
{
  const std::chrono::duration<double> span = aTo - aFrom;
  return std::max(span.count(), 0.0);
}

double
Decay(TimePoint aFrom, TimePoint aTo)
{
  const std::chrono::duration<double> constant = ServerActivity::kRateTime;
  return std::exp(-SecondsBetween(aFrom, aTo) / constant.count());
}

} // namespace

ServerActivity::Entry&
ServerActivity::EntryOf(const InstanceName& aInstance, TimePoint aNow)
{
  const auto [found, isNew] = this->entries.try_emplace(aInstance);
  if (isNew) {
    found->second.countedTo = aNow;
    found->second.ratesAt = aNow;
  }
  return found->second;
}

double
ServerActivity::IntegralOf(const Entry& aEntry, TimePoint aNow)
{
  return aEntry.requestSeconds +
         aEntry.requests * SecondsBetween(aEntry.countedTo, aNow);
}

void
ServerActivity::OnPrefill(const InstanceName& aInstance,
                          double aTokens,
                          TimePoint aNow)
{
  if (!std::isfinite(aTokens) || aTokens < 0) {
    return;
  }
  Entry& entry = this->EntryOf(aInstance, aNow);
  entry.prefilledTokens += aTokens;
  entry.prompts += 1;
  const double decay = Decay(entry.ratesAt, aNow);
  entry.recentTokens = entry.recentTokens * decay + aTokens;
  entry.recentPrompts = entry.recentPrompts * decay + 1;
  entry.ratesAt = std::max(entry.ratesAt, aNow);
}

void
ServerActivity::SetRequests(const InstanceName& aInstance,
                            std::uint32_t aRequests,
                            TimePoint aNow)
{
  Entry& entry = this->EntryOf(aInstance, aNow);
  entry.requestSeconds = IntegralOf(entry, aNow);
  entry.countedTo = std::max(entry.countedTo, aNow);
  entry.requests = aRequests;
}

void
ServerActivity::Forget(const InstanceName& aInstance)
{
  this->entries.erase(aInstance);
}

ServerActivity::Snapshot
ServerActivity::Of(const InstanceName& aInstance, TimePoint aNow) const
{
  const auto found = this->entries.find(aInstance);
  if (found == this->entries.end()) {
    return { .at = aNow };
  }
  const Entry& entry = found->second;
  return {
    entry.prefilledTokens, entry.prompts, IntegralOf(entry, aNow), aNow
  };
}

ServerActivity::Rates
ServerActivity::RatesOf(const InstanceName& aInstance, TimePoint aNow) const
{
  const auto found = this->entries.find(aInstance);
  if (found == this->entries.end()) {
    return {};
  }
  const Entry& entry = found->second;
  const std::chrono::duration<double> constant = kRateTime;
  const double perSecond = Decay(entry.ratesAt, aNow) / constant.count();
  return { entry.recentTokens * perSecond, entry.recentPrompts * perSecond };
}

ServerActivity::Difference
ServerActivity::Subtract(const Snapshot& aFrom, const Snapshot& aTo)
{
  const double span = SecondsBetween(aFrom.at, aTo.at);
  const bool wasForgotten = aTo.requestSeconds < aFrom.requestSeconds ||
                            aTo.prompts < aFrom.prompts ||
                            aTo.prefilledTokens < aFrom.prefilledTokens;
  if (span <= 0 || wasForgotten) {
    return {};
  }
  return { (aTo.requestSeconds - aFrom.requestSeconds) / span,
           aTo.prefilledTokens - aFrom.prefilledTokens,
           aTo.prompts - aFrom.prompts };
}

} // namespace dogwoodvale
