#include "RoutesCheck.h"

#include <algorithm>

namespace dogwoodvale {

RoutesCheck::RoutesCheck(Duration aPeriod, std::mt19937_64& aRandom)
  : period(aPeriod)
{
  std::uniform_real_distribution<double> draw(kLeastPatience, kMostPatience);
  this->patience = Duration(static_cast<Duration::rep>(
    draw(aRandom) * static_cast<double>(aPeriod.count())));
}

void
RoutesCheck::OnConfirmed(TimePoint aWhen)
{
  this->confirmedAt = std::max(this->confirmedAt, aWhen);
}

void
RoutesCheck::OnPeerConfirmed(TimePoint aWhen)
{
  this->peerConfirmedAt = std::max(this->peerConfirmedAt, aWhen);
}

void
RoutesCheck::OnChanged()
{
  this->peerConfirmedAt = {};
}

Duration
RoutesCheck::UntilDue(TimePoint aNow) const
{
  const TimePoint due = this->peerConfirmedAt > this->confirmedAt
                          ? this->peerConfirmedAt + this->patience
                          : this->confirmedAt + this->period;
  return Between(aNow, std::max(due, this->askedAt + this->period));
}

} // namespace dogwoodvale
