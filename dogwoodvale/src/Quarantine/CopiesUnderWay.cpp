#include "CopiesUnderWay.h"

#include <algorithm>

namespace dogwoodvale {

void
CopiesUnderWay::OnSent(RequestFingerprint aRequest)
{
  ++this->own[aRequest];
}

void
CopiesUnderWay::OnDone(RequestFingerprint aRequest)
{
  const auto found = this->own.find(aRequest);
  if (found != this->own.end() && --found->second == 0) {
    this->own.erase(found);
  }
}

void
CopiesUnderWay::SetOthers(const InstanceName& aGateway,
                          std::span<const RequestFingerprint> aRequests,
                          TimePoint aNow)
{
  if (aRequests.empty()) {
    this->others.erase(aGateway);
    return;
  }
  this->others[aGateway] = { { aRequests.begin(), aRequests.end() }, aNow };
}

bool
CopiesUnderWay::HasAny(RequestFingerprint aRequest, TimePoint aNow) const
{
  return this->HasOwn(aRequest) ||
         std::ranges::any_of(this->others, [&](const auto& aItem) {
           const Others& told = aItem.second;
           return Between(told.heard, aNow) <= kWordLife &&
                  std::ranges::find(told.requests, aRequest) !=
                    told.requests.end();
         });
}

void
CopiesUnderWay::Expire(TimePoint aNow)
{
  std::erase_if(this->others, [aNow](const auto& aItem) {
    return Between(aItem.second.heard, aNow) > kWordLife;
  });
}

} // namespace dogwoodvale
