#include <catch2/catch.hpp>

#include "support/NarrowLink.h"
#include "support/PlatformSite.h"
#include "support/ScriptedServer.h"

using namespace dogwoodvale;
using test::NarrowLink;
using test::PlatformSite;

namespace {

constexpr int kManyRoutes = 1400;
constexpr std::size_t kBytesPerSecond = 300'000;

/// Gateways that reach the store over a narrow link each.
struct NarrowSite : PlatformSite
{
  explicit NarrowSite(int aGateways)
  {
    for (int i = 1; i <= aGateways; ++i) {
      this->AddNarrowGateway();
    }
    REQUIRE(this->Until([this] {
      return std::ranges::all_of(
        this->gateways, [](const auto& aOne) { return aOne->Ready().ok(); });
    }));
  }

  Gateway& AddNarrowGateway()
  {
    this->links.push_back(std::make_unique<NarrowLink>(
      *this->loop, this->store->Address(), kBytesPerSecond));
    this->storeRelay = this->links.back()->Address();
    return this->AddGateway(fmt::format("g{}", this->links.size()));
  }

  void PutMany(int aVersion) const
  {
    this->PutConfiguration(aVersion, 2000, kManyRoutes);
  }

  bool AllHave(int aVersion) const
  {
    const std::string text = fmt::format("\"routes_version\" : {},", aVersion);
    return std::ranges::all_of(this->gateways, [&](const auto& aOne) {
      return aOne->Statusz().find(text) != std::string::npos;
    });
  }

  void Pass(Duration aTime) const
  {
    this->Until([] { return false; }, aTime);
  }

  std::vector<std::unique_ptr<NarrowLink>> links;
};

/// One read of kManyRoutes that is lost midway and one that is whole take about
/// 3 s over such a link.
constexpr Duration kInForceWithin = seconds(5);

} // namespace

// Gateways never apply a configuration whose read outlasts the limit of a call.
TEST_CASE("a large configuration arrives though its first read is cut",
          "[narrow]")
{
  NarrowSite site(4);
  site.PutMany(2);
  site.Pass(milliseconds(300));
  for (const auto& link : site.links) {
    link->Reset();
  }
  CHECK(site.Until([&] { return site.AllHave(2); }, kInForceWithin));
}

// A gateway is never ready beside a configuration that it can't read in time.
TEST_CASE("a gateway starts beside a large configuration", "[narrow]")
{
  NarrowSite site(0);
  site.PutMany(2);
  Gateway& gateway = site.AddNarrowGateway();
  CHECK(site.Until([&] { return gateway.Ready().ok(); }, kInForceWithin));
  CHECK(site.AllHave(2));
}

// Each change that comes during a read delays the newest by a whole document.
TEST_CASE("changes faster than a read leave the newest in force in time",
          "[narrow]")
{
  NarrowSite site(2);
  constexpr int kLast = 9;
  for (int version = 2; version <= kLast; ++version) {
    site.PutMany(version);
    site.Pass(milliseconds(200));
  }
  CHECK(site.Until([&] { return site.AllHave(kLast); }, kInForceWithin));
}

// A link that falls silent in the midst of an answer holds a gateway up for
// good.
TEST_CASE("an answer that stands still is given up for another gateway's copy",
          "[narrow]")
{
  NarrowSite site(2);
  site.PutMany(2);
  site.Pass(milliseconds(300));
  site.links[0]->SetSilent(true);
  CHECK(site.Until([&] { return site.AllHave(2); }, kInForceWithin));
}

// A caller is told that a route does not exist which the newest configuration
// has.
TEST_CASE("a gateway that knows of a newer configuration denies no route",
          "[narrow]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  CHECK(site.Ask(gateway, "/new/x", "a-1").starts_with("HTTP/1.1 404"));
  PeerDigest digest;
  digest.gateway = InstanceName("g2");
  digest.incarnation = 1;
  digest.sequence = 1;
  digest.routesVersion = 2;
  gateway.OnDigest(digest, { "127.0.0.1", 9 });
  const std::string refused = site.Ask(gateway, "/new/x", "a-2");
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(site.Ask(gateway, "/again/x", "a-3").starts_with("HTTP/1.1 200"));
  site.PutConfiguration(2);
  CHECK(site.Until([&] {
    return gateway.Statusz().find("\"routes_version\" : 2,") !=
           std::string::npos;
  }));
  CHECK(site.Ask(gateway, "/new/x", "a-4").starts_with("HTTP/1.1 404"));
}

// Others draw a large configuration whole from the few that have it.
TEST_CASE("gateways hand on the configuration compressed", "[narrow]")
{
  NarrowSite site(1);
  site.PutMany(2);
  REQUIRE(site.Until([&] { return site.AllHave(2); }));
  HttpRequest request;
  request.method = "GET";
  request.path =
    fmt::format("/peer/routes?proof={}",
                ProofOf("/peer/routes", "a secret of the test's own"));
  const OperatorResponse plain = site.gateways[0]->Other(request);
  request.headers.push_back(
    { "Accept-Encoding", std::string(kCompressionName) });
  const OperatorResponse compressed = site.gateways[0]->Other(request);
  CHECK(plain.contentEncoding.empty());
  CHECK(compressed.contentEncoding == kCompressionName);
  CHECK(10 * compressed.body.size() < plain.body.size());
  const auto text = Decompress(compressed.body, plain.body.size());
  REQUIRE(text.ok());
  CHECK(*text == plain.body);
  CHECK_FALSE(Decompress(compressed.body, plain.body.size() - 1).ok());
  CHECK_FALSE(Decompress("no frame", plain.body.size()).ok());
}

// A document that this version can't read is drawn again and again.
TEST_CASE("a copy that brings nothing is not asked for again at once",
          "[narrow]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  test::ScriptedServer other(*site.loop);
  other.SetScript([](const std::string&, const std::string&) {
    return test::ScriptedServer::Reply{ .body = R"({"version":"unreadable"})" };
  });
  PeerDigest digest;
  digest.gateway = InstanceName("g2");
  digest.incarnation = 1;
  digest.routesVersion = 2;
  constexpr int kDigests = 30;
  for (int i = 0; i < kDigests; ++i) {
    ++digest.sequence;
    gateway.OnDigest(digest, other.Address());
    site.Until([] { return false; }, milliseconds(50));
  }
  // In 1.5 s, of which the store's own answer has the first 0.3.
  CHECK(other.Paths().size() >= 1);
  CHECK(other.Paths().size() <= 2);
}
