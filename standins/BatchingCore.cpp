#include "BatchingCore.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace dogwoodvale::standins {

namespace {

/// More in one step are dropped, as a gap.
constexpr std::size_t kMaxEvents = 10000;

std::size_t
Held(const Sequence& aSequence)
{
  return aSequence.promptTokens + aSequence.made;
}

} // namespace

std::size_t
PrefixCache::Use(std::span<const std::uint64_t> aBlocks)
{
  std::size_t held = 0;
  for (const std::uint64_t block : aBlocks) {
    const auto found = this->places.find(block);
    if (found == this->places.end()) {
      break;
    }
    this->byUse.splice(this->byUse.begin(), this->byUse, found->second);
    ++held;
  }
  return held;
}

void
PrefixCache::Store(std::span<const std::uint64_t> aBlocks)
{
  // The last block first, so that the first outlives those that need it.
  for (std::size_t at = aBlocks.size(); at-- > 0;) {
    const std::uint64_t block = aBlocks[at];
    const auto [found, isNew] =
      this->places.try_emplace(block, this->byUse.end());
    if (!isNew) {
      this->byUse.erase(found->second);
    } else if (this->events.size() < kMaxEvents) {
      this->events.push_back({ true, block });
    }
    this->byUse.push_front(block);
    found->second = this->byUse.begin();
  }
}

void
PrefixCache::ShrinkTo(std::size_t aBlocks)
{
  while (this->places.size() > aBlocks) {
    if (this->events.size() < kMaxEvents) {
      this->events.push_back({ false, this->byUse.back() });
    }
    this->places.erase(this->byUse.back());
    this->byUse.pop_back();
  }
}

std::vector<CacheEvent>
PrefixCache::TakeEvents()
{
  return std::exchange(this->events, {});
}

BatchingCore::BatchingCore(const BatchingSettings& aSettings)
  : settings(aSettings)
{
}

bool
BatchingCore::Add(Sequence aSequence)
{
  if (Held(aSequence) + 1 > this->settings.kvTokens) {
    return false;
  }
  const Place place{ aSequence.priority, this->arrivals++, aSequence.key };
  this->waiting.insert(place);
  this->entries.emplace(place.key, Entry{ std::move(aSequence), place });
  return true;
}

void
BatchingCore::Cancel(std::uint64_t aKey)
{
  const auto found = this->entries.find(aKey);
  if (found == this->entries.end()) {
    return;
  }
  const Entry& entry = found->second;
  if (entry.running) {
    this->kvUsed -= Held(entry.sequence);
    this->running.erase(entry.place);
  } else {
    this->waiting.erase(entry.place);
  }
  this->entries.erase(found);
}

std::size_t
BatchingCore::Admit()
{
  std::size_t prefill = 0;
  while (!this->waiting.empty() &&
         this->running.size() < this->settings.batch &&
         prefill < this->settings.maxPrefillTokens) {
    const Place place = *this->waiting.begin();
    Entry& entry = this->entries.at(place.key);
    const std::size_t need = Held(entry.sequence);
    // Room for a token each, or it would be preempted at once.
    if (this->kvUsed + need + this->running.size() + 1 >
        this->settings.kvTokens) {
      break;
    }
    const std::size_t cached =
      this->cache.Use(entry.sequence.blocks) * kBlockTokens;
    prefill += need - std::min(need, cached);
    this->waiting.erase(place);
    this->running.insert(place);
    entry.running = true;
    this->kvUsed += need;
    this->cache.Store(entry.sequence.blocks);
  }
  return prefill;
}

void
BatchingCore::Preempt()
{
  while (this->running.size() > 1 &&
         this->kvUsed + this->running.size() > this->settings.kvTokens) {
    const Place worst = *std::prev(this->running.end());
    Entry& entry = this->entries.at(worst.key);
    this->running.erase(worst);
    this->waiting.insert(worst);
    entry.running = false;
    this->kvUsed -= Held(entry.sequence);
  }
}

std::optional<Duration>
BatchingCore::BeginStep()
{
  this->Preempt();
  const std::size_t prefill = this->Admit();
  this->cache.ShrinkTo((this->settings.kvTokens - this->kvUsed) / kBlockTokens);
  if (this->running.empty()) {
    return std::nullopt;
  }
  const std::size_t count = this->running.size();
  this->maxRunning = std::max(this->maxRunning, count);
  const std::size_t extra =
    (prefill + this->settings.prefillTokensPerStep - 1) /
    this->settings.prefillTokensPerStep;
  const double factor =
    1.0 + this->settings.slowdownPerSequence * static_cast<double>(count - 1) +
    static_cast<double>(extra);
  return Duration(
    std::llround(static_cast<double>(this->settings.step.count()) * factor));
}

std::vector<BatchingCore::Token>
BatchingCore::EndStep()
{
  ++this->steps;
  std::vector<Token> tokens;
  tokens.reserve(this->running.size());
  std::vector<std::uint64_t> done;
  for (const Place& place : this->running) {
    Sequence& sequence = this->entries.at(place.key).sequence;
    ++sequence.made;
    ++this->kvUsed;
    // A lone sequence that has filled the memory ends there.
    const bool last = sequence.made >= sequence.wanted ||
                      Held(sequence) >= this->settings.kvTokens;
    tokens.push_back({ place.key, last });
    if (last) {
      done.push_back(place.key);
    }
  }
  for (const std::uint64_t key : done) {
    this->Cancel(key);
  }
  return tokens;
}

} // namespace dogwoodvale::standins
