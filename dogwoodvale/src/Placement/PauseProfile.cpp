#include "PauseProfile.h"

namespace dogwoodvale {

namespace {

/// Weight of a sample in the moving averages, so that about the last hundred
/// samples count.
constexpr double kSampleWeight = 0.01;
/// Share of requests from which a bound may be the tightest: a route that is
/// hardly used must not make all other bounds of the service count as loose.
constexpr double kMinShare = 0.05;
/// Share below which a bound is removed, so that bounds which change do not
/// accumulate.
constexpr double kRemovalShare = 1e-4;
/// Fraction of the tightest bound from which a pause counts as close to it.
constexpr double kCloseFraction = 0.6;
/// Share of streams with pauses close to the tightest bound from which requests
/// with this bound need servers of their own. Four simulated sites show no
/// difference between 0.6 and 0.1 for kCloseFraction and this constant, and
/// 0.85 and 0.15.
constexpr double kDisturbedShare = 0.1;

} // namespace

void
PauseProfile::OnRequest(Duration aBound)
{
  for (auto it = this->shares.begin(); it != this->shares.end();) {
    it->second *= 1.0 - kSampleWeight;
    it = it->second < kRemovalShare ? this->shares.erase(it) : std::next(it);
  }
  this->shares[aBound] += kSampleWeight;
}

Duration
PauseProfile::Tightest() const
{
  double sum = 0;
  for (const auto& [bound, share] : this->shares) {
    sum += share;
  }
  for (const auto& [bound, share] : this->shares) {
    if (share >= kMinShare * sum) {
      return bound;
    }
  }
  return Duration::zero();
}

void
PauseProfile::OnStream(Duration aBound, Duration aLongestPause)
{
  const Duration tightest = this->Tightest();
  if (aBound <= tightest) {
    return;
  }
  const bool isClose = static_cast<double>(aLongestPause.count()) >=
                       kCloseFraction * static_cast<double>(tightest.count());
  this->disturbedShare +=
    kSampleWeight * ((isClose ? 1.0 : 0.0) - this->disturbedShare);
}

bool
PauseProfile::HasInteractive() const
{
  return this->shares.size() > 1 && this->disturbedShare >= kDisturbedShare;
}

bool
PauseProfile::IsInteractive(Duration aBound) const
{
  return this->HasInteractive() && aBound <= this->Tightest();
}

} // namespace dogwoodvale
