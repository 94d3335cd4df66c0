#include "SuccessorAttempt.h"

#include <utility>

#include "AnswerStatus.h"

namespace dogwoodvale {

GatewayRequest::Successor::Successor(GatewayRequest& aRequest,
                                     Destination aTo,
                                     Sent aSent)
  : to(std::move(aTo))
  , sent(std::move(aSent))
  , request(aRequest)
{
}

void
GatewayRequest::Successor::OnAttemptConnected()
{
  this->request.exchange->CheckCallerGone();
}

void
GatewayRequest::Successor::OnAttemptHead(const BackendAnswer& aHead)
{
  this->request.RecordHead(this->sent.instance, aHead);
}

void
GatewayRequest::Successor::OnAttemptEvents(std::string_view aBytes)
{
  // Taking over destroys this object.
  GatewayRequest& owner = this->request;
  if (owner.TakeOver()) {
    owner.OnAttemptEvents(aBytes);
  }
}

void
GatewayRequest::Successor::OnAttemptStreamEnd()
{
  this->request.OnSuccessorFailed(AttemptFailure::Garbled,
                                  "a stream without events");
}

void
GatewayRequest::Successor::OnAttemptAnswer(std::string_view aBody)
{
  GatewayRequest& owner = this->request;
  const BackendAnswer& answer = this->attempt->Answer();
  if (!answer.isGenuine || owner.streamStarted) {
    owner.OnSuccessorFailed(AttemptFailure::Garbled,
                            "no proven answer to the request");
    return;
  }
  // The first server may still have an answer.
  if (ImpliesNotRun(answer.status) || IsServerError(answer.status)) {
    owner.OnSuccessorFailed(AttemptFailure::Lost, "the server failed");
    return;
  }
  if (owner.TakeOver()) {
    owner.OnAttemptAnswer(aBody);
  }
}

void
GatewayRequest::Successor::OnAttemptFailed(AttemptFailure aFailure,
                                           std::string_view aReason)
{
  this->request.OnSuccessorFailed(aFailure, aReason);
}

void
GatewayRequest::Successor::OnAttemptSilent()
{
  this->request.OnSuccessorSilent();
}

} // namespace dogwoodvale
