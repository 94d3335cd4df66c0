#include <catch2/catch.hpp>

#include <random>

#include "support/PlatformSite.h"

using namespace dogwoodvale;
using test::PlatformSite;

namespace {

constexpr const char* kSecret = "a secret of the test's own";
constexpr int kRounds = 25;

/// Changes a few bytes of a text at random.
std::string
Mutated(std::string aText, std::mt19937& aRandom)
{
  const auto draw = [&aRandom](std::size_t aEnd) {
    return std::uniform_int_distribution<std::size_t>(0, aEnd - 1)(aRandom);
  };
  const std::vector<std::string> pieces = { "[", "{",     "null", "-1", "0",
                                            "",  "1e999", "\"",   ",",  "x" };
  for (std::size_t i = draw(3) + 1; i > 0 && !aText.empty(); --i) {
    const std::size_t at = draw(aText.size());
    if (draw(3) == 0) {
      aText[at] = static_cast<char>(draw(256));
    } else {
      aText.replace(at, draw(12), pieces[draw(pieces.size())]);
    }
  }
  return aText;
}

/// What another gateway may send, with every kind of line.
PeerDigest
FullDigest(const std::string& aServer)
{
  const InstanceName server(aServer);
  const ServiceName service("s");
  PeerDigest digest;
  digest.gateway = InstanceName("g2");
  digest.incarnation = 7;
  digest.routes.version = 1;
  digest.storeContact = milliseconds(1234);
  digest.work.resize(1);
  digest.work[0].instance = server;
  digest.work[0].work.requests = 3;
  digest.routed = { { server, { { 5, 6 } }, 7 } };
  digest.crashes.evidence = { { 10, 11, CrashWeight::Late },
                              { 42, 43, CrashWeight::Early, 44 } };
  digest.crashes.verdicts = { { 12, 13, false, seconds(14) } };
  digest.suspectsInFlight = { 15 };
  digest.list = { 99, milliseconds(3) };
  digest.usage.timeOfDay = milliseconds(1);
  digest.rates = { { server, 2000.5, milliseconds(16) } };
  digest.leaving = { { InstanceName("e5"), milliseconds(18) } };
  digest.loads = { { server, { 1, 2, 21, 1.37 }, milliseconds(22) } };
  digest.decode.resize(1);
  digest.decode[0].service = service;
  digest.decode[0].weight = 23.5;
  digest.decode[0].residuals = { { server, -0.5, 27.5 } };
  digest.ranks = { { service, 2, 29, 30, 31 } };
  digest.shares = { { service, { { CustomerName("t1"), 32.5 } }, 34.5, 35 } };
  digest.origins = { { 36, { service, "v1" }, milliseconds(37) } };
  return digest;
}

class ForeignInputSite : public PlatformSite
{
public:
  ForeignInputSite()
    : PlatformSite(1)
    , gateway(this->ReadyGateway())
    , socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
  {
  }
  ~ForeignInputSite() { ::close(this->socket); }

  void SendDigest(const std::string& aPacked) const
  {
    const std::string bytes = KeyedDigest(aPacked, kSecret) + aPacked;
    const sockaddr_in to = test::Loopback(this->peerPorts[0].Port());
    ::sendto(this->socket,
             bytes.data(),
             bytes.size(),
             0,
             reinterpret_cast<const sockaddr*>(&to),
             sizeof(to));
  }

  void Pass(Duration aTime) const
  {
    this->Until([] { return false; }, aTime);
  }

  /// Whether a request is served within the time that a new list takes.
  bool IsServedSoon()
  {
    return this->Until([&] {
      return this->Ask(this->gateway, "/again/x", fmt::format("a-{}", ++asked))
        .starts_with("HTTP/1.1 200");
    });
  }

  std::mt19937 random{ 20261202 };
  Gateway& gateway;
  int asked = 0;

private:
  int socket;
};

} // namespace

// Guards against a gateway that ends, or that serves nothing any more, by what
// another writer has put into the list of servers.
TEST_CASE("sound lists are taken after any others", "[foreign][property]")
{
  ForeignInputSite site;
  const std::string address = site.engines[0]->Address().ToString();
  const std::string entry = fmt::format(
    R"({{"service":"s","address":"{}","zone":"z","slots":4,"state":"ready",)"
    R"("sequence":1,"born":{},"version":"v1","coldRemainingMs":0}})",
    address,
    PlatformSite::kBorn);
  for (int round = 0; round < kRounds; ++round) {
    const std::string another = "servers/" + Mutated("e2", site.random);
    site.store->Put("servers/e1", Mutated(entry, site.random));
    site.store->Put(another, Mutated(entry, site.random));
    site.Pass(milliseconds(120));
    site.store->Remove(another);
    // As an engine does with each heartbeat.
    for (int heartbeat = 0; heartbeat < 3; ++heartbeat) {
      site.Register("e1", *site.engines[0], "ready");
      site.Pass(milliseconds(110));
    }
    CAPTURE(round);
    REQUIRE(site.IsServedSoon());
  }
}

// Guards against a gateway that ends, or that serves nothing any more, by a
// configuration that it cannot read.
TEST_CASE("sound configurations are taken after any others",
          "[foreign][property]")
{
  ForeignInputSite site;
  const std::string text =
    R"("routes":[{"name":"r","host":"a.example","prefix":"/again/",)"
    R"("kind":"idempotent","timeoutMs":2000,"service":"s","maxAttempts":2,)"
    R"("public":false,"trafficSplit":[]}],)"
    R"("services":[{"name":"s","healthPath":"/h","maxConnections":16}],)"
    R"("limits":{"maxHeaderBytes":4096,"maxBodyBytes":65536},)"
    R"("tenants":[{"name":"t1","apiKeys":["key1"],"priority":1}]})";
  int version = 1;
  for (int round = 0; round < kRounds; ++round) {
    site.PutConfigurationText(fmt::format(R"({{"version":{},)", ++version) +
                              Mutated(text, site.random));
    site.Pass(milliseconds(30));
    site.PutConfiguration(++version);
    site.Pass(milliseconds(30));
    CAPTURE(round);
    REQUIRE(site.IsServedSoon());
  }
}

// Guards against a gateway that ends, or that serves nothing any more, by what
// a gateway of another version, or a broken one, sends.
TEST_CASE("digests of any content end no gateway", "[foreign][property]")
{
  ForeignInputSite site;
  const std::string name = fmt::format("e1@{}", PlatformSite::kBorn);
  PeerDigest digest = FullDigest(name);
  for (int round = 0; round < 40 * kRounds; ++round) {
    digest.sequence = static_cast<std::uint64_t>(round) + 1;
    const std::string packed =
      WriteDigest(digest, kSecret).substr(kKeyedDigestBytes);
    site.SendDigest(Mutated(packed, site.random));
    if (round % 20 == 0) {
      site.Pass(milliseconds(2));
    }
  }
  // What broken digests told of is not renewed.
  CHECK(site.IsServedSoon());
}
