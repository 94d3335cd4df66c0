#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>

#include "dogwoodvale/Store"
#include "standins/Platform.h"
#include "support/ScriptedServer.h"

using namespace dogwoodvale;
using test::ScriptedServer;

namespace {

// "key" and "val" in base64.
constexpr const char* kPair =
  R"({"key":"a2V5","value":"dmFs","create_revision":"3","mod_revision":"5","version":"2"})";

std::string
RangeBody(const std::string& aPairs, int aRevision)
{
  return fmt::format(
    R"({{"header":{{"revision":"{}"}},"kvs":[{}]}})", aRevision, aPairs);
}

struct Setup
{
  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  ScriptedServer server{ *loop };
  HttpStoreOptions options = MakeOptions(server.Address());
  std::unique_ptr<HttpStoreClient> client;

  static HttpStoreOptions MakeOptions(const SocketAddress& aAddress)
  {
    HttpStoreOptions options;
    options.endpoints = { aAddress };
    options.timeout = milliseconds(100);
    options.callsPerSecond = 1000;
    options.callBurst = 1000;
    options.initialBackoff = milliseconds(5);
    options.maxBackoff = milliseconds(20);
    return options;
  }

  void Start() { this->client = *HttpStoreClient::Create(*loop, options); }

  WriteResult Swap()
  {
    std::optional<WriteResult> result;
    const auto call = this->client->CompareAndSwap(
      "key", 5, "new", [&](const WriteResult& aResult) { result = aResult; });
    REQUIRE(loop->RunUntil([&] { return result.has_value(); }, seconds(2)));
    return *result;
  }

  absl::StatusOr<RangeResult> Read()
  {
    std::optional<absl::StatusOr<RangeResult>> result;
    const auto call = this->client->Range(
      { .key = "key" }, [&](absl::StatusOr<RangeResult> aResult) {
        result = std::move(aResult);
      });
    REQUIRE(loop->RunUntil([&] { return result.has_value(); }, seconds(2)));
    return *result;
  }
};

/// Remembers the last value of each key, and what happened.
struct Follower : StoreWatchHandler
{
  void OnSnapshot(Revision aRevision,
                  std::span<const KeyValue> aValues) override
  {
    this->revision = aRevision;
    this->value = aValues.empty() ? "" : aValues.back().value;
    ++this->snapshots;
  }
  void OnChanges(Revision aRevision,
                 std::span<const StoreChange> aChanges) override
  {
    this->revision = aRevision;
    this->value = aChanges.back().value.value;
  }
  void OnLost(const absl::Status&) override { ++this->losses; }

  Revision revision = 0;
  std::string value;
  int snapshots = 0;
  int losses = 0;
};

} // namespace

TEST_CASE("a read gives values with their revisions")
{
  Setup setup;
  setup.server.SetScript([](const auto&, const std::string& aBody) {
    CHECK(aBody == R"({"key":"a2V5"})");
    return ScriptedServer::Reply{ .body = RangeBody(kPair, 9) };
  });
  setup.Start();
  const auto result = setup.Read();
  REQUIRE(result.ok());
  CHECK(result->revision == 9);
  REQUIRE(result->values.size() == 1);
  CHECK(result->values[0].value == "val");
  CHECK(result->values[0].modRevision == 5);
}

TEST_CASE("a read is retried within bounds, at the next endpoint")
{
  Setup setup;
  setup.server.SetScript([](const auto&, const auto&) {
    return ScriptedServer::Reply{ .code = 503, .body = "overloaded" };
  });
  SECTION("the store is overloaded: three tries, then the caller is told")
  {
    setup.Start();
    CHECK(absl::IsUnavailable(setup.Read().status()));
    CHECK(setup.server.Paths().size() == 3);
  }
  SECTION("one endpoint is gone: the other one answers")
  {
    setup.server.SetScript([](const auto&, const auto&) {
      return ScriptedServer::Reply{ .body = RangeBody(kPair, 9) };
    });
    setup.options.endpoints.push_back(test::DeadAddress());
    std::swap(setup.options.endpoints[0], setup.options.endpoints[1]);
    setup.Start();
    CHECK(setup.Read().ok());
  }
}

// The operator's change takes effect in the store and the reply is lost. The
// tool must not say "refused", and the client must not send it again: another
// change may have followed meanwhile, which the copy would undo.
TEST_CASE("a write whose reply is lost is unknown, and is sent once")
{
  Setup setup;
  int writes = 0;
  setup.server.SetScript([&](const auto&, const auto&) {
    ++writes;
    return ScriptedServer::Reply{ .body = {}, .isLost = true };
  });
  setup.options.endpoints.push_back(test::DeadAddress());
  std::swap(setup.options.endpoints[0], setup.options.endpoints[1]);
  setup.Start();
  CHECK(setup.Swap().outcome == WriteOutcome::Unknown);
  CHECK(writes == 1);
}

