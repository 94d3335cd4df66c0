#include <catch2/catch.hpp>

#include "support/PlatformSite.h"
#include "support/ScriptedServer.h"

using namespace dogwoodvale;
using test::PlatformSite;
using test::ScriptedServer;

namespace {

/// A gateway that has version 1 and hears from another that has version 2.
struct OutdatedSite : PlatformSite
{
  OutdatedSite()
    : PlatformSite(1)
    , gateway(this->ReadyGateway())
    , teller(*this->loop, [this] { this->TellOfNewer(); })
  {
  }

  /// \param aOther where the other gateway serves its copy.
  void StartTelling(const SocketAddress& aOther)
  {
    this->other = aOther;
    this->teller.StartRepeating(milliseconds(50));
  }

  void Pass(Duration aTime) const
  {
    this->Until([] { return false; }, aTime);
  }

  std::string AskKnownRoute()
  {
    return this->Ask(
      this->gateway, "/again/x", fmt::format("a-{}", ++this->asked));
  }

  Gateway& gateway;

private:
  void TellOfNewer()
  {
    PeerDigest digest;
    digest.gateway = InstanceName("g2");
    digest.incarnation = 1;
    digest.sequence = ++this->sequence;
    digest.routes.version = 2;
    this->gateway.OnDigest(digest, this->other);
  }

  SocketAddress other;
  std::uint64_t sequence = 0;
  int asked = 0;
  Timer teller;
};

const SocketAddress kNobody{ "127.0.0.1", 9 };

} // namespace

// A route that the newest version moved or dropped would be served as before
// for as long as the gateway fails to get that version.
TEST_CASE("a gateway stops serving by routes that are outdated for too long",
          "[outdated]")
{
  OutdatedSite site;
  site.StartTelling(kNobody);
  site.Pass(milliseconds(500));
  CHECK(site.AskKnownRoute().starts_with("HTTP/1.1 200"));
  CHECK(site.gateway.Ready().ok());
  site.Pass(milliseconds(1500));
  const std::string refused = site.AskKnownRoute();
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK_FALSE(site.gateway.Ready().ok());
  site.PutConfiguration(2);
  CHECK(site.Until([&] { return site.gateway.Ready().ok(); }));
  CHECK(site.AskKnownRoute().starts_with("HTTP/1.1 200"));
}

// During an upgrade, gateways of the older software may be unable to read a
// configuration written for the newer; all of them would stop serving.
TEST_CASE("a gateway that can't read the newest routes serves on", "[outdated]")
{
  OutdatedSite site;
  ScriptedServer other(*site.loop);
  other.SetScript([](const std::string&, const std::string&) {
    return ScriptedServer::Reply{ .body = R"({"version":"unreadable"})" };
  });
  site.StartTelling(other.Address());
  site.Pass(seconds(3));
  CHECK(site.AskKnownRoute().starts_with("HTTP/1.1 200"));
}

// Once nobody reports the newer version any more, nothing is known against the
// own one.
TEST_CASE("a gateway serves again when the newer version is no longer reported",
          "[outdated]")
{
  OutdatedSite site;
  {
    PeerDigest digest;
    digest.gateway = InstanceName("g2");
    digest.incarnation = 1;
    digest.sequence = 1;
    digest.routes.version = 2;
    site.gateway.OnDigest(digest, kNobody);
  }
  site.Pass(milliseconds(2000));
  CHECK(site.AskKnownRoute().starts_with("HTTP/1.1 503"));
  site.Pass(RoutesCatchUp::kVersionTtl);
  CHECK(site.AskKnownRoute().starts_with("HTTP/1.1 200"));
}
