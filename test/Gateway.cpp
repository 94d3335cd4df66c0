#include <catch2/catch.hpp>

#include "support/PlatformSite.h"

using namespace dogwoodvale;
using test::PlatformSite;
using test::RawSocket;

namespace {

Json::Value
Fault(const char* aName, Json::Value aValue = true)
{
  Json::Value fault(Json::objectValue);
  fault[aName] = std::move(aValue);
  return fault;
}

bool
Has(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::size_t
Count(const std::string& aText, std::string_view aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

std::size_t
RunCount(const PlatformSite& aSite)
{
  std::size_t count = 0;
  for (const auto& engine : aSite.engines) {
    count += engine->Runs().size();
  }
  return count;
}

} // namespace

TEST_CASE("a request reaches the server as the caller sent it", "[gateway]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  const std::string answer =
    site.Ask(gateway,
             "/again/x?q=1",
             "id-1",
             "Dogwoodvale-Hold: h\r\nKv-From: k\r\nConnection: close\r\n");
  CHECK(Has(answer, "HTTP/1.1 200"));
  CHECK(Has(answer, "seal-of-e1"));
  REQUIRE(site.engines[0]->Runs().size() == 1);
  const standins::SealedRun& run = site.engines[0]->Runs()[0];
  CHECK(run.id == "id-1");
  CHECK(run.path == "/again/x?q=1");
  CHECK(run.body == "body");
  CHECK(run.customer == "t1");
  CHECK(run.forbidden.empty());
  CHECK(run.deadlineMillis > 0);
  CHECK(run.deadlineMillis <= 1500);
}

TEST_CASE("each violation of the configuration has its own status", "[gateway]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  CHECK(Has(site.Ask(gateway, "/other/x", "id-1"), "HTTP/1.1 404"));
  RawSocket caller = RawSocket::Connect(gateway.CallerAddress());
  caller.Send("GET /again/x HTTP/1.1\r\nHost: a.example\r\n"
              "Dogwoodvale-Credential: wrong\r\nConnection: close\r\n\r\n");
  REQUIRE(site.Until([&] { return caller.IsClosed(); }));
  CHECK(Has(caller.received, "HTTP/1.1 401"));
  CHECK(RunCount(site) == 0);
}

// Guards against 503 without end: the only server drains and restarts under the
// same name, and its entry is taken for that of the incarnation that left.
TEST_CASE("a server restarted under the same name gets requests", "[gateway]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  const auto asksUntil = [&](const std::string& aStatus) {
    for (int i = 0; i < 100; ++i) {
      const std::string id = fmt::format("{}-{}", aStatus, i);
      if (Has(site.Ask(gateway, "/again/x", id), "HTTP/1.1 " + aStatus)) {
        return true;
      }
      site.loop->RunUntil([] { return false; }, milliseconds(20));
    }
    return false;
  };
  const standins::SealedEngine& engine = *site.engines[0];
  CHECK(asksUntil("200"));
  site.Register("e1", engine, "draining");
  CHECK(asksUntil("503"));
  site.Register("e1", engine, "ready", 1'790'000'009'000);
  CHECK(asksUntil("200"));
}

// Guards against 404 for an existing route at a gateway that has just started
// and has read no configuration. The answer must be a retryable 503.
TEST_CASE("a gateway without a configuration refuses with 503", "[gateway]")
{
  PlatformSite site(1);
  site.store->SetFault(Fault("busy"));
  Gateway& gateway = site.AddGateway("g1");
  const std::string answer = site.Ask(gateway, "/again/x", "id-1");
  CHECK(Has(answer, "HTTP/1.1 503"));
  CHECK(Has(answer, "Retry-After: "));
  CHECK_FALSE(gateway.Ready().ok());
  site.store->SetFault(Fault("clear"));
  CHECK(site.Until([&] { return gateway.Ready().ok(); }));
  CHECK(Has(site.Ask(gateway, "/again/x", "id-2"), "HTTP/1.1 200"));
}

TEST_CASE("a stream arrives complete and in order", "[gateway]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  const std::string answer = site.Ask(gateway, "/stream/x", "id-1");
  for (int i = 1; i <= 5; ++i) {
    CHECK(Count(answer, fmt::format("data: piece {}\n", i)) == 1);
  }
  CHECK(Has(answer, "\r\n0\r\n\r\n"));
}

// Guards against lost or repeated events after a server crash in mid-stream:
// the stream resumes on another server after the last whole event.
TEST_CASE("a stream resumes on another server after a crash", "[gateway]")
{
  PlatformSite site(2);
  Gateway& gateway = site.ReadyGateway();
  for (const auto& engine : site.engines) {
    engine->SetFault(Fault("crash_after", 2));
  }
  const std::string answer = site.Ask(gateway, "/stream/x", "id-1");
  // Two attempts are allowed: pieces 1 and 2 come from one engine, 3 and 4 from
  // the other.
  CHECK(Count(answer, "data: piece ") == 4);
  CHECK(Count(answer, "data: piece 3\n") == 1);
  // Both engines crash, so the answer must not end like a complete one.
  CHECK_FALSE(Has(answer, "\r\n0\r\n\r\n"));
  CHECK(RunCount(site) == 2);
}

// Guards against a stream that ends as complete with an event missing. It must
// be cut where the event ids show the gap.
TEST_CASE("a stream with a gap in its event ids is cut", "[gateway]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  site.engines[0]->SetFault(Fault("skip"));
  const std::string answer = site.Ask(gateway, "/note/stream/x", "id-1");
  CHECK(Has(answer, "data: piece 1\n"));
  CHECK_FALSE(Has(answer, "data: piece 3\n"));
  CHECK_FALSE(Has(answer, "\r\n0\r\n\r\n"));
}

// Guards against a non-idempotent request that runs twice: the server ran it,
// its answer was lost, and the gateway retried on another server.
TEST_CASE("a non-idempotent request is not retried nor reported as not run",
          "[gateway]")
{
  PlatformSite site(2);
  Gateway& gateway = site.ReadyGateway();
  for (const auto& engine : site.engines) {
    engine->SetFault(Fault("no_proof"));
  }
  const std::string answer = site.Ask(gateway, "/once/x", "id-1");
  CHECK(Has(answer, "HTTP/1.1 502"));
  CHECK(RunCount(site) == 1);
}

TEST_CASE("a refused request is retried elsewhere, then reported as not run",
          "[gateway]")
{
  PlatformSite site(2);
  Gateway& gateway = site.ReadyGateway();
  site.engines[0]->SetFault(Fault("refuse"));
  CHECK(Has(site.Ask(gateway, "/once/x", "id-1"), "HTTP/1.1 200"));
  site.engines[1]->SetFault(Fault("refuse"));
  const std::string answer = site.Ask(gateway, "/once/x", "id-2");
  CHECK(Has(answer, "HTTP/1.1 503"));
  CHECK(Has(answer, "Retry-After: "));
  CHECK(Has(answer, "not_run"));
}

TEST_CASE("an error answer of a server is forwarded unchanged", "[gateway]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  site.engines[0]->SetFault(Fault("error"));
  const std::string answer = site.Ask(gateway, "/once/x", "id-1");
  CHECK(Has(answer, "HTTP/1.1 500"));
  CHECK(Has(answer, "seal-of-e1"));
}

// Guards against waiting for a hung server beyond the route's time limit
// (400 ms): the gateway answers at the limit and cancels the server's work.
TEST_CASE("a request ends at its route's time limit", "[gateway]")
{
  PlatformSite site(1);
  site.PutConfiguration(2, 400);
  Gateway& gateway = site.ReadyGateway();
  site.engines[0]->SetFault(Fault("hang"));
  const TimePoint start = Now();
  const std::string answer = site.Ask(gateway, "/once/x", "id-1");
  const Duration took = Between(start, Now());
  CHECK(Has(answer, "HTTP/1.1 504"));
  CHECK(took >= milliseconds(380));
  CHECK(took < milliseconds(900));
  CHECK(
    site.Until([&] { return site.engines[0]->Runs()[0].end == "cancelled"; }));
}

// Guards against a server working for a caller that has disconnected.
TEST_CASE("a request is cancelled when the caller disconnects", "[gateway]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  site.engines[0]->SetFault(Fault("hang"));
  RawSocket caller = RawSocket::Connect(gateway.CallerAddress());
  caller.Send(PlatformSite::RequestText("/again/x", "id-1"));
  REQUIRE(site.Until([&] { return RunCount(site) == 1; }));
  caller.Close();
  CHECK(
    site.Until([&] { return site.engines[0]->Runs()[0].end == "cancelled"; },
               milliseconds(400)));
}

// Guards against requests to a server seconds after its list entry says that it
// drains, or is removed.
TEST_CASE("a leaving server gets no new work", "[gateway]")
{
  PlatformSite site(2);
  Gateway& gateway = site.ReadyGateway();
  const auto onlySecond = [&] {
    const std::size_t before = site.engines[0]->Runs().size();
    for (int i = 0; i < 10; ++i) {
      site.Ask(gateway, "/again/x", fmt::format("id-{}", i));
    }
    return site.engines[0]->Runs().size() == before;
  };
  SECTION("its list entry says that it drains")
  {
    site.Register("e1", *site.engines[0], "draining");
  }
  SECTION("its list entry is removed")
  {
    site.store->Remove("servers/e1");
  }
  site.Until([] { return false; }, milliseconds(300));
  CHECK(onlySecond());
}

// Guards against a request that runs on another service's server, which has
// taken over the address of a removed one: the server refuses, and the gateway
// retries elsewhere.
TEST_CASE("a reused server address is detected", "[gateway]")
{
  PlatformSite site(1);
  standins::SealedEngineSettings other;
  standins::SealedEngine& reused = site.AddEngine("e9", other);
  site.store->Remove("servers/e9");
  site.Register("e2", reused, "ready");
  Gateway& gateway = site.ReadyGateway();
  for (int i = 0; i < 6; ++i) {
    CHECK(Has(site.Ask(gateway, "/once/x", fmt::format("id-{}", i)),
              "HTTP/1.1 200"));
  }
  CHECK(reused.Runs().empty());
}

// Guards against a load that is parsed but never reaches the servers' state,
// from answers of every kind, and that is counted for another instance.
TEST_CASE("the loads that servers state are taken in and counted", "[gateway]")
{
  const auto gauge = [](Gateway& aGateway, std::string_view aName, int aValue) {
    return Has(aGateway.Metrics(),
               fmt::format("{{reason=\"{}\"}} {}\n", aName, aValue));
  };
  PlatformSite site(1);
  const auto ask = [&](Gateway& aGateway, const char* aId, const char* aLoad) {
    site.engines[0]->SetFault(Fault("load", aLoad));
    site.Ask(aGateway, "/again/x", aId);
  };
  SECTION("of the server that was asked")
  {
    Gateway& gateway = site.ReadyGateway("g1");
    CHECK(gauge(gateway, "load_reports_recent", 0));
    ask(gateway, "id-1", "1,0,4,120");
    CHECK(gauge(gateway, "load_reports_recent", 1));
    CHECK(gauge(gateway, "load_reports_malformed", 0));
    ask(gateway, "id-2", "5,0,4");
    CHECK(gauge(gateway, "load_reports_malformed", 1));
    site.engines[0]->SetFault(Fault("refuse"));
    ask(gateway, "id-3", "4,9,4,300");
    CHECK(gauge(gateway, "load_reports_recent", 1));
    CHECK(gauge(gateway, "load_reports_ignored", 0));
  }
  SECTION("of another instance at its address")
  {
    site.Register("e2", *site.engines[0], "ready");
    site.store->Remove("servers/e1");
    Gateway& gateway = site.ReadyGateway("g1");
    ask(gateway, "id-1", "1,0,4,120");
    CHECK(gauge(gateway, "load_reports_recent", 0));
    CHECK(gauge(gateway, "load_reports_ignored", 1));
  }
  SECTION("not with the decision off")
  {
    site.decisions.reportedLoad = false;
    Gateway& gateway = site.ReadyGateway("g1");
    ask(gateway, "id-1", "1,0,4,120");
    ask(gateway, "id-2", "5,0,4");
    CHECK(gauge(gateway, "load_reports_recent", 0));
    CHECK(gauge(gateway, "load_reports_malformed", 0));
  }
  SECTION("to another gateway")
  {
    Gateway& first = site.ReadyGateway("g1");
    Gateway& second = site.ReadyGateway("g2");
    REQUIRE(site.Until([&] {
      return Has(first.Statusz(), "\"gateways\" : 2") &&
             Has(second.Statusz(), "\"gateways\" : 2");
    }));
    // Asks again, as a report is recent for no longer than 500 ms.
    bool isKnown = false;
    for (int i = 0; i < 20 && !isKnown; ++i) {
      ask(first, fmt::format("id-{}", i).c_str(), "1,0,4,120");
      isKnown =
        site.Until([&] { return gauge(second, "load_reports_recent", 1); },
                   milliseconds(450));
    }
    CHECK(isKnown);
    CHECK(gauge(second, "load_reports_ignored", 0));
  }
}

TEST_CASE("a new configuration takes effect at once and is never reverted",
          "[gateway]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  site.PutConfiguration(3);
  const auto version = [&](int aVersion) {
    return Has(gateway.Statusz(),
               fmt::format("\"routes_version\" : {}", aVersion));
  };
  CHECK(site.Until([&] { return version(3); }, milliseconds(500)));
  site.PutConfiguration(2);
  site.Until([] { return false; }, milliseconds(200));
  CHECK(version(3));
  site.store->SetFault(Fault("forget"));
  site.PutConfiguration(4);
  CHECK(site.Until([&] { return version(4); }, seconds(1)));
}

// Guards against a lasting 404 for a new route at a gateway that can't reach
// the store: it must get the change from the other gateways.
TEST_CASE("a gateway without the store gets routes from its peers", "[gateway]")
{
  PlatformSite site(1);
  Gateway& first = site.ReadyGateway("g1");
  Gateway& second = site.ReadyGateway("g2");
  REQUIRE(site.Until([&] {
    return Has(first.Statusz(), "\"gateways\" : 2") &&
           Has(second.Statusz(), "\"gateways\" : 2");
  }));
  // The version in a digest announces a change that the store's watch may
  // deliver late or never.
  PeerDigest digest;
  digest.gateway = InstanceName("g9");
  digest.incarnation = 1;
  digest.sequence = 1;
  digest.routes.version = 1;
  second.OnDigest(digest, { "127.0.0.1", 1 });
  const std::string routes =
    first
      .Other(
        { "GET",
          fmt::format("/peer/routes?proof={}",
                      ProofOf("/peer/routes", "a secret of the test's own")),
          {},
          "" })
      .body;
  CHECK(Has(routes, "\"version\":1"));
  CHECK(first.Other({ "GET", "/peer/routes?proof=00", {}, "" }).status == 403);
  std::string newer = routes;
  newer.replace(newer.find("\"version\":1"), 11, "\"version\":7");
  second.OnDocument("/peer/routes", newer, { "127.0.0.1", 1 });
  CHECK(Has(second.Statusz(), "\"routes_version\" : 7"));
  // The first gateway gets it from the second by digest and fetch.
  CHECK(
    site.Until([&] { return Has(first.Statusz(), "\"routes_version\" : 7"); }));
}

// Guards against a stream cut by a planned stop: the gateway must finish it,
// refuse new connections once the balancer has removed it, and then end.
TEST_CASE("a planned stop drains requests in flight", "[gateway]")
{
  PlatformSite site(0);
  standins::SealedEngineSettings slow;
  slow.events = 30;
  slow.gap = milliseconds(40);
  site.AddEngine("e1", slow);
  Gateway& gateway = site.ReadyGateway();
  RawSocket caller = RawSocket::Connect(gateway.CallerAddress());
  caller.Send(PlatformSite::RequestText("/note/stream/x", "id-1"));
  REQUIRE(site.Until([&] { return caller.Has("piece 1\n"); }));
  gateway.BeginStop();
  CHECK_FALSE(gateway.Ready().ok());
  RawSocket late = RawSocket::Connect(gateway.CallerAddress());
  late.Send(PlatformSite::RequestText("/again/x", "id-2"));
  CHECK(site.Until([&] { return late.Has("Connection: close"); }));
  CHECK(site.Until([&] { return caller.Has("\r\n0\r\n\r\n"); }));
  CHECK(Has(caller.received, "piece 30\n"));
}

// Guards against requests accepted late in the grace period and cut at its end:
// when all gateways stop in turn, the balancer keeps sending to the last.
TEST_CASE("a stopping gateway stops accepting in time", "[gateway]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  site.engines[0]->SetFault(Fault("hang"));
  RawSocket held = RawSocket::Connect(gateway.CallerAddress());
  held.Send(PlatformSite::RequestText("/once/x", "id-1"));
  REQUIRE(site.Until([&] { return RunCount(site) == 1; }));
  gateway.BeginStop();
  // The balancer gets half of the grace period of two seconds.
  site.Until([] { return false; }, milliseconds(1200));
  RawSocket late = RawSocket::Connect(gateway.CallerAddress());
  // Sending on a refused connection fails.
  CHECK(late.Send(PlatformSite::RequestText("/again/x", "id-2")) < 0);
}

TEST_CASE("the retries of a service stay within their budget", "[gateway]")
{
  PlatformSite site(2);
  Gateway& gateway = site.ReadyGateway();
  DaemonSettings settings;
  settings.gateway.retryRatio = 0.1;
  settings.gateway.retryExtra = 1;
  gateway.Reload(settings);
  for (const auto& engine : site.engines) {
    engine->SetFault(Fault("error"));
  }
  for (int i = 0; i < 20; ++i) {
    site.Ask(gateway, "/again/x", fmt::format("id-{}", i));
  }
  CHECK(RunCount(site) > 20);
  CHECK(RunCount(site) <= 20 + 2 + 1);
}

namespace {

/// A site whose one server has a queue of long prompts that it will not run.
class LongQueueSite : public PlatformSite
{
public:
  LongQueueSite()
    : PlatformSite(0)
  {
    standins::SealedEngineSettings engine;
    engine.work = milliseconds(20);
    this->AddEngine("e1", engine);
    this->gateway = &this->ReadyGateway();
    for (int i = 0; i < 12; ++i) {
      this->Ask(*this->gateway,
                "/read/stream/x",
                fmt::format("s-{}", i),
                TokenHeader(100) + kCloses);
    }
    for (int i = 0; i < 3; ++i) {
      const std::string answer = this->Ask(*this->gateway,
                                           "/scan/stream/x",
                                           fmt::format("l-{}", i),
                                           TokenHeader(9000) + kCloses);
      REQUIRE(Has(answer, "HTTP/1.1 200"));
    }
    this->engines[0]->SetFault(Fault("hang"));
    for (int i = 0; i < 12; ++i) {
      this->waiting.push_back(
        RawSocket::Connect(this->gateway->CallerAddress()));
      this->waiting.back().Send(RequestText(
        "/read/stream/x", fmt::format("w-{}", i), TokenHeader(9000)));
      this->Until([] { return false; }, milliseconds(5));
    }
  }

