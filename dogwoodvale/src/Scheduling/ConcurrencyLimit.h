#ifndef DOGWOODVALE_SCHEDULING_CONCURRENCYLIMIT_H
#define DOGWOODVALE_SCHEDULING_CONCURRENCYLIMIT_H

#include <cstdint>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Limit on the requests in flight to one backend server, so that requests wait
/// in the sidecar's queue, which respects tiers, rather than inside the server.
class ConcurrencyLimit
{
public:
  virtual ~ConcurrencyLimit() = default;

  /// Maximum number of requests in flight; at least 1.
  virtual std::uint32_t Limit() const = 0;

  /// A request was sent to the server.
  virtual void OnStart(TimePoint aNow) = 0;

  /// The first token of a request arrived \p aWait after its start.
  virtual void OnFirstToken(Duration aWait, std::uint32_t aPromptTokens) = 0;

  /// A later token of a request arrived \p aInterval after the one before it.
  virtual void OnToken(Duration aInterval) = 0;

  /// A request ended, successfully or not, after its first token.
  virtual void OnFinish(TimePoint aNow) = 0;

  /// A request ended without a first token: cancelled, refused or lost.
  /// Separate from OnFinish because requests that await their first token are
  /// counted.
  virtual void OnFinishWithoutFirstToken(TimePoint aNow) = 0;

  /// Overload signal: above 1 when the server exceeds the target time between
  /// tokens or queues requests internally; 0 before the first measurement.
  virtual double QueueingSignal() const = 0;

  std::uint32_t InFlight() const { return this->inFlight; }
  /// Whether another request may start.
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
