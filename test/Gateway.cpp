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

TEST_CASE("a request goes to an engine as the caller sent it", "[gateway]")
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

TEST_CASE("what the configuration does not allow gets its own status",
          "[gateway]")
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

// The only server drains, ends and starts again under its name. Callers would
// get 503 for ever, as its entry was read as that of the one that left.
TEST_CASE("a server that starts again under its name gets requests",
          "[gateway]")
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

// A caller gets 404 for a route that exists: its gateway has just started and
// has read no configuration yet. It must say 503, "not run, come back".
TEST_CASE("a gateway that knows no configuration refuses with 503", "[gateway]")
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

TEST_CASE("a stream comes whole and in order", "[gateway]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  const std::string answer = site.Ask(gateway, "/stream/x", "id-1");
  for (int i = 1; i <= 5; ++i) {
    CHECK(Count(answer, fmt::format("data: piece {}\n", i)) == 1);
  }
  CHECK(Has(answer, "\r\n0\r\n\r\n"));
}

// A caller's stream stops after two pieces: its engine crashed. It may go on
// at another from the last whole event, so the caller gets each piece once.
TEST_CASE("a stream goes on at another engine after a crash", "[gateway]")
{
  PlatformSite site(2);
  Gateway& gateway = site.ReadyGateway();
  for (const auto& engine : site.engines) {
    engine->SetFault(Fault("crash_after", 2));
  }
  const std::string answer = site.Ask(gateway, "/stream/x", "id-1");
  // Two engines may read it: pieces 1 and 2 from one, 3 and 4 from the other.
  CHECK(Count(answer, "data: piece ") == 4);
  CHECK(Count(answer, "data: piece 3\n") == 1);
  // Neither is whole, so the answer must not look whole.
  CHECK_FALSE(Has(answer, "\r\n0\r\n\r\n"));
  CHECK(RunCount(site) == 2);
}

// A caller reads a stream with a piece missing that ends as complete: the
// engine left it out. It must be cut where the ids show the gap.
TEST_CASE("a stream with a gap is cut, never completed", "[gateway]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  site.engines[0]->SetFault(Fault("skip"));
  const std::string answer = site.Ask(gateway, "/note/stream/x", "id-1");
  CHECK(Has(answer, "data: piece 1\n"));
  CHECK_FALSE(Has(answer, "data: piece 3\n"));
  CHECK_FALSE(Has(answer, "\r\n0\r\n\r\n"));
}