// 503 and 504 are also what the store says when its own write timed out half
// way: it may be applied later. 429 and 400 are said before anything happens.
TEST_CASE("a write that is refused is only sure when the store never began")
{
  Setup setup;
  int code = 0;
  setup.server.SetScript([&](const auto&, const auto&) {
    return ScriptedServer::Reply{ .code = code, .body = "no" };
  });
  setup.Start();
  for (const int unsure : { 500, 503, 504 }) {
    code = unsure;
    CHECK(setup.Swap().outcome == WriteOutcome::Unknown);
  }
  for (const int sure : { 400, 404, 429 }) {
    code = sure;
    CHECK(setup.Swap().outcome == WriteOutcome::NotApplied);
  }
}

TEST_CASE("a write to a store that is down is not applied")
{
  Setup setup;
  setup.options.endpoints = { test::DeadAddress() };
  setup.Start();
  const WriteResult result = setup.Swap();
  CHECK(result.outcome == WriteOutcome::NotApplied);
  CHECK(absl::IsUnavailable(result.status));
}

TEST_CASE("a comparison that does not hold gives the present value")
{
  Setup setup;
  setup.server.SetScript([](const std::string& aPath,
                            const std::string& aBody) {
    CHECK(aPath == "/v3/kv/txn");
    CHECK(aBody.find(R"("mod_revision":"5")") != std::string::npos);
    return ScriptedServer::Reply{
      .body = fmt::format(
        R"({{"header":{{"revision":"9"}},"responses":[{{"response_range":{}}}]}})",
        RangeBody(kPair, 9))
    };
  });
  setup.Start();
  const WriteResult result = setup.Swap();
  CHECK(result.outcome == WriteOutcome::NotApplied);
  CHECK(absl::IsFailedPrecondition(result.status));
  REQUIRE(result.reads.size() == 1);
  CHECK(result.reads[0][0].value == "val");
}

TEST_CASE("an answer that can't be read makes a write unknown")
{
  Setup setup;
  setup.server.SetScript([](const auto&, const auto&) {
    return ScriptedServer::Reply{ .body = R"({"succeeded":tr)" };
  });
  setup.Start();
  CHECK(setup.Swap().outcome == WriteOutcome::Unknown);
}

TEST_CASE("a renewal tells when the lease has lapsed")
{
  Setup setup;
  std::string ttl = R"("TTL":"7",)";
  setup.server.SetScript([&](const auto&, const auto&) {
    return ScriptedServer::Reply{ .body = fmt::format(
                                    R"({{"result":{{{}"ID":"12"}}}})", ttl) };
  });
  setup.Start();
  const auto renew = [&] {
    std::optional<absl::StatusOr<LeaseGrant>> result;
    const auto call = setup.client->KeepAlive(
      12, [&](absl::StatusOr<LeaseGrant> aLease) { result = aLease; });
    REQUIRE(
      setup.loop->RunUntil([&] { return result.has_value(); }, seconds(2)));
    return *result;
  };
  CHECK(renew()->ttl == seconds(7));
  ttl = "";
  CHECK(absl::IsNotFound(renew().status()));
}

// A process watches; the store ends the watch (restart, compaction) and the
// value changes before the watch stands again. The watcher must get the new
// value: a watch that only goes on would never see it.
TEST_CASE("a watch loses no change over a restart or compaction of the store")
{
  Setup setup;
  std::string pair = kPair;
  int revision = 9;
  setup.server.SetScript([&](const std::string& aPath, const auto&) {
    if (aPath == "/v3/kv/range") {
      return ScriptedServer::Reply{ .body = RangeBody(pair, revision) };
    }
    return ScriptedServer::Reply{
      .body =
        "{\"result\":{\"header\":{\"revision\":\"9\"},\"created\":true}}\n",
      .isStream = true
    };
  });
  setup.Start();
  Follower follower;
  const auto watch = setup.client->Watch("key", follower);
  REQUIRE(
    setup.loop->RunUntil([&] { return follower.value == "val"; }, seconds(2)));

  const std::string event =
    R"({"result":{"header":{"revision":"10"},"events":[{"kv":{"key":"a2V5","value":"b25l","mod_revision":"10"}}]}})";
  REQUIRE(setup.loop->RunUntil([&] { return setup.server.Paths().size() == 2; },
                               seconds(2)));
  setup.server.SendMore(event.substr(0, 20));
  setup.server.SendMore(event.substr(20) + "\n");
  REQUIRE(
    setup.loop->RunUntil([&] { return follower.value == "one"; }, seconds(2)));

  pair = R"({"key":"a2V5","value":"dHdv","mod_revision":"11"})";
  SECTION("the store ended the connection")
  {
    setup.server.EndStreams();
  }
  SECTION("the store compacted the revision away")
  {
    setup.server.SendMore(
      R"({"result":{"canceled":true,"compact_revision":"11"}})"
      "\n");
  }
  SECTION("the store came back with older data and has counted on since")
  {
    revision = 7;
    setup.server.EndStreams();
  }
  REQUIRE(
    setup.loop->RunUntil([&] { return follower.value == "two"; }, seconds(2)));
  CHECK(follower.losses == 1);
  CHECK(follower.revision == (revision == 7 ? 7 : 9));
}

