#include "InFlightDuplicates.h"

#include <algorithm>

namespace dogwoodvale {

void
InFlightDuplicates::OnSent(Fingerprint aRequest)
{
  ++this->own[aRequest];
}

void
InFlightDuplicates::OnDone(Fingerprint aRequest)
{
  const auto found = this->own.find(aRequest);
  if (found != this->own.end() && --found->second == 0) {
    this->own.erase(found);
  }
}

void
InFlightDuplicates::SetPeerDuplicates(const InstanceName& aGateway,
                                      std::span<const Fingerprint> aRequests,
                                      TimePoint aNow)
{
  if (aRequests.empty()) {
    this->peerReports.erase(aGateway);
    return;
  }
  this->peerReports[aGateway] = { { aRequests.begin(), aRequests.end() },
                                  aNow };
}

bool
InFlightDuplicates::HasAny(Fingerprint aRequest, TimePoint aNow) const
{
  return this->HasOwn(aRequest) ||
         std::ranges::any_of(this->peerReports, [&](const auto& aItem) {
           const PeerReport& report = aItem.second;
           return Between(report.receivedAt, aNow) <= kReportTtl &&
                  std::ranges::find(report.requests, aRequest) !=
                    report.requests.end();
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
