#include "PauseProfile.h"

namespace dogwoodvale {

namespace {

/// Weight of one more sample in the shares: the latest hundred or so count.
constexpr double kWeight = 0.01;
/// A bound that fewer of the requests have does not make the others loose: a
/// route that is hardly used must not decide for a service.
constexpr double kLeastShare = 0.05;
/// Bounds are forgotten below this, so that changing ones don't pile up.
constexpr double kForgottenShare = 1e-4;
/// Part of the tightest bound from which a pause counts as near it.
constexpr double kNear = 0.6;
/// Share of disturbed streams from which the tightest bound needs servers of
/// its own. Between these two and 0.85 and 0.15 four simulated sites showed no
/// difference.
constexpr double kDisturbedShare = 0.1;

} // namespace

void
PauseProfile::OnRequest(Duration aBound)
{
  for (auto it = this->shares.begin(); it != this->shares.end();) {
    it->second *= 1.0 - kWeight;
    it = it->second < kForgottenShare ? this->shares.erase(it) : std::next(it);
  }
  this->shares[aBound] += kWeight;
}

Duration
PauseProfile::Tightest() const
{
  double sum = 0;
  for (const auto& [bound, share] : this->shares) {
    sum += share;
  }
  for (const auto& [bound, share] : this->shares) {
    if (share >= kLeastShare * sum) {
      return bound;
    }
  }
  return Duration::zero();
}

void
PauseProfile::OnStream(Duration aBound, Duration aLongest)
{
  const Duration tightest = this->Tightest();
  if (aBound <= tightest) {
    return;
  }
  const bool isNear = static_cast<double>(aLongest.count()) >=
                      kNear * static_cast<double>(tightest.count());
  this->disturbed += kWeight * ((isNear ? 1.0 : 0.0) - this->disturbed);
}

bool
PauseProfile::HasInteractive() const
{
  return this->shares.size() > 1 && this->disturbed >= kDisturbedShare;
}

bool
PauseProfile::IsInteractive(Duration aBound) const
{
  return this->HasInteractive() && aBound <= this->Tightest();
}

} // namespace dogwoodvale
