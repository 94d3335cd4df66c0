#ifndef DOGWOODVALE_STANDINS_BATCHINGCORE_H
#define DOGWOODVALE_STANDINS_BATCHINGCORE_H

#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <span>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale::standins {

/// Tokens in one block of the prefix cache.
inline constexpr std::size_t kBlockTokens = 64;

/// A change in the prefix cache.
struct CacheEvent
{
  bool stored = false; ///< else evicted
  std::uint64_t prefix = 0;
};

/// Least recently used prompt prefixes; each block's hash covers all before it.
class PrefixCache
{
public:
  /// \return how many leading blocks of \p aBlocks are held; they count as
  /// used now.
  std::size_t Use(std::span<const std::uint64_t> aBlocks);
  void Store(std::span<const std::uint64_t> aBlocks);
  void ShrinkTo(std::size_t aBlocks);
  std::size_t Blocks() const { return this->places.size(); }
  std::vector<CacheEvent> TakeEvents();

private:
  std::list<std::uint64_t> byUse; ///< the most recent first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
  std::vector<CacheEvent> events;
};

/// One request to the engine, as far as batching needs it.
struct Sequence
{
  std::uint64_t key = 0;
  std::int64_t priority = 0; ///< lower goes first
  std::size_t promptTokens = 0;
  std::size_t wanted = 0; ///< tokens to make, at least 1
  std::vector<std::uint64_t> blocks;
  std::size_t made = 0;
};

struct BatchingSettings
{
  Duration step = milliseconds(6);
  std::size_t batch = 16;
  std::size_t kvTokens = 200000;
  double slowdownPerSequence = 0.02;
  std::size_t prefillTokensPerStep = 512; ///< more cost a whole step each
  std::size_t maxPrefillTokens = 2048;    ///< admitted in one step
};

/// Continuous batching with priorities and a prefix cache; does no I/O.
///
/// The cache gets the memory that running sequences leave.
class BatchingCore
{
public:
  explicit BatchingCore(const BatchingSettings& aSettings);

  /// \return false if it could never fit into the memory.
  bool Add(Sequence aSequence);
  void Cancel(std::uint64_t aKey);

  /// Admits from the waiting list. \return the length of the step, nothing if
  /// there is nothing to do.
  std::optional<Duration> BeginStep();

  struct Token
  {
    std::uint64_t key;
    bool last;
  };
  /// Gives each sequence of the step that is still there its next token.
  std::vector<Token> EndStep();

  std::size_t Running() const { return this->running.size(); }
  std::size_t Waiting() const { return this->waiting.size(); }
  /// Tokens held by running sequences.
  std::size_t KvUsed() const { return this->kvUsed; }
  std::uint64_t Steps() const { return this->steps; }
  std::size_t MaxRunning() const { return this->maxRunning; }
  PrefixCache& Cache() { return this->cache; }

private:
  struct Place
  {
    std::int64_t priority;
    std::uint64_t arrival;
    std::uint64_t key;
    bool operator<(const Place& aOther) const
    {
      return std::tie(this->priority, this->arrival) <
             std::tie(aOther.priority, aOther.arrival);
    }
  };
  struct Entry
  {
    Sequence sequence;
    Place place;
    bool running = false;
  };
  std::size_t Admit();
  /// Sends the last in order back to the waiting list until memory suffices;
  /// they are prefilled again, and keep what they have made.
  void Preempt();

  BatchingSettings settings;
  PrefixCache cache;
  std::unordered_map<std::uint64_t, Entry> entries;
  std::set<Place> waiting;
  std::set<Place> running;
  std::uint64_t arrivals = 0;
  std::size_t kvUsed = 0;
  std::uint64_t steps = 0;
  std::size_t maxRunning = 0;
};

} // namespace dogwoodvale::standins

#endif
