#include <catch2/catch.hpp>

#include <fstream>
#include <functional>

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

// Guards against a gateway that does not start, as its site states a bound with
// a fraction.
TEST_CASE("bounds of a site are read whole and with fractions", "[settings]")
{
  struct Bound
  {
    std::string key;
    std::string whole;
    std::string fraction;
    std::function<double(const GatewaySettings&)> read;
    double expectedWhole;
    double expectedFraction;
  };
  const auto millis = [](Duration aTime) {
    return std::chrono::duration<double, std::milli>(aTime).count();
  };
  using Settings = GatewaySettings;
  const std::vector<Bound> bounds{
    { "retry_ratio",
      "1",
      "0.25",
      [](const Settings& aOne) { return aOne.retryRatio; },
      1,
      0.25 },
    { "retry_window_s",
      "10",
      "2.5",
      [&](const Settings& aOne) { return millis(aOne.retryWindow); },
      10'000,
      2'500 },
    { "retry_extra",
      "1040",
      "152.9",
      [](const Settings& aOne) { return double(aOne.retryExtra); },
      1040,
      152 },
    { "instance_drain_ms",
      "5000",
      "735.25",
      [&](const Settings& aOne) { return millis(aOne.instanceDrain); },
      5'000,
      735.25 },
    { "routes_apply_ms",
      "5000",
      "2000.5",
      [&](const Settings& aOne) { return millis(aOne.routesApply); },
      5'000,
      2000.5 },
    { "stop_grace_s",
      "8",
      "1.5",
      [&](const Settings& aOne) { return millis(aOne.stopGrace); },
      8'000,
      1'500 },
    { "quarantine_s",
      "600",
      "0.5",
      [&](const Settings& aOne) { return millis(aOne.quarantine); },
      600'000,
      500 },
    { "descriptors",
      "4100",
      "4100.5",
      [](const Settings& aOne) { return double(aOne.descriptors); },
      4100,
      4100 },
  };
  const auto read = [](const std::string& aKey, const std::string& aNumber) {
    Findings findings;
    const auto settings = ParseDaemonSettings(
      SettingsText(fmt::format(
        R"("gateway":{{"callers":"127.0.0.1:3","{}":{}}})", aKey, aNumber)),
      "s.json",
      findings);
    INFO(findings.Render());
    CHECK(findings.IsEmpty());
    return settings.gateway;
  };
  for (const Bound& bound : bounds) {
    INFO(bound.key);
    CHECK(bound.read(read(bound.key, bound.whole)) ==
          Approx(bound.expectedWhole));
    CHECK(bound.read(read(bound.key, bound.fraction)) ==
          Approx(bound.expectedFraction));
    for (const char* bad : { "-1", "1e300", "\"4\"", "null", "[]" }) {
      INFO(bad);
      Findings findings;
      ParseDaemonSettings(
        SettingsText(fmt::format(
          R"("gateway":{{"callers":"127.0.0.1:3","{}":{}}})", bound.key, bad)),
        "s.json",
        findings);
      CHECK(findings.Render().find(bound.key) != std::string::npos);
    }
  }
}

// The same for the bounds of the duties.
TEST_CASE("bounds of duties are read whole and with fractions", "[settings]")
{
  const auto read = [](const std::string& aBounds) {
    Findings findings;
    const auto settings = ParseDaemonSettings(
      SettingsText(R"("gateway":{"callers":"127.0.0.1:3","duties":{)"
                   R"("api":"127.0.0.1:4","assigned":[],)" +
                   aBounds + "}}"),
      "s.json",
      findings);
    INFO(findings.Render());
    CHECK(findings.IsEmpty());
    return settings.gateway.duties;
  };
  const DutySettings whole =
    read(R"("lease_ms":2000,"usage_window_s":5,"usage_due_s":10)");
  CHECK(whole.lease == seconds(2));
  CHECK(whole.usageWindow == seconds(5));
  CHECK(whole.usageDue == seconds(10));
  const DutySettings fractions =
    read(R"("lease_ms":1470.588,"usage_window_s":0.75,"usage_due_s":1.25)");
  CHECK(fractions.lease == Duration(1'470'588));
  CHECK(fractions.usageWindow == milliseconds(750));
  CHECK(fractions.usageDue == milliseconds(1250));
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

// Guards against settings under which no body as large as the default fits.
TEST_CASE("a memory that can't hold one body is named with its place",
          "[settings]")
{
  const auto findings = [](const std::string& aRole) {
    Findings found;
    std::string text = SettingsText(aRole);
    if (aRole.starts_with("\"entry\"")) {
      text.replace(text.find("\"gateway\""), 9, "\"entry\"");
    }
    ParseDaemonSettings(text, "s.json", found);
    return found.Render();
  };
  CHECK(
    findings(R"("gateway":{"callers":"127.0.0.1:3","memory_mb":48})").empty());
  CHECK(MemoryShares(MemoryShares::kSmallest).LargestBody() >= 4U << 20U);
  CHECK_THAT(findings(R"("gateway":{"callers":"127.0.0.1:3","memory_mb":47})"),
             Catch::Contains("s.json:1:") && Catch::Contains("memory_mb"));
  CHECK(findings(R"("entry":{"callers":"127.0.0.1:3"})").empty());
  CHECK_THAT(findings(R"("entry":{"callers":"127.0.0.1:3","memory_mb":64,)"
                      R"("max_request_bytes":100000000})"),
             Catch::Contains("s.json:1:") &&
               Catch::Contains("max_request_bytes"));
}

TEST_CASE("the shares of the memory fit into it", "[settings]")
{
  for (const std::uint32_t megabytes : { 48U, 88U, 110U, 512U, 1'000'000U }) {
    const MemoryShares shares(megabytes);
    // Requests may be copied once as they are sent, and there are two ports
    // besides that of the callers.
    const std::size_t sum = 2 * shares.requests + shares.sockets +
                            shares.connections + shares.answers +
                            2 * shares.operators;
    CHECK(sum <= (std::size_t(megabytes) << 20U) / 4 * 3);
  }
}
