#ifndef DOGWOODVALE_TEST_SUPPORT_BUSYGATEWAYS_H
#define DOGWOODVALE_TEST_SUPPORT_BUSYGATEWAYS_H

#include <memory>
#include <vector>

#include "NarrowLink.h"
#include "PlatformSite.h"

namespace dogwoodvale::test {

/// Reads callers' requests and takes a fixed processor time for each.
class CostlyProtocol final : public CallerProtocol
{
public:
  CostlyProtocol(std::unique_ptr<CallerProtocol> aReal, Duration aCost)
    : real(std::move(aReal))
    , cost(aCost)
  {
  }

  CallerRequestMetadata Read(const HttpRequest& aRequest) const override
  {
    const TimePoint end = Now() + this->cost;
    while (Now() < end) {
    }
    return this->real->Read(aRequest);
  }

  std::vector<HeaderField> ErrorHeaders(
    const RequestError& aError) const override
  {
    return this->real->ErrorHeaders(aError);
  }

private:
  std::unique_ptr<CallerProtocol> real;
  Duration cost;
};

/// Callers that send one request after the other, each on its own connection,
/// to the gateways of a site, until destroyed.
class SteadyCallers
{
public:
  SteadyCallers(const PlatformSite& aSite, int aPerGateway)
    : timer(*aSite.loop, [this] { this->SendAll(); })
  {
    for (const auto& gateway : aSite.gateways) {
      for (int i = 0; i < aPerGateway; ++i) {
        this->callers.push_back(RawSocket::Connect(gateway->CallerAddress()));
      }
    }
    this->timer.StartRepeating(milliseconds(1));
  }

  int Answered() const { return this->answered; }

private:
  void SendAll()
  {
    for (RawSocket& caller : this->callers) {
      const bool isAnswered = caller.Has("\r\n\r\n");
      if (isAnswered || this->sent < this->callers.size()) {
        this->answered += isAnswered ? 1 : 0;
        caller.received.clear();
        caller.Send(PlatformSite::RequestText(
          "/unknown/x", fmt::format("c-{}", ++this->sent)));
      }
    }
  }

  std::vector<RawSocket> callers;
  std::size_t sent = 0;
  int answered = 0;
  Timer timer;
};

} // namespace dogwoodvale::test

#endif
