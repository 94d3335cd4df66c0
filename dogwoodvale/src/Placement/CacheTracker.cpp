#include "CacheTracker.h"

#include <algorithm>
#include <iterator>

namespace dogwoodvale {

void
CacheTracker::OnUsed(const InstanceName& aServer,
                     std::span<const PromptStep> aSteps,
                     std::uint64_t aCapacity)
{
  Cache& cache = this->caches[aServer];
  // In reverse, so that the first step is the most recently used: the engine
  // evicts the end of a prompt first.
  for (auto step = aSteps.rbegin(); step != aSteps.rend(); ++step) {
    Use(cache, *step);
  }
  while (
    cache.steps.size() > kMaxSteps ||
    (aCapacity > 0 && cache.tokens > aCapacity && cache.steps.size() > 1)) {
    EvictOldest(cache);
  }
}

void
CacheTracker::Use(Cache& aCache, const PromptStep& aStep)
{
  const auto known = aCache.positions.find(aStep.hash);
  if (known != aCache.positions.end()) {
    aCache.steps.splice(aCache.steps.begin(), aCache.steps, known->second);
    return;
  }
  aCache.steps.push_front(aStep);
  aCache.positions[aStep.hash] = aCache.steps.begin();
  aCache.tokens += aStep.tokens;
}

void
CacheTracker::EvictOldest(Cache& aCache)
{
  const PromptStep& oldest = aCache.steps.back();
  aCache.tokens -= oldest.tokens;
  aCache.positions.erase(oldest.hash);
  aCache.steps.pop_back();
}

void
CacheTracker::Forget(const InstanceName& aServer)
{
  this->caches.erase(aServer);
}

std::uint32_t
CacheTracker::CachedPrefixTokens(const InstanceName& aServer,
                                 std::span<const PromptStep> aSteps) const
{
  const auto found = this->caches.find(aServer);
  if (found == this->caches.end()) {
    return 0;
  }
  std::uint32_t tokens = 0;
  for (const PromptStep& step : aSteps) {
    if (!found->second.positions.contains(step.hash)) {
      break;
    }
    tokens += step.tokens;
  }
  return tokens;
}

void
CacheTracker::Seed(const InstanceName& aServer,
                   std::span<const PromptStep> aSteps,
                   std::uint64_t aCapacity)
{
  Cache& cache = this->caches[aServer];
  for (const PromptStep& step : aSteps) {
    const bool isFull =
      cache.steps.size() >= kMaxSteps ||
      (aCapacity > 0 && cache.tokens + step.tokens > aCapacity);
    if (isFull) {
      return;
    }
    if (!cache.positions.contains(step.hash)) {
      cache.steps.push_back(step);
      cache.positions[step.hash] = std::prev(cache.steps.end());
      cache.tokens += step.tokens;
    }
  }
}

std::vector<std::pair<InstanceName, std::vector<PromptStep>>>
CacheTracker::MostRecentlyUsed(std::size_t aMaxSteps) const
{
  std::vector<std::pair<InstanceName, std::vector<PromptStep>>> latest;
  for (const auto& [server, cache] : this->caches) {
    const auto count =
      static_cast<std::ptrdiff_t>(std::min(aMaxSteps, cache.steps.size()));
    latest.emplace_back(
      server,
      std::vector<PromptStep>(cache.steps.begin(),
                              std::next(cache.steps.begin(), count)));
  }
  return latest;
}

std::size_t
CacheTracker::StepCount() const
{
  std::size_t count = 0;
  for (const auto& [server, cache] : this->caches) {
    count += cache.steps.size();
  }
  return count;
}

} // namespace dogwoodvale
