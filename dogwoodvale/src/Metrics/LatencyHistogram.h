#ifndef DOGWOODVALE_METRICS_LATENCYHISTOGRAM_H
#define DOGWOODVALE_METRICS_LATENCYHISTOGRAM_H

#include <cstdint>
#include <optional>
#include <tuple>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/unlimited_storage.hpp>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Durations in bins of equal ratio, 16 a decade from 100 us to 1000 s.
///
/// The counts grow from 8 bits to what they need (Boost's unlimited storage),
/// so that a class that sees little takes little.
class LatencyHistogram
{
public:
  static constexpr double kLowestSeconds = 1e-4;
  static constexpr double kHighestSeconds = 1e3;
  static constexpr int kDecades = 7;
  static constexpr int kBinsPerDecade = 16;
  static constexpr int kBins = kDecades * kBinsPerDecade;
  /// Prometheus gets every fourth edge: the text stays short, and status uses
  /// the fine bins.
  static constexpr int kBinsPerBucket = 4;
  static constexpr int kBuckets = kBins / kBinsPerBucket;

  LatencyHistogram();

  /// Negative durations count as zero.
  void Record(Duration aDuration);
  void Merge(const LatencyHistogram& aOther);

  std::uint64_t Count() const { return this->count; }
  double SumSeconds() const { return this->sumSeconds; }

  /// The duration that a share \p aShare in [0,1] does not exceed, good to one
  /// bin (15 %); nothing when empty. Beyond the last edge it is that edge.
  std::optional<Duration> Quantile(double aShare) const;

  /// Calls \p aVisit(upper edge in seconds, count up to it), kBuckets + 1
  /// times; the first edge is the lowest.
  template<class Visit>
  void ForEachBucket(const Visit& aVisit) const
  {
    std::uint64_t sum = this->BinCount(-1);
    aVisit(this->Edge(0), sum);
    for (int bin = 0; bin < kBins; ++bin) {
      sum += this->BinCount(bin);
      if ((bin + 1) % kBinsPerBucket == 0) {
        aVisit(this->Edge(bin + 1), sum);
      }
    }
  }

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log,
                                    boost::histogram::axis::null_type>;

  std::uint64_t BinCount(int aBin) const;
  double Edge(int aBin) const;

  boost::histogram::histogram<std::tuple<Axis>,
                              boost::histogram::unlimited_storage<>>
    bins;
  std::uint64_t count = 0;
  double sumSeconds = 0;
};

} // namespace dogwoodvale

#endif
