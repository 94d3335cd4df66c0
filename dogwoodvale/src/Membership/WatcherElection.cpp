#include "dogwoodvale/Membership"

#include <algorithm>

#include <xxhash.h>

namespace dogwoodvale {

namespace {

/// A peer's contact must be newer than this process's by more than the
/// rounding of ages in notices; otherwise it may be this process's own contact,
/// passed back by the peer.
constexpr Duration kEchoMargin = milliseconds(20);
/// Older contacts are ignored.
constexpr Duration kMaxContactAge = std::chrono::hours(24);

std::uint64_t
RankOf(const InstanceName& aName)
{
  return XXH3_64bits(aName.Value().data(), aName.Value().size());
}

} // namespace

WatcherElection::WatcherElection(const InstanceName& aSelf,
                                 const DataCentreName& aDataCentre,
                                 const WatcherBounds& aBounds,
                                 TimePoint aNow)
  : self(aSelf)
  , dataCentre(aDataCentre)
  , bounds(aBounds)
  , startedAt(aNow)
{
}

void
WatcherElection::SetNoList()
{
  this->ranked = true;
}

void
WatcherElection::OnList(std::span<const ListedInstance> aList)
{
  const std::uint64_t own = RankOf(this->self);
  std::size_t before = 0;
  this->instances = 1;
  for (const ListedInstance& listed : aList) {
    if (listed.dataCentre != this->dataCentre || listed.name == this->self ||
        listed.state != ListedState::Live) {
      continue;
    }
    ++this->instances;
    before += RankOf(listed.name) < own ? 1 : 0;
  }
  this->ranked = before < this->bounds.watchers;
}

void
WatcherElection::OnPeerContact(Duration aAge, TimePoint aNow)
{
  if (aAge >= kMaxContactAge) {
    return;
  }
  const TimePoint when = aNow - aAge;
  if (!this->peerContact || *this->peerContact < when) {
    this->peerContact = when;
  }
}

void
WatcherElection::OnOwnContact(TimePoint aNow)
{
  this->ownContact = aNow;
}

void
WatcherElection::OnOwnFailure()
{
  this->volunteer = false;
}

Duration
WatcherElection::ContactAge(TimePoint aNow) const
{
  if (!this->ownContact && !this->peerContact) {
    return kUnknownContact;
  }
  const TimePoint newest =
    std::max(this->ownContact.value_or(TimePoint::min()),
             this->peerContact.value_or(TimePoint::min()));
  return std::max(Duration(0), Between(newest, aNow));
}

bool
WatcherElection::IsStale(TimePoint aNow) const
{
  const Duration sinceStart = Between(this->startedAt, aNow);
  return std::min(sinceStart, this->ContactAge(aNow)) >=
         std::max(this->bounds.staleAfter, 4 * this->contactPeriod);
}

void
WatcherElection::Tick(TimePoint aNow, double aUniform)
{
  if (this->volunteer) {
    const bool othersReachIt =
      this->peerContact && this->ownContact &&
      *this->peerContact > *this->ownContact + kEchoMargin;
    // Randomised, so that two volunteers that know of each other don't both
    // step down.
    if (othersReachIt && aUniform < this->bounds.stepDownChance) {
      this->volunteer = false;
    }
    return;
  }
  if (this->ranked || !this->IsStale(aNow)) {
    return;
  }
  const double share = static_cast<double>(this->bounds.watchers) /
                       static_cast<double>(this->instances);
  this->volunteer = aUniform < std::min(share, this->bounds.maxVolunteerChance);
}

} // namespace dogwoodvale
