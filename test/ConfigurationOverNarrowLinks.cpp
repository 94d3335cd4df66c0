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

/// Gateways that each reach the store over their own link of limited bandwidth.
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

/// One read of kManyRoutes that is aborted midway and one complete read take
/// about 3 s over such a link.
constexpr Duration kInForceWithin = seconds(5);

} // namespace

// A read of the configuration that takes longer than the time limit of a call
// must not keep it from ever being applied.
TEST_CASE("a large configuration is applied though its first read is aborted",
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

// A configuration that can't be read within the time limit of a call must not
// keep a gateway from becoming ready.
TEST_CASE("a gateway becomes ready with a large configuration", "[narrow]")
{
  NarrowSite site(0);
  site.PutMany(2);
  Gateway& gateway = site.AddNarrowGateway();
  CHECK(site.Until([&] { return gateway.Ready().ok(); }, kInForceWithin));
  CHECK(site.AllHave(2));
}

// If each change during a read started the read again, the newest version would
// be delayed by a whole document each time.
TEST_CASE("the newest version is applied in time though changes outpace reads",
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

// A link stalls in the middle of an answer without closing, which would block
// the gateway for good.
TEST_CASE("a stalled read is abandoned for another gateway's copy", "[narrow]")
{
  NarrowSite site(2);
  site.PutMany(2);
  site.Pass(milliseconds(300));
  site.links[0]->SetSilent(true);
  CHECK(site.Until([&] { return site.AllHave(2); }, kInForceWithin));
}

// An outdated gateway must not answer that a route does not exist which the
// newest configuration may have.
TEST_CASE("no 404 while a newer configuration is known of", "[narrow]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  CHECK(site.Ask(gateway, "/new/x", "a-1").starts_with("HTTP/1.1 404"));
  PeerDigest digest;
  digest.gateway = InstanceName("g2");
  digest.incarnation = 1;
  digest.sequence = 1;
  digest.routes.version = 2;
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

// Many gateways may fetch a large configuration from the few that have it.
TEST_CASE("gateways send the configuration compressed", "[narrow]")
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

// A document that this version can't parse would be fetched in a loop.
TEST_CASE("a gateway whose copy was not applied is not asked again at once",
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
  digest.routes.version = 2;
  constexpr int kDigests = 30;
  for (int i = 0; i < kDigests; ++i) {
    ++digest.sequence;
    gateway.OnDigest(digest, other.Address());
    site.Until([] { return false; }, milliseconds(50));
  }
  // The loop takes 1.5 s, of which the first 0.3 s are left to the store.
  CHECK(other.Paths().size() >= 1);
  CHECK(other.Paths().size() <= 2);
}
