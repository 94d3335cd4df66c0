#include <catch2/catch.hpp>

#include "support/PlatformSite.h"

using namespace dogwoodvale;
using test::PlatformSite;
using test::RawSocket;

namespace {

/// Longer than a gateway waits for an event, and within a caller's time limit.
constexpr int kPauseMillis = 1150;

bool
Has(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

Json::Value
Pause()
{
  Json::Value fault(Json::objectValue);
  fault["pause_ms"] = kPauseMillis;
  return fault;
}

bool
IsWhole(const std::string& aAnswer)
{
  return Has(aAnswer, "HTTP/1.1 200") && Has(aAnswer, "piece 5") &&
         Has(aAnswer, "\r\n0\r\n\r\n");
}

/// A site whose engines each pause once in each run.
class PausingSite : public PlatformSite
{
public:
  explicit PausingSite(const std::vector<std::string>& aVersions)
    : PlatformSite(0)
  {
    for (const std::string& version : aVersions) {
      standins::SealedEngineSettings settings;
      settings.softwareVersion = version;
      this->AddEngine(fmt::format("e{}", this->engines.size() + 1), settings)
        .SetFault(Pause());
    }
    this->gateway = &this->ReadyGateway();
  }

  std::size_t RunCount() const
  {
    std::size_t count = 0;
    for (const auto& engine : this->engines) {
      count += engine->Runs().size();
    }
    return count;
  }

  Gateway* gateway = nullptr;
};

} // namespace

// Guards against cutting off the caller of a server that only pauses: no other
// server is there to follow it.
TEST_CASE("a stream goes on after a pause of its only server", "[silence]")
{
  PausingSite site({ "v1" });
  CHECK(IsWhole(site.Ask(*site.gateway, "/stream/x", "id-1")));
  CHECK(site.RunCount() == 1);
}

// The same where the other servers have another version of the software.
TEST_CASE("a stream waits for the server of its version", "[silence]")
{
  PausingSite site({ "v1", "v2" });
  CHECK(IsWhole(site.Ask(*site.gateway, "/stream/x", "id-1")));
  CHECK(site.RunCount() == 1);
}

// The same before the first event, and for an answer that comes whole.
TEST_CASE("an answer comes after a pause of the only server", "[silence]")
{
  PausingSite site({ "v1" });
  CHECK(Has(site.Ask(*site.gateway, "/again/x", "id-1"), "HTTP/1.1 200"));
  CHECK(site.RunCount() == 1);
}

// The same where the retry budget lets no other server follow.
TEST_CASE("a stream outlasts a pause while no retry is left", "[silence]")
{
  PausingSite site({ "v1", "v1" });
  DaemonSettings settings;
  settings.gateway.retryRatio = 0;
  settings.gateway.retryExtra = 0;
  site.gateway->Reload(settings);
  CHECK(IsWhole(site.Ask(*site.gateway, "/stream/x", "id-1")));
  CHECK(site.RunCount() == 1);
}

// Guards against keeping a caller with a silent server while another can go on.
TEST_CASE("another server takes a silent stream over", "[silence]")
{
  PausingSite site({ "v1", "v1" });
  Json::Value clear(Json::objectValue);
  clear["clear"] = true;
  site.engines[1]->SetFault(clear);
  // Servers with equal load are chosen at random.
  constexpr int kMost = 60;
  for (int i = 0; i < kMost && site.engines[0]->Runs().empty(); ++i) {
    const TimePoint sent = Now();
    CHECK(IsWhole(site.Ask(*site.gateway, "/stream/x", fmt::format("{}", i))));
    CHECK(Between(sent, Now()) < milliseconds(kPauseMillis));
  }
  CHECK(site.engines[0]->Runs().size() == 1);
}
