#include "LatencyHistogram.h"

#include <algorithm>
#include <cmath>

namespace dogwoodvale {

LatencyHistogram::LatencyHistogram()
  : bins(std::make_tuple(Axis(kBins, kLowestSeconds, kHighestSeconds)))
{
}

void
LatencyHistogram::Record(Duration aDuration)
{
  constexpr double kMicrosecond = 1e-6;
  const double value =
    double(std::max<Duration::rep>(aDuration.count(), 0)) * kMicrosecond;
  this->bins(value);
  ++this->count;
  this->sumSeconds += value;
}

void
LatencyHistogram::Merge(const LatencyHistogram& aOther)
{
  this->bins += aOther.bins;
  this->count += aOther.count;
  this->sumSeconds += aOther.sumSeconds;
}

std::uint64_t
LatencyHistogram::BinCount(int aBin) const
{
  return static_cast<std::uint64_t>(this->bins.at(aBin));
}

double
LatencyHistogram::Edge(int aBin) const
{
  return this->bins.axis(0).value(aBin);
}

std::optional<Duration>
LatencyHistogram::Quantile(double aShare) const
{
  if (this->count == 0) {
    return std::nullopt;
  }
  const auto toDuration = [](double aSeconds) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aSeconds));
  };
  const double wanted = std::max(
    1.0, std::ceil(std::clamp(aShare, 0.0, 1.0) * double(this->count)));
  double below = double(this->BinCount(-1));
  if (below >= wanted) {
    return toDuration(this->Edge(0));
  }
  for (int bin = 0; bin < kBins; ++bin) {
    const double here = double(this->BinCount(bin));
    if (below + here >= wanted) {
      const double within = (wanted - below) / here;
      return toDuration(
        this->Edge(bin) *
        std::pow(this->Edge(bin + 1) / this->Edge(bin), within));
    }
    below += here;
  }
  return toDuration(kHighestSeconds);
}

} // namespace dogwoodvale
