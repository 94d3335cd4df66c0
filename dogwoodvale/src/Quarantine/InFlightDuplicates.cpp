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
InFlightDuplicates::HasAny(Fingerprint aSubject, TimePoint aNow) const
{
  return this->HasOwn(aSubject) ||
         std::ranges::any_of(this->peerReports, [&](const auto& aItem) {
           const PeerReport& report = aItem.second;
           return Between(report.receivedAt, aNow) <= kReportTtl &&
                  std::ranges::find(report.subjects, aSubject) !=
                    report.subjects.end();
         });
}

void
InFlightDuplicates::Expire(TimePoint aNow)
{
  std::erase_if(this->peerReports, [aNow](const auto& aItem) {
    return Between(aItem.second.receivedAt, aNow) > kReportTtl;
  });
}

} // namespace dogwoodvale