// All processes lose the store at once and come back at once: each must stay
// at its own share of calls, or the store goes down again.
TEST_CASE("calls stay under the budget, whatever is asked for")
{
  Setup setup;
  setup.options.callsPerSecond = 50;
  setup.options.callBurst = 5;
  setup.server.SetScript([](const auto&, const auto&) {
    return ScriptedServer::Reply{ .body = RangeBody(kPair, 9) };
  });
  setup.Start();
  std::vector<std::unique_ptr<StoreCall>> calls;
  int answers = 0;
  for (int i = 0; i < 30; ++i) {
    calls.push_back(setup.client->Range(
      { .key = "key" },
      [&](const absl::StatusOr<RangeResult>&) { ++answers; }));
  }
  const TimePoint start = Now();
  REQUIRE(setup.loop->RunUntil([&] { return answers == 30; }, seconds(3)));
  // 25 calls beyond the burst, at 50 a second.
  CHECK(Now() - start >= milliseconds(450));
}

TEST_CASE("an instance list is taken whole or not at all")
{
  const auto list = ParseInstanceList(R"({"instances":[
    {"name":"a","role":"sidecar","service":"cheques","data_centre":"dc1",
     "region":"r","address":"127.0.0.1:7","state":"leaving"}]})");
  REQUIRE(list.ok());
  CHECK(list->instances[0].state == ListedState::Leaving);
  CHECK(list->instances[0].address.port == 7);
  for (const char* bad : { "{}",
                           "[]",
                           R"({"instances":[{"name":"a"}]})",
                           R"({"instances":[1]})",
                           R"({"instances":[)" }) {
    CHECK_FALSE(ParseInstanceList(bad).ok());
  }
}

namespace {

/// The stand-in store, which keeps keys, revisions, leases and history.
struct StandIn
{
  StandIn()
  {
    HttpStoreOptions options = Setup::MakeOptions(platform->Address());
    options.timeout = milliseconds(200);
    this->client = *HttpStoreClient::Create(*loop, options);
  }
  template<class Result, class Start>
  Result Await(Start aStart)
  {
    std::optional<Result> result;
    const auto call =
      aStart([&](const Result& aResult) { result.emplace(aResult); });
    REQUIRE(loop->RunUntil([&] { return result.has_value(); }, seconds(3)));
    return *result;
  }
  WriteResult Create(LeaseId aLease = 0)
  {
    return this->Await<WriteResult>([&](auto aHandler) {
      return this->client->CreateIfAbsent("k", "one", aLease, aHandler);
    });
  }
  WriteResult Swap(Revision aFrom, const std::string& aValue)
  {
    return this->Await<WriteResult>([&](auto aHandler) {
      return this->client->CompareAndSwap("k", aFrom, aValue, aHandler);
    });
  }
  RangeResult Read()
  {
    const auto result =
      this->Await<absl::StatusOr<RangeResult>>([&](auto aHandler) {
        return this->client->Range({ .key = "k" }, aHandler);
      });
    REQUIRE(result.ok());
    return *result;
  }
  void Fault(const std::string& aText)
  {
    Json::Value fault;
    std::stringstream(aText) >> fault;
    REQUIRE(this->platform->SetFault(fault).ok());
  }

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  std::unique_ptr<standins::Platform> platform =
    *standins::Platform::Create(*loop, { "127.0.0.1", 0 }, {});
  std::unique_ptr<HttpStoreClient> client;
};

} // namespace