  static constexpr const char* kCloses = "Connection: close\r\n";
  Gateway* gateway = nullptr;

private:
  std::vector<RawSocket> waiting;
};

} // namespace

// Guards against every long prompt missing its target in an overload because
// each joins a queue that is already too long. Further ones are refused at once
// with a Retry-After; short prompts, which are prefilled between the long ones,
// are still accepted.
TEST_CASE("a long prompt is refused behind a long queue", "[gateway]")
{
  LongQueueSite site;
  Gateway& gateway = *site.gateway;
  const TimePoint start = Now();
  const std::string refused =
    site.Ask(gateway,
             "/read/stream/x",
             "late",
             PlatformSite::TokenHeader(9000) + LongQueueSite::kCloses);
  CHECK(Has(refused, "HTTP/1.1 503"));
  CHECK(Has(refused, "Retry-After: "));
  CHECK(Has(refused, "not_run"));
  CHECK(Between(start, Now()) < milliseconds(500));
  const std::size_t before = RunCount(site);
  RawSocket small = RawSocket::Connect(gateway.CallerAddress());
  small.Send(PlatformSite::RequestText(
    "/read/stream/x", "small", PlatformSite::TokenHeader(100)));
  CHECK(site.Until([&] { return RunCount(site) == before + 1; }));
}

// Guards against streams that new requests overtake when their callers resume
// them.
TEST_CASE("a stream that its caller resumes is sent behind a long queue",
          "[gateway]")
{
  LongQueueSite site;
  const std::size_t before = RunCount(site);
  RawSocket resumed = RawSocket::Connect(site.gateway->CallerAddress());
  resumed.Send(PlatformSite::RequestText(
    "/scan/stream/x",
    "again",
    PlatformSite::TokenHeader(9000) + "Last-Event-Id: 2\r\nResumes: l-0\r\n"));
  CHECK(site.Until([&] { return RunCount(site) == before + 1; }));
}

// Guards against servers prefilling a shared prompt prefix again while the
// server that has it cached has a long queue: the server that gets the request
// is told where to copy the prefix from.
TEST_CASE("a server is told where to copy a cached prefix from", "[gateway]")
{
  PlatformSite site(2);
  Gateway& gateway = site.ReadyGateway();
  const auto prompt = [](int aNumber) {
    return fmt::format("Dogwoodvale-Token-Count: 9000,10\r\n"
                       "Dogwoodvale-Prompt-Prefix: abc:6000,{}:3000\r\n",
                       aNumber + 100);
  };
  for (const auto& engine : site.engines) {
    engine->SetFault(Fault("hang"));
  }
  std::vector<RawSocket> waiting;
  for (int i = 0; i < 30; ++i) {
    waiting.push_back(RawSocket::Connect(gateway.CallerAddress()));
    waiting.back().Send(PlatformSite::RequestText(
      "/read/stream/x", fmt::format("w-{}", i), prompt(i)));
    site.Until([] { return false; }, milliseconds(5));
  }
  const auto firstRunOf = [&](std::size_t aEngine) -> standins::SealedRun {
    const auto& runs = site.engines[aEngine]->Runs();
    return runs.empty() ? standins::SealedRun{} : runs[0];
  };
  // The engine chosen first prefills the prefix, the other copies it.
  const std::size_t holder = firstRunOf(0).fetchFrom.empty() ? 0 : 1;
  CHECK(firstRunOf(holder).fetchFrom.empty());
  CHECK(firstRunOf(1 - holder).fetchFrom ==
        site.engines[holder]->Address().ToString());
}

// Guards against waiting out the whole time limit for a server that hangs with
// its connection open, though another server could answer.
TEST_CASE("a request is retried when a server stays silent", "[gateway]")
{
  PlatformSite site(2);
  Gateway& gateway = site.ReadyGateway();
  site.engines[0]->SetFault(Fault("hang"));
  // Servers with equal load are chosen at random, so any of these requests may
  // be the first that is sent to the hung one.
  constexpr int kLeast = 6;
  constexpr int kMost = 60;
  const auto isMet = [&] { return !site.engines[0]->Runs().empty(); };
  for (int i = 0; i < kLeast || (i < kMost && !isMet()); ++i) {
    const TimePoint sent = Now();
    const std::string answer =
      site.Ask(gateway, "/stream/x", fmt::format("id-{}", i));
    CHECK(Has(answer, "\r\n0\r\n\r\n"));
    CHECK(Has(answer, "seal-of-e2"));
    CHECK(Between(sent, Now()) < milliseconds(1400));
  }
  CHECK(isMet());
}
