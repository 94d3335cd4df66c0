#ifndef DOGWOODVALE_TEST_SUPPORT_FLEETSITE_H
#define DOGWOODVALE_TEST_SUPPORT_FLEETSITE_H

#include <algorithm>
#include <list>

#include "PlatformSite.h"

namespace dogwoodvale::test {

/// A site of several gateways, and callers that send each request on its own
/// connection.
class FleetSite : public PlatformSite
{
public:
  FleetSite()
    : PlatformSite(0)
  {
  }

  /// Starts \p aCount gateways and waits until each is ready and receives the
  /// digests of all others.
  void StartGateways(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      this->AddGateway(fmt::format("g{}", ++this->startedGateways));
    }
    // Gateways that have just started learn of each other after up to two
    // seconds.
    const std::string all =
      fmt::format("{{reason=\"peers\"}} {}\n", this->gateways.size() - 1);
    this->Until([&] {
      return std::ranges::all_of(this->gateways, [&](const auto& aOne) {
        return aOne->Ready().ok() &&
               aOne->Metrics().find(all) != std::string::npos;
      });
    });
  }

  /// One request of a caller, on its own connection.
  struct Try
  {
    std::string id;
    std::size_t gateway = 0;
    RawSocket socket;
    bool IsServed()
    {
      return this->socket.IsClosed() &&
             this->socket.received.find("HTTP/1.1 200") == 0 &&
             this->socket.received.ends_with("0\r\n\r\n");
    }
    bool IsRefused() { return this->socket.Has("HTTP/1.1 503"); }
    /// In seconds; 0 if the answer has none.
    double RetryAfter() const
    {
      constexpr std::string_view kField = "Retry-After: ";
      const std::size_t at = this->socket.received.find(kField);
      return at == std::string::npos
               ? 0.0
               : std::strtod(this->socket.received.c_str() + at + kField.size(),
                             nullptr);
    }
    bool IsQuarantined()
    {
      return this->IsRefused() && this->socket.Has("\"quarantined\"");
    }
  };

  Try& Send(std::size_t aGateway,
            const std::string& aPath,
            const std::string& aBody,
            const std::string& aMoreHeaders = "")
  {
    Try made;
    made.id = fmt::format("try-{}", ++this->tries);
    made.gateway = aGateway;
    if (this->opened.empty()) {
      made.socket =
        RawSocket::Connect(this->gateways.at(aGateway)->CallerAddress());
    } else {
      made.socket = std::move(this->opened.back());
      this->opened.pop_back();
    }
    made.socket.Send(WithTimeLimit(
      RequestText(
        aPath, made.id, "Connection: close\r\n" + aMoreHeaders, aBody),
      this->timeLimit));
    this->sent.push_back(std::move(made));
    return this->sent.back();
  }

  void Run(Duration aTime) const
  {
    this->loop->RunUntil([] { return false; }, aTime);
  }

  /// Waits until all requests are answered.
  bool Settle()
  {
    return this->Until([&] {
      return std::ranges::all_of(
        this->sent, [](Try& aTry) { return aTry.socket.IsClosed(); });
    });
  }

  /// Sends a request every \p aStep for \p aTime, to the gateways in turn, and
  /// waits for all answers.
  void Play(Duration aTime, Duration aStep = milliseconds(10))
  {
    const auto steps = aTime / aStep;
    for (int step = 0; step < steps; ++step) {
      this->Send(static_cast<std::size_t>(step) % this->gateways.size(),
                 "/stream/x",
                 "note");
      this->Run(aStep);
    }
    this->Settle();
  }

  /// Number of requests that arrived at the engine from \p aFrom to before
  /// \p aUntil.
  static std::size_t ArrivedBetween(const standins::SealedEngine& aEngine,
                                    TimePoint aFrom,
                                    TimePoint aUntil)
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      aEngine.Arrivals(), [&](const standins::SealedArrival& aOne) {
        return aOne.at >= aFrom && aOne.at < aUntil;
      }));
  }

  /// Index of the gateway that a request was sent to; the number of gateways if
  /// the id is unknown.
  std::size_t GatewayOf(const std::string& aId) const
  {
    const auto found = std::ranges::find(this->sent, aId, &Try::id);
    return found == this->sent.end() ? this->gateways.size() : found->gateway;
  }

  std::size_t ServedCount()
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(this->sent, &Try::IsServed));
  }

  static Json::Value Fault(const char* aName, const Json::Value& aValue = true)
  {
    Json::Value fault(Json::objectValue);
    fault[aName] = aValue;
    return fault;
  }

  std::list<Try> sent;
  /// Connections that the next requests are sent on, if any.
  std::vector<RawSocket> opened;
  /// How long callers wait, as requests that are sent later state it.
  milliseconds timeLimit{ 1500 };

private:
  int startedGateways = 0;
  int tries = 0;
};

} // namespace dogwoodvale::test

#endif
