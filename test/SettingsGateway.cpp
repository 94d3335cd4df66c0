#include <catch2/catch.hpp>

#include <fstream>

#include "dogwoodvale/Settings"

#include <unistd.h>

using namespace dogwoodvale;

namespace {

std::string
SettingsText(const std::string& aGateway)
{
  return R"({"role":"gateway","instance":"g1","data_centre":"z",)"
         R"("region":"r","peers":"127.0.0.1:1","operators":"127.0.0.1:2",)"
         R"("peer_secret":"0123456789abcdef",)" +
         aGateway + "}";
}

} // namespace

TEST_CASE("a gateway's settings are read", "[settings]")
{
  Findings findings;
  const DaemonSettings settings = ParseDaemonSettings(
    SettingsText(R"("gateway":{"callers":"127.0.0.1:3",)"
                 R"("seeds":["10.0.0.1:9"],"retry_ratio":0.25,)"
                 R"("retry_window_s":2.5,"instance_drain_ms":700})"),
    "s.json",
    findings);
  REQUIRE(findings.IsEmpty());
  CHECK(settings.role == Role::Gateway);
  CHECK(settings.gateway.seeds.size() == 1);
  CHECK(settings.gateway.retryRatio == Approx(0.25));
  CHECK(settings.gateway.retryWindow == milliseconds(2500));
  CHECK(settings.gateway.instanceDrain == milliseconds(700));
}

TEST_CASE("what is wrong in them is named with its place", "[settings]")
{
  Findings findings;
  ParseDaemonSettings(
    SettingsText(R"("gateway":{"callers":"x","retry_ratio":-1,"sedes":[]},)"
                 R"("entry":{"callers":"127.0.0.1:3"})"),
    "s.json",
    findings);
  const std::string text = findings.Render();
  CHECK(text.find("\"x\"") != std::string::npos);
  CHECK(text.find("retry_ratio") != std::string::npos);
  CHECK(text.find("did you mean \"seeds\"") != std::string::npos);
  CHECK(text.find("\"entry\" has no meaning") != std::string::npos);
}

TEST_CASE("a change of the settings file is noticed without a signal",
          "[settings]")
{
  const auto loop = *EventLoop::Create();
  const std::string path = fmt::format("settings-watch-{}.json", getpid());
  std::ofstream(path) << "one";
  int changes = 0;
  SettingsFileWatch watch(*loop, path, [&] { ++changes; });
  watch.Check();
  CHECK(changes == 0);
  std::ofstream(path) << "another";
  CHECK(loop->RunUntil([&] { return changes == 1; }, seconds(3)));
  unlink(path.c_str());
  watch.Check();
  CHECK(changes == 1);
}

TEST_CASE("a gateway's decisions can be switched off one by one", "[settings]")
{
  Findings findings;
  const auto settings = ParseDaemonSettings(
    SettingsText(R"("gateway":{"callers":"127.0.0.1:3",)"
                 R"("decisions":{"home_servers":false,)"
                 R"("cache_fetch":false,"late_last":false,)"
                 R"("quarantine":false},"quarantine_s":30})"),
    "s.json",
    findings);
  CHECK(findings.IsEmpty());
  CHECK_FALSE(settings.gateway.decisions.homeServers);
  CHECK(settings.gateway.decisions.reservedServers);
  CHECK(settings.gateway.decisions.rankedReading);
  CHECK_FALSE(settings.gateway.decisions.cacheFetch);
  CHECK_FALSE(settings.gateway.decisions.lateLast);
  CHECK_FALSE(settings.gateway.decisions.quarantine);
  CHECK(settings.gateway.quarantine == seconds(30));
  ParseDaemonSettings(SettingsText(R"("gateway":{"callers":"127.0.0.1:3",)"
                                   R"("decisions":{"luck":false}})"),
                      "s.json",
                      findings);
  CHECK_FALSE(findings.IsEmpty());
}

// Guards against a switch that is read into another's field, and against a
// default that changes how deployments are served which do not ask for it.
TEST_CASE("each new decision has a switch of its own", "[settings]")
{
  using Decisions = GatewayDecisions;
  struct Switch
  {
    std::string key;
    bool Decisions::*member;
    bool isOnByDefault;
  };
  const std::vector<Switch> switches{
    { "reported_load", &Decisions::reportedLoad, true },
    { "predicted_times", &Decisions::predictedTimes, true },
    { "rank_guard", &Decisions::rankGuard, false },
    { "customer_shares", &Decisions::customerShares, false },
    { "memory_admission", &Decisions::memoryAdmission, false },
  };
  const auto read = [](const std::string& aDecisions) {
    Findings findings;
    const auto settings = ParseDaemonSettings(
      SettingsText(fmt::format(
        R"("gateway":{{"callers":"127.0.0.1:3","decisions":{{{}}}}})",
        aDecisions)),
      "s.json",
      findings);
    CHECK(findings.IsEmpty());
    return settings.gateway.decisions;
  };
  const Decisions byDefault = read("");
  for (const Switch& one : switches) {
    INFO(one.key);
    CHECK(byDefault.*one.member == one.isOnByDefault);
    const Decisions changed =
      read(fmt::format(R"("{}":{})", one.key, !one.isOnByDefault));
    for (const Switch& other : switches) {
      INFO(other.key);
      CHECK(changed.*other.member ==
            (other.isOnByDefault != (other.key == one.key)));
    }
  }
}

TEST_CASE("a gateway's chooser is one of those that there are", "[settings]")
{
  Findings findings;
  const auto settings = ParseDaemonSettings(
    SettingsText(
      R"("gateway":{"callers":"127.0.0.1:3","chooser":"round_robin"})"),
    "s.json",
    findings);
  CHECK(findings.IsEmpty());
  CHECK(settings.gateway.chooser == "round_robin");
  ParseDaemonSettings(
    SettingsText(R"("gateway":{"callers":"127.0.0.1:3","chooser":"best"})"),
    "s.json",
    findings);
  CHECK_FALSE(findings.IsEmpty());
}
