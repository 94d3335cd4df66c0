#ifndef DOGWOODVALE_PLACEMENT_SERVERACTIVITY_H
#define DOGWOODVALE_PLACEMENT_SERVERACTIVITY_H

#include <cstdint>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// What backend servers have to do, as far as this gateway knows: cumulative
/// counts of the prompts sent to each by all gateways, and the integral of its
/// requests over time. The difference of two snapshots describes the server
/// during a stream.
///
/// The integral is advanced only when the number of requests is set or a
/// snapshot is taken, so events of streams cost nothing.
class ServerActivity
{
public:
  struct Snapshot
  {
    double prefilledTokens = 0;
    double prompts = 0;
    /// Integral of the number of requests, in requests times seconds.
    double requestSeconds = 0;
    TimePoint at{};
  };

  /// A server during the time between two snapshots.
  struct Difference
  {
    /// Mean number of requests.
    double meanRequests = 0;
    double prefilledTokens = 0;
    double prompts = 0;
  };

  struct Rates
  {
    double tokensPerSecond = 0;
    double promptsPerSecond = 0;
  };

  /// A prompt was sent to the server.
  /// \param aTokens tokens of it that are not expected in the server's cache.
  void OnPrefill(const InstanceName& aInstance, double aTokens, TimePoint aNow);
  /// The server has this many requests from now on. The more often it is
  /// called, the more exact the integral is.
  void SetRequests(const InstanceName& aInstance,
                   std::uint32_t aRequests,
                   TimePoint aNow);
  void Forget(const InstanceName& aInstance);

  /// The counts up to \p aNow; zero for an unknown server.
  Snapshot Of(const InstanceName& aInstance, TimePoint aNow) const;
  /// Prompts sent lately, exponentially decayed.
  Rates RatesOf(const InstanceName& aInstance, TimePoint aNow) const;

  /// \return all zero if \p aTo is not after \p aFrom, or if the server was
  /// forgotten in between.
  static Difference Subtract(const Snapshot& aFrom, const Snapshot& aTo);

  /// Time constant of the rates.
  static constexpr Duration kRateTime = seconds(1);

private:
  struct Entry
  {
    double prefilledTokens = 0;
    double prompts = 0;
    double requestSeconds = 0;
    std::uint32_t requests = 0;
    /// Time up to which requestSeconds counts.
    TimePoint countedTo{};
    /// Sums of tokens and prompts, decayed to ratesAt.
    double recentTokens = 0;
    double recentPrompts = 0;
    TimePoint ratesAt{};
  };

  Entry& EntryOf(const InstanceName& aInstance, TimePoint aNow);
  static double IntegralOf(const Entry& aEntry, TimePoint aNow);

  absl::flat_hash_map<InstanceName, Entry> entries;
};

} // namespace dogwoodvale

#endif
