#include "InFlightDuplicates.h"

#include <algorithm>

namespace dogwoodvale {

void
InFlightDuplicates::OnSent(Fingerprint aSubject)
{
  ++this->own[aSubject];
}

void
InFlightDuplicates::OnDone(Fingerprint aSubject)
{
  const auto found = this->own.find(aSubject);
  if (found != this->own.end() && --found->second == 0) {
    this->own.erase(found);
  }
}

void
InFlightDuplicates::SetPeerDuplicates(const InstanceName& aGateway,
                                      std::span<const Fingerprint> aSubjects,
                                      TimePoint aNow)
{
  if (aSubjects.empty()) {
    this->peerReports.erase(aGateway);
    return;
  }
  this->peerReports[aGateway] = { { aSubjects.begin(), aSubjects.end() },
                                  aNow };
}

bool
InFlightDuplicates::PeerReport::Has(Fingerprint aSubject, TimePoint aNow) const
{
  return Between(this->receivedAt, aNow) <= kReportTtl &&
         std::ranges::find(this->subjects, aSubject) != this->subjects.end();
}

bool
InFlightDuplicates::HasAny(Fingerprint aSubject, TimePoint aNow) const
{
  return this->HasOwn(aSubject) ||
         std::ranges::any_of(this->peerReports, [&](const auto& aItem) {
           return aItem.second.Has(aSubject, aNow);
         });
}

bool
InFlightDuplicates::HasPeerBefore(const InstanceName& aName,
                                  Fingerprint aSubject,
                                  TimePoint aNow) const
{
  return std::any_of(
    this->peerReports.begin(),
    this->peerReports.lower_bound(aName),
    [&](const auto& aItem) { return aItem.second.Has(aSubject, aNow); });
}

void
InFlightDuplicates::Expire(TimePoint aNow)
{
  std::erase_if(this->peerReports, [aNow](const auto& aItem) {
    return Between(aItem.second.receivedAt, aNow) > kReportTtl;
  });
}

} // namespace dogwoodvale