// A certificate is issued twice: the engine ran the request and its answer was
// lost, and the gateway sent it to another engine.
TEST_CASE("what may not be repeated runs once and is not called unrun",
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

TEST_CASE("what engines refuse is tried at another, then said to be unrun",
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

TEST_CASE("an engine's own failure is passed on unchanged", "[gateway]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  site.engines[0]->SetFault(Fault("error"));
  const std::string answer = site.Ask(gateway, "/once/x", "id-1");
  CHECK(Has(answer, "HTTP/1.1 500"));
  CHECK(Has(answer, "seal-of-e1"));
}

// A caller waits on a request that its route gives 400 ms: the engine hangs.
// The gateway answers at the limit, and stops the engine's work.
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

// An engine works on for a caller that has left, while others wait.
TEST_CASE("an engine stops when the caller leaves", "[gateway]")
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

// A request reaches a server seconds after it said that it leaves; its list
// entry said so, or was simply gone.
TEST_CASE("a leaving engine gets no new work", "[gateway]")
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
  SECTION("it says that it drains")
  {
    site.Register("e1", *site.engines[0], "draining");
  }
  SECTION("its entry is gone")
  {
    site.store->Remove("servers/e1");
  }
  site.Until([] { return false; }, milliseconds(300));
  CHECK(onlySecond());
}

// A request is run by another service's server, which took over the address of
// one that is gone: the server refuses, the gateway goes elsewhere.
TEST_CASE("an address that is used again is noticed", "[gateway]")
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

TEST_CASE("a new configuration is in force at once and never undone",
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

// A route that was added is 404 at one gateway for good: the store turns that
// gateway away and serves the others, which must bring it the change.
TEST_CASE("a gateway without the store learns from the others", "[gateway]")
{
  PlatformSite site(1);
  Gateway& first = site.ReadyGateway("g1");
  Gateway& second = site.ReadyGateway("g2");
  REQUIRE(site.Until([&] {
    return Has(first.Statusz(), "\"gateways\" : 2") &&
           Has(second.Statusz(), "\"gateways\" : 2");
  }));
  // What the store's watch would tell late or never, a digest's version does.
  PeerDigest digest;
  digest.gateway = InstanceName("g9");
  digest.incarnation = 1;
  digest.sequence = 1;
  digest.routesVersion = 1;
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
  // And from there to the first, by digest and fetch.
  CHECK(
    site.Until([&] { return Has(first.Statusz(), "\"routes_version\" : 7"); }));
}

// A stream is cut by a planned stop: the gateway must finish it, take no new
// connections once the balancer knows, and then end.
TEST_CASE("a planned stop finishes what runs", "[gateway]")
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

// All gateways are stopped in turn, so the balancer has nobody else and goes
// on sending; what is accepted late in the grace would be cut at its end.
TEST_CASE("a stopping gateway stops accepting in time", "[gateway]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  site.engines[0]->SetFault(Fault("hang"));
  RawSocket held = RawSocket::Connect(gateway.CallerAddress());
  held.Send(PlatformSite::RequestText("/once/x", "id-1"));
  REQUIRE(site.Until([&] { return RunCount(site) == 1; }));
  gateway.BeginStop();
  // Half of the grace of two seconds is the balancer's.
  site.Until([] { return false; }, milliseconds(1200));
  RawSocket late = RawSocket::Connect(gateway.CallerAddress());
  // Nothing can be sent on a connection that was refused.
  CHECK(late.Send(PlatformSite::RequestText("/again/x", "id-2")) < 0);
}

TEST_CASE("the retries of a service keep their bound", "[gateway]")
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

// In a rush every review comes late, since each joins a queue that is longer
// than its target. What would only lengthen the queue is told at once when to
// come back; short prompts, which are read between the long ones, go on.
TEST_CASE("a long prompt is refused behind a long queue", "[gateway]")
{
  PlatformSite site(0);
  standins::SealedEngineSettings engine;
  engine.work = milliseconds(20);
  site.AddEngine("e1", engine);
  Gateway& gateway = site.ReadyGateway();
  const auto tokens = [](int aCount) {
    return fmt::format("Dogwoodvale-Token-Count: {},10\r\n", aCount);
  };
  const std::string closes = "Connection: close\r\n";
  for (int i = 0; i < 12; ++i) {
    site.Ask(
      gateway, "/read/stream/x", fmt::format("s-{}", i), tokens(100) + closes);
  }
  for (int i = 0; i < 3; ++i) {
    const std::string answer = site.Ask(
      gateway, "/read/stream/x", fmt::format("l-{}", i), tokens(9000) + closes);
    REQUIRE(Has(answer, "HTTP/1.1 200"));
  }
  site.engines[0]->SetFault(Fault("hang"));
  std::vector<RawSocket> waiting;
  for (int i = 0; i < 12; ++i) {
    waiting.push_back(RawSocket::Connect(gateway.CallerAddress()));
    waiting.back().Send(PlatformSite::RequestText(
      "/read/stream/x", fmt::format("w-{}", i), tokens(9000)));
    site.Until([] { return false; }, milliseconds(5));
  }
  const TimePoint start = Now();
  const std::string refused =
    site.Ask(gateway, "/read/stream/x", "late", tokens(9000) + closes);
  CHECK(Has(refused, "HTTP/1.1 503"));
  CHECK(Has(refused, "Retry-After: "));
  CHECK(Has(refused, "not_run"));
  CHECK(Between(start, Now()) < milliseconds(500));
  const std::size_t before = RunCount(site);
  RawSocket small = RawSocket::Connect(gateway.CallerAddress());
  small.Send(PlatformSite::RequestText("/read/stream/x", "small", tokens(100)));
  CHECK(site.Until([&] { return RunCount(site) == before + 1; }));
}

// Callers ask for prompts that share a part. One engine has read it and is
// behind; the others would read it again, each for as long as callers may wait.
// The engine that gets the request is told which one to copy it from.
TEST_CASE("an engine is told from which to copy what is cached there",
          "[gateway]")
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
  // Whichever was first holds the part, the other copies it.
  const std::size_t holder = firstRunOf(0).fetchFrom.empty() ? 0 : 1;
  CHECK(firstRunOf(holder).fetchFrom.empty());
  CHECK(firstRunOf(1 - holder).fetchFrom ==
        site.engines[holder]->Address().ToString());
}

// A caller waits for its whole time limit though another server could answer
// it: the one that has its request hangs, with the connection open.
TEST_CASE("a request goes on to another server when one says nothing",
          "[gateway]")
{
  PlatformSite site(2);
  Gateway& gateway = site.ReadyGateway();
  site.engines[0]->SetFault(Fault("hang"));
  // Servers with equal work are drawn at random: each of these may be the first
  // to meet the one that hangs.
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
