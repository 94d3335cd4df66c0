#include <catch2/catch.hpp>

#include "support/PlatformSite.h"

using namespace dogwoodvale;
using test::PlatformSite;

namespace {

/// A site whose list of servers holds an entry that another writer has put
/// under a server's key.
struct ForeignEntrySite : PlatformSite
{
  ForeignEntrySite()
    : PlatformSite(1)
    , gateway(this->ReadyGateway())
  {
  }

  /// \param aService named by the entry that is there as the gateway starts.
  explicit ForeignEntrySite(const std::string& aService)
    : PlatformSite(1)
    , gateway(this->StartBehind(aService))
  {
  }

  Gateway& StartBehind(const std::string& aService)
  {
    this->PutEntry(aService, this->engines[0]->Address());
    return this->ReadyGateway();
  }

  void PutEntry(const std::string& aService, const SocketAddress& aAddress)
  {
    this->store->Put(
      "servers/e1",
      fmt::format(R"({{"service":"{}","address":"{}","zone":"z","slots":4,)"
                  R"("state":"ready","sequence":1,"born":{},"version":"v1"}})",
                  aService,
                  aAddress.ToString(),
                  kBorn));
    // The list is read at least this often.
    this->Until([] { return false; }, milliseconds(1500));
  }

  bool IsServed()
  {
    return this->Ask(this->gateway, "/again/x", fmt::format("a-{}", ++asked))
      .starts_with("HTTP/1.1 200");
  }

  Gateway& gateway;
  int asked = 0;
};

} // namespace

// The entry names a service that no configuration has, so the gateway had no
// state for it and ended at the server's next answer.
TEST_CASE("an entry of an unknown service ends no gateway", "[foreign]")
{
  ForeignEntrySite site;
  REQUIRE(site.IsServed());
  site.PutEntry("unknown", site.engines[0]->Address());
  CHECK(site.IsServed());
  site.Register("e1", *site.engines[0], "ready");
  site.Until([] { return false; }, milliseconds(1500));
  CHECK(site.IsServed());
}

// Guards against a server that no gateway uses, as another writer's entry was
// read before its own.
TEST_CASE("a server's own entry is taken after a foreign one", "[foreign]")
{
  ForeignEntrySite site("unknown");
  CHECK_FALSE(site.IsServed());
  site.Register("e1", *site.engines[0], "ready");
  site.Until([] { return false; }, milliseconds(1500));
  CHECK(site.IsServed());
  site.PutEntry("unknown", site.engines[0]->Address());
  CHECK(site.IsServed());
}

// Guards against a server that no gateway uses any more, as another writer has
// stated a later start in its entry.
TEST_CASE("a server is used again after an entry with a later start",
          "[foreign]")
{
  ForeignEntrySite site;
  REQUIRE(site.IsServed());
  site.Register("e1", *site.engines[0], "ready", PlatformSite::kBorn + 1000);
  site.Until([] { return false; }, milliseconds(300));
  for (int heartbeat = 0; heartbeat < 3; ++heartbeat) {
    site.Register("e1", *site.engines[0], "ready");
    site.Until([] { return false; }, milliseconds(300));
  }
  CHECK(site.IsServed());
}
