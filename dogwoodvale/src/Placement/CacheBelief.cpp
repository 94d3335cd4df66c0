#include "CacheBelief.h"

#include <algorithm>
#include <iterator>

namespace dogwoodvale {

void
CacheBelief::OnUsed(const InstanceName& aServer,
                    std::span<const PromptStep> aSteps,
                    std::uint64_t aRoom)
{
  Cache& cache = this->caches[aServer];
  // The first step last: of one prompt's steps the engine drops the end first.
  for (auto step = aSteps.rbegin(); step != aSteps.rend(); ++step) {
    Use(cache, *step);
  }
  while (cache.order.size() > kMostSteps ||
         (aRoom > 0 && cache.tokens > aRoom && cache.order.size() > 1)) {
    DropOldest(cache);
  }
}

void
CacheBelief::Use(Cache& aCache, const PromptStep& aStep)
{
  const auto known = aCache.places.find(aStep.hash);
  if (known != aCache.places.end()) {
    aCache.order.splice(aCache.order.begin(), aCache.order, known->second);
    return;
  }
  aCache.order.push_front(aStep);
  aCache.places[aStep.hash] = aCache.order.begin();
  aCache.tokens += aStep.tokens;
}

void
CacheBelief::DropOldest(Cache& aCache)
{
  const PromptStep& oldest = aCache.order.back();
  aCache.tokens -= oldest.tokens;
  aCache.places.erase(oldest.hash);
  aCache.order.pop_back();
}

void
CacheBelief::Forget(const InstanceName& aServer)
{
  this->caches.erase(aServer);
}

std::uint32_t
CacheBelief::TokensHeld(const InstanceName& aServer,
                        std::span<const PromptStep> aSteps) const
{
  const auto found = this->caches.find(aServer);
  if (found == this->caches.end()) {
    return 0;
  }
  std::uint32_t tokens = 0;
  for (const PromptStep& step : aSteps) {
    if (!found->second.places.contains(step.hash)) {
      break;
    }
    tokens += step.tokens;
  }
  return tokens;
}

void
CacheBelief::Seed(const InstanceName& aServer,
                  std::span<const PromptStep> aSteps,
                  std::uint64_t aRoom)
{
  Cache& cache = this->caches[aServer];
  for (const PromptStep& step : aSteps) {
    const bool isFull = cache.order.size() >= kMostSteps ||
                        (aRoom > 0 && cache.tokens + step.tokens > aRoom);
    if (isFull) {
      return;
    }
    if (!cache.places.contains(step.hash)) {
      cache.order.push_back(step);
      cache.places[step.hash] = std::prev(cache.order.end());
      cache.tokens += step.tokens;
    }
  }
}

std::vector<std::pair<InstanceName, std::vector<PromptStep>>>
CacheBelief::Latest(std::size_t aMost) const
{
  std::vector<std::pair<InstanceName, std::vector<PromptStep>>> latest;
  for (const auto& [server, cache] : this->caches) {
    const auto count =
      static_cast<std::ptrdiff_t>(std::min(aMost, cache.order.size()));
    latest.emplace_back(
      server,
      std::vector<PromptStep>(cache.order.begin(),
                              std::next(cache.order.begin(), count)));
  }
  return latest;
}

std::size_t
CacheBelief::StepCount() const
{
  std::size_t count = 0;
  for (const auto& [server, cache] : this->caches) {
    count += cache.order.size();
  }
  return count;
}

} // namespace dogwoodvale
