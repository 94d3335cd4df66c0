#ifndef DOGWOODVALE_GATEWAY_SUCCESSORATTEMPT_H
#define DOGWOODVALE_GATEWAY_SUCCESSORATTEMPT_H

#include "GatewayRequest.h"

namespace dogwoodvale {

/// An attempt that runs beside a silent one and takes over from it when its
/// server has something for the caller.
class GatewayRequest::Successor final : public AttemptListener
{
public:
  Successor(GatewayRequest& aRequest, Destination aTo, Sent aSent);

  void OnAttemptConnected() override;
  void OnAttemptHead(const BackendAnswer& aHead) override;
  void OnAttemptEvents(std::string_view aBytes) override;
  void OnAttemptStreamEnd() override;
  void OnAttemptAnswer(std::string_view aBody) override;
  void OnAttemptFailed(AttemptFailure aFailure,
                       std::string_view aReason) override;
  void OnAttemptSilent() override;

  Destination to;
  Sent sent;
  std::unique_ptr<DirectAttempt> attempt;

private:
  GatewayRequest& request;
};

} // namespace dogwoodvale

#endif
