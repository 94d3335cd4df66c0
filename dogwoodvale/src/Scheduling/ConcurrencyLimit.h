#ifndef DOGWOODVALE_SCHEDULING_CONCURRENCYLIMIT_H
#define DOGWOODVALE_SCHEDULING_CONCURRENCYLIMIT_H

#include <cstdint>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// How many requests one backend server is given at once, so that waiting
/// happens in the sidecar's queue, where tiers count.
class ConcurrencyLimit
{
public:
  virtual ~ConcurrencyLimit() = default;

  /// Requests that may run at once; at least 1.
  virtual std::uint32_t Limit() const = 0;

  /// One request was sent to the server.
  virtual void OnStart(TimePoint aNow) = 0;

  /// Its first token came \p aWait after the start.
  virtual void OnFirstToken(Duration aWait, std::uint32_t aPromptTokens) = 0;

  /// A further token came \p aInterval after the one before it.
  virtual void OnToken(Duration aInterval) = 0;

  /// It ended, in whichever way, after its first token.
  virtual void OnFinish(TimePoint aNow) = 0;

  /// It ended without a first token: cancelled, refused or lost. Told apart
  /// from OnFinish because those that await their first token are counted.
  virtual void OnFinishUnanswered(TimePoint aNow) = 0;

  /// Above 1 when the server is slower than it should be, i.e. requests wait
  /// inside it; 0 before anything was learned.
  virtual double QueueingSignal() const = 0;

  std::uint32_t InFlight() const { return this->inFlight; }
  bool HasRoom() const { return this->inFlight < this->Limit(); }

protected:
  ConcurrencyLimit() = default;
  ConcurrencyLimit(const ConcurrencyLimit&) = default;
  ConcurrencyLimit(ConcurrencyLimit&&) = default;
  ConcurrencyLimit& operator=(const ConcurrencyLimit&) = default;
  ConcurrencyLimit& operator=(ConcurrencyLimit&&) = default;

  std::uint32_t inFlight = 0;
};

} // namespace dogwoodvale

#endif