TEST_CASE("keys are created once and swapped from the revision that was read")
{
  StandIn site;
  const WriteResult created = site.Create();
  REQUIRE(created.outcome == WriteOutcome::Applied);
  const WriteResult again = site.Create();
  CHECK(again.outcome == WriteOutcome::NotApplied);
  REQUIRE(again.reads.size() == 1);
  CHECK(again.reads[0][0].modRevision == created.revision);

  REQUIRE(site.Swap(created.revision, "two").outcome == WriteOutcome::Applied);
  const WriteResult late = site.Swap(created.revision, "three");
  CHECK(absl::IsFailedPrecondition(late.status));
  CHECK(late.reads[0][0].value == "two");
  CHECK(site.Read().values[0].createRevision == created.revision);
}

TEST_CASE("a key lives as long as its lease is renewed")
{
  StandIn site;
  const auto lease = site.Await<absl::StatusOr<LeaseGrant>>([&](auto aHandler) {
    return site.client->GrantLease(milliseconds(900), aHandler);
  });
  REQUIRE(lease.ok());
  CHECK(lease->ttl == seconds(1));
  REQUIRE(site.Create(lease->id).outcome == WriteOutcome::Applied);
  const auto renew = [&] {
    return site.Await<absl::StatusOr<LeaseGrant>>([&](auto aHandler) {
      return site.client->KeepAlive(lease->id, aHandler);
    });
  };
  site.loop->RunUntil([] { return false; }, milliseconds(600));
  CHECK(renew().ok());
  site.loop->RunUntil([] { return false; }, milliseconds(600));
  CHECK(site.Read().values.size() == 1);
  REQUIRE(site.loop->RunUntil([&] { return site.Read().values.empty(); },
                              seconds(3)));
  CHECK(absl::IsNotFound(renew().status()));
}

// The store applies the write and drops the connection. The writer is told that
// it may have happened; reading shows that it did.
TEST_CASE("a reply lost by the store itself is settled by reading")
{
  StandIn site;
  site.Fault(R"({"lose_replies":1})");
  CHECK(site.Create().outcome == WriteOutcome::Unknown);
  CHECK(site.Read().values.size() == 1);
}

TEST_CASE("a watcher ends at what the store holds, whatever the store does")
{
  StandIn site;
  const Revision first = site.Create().revision;
  Follower follower;
  const auto watch = site.client->Watch("k", follower);
  const auto follows = [&](const std::string& aValue) {
    return site.loop->RunUntil([&] { return follower.value == aValue; },
                               seconds(3));
  };
  REQUIRE(follows("one"));
  const Revision second = site.Swap(first, "two").revision;
  REQUIRE(follows("two"));

  SECTION("a restart cuts the watch while the value changes")
  {
    site.Fault(R"({"restart":true})");
    REQUIRE(site.Swap(second, "three").outcome == WriteOutcome::Applied);
    CHECK(follows("three"));
  }
  SECTION("it comes back with older data")
  {
    site.Fault(
      fmt::format(R"({{"roll_back_to_revision":{},"restart":true}})", first));
    CHECK(follows("one"));
  }
  SECTION("it is down for a while")
  {
    site.Fault(R"({"down":true,"restart":true})");
    site.loop->RunUntil([] { return false; }, milliseconds(300));
    CHECK(follower.value == "two");
    CHECK(follower.losses > 0);
    site.Fault(R"({"clear":true})");
    REQUIRE(site.Swap(second, "three").outcome == WriteOutcome::Applied);
    CHECK(follows("three"));
  }
}

// A line without end would be held, and searched from its beginning with each
// part.
TEST_CASE("a line of a watch without end is given up", "[endless]")
{
  constexpr std::size_t kPart = 1U << 20U;
  constexpr std::size_t kMostParts = 24;
  Setup setup;
  setup.server.SetScript([](const std::string& aPath, const auto&) {
    if (aPath == "/v3/kv/range") {
      return ScriptedServer::Reply{ .body = RangeBody(kPair, 9) };
    }
    return ScriptedServer::Reply{
      .body =
        "{\"result\":{\"header\":{\"revision\":\"9\"},\"created\":true}}\n",
      .isStream = true
    };
  });
  setup.Start();
  Follower follower;
  const auto watch = setup.client->Watch("key", follower);
  REQUIRE(setup.loop->RunUntil([&] { return setup.server.Paths().size() == 2; },
                               seconds(2)));
  std::size_t parts = 0;
  while (follower.losses == 0 && parts < kMostParts) {
    setup.server.SendMore(std::string(kPart, 'x'));
    ++parts;
    setup.loop->RunUntil([&] { return follower.losses > 0; }, milliseconds(20));
  }
  CHECK(follower.losses == 1);
}
