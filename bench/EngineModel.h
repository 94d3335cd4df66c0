#ifndef DOGWOODVALE_BENCH_ENGINEMODEL_H
#define DOGWOODVALE_BENCH_ENGINEMODEL_H

#include <algorithm>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale::model {

/// A model engine that batches continuously: whole requests wait for a slot,
/// each step prefills a chunk and generates one token for every sequence that
/// is past its prefill. Deterministic; time is an argument.
class EngineModel
{
public:
  struct Options
  {
    std::uint32_t slots = 32;
    Duration base = milliseconds(6);
    Duration perSequence{ 100 };
    Duration perPrefillToken{ 20 };
    std::uint32_t prefillChunk = 512;
  };

  struct Sequence
  {
    RequestId id;
    int priority = 0;
    std::uint32_t prefillLeft = 0;
    std::uint32_t tokensLeft = 0;
    TimePoint started;
    TimePoint lastToken;
    bool hasFirst = false;
    /// Last step: a token came.
    bool advanced = false;
  };

  /// Where a sequence of \p aPriority belongs among those before it.
  template<class Sequences>
  static auto UpperBound(Sequences& aSequences, int aPriority)
  {
    return std::find_if(
      aSequences.begin(), aSequences.end(), [=](const Sequence& aOther) {
        return aOther.priority > aPriority;
      });
  }

  explicit EngineModel(const Options& aOptions)
    : options(aOptions)
  {
  }

  void Start(RequestId aId,
             std::uint32_t aPrompt,
             std::uint32_t aTokens,
             TimePoint aNow,
             int aPriority = 0)
  {
    Sequence sequence;
    sequence.id = aId;
    sequence.priority = aPriority;
    sequence.prefillLeft = aPrompt;
    sequence.tokensLeft = std::max(aTokens, 1U);
    sequence.started = aNow;
    this->waiting.insert(UpperBound(this->waiting, aPriority), sequence);
  }

  /// Takes a request out, wherever it is.
  void Cancel(const RequestId& aId)
  {
    std::erase_if(this->waiting,
                  [&](const Sequence& aSeq) { return aSeq.id == aId; });
    std::erase_if(this->batch,
                  [&](const Sequence& aSeq) { return aSeq.id == aId; });
  }

  /// Steps are this many times slower from now on.
  void SetSlowdown(double aFactor) { this->slowdown = aFactor; }

  /// Prefilling takes this long a token from now on.
  void SetPrefill(Duration aPerToken)
  {
    this->options.perPrefillToken = aPerToken;
  }

  bool IsIdle() const { return this->waiting.empty() && this->batch.empty(); }

  /// Runs one step from \p aNow: drops what ended in the last one, admits what
  /// fits and advances it. \return when the step ends.
  TimePoint Step(TimePoint aNow)
  {
    std::erase_if(this->batch,
                  [](const Sequence& aSeq) { return aSeq.tokensLeft == 0; });
    while (this->batch.size() < this->options.slots && !this->waiting.empty()) {
      const Sequence& next = this->waiting.front();
      this->batch.insert(UpperBound(this->batch, next.priority), next);
      this->waiting.pop_front();
    }
    std::uint32_t chunk = this->options.prefillChunk;
    for (Sequence& sequence : this->batch) {
      const std::uint32_t part = std::min(chunk, sequence.prefillLeft);
      chunk -= part;
      sequence.prefillLeft -= part;
      sequence.advanced = sequence.prefillLeft == 0;
      sequence.tokensLeft -= sequence.advanced ? 1 : 0;
    }
    const Duration length = this->options.base +
                            static_cast<std::int64_t>(this->batch.size()) *
                              this->options.perSequence +
                            std::int64_t{ this->options.prefillChunk - chunk } *
                              this->options.perPrefillToken;
    return aNow + Duration(static_cast<std::int64_t>(
                    static_cast<double>(length.count()) * this->slowdown));
  }

  /// Requests that have a slot.
  std::size_t Running() const { return this->batch.size(); }
  /// Requests that wait for a slot.
  std::size_t Waiting() const { return this->waiting.size(); }

  /// What the last step worked on.
  std::span<Sequence> Batch() { return this->batch; }

private:
  Options options;
  std::deque<Sequence> waiting;
  std::vector<Sequence> batch;
  double slowdown = 1;
};

} // namespace dogwoodvale::model

#endif
