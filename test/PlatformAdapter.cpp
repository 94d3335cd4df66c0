#include <catch2/catch.hpp>

#include <absl/strings/match.h>
#include <rapidcheck.h>

#include "platform/Adapters.h"
#include "standins/MetadataStore.h"
#include "support/NarrowLink.h"
#include "support/ScriptedServer.h"

using namespace dogwoodvale;

namespace {

struct StoreSetup
{
  bool Until(const std::function<bool()>& aDone,
             Duration aLimit = seconds(5)) const
  {
    return this->loop->RunUntil(aDone, aLimit);
  }

  absl::StatusOr<RangeResult> Read(const RangeQuery& aQuery)
  {
    std::optional<absl::StatusOr<RangeResult>> result;
    const auto call = this->client->Range(
      aQuery, [&](absl::StatusOr<RangeResult> aResult) { result = aResult; });
    REQUIRE(this->Until([&] { return result.has_value(); }));
    return *result;
  }

  WriteResult Commit(const Transaction& aTransaction)
  {
    std::optional<WriteResult> result;
    const auto call = this->client->Commit(
      aTransaction, [&](const WriteResult& aResult) { result = aResult; });
    REQUIRE(this->Until([&] { return result.has_value(); }));
    return *result;
  }

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  std::unique_ptr<standins::MetadataStore> store =
    *standins::MetadataStore::Create(*this->loop, { "127.0.0.1", 0 });
  std::unique_ptr<StoreClient> client =
    *platform::CreateKvStore(*this->loop,
                             this->store->Address(),
                             milliseconds(200));
};

class Watcher final : public StoreWatchHandler
{
public:
  void OnSnapshot(Revision, std::span<const KeyValue> aValues) override
  {
    ++this->snapshots;
    for (const KeyValue& value : aValues) {
      this->last = value.value;
    }
  }
  void OnChanges(Revision, std::span<const StoreChange> aChanges) override
  {
    for (const StoreChange& change : aChanges) {
      this->last = change.kind == StoreChange::Kind::Delete
                     ? "(deleted)"
                     : change.value.value;
    }
  }
  void OnLost(const absl::Status&) override { ++this->losses; }

  int snapshots = 0;
  int losses = 0;
  std::string last;
};

Transaction
PutIf(const std::string& aKey, Revision aRevision, const std::string& aValue)
{
  Transaction transaction;
  transaction.when.push_back(
    { aKey, Compare::Target::ModRevision, aRevision, "" });
  Operation put;
  put.key = aKey;
  put.value = aValue;
  transaction.then.push_back(put);
  return transaction;
}

} // namespace

TEST_CASE("a prefix is read to its last page", "[kv]")
{
  StoreSetup setup;
  for (int i = 0; i < 13; ++i) {
    setup.store->Put(fmt::format("a/{:02}", i), fmt::format("v{}", i));
  }
  setup.store->Put("b/1", "other");
  const auto result = setup.Read({ .key = "a/", .isPrefix = true });
  REQUIRE(result.ok());
  CHECK(result->values.size() == 13);
  CHECK(result->values.back().value == "v12");
  CHECK(setup.Read({ .key = "b/1" })->values.size() == 1);
  CHECK(setup.Read({ .key = "absent" })->values.empty());
}

TEST_CASE("a write under a condition tells what it came to", "[kv]")
{
  StoreSetup setup;
  CHECK(setup.Commit(PutIf("k", 0, "one")).outcome == WriteOutcome::Applied);
  const WriteResult late = setup.Commit(PutIf("k", 0, "two"));
  CHECK(late.outcome == WriteOutcome::NotApplied);
  CHECK(absl::IsFailedPrecondition(late.status));
  REQUIRE(late.reads.size() == 1);
  CHECK(late.reads[0][0].value == "one");
}

// A write is taken for one that had no effect though the store did it: its
// answer was lost. That must be told as unknown.
TEST_CASE("a lost answer leaves a write unknown, a refusal does not", "[kv]")
{
  StoreSetup setup;
  Json::Value fault(Json::objectValue);
  fault["silent"] = true;
  setup.store->SetFault(fault);
  CHECK(setup.Commit(PutIf("k", 0, "one")).outcome == WriteOutcome::Unknown);
  fault["silent"] = false;
  fault["clear"] = true;
  fault["busy"] = true;
  setup.store->SetFault(fault);
  CHECK(setup.Commit(PutIf("k", 0, "one")).outcome == WriteOutcome::NotApplied);
  CHECK_FALSE(setup.Read({ .key = "k" }).ok());
}

TEST_CASE("leases are kept and end", "[kv]")
{
  StoreSetup setup;
  std::optional<LeaseGrant> grant;
  const auto call = setup.client->GrantLease(
    seconds(1), [&](absl::StatusOr<LeaseGrant> aGrant) { grant = *aGrant; });
  REQUIRE(setup.Until([&] { return grant.has_value(); }));
  Transaction put = PutIf("k", 0, "held");
  put.then[0].lease = grant->id;
  CHECK(setup.Commit(put).outcome == WriteOutcome::Applied);
  CHECK(setup.store->CountKeys("k") == 1);
  CHECK(setup.Until([&] { return setup.store->CountKeys("k") == 0; }));
  std::optional<absl::Status> kept;
  const auto keep =
    setup.client->KeepAlive(grant->id, [&](absl::StatusOr<LeaseGrant> aLeft) {
      kept = aLeft.status();
    });
  REQUIRE(setup.Until([&] { return kept.has_value(); }));
  CHECK(absl::IsNotFound(*kept));
}

// A change is never seen: the store dropped its history while the watch was
// cut, and the watch went on from a revision that is gone.
TEST_CASE("a watch reads all anew when history is gone", "[kv]")
{
  StoreSetup setup;
  Watcher watcher;
  setup.store->Put("w", "one");
  const auto watch = setup.client->Watch("w", watcher);
  REQUIRE(setup.Until([&] { return watcher.last == "one"; }));
  setup.store->Put("w", "two");
  REQUIRE(setup.Until([&] { return watcher.last == "two"; }));
  CHECK(watcher.snapshots == 1);
  // Until the next poll waits at the store.
  setup.Until([] { return false; }, milliseconds(100));
  Json::Value fault(Json::objectValue);
  fault["forget"] = true;
  setup.store->SetFault(fault);
  setup.store->Put("w", "three");
  CHECK(setup.Until([&] { return watcher.last == "three"; }));
  CHECK(watcher.losses >= 1);
  setup.store->Remove("w");
  CHECK(setup.Until([&] { return watcher.last == "(deleted)"; }));
}

// Each reset of a connection costs a whole read of what is watched.
TEST_CASE("a watch that is cut goes on from its revision", "[kv]")
{
  StoreSetup setup;
  constexpr std::size_t kWide = 10'000'000;
  test::NarrowLink link(*setup.loop, setup.store->Address(), kWide);
  const auto client =
    *platform::CreateKvStore(*setup.loop, link.Address(), milliseconds(200));
  Watcher watcher;
  setup.store->Put("w", "one");
  const auto watch = client->Watch("w", watcher);
  REQUIRE(setup.Until([&] { return watcher.last == "one"; }));
  setup.Until([] { return false; }, milliseconds(100));
  link.Reset();
  setup.store->Put("w", "two");
  CHECK(setup.Until([&] { return watcher.last == "two"; }));
  CHECK(watcher.losses == 1);
  CHECK(watcher.snapshots == 1);
}

// An outage that only the poll falls into: no other call shows that the store
// never received it.
TEST_CASE("a poll that the store has not received is sent again", "[kv]")
{
  StoreSetup setup;
  Watcher watcher;
  setup.store->Put("w", "one");
  const auto watch = setup.client->Watch("w", watcher);
  REQUIRE(setup.Until([&] { return watcher.last == "one"; }));
  setup.Until([] { return false; }, milliseconds(100));
  Json::Value fault(Json::objectValue);
  fault["silent"] = true;
  setup.store->Put("w", "two");
  setup.store->SetFault(fault);
  REQUIRE(setup.Until([&] { return watcher.last == "two"; }));
  setup.Until([] { return false; }, milliseconds(50));
  fault["silent"] = false;
  fault["clear"] = true;
  setup.store->SetFault(fault);
  setup.store->Put("w", "three");
  CHECK(
    setup.Until([&] { return watcher.last == "three"; }, milliseconds(1500)));
  CHECK(watcher.snapshots == 1);
}

// A store counts the calls that it refuses, too.
TEST_CASE("a watch sends one call for each try while it is refused", "[kv]")
{
  StoreSetup setup;
  Watcher watcher;
  setup.store->Put("w", "one");
  const auto watch = setup.client->Watch("w", watcher);
  REQUIRE(setup.Until([&] { return watcher.last == "one"; }));
  setup.Until([] { return false; }, milliseconds(100));
  Json::Value fault(Json::objectValue);
  fault["busy"] = true;
  setup.store->Put("w", "two");
  setup.store->SetFault(fault);
  REQUIRE(setup.Until([&] { return watcher.last == "two"; }));
  const std::uint64_t before = setup.client->CallsSent();
  setup.Until([] { return false; }, seconds(2));
  REQUIRE(watcher.losses >= 3);
  // The last try may still be under way, and one call went with the first.
  CHECK(setup.client->CallsSent() - before <=
        static_cast<std::uint64_t>(watcher.losses) + 2);
}

// A stall of the loop costs a whole read of what is watched.
TEST_CASE("a watch that is armed anew goes on from its revision", "[kv]")
{
  StoreSetup setup;
  Watcher watcher;
  setup.store->Put("w", "one");
  const auto watch = setup.client->Watch("w", watcher);
  REQUIRE(setup.Until([&] { return watcher.last == "one"; }));
  setup.Until([] { return false; }, milliseconds(100));
  watch->Rearm();
  setup.store->Put("w", "two");
  CHECK(setup.Until([&] { return watcher.last == "two"; }));
  CHECK(watcher.losses == 0);
  CHECK(watcher.snapshots == 1);
}

TEST_CASE("what callers say is read, what is malformed left out", "[dialect]")
{
  const auto dialect = platform::CreateCallerDialect();
  HttpRequest request;
  request.headers = { { "dogwoodvale-attempt-id", "a1" },
                      { "Dogwoodvale-Deadline-Ms", "250" },
                      { "Dogwoodvale-Token-Count", "1460,80" },
                      { "Dogwoodvale-Length-Hint", "40" },
                      { "Dogwoodvale-Model", "m" },
                      { "Dogwoodvale-Prompt-Prefix",
                        "5c1e07a2:800,91bd3f06:410,zz:1,e4402b7d:250" } };
  const CallerRequestMetadata envelope = dialect->Read(request);
  CHECK(envelope.attemptId == "a1");
  CHECK(envelope.timeLimit == milliseconds(250));
  CHECK(envelope.promptTokens == 1460);
  CHECK(envelope.maxOutputTokens == 40);
  CHECK(envelope.model == "m");
  REQUIRE(envelope.prompt.size() == 2);
  CHECK(envelope.prompt[0].id == 0x5c1e07a2);
  CHECK(envelope.prompt[1].tokens == 410);
  request.headers = { { "Dogwoodvale-Deadline-Ms", "soon" } };
  CHECK_FALSE(dialect->Read(request).timeLimit.has_value());
}

TEST_CASE("callers are told when to come back, in fractions", "[dialect]")
{
  const auto dialect = platform::CreateCallerDialect();
  RequestError error;
  error.retryAfter = milliseconds(350);
  const auto headers = dialect->ErrorHeaders(error);
  CHECK(FindHeader(headers, "Retry-After") == "0.350");
  error.retryAfter = milliseconds(0);
  CHECK(FindHeader(dialect->ErrorHeaders(error), "Retry-After").empty());
}

// A caller whose Connection header names a header of the system would take it
// away: its work would run for no customer, or at any instance.
TEST_CASE("a Connection header takes no system header away", "[dialect]")
{
  const auto dialect = platform::CreateBackendDialect();
  const std::string name = GENERATE(as<std::string>{},
                                    "Dogwoodvale-Tenant",
                                    "dogwoodvale-expect-instance",
                                    "Dogwoodvale-Deadline-Ms",
                                    "Dogwoodvale-Request-Priority",
                                    "Kv-Fetch",
                                    "Dogwoodvale-Attempt-Id",
                                    "Dogwoodvale-Model",
                                    "Dogwoodvale-Token-Count",
                                    "Dogwoodvale-Prompt-Prefix",
                                    "Dogwoodvale-Length-Hint",
                                    "Last-Event-Id",
                                    "Dogwoodvale-Response-Seal",
                                    "Dogwoodvale-Not-Executed");
  CAPTURE(name);
  HttpRequest request;
  request.method = "GET";
  request.path = "/p";
  request.headers = { { "Connection", "keep-alive, X-Own, " + name },
                      { "X-Own", "of this connection" } };
  const bool isRead =
    name.find("Kv-") == name.npos && !name.starts_with("dogwoodvale-expect");
  if (isRead) {
    request.headers.push_back({ name, "of the caller" });
  }
  BackendRequestMetadata order;
  order.server = InstanceName("e1");
  order.customer = CustomerName("t1");
  order.fetchFrom = SocketAddress{ "10.0.0.9", 1 };
  const HttpRequest composed = dialect->Compose(request, order);
  CHECK(FindHeader(composed.headers, "connection").empty());
  CHECK(FindHeader(composed.headers, "x-own").empty());
  CHECK_FALSE(FindHeader(composed.headers, name).empty());
  const std::vector<HeaderField> answer = {
    { "Connection", name }, { "Dogwoodvale-Response-Seal", "a seal" }
  };
  const auto forwarded = dialect->ForwardedHeaders(answer);
  CHECK(FindHeader(forwarded, "Dogwoodvale-Response-Seal") == "a seal");
}

// Guards against a caller that sets what only the system may, by a second
// header or in another case.
TEST_CASE("a caller sets no header of the system", "[dialect]")
{
  const auto dialect = platform::CreateBackendDialect();
  const auto [name, expected] = GENERATE(table<std::string, std::string>({
    { "Dogwoodvale-Tenant", "t1" },
    { "Dogwoodvale-Credential", "" },
    { "Dogwoodvale-Deadline-Ms", "1500" },
    { "Dogwoodvale-Expect-Instance", "e1" },
    { "Dogwoodvale-Request-Priority", "3" },
    { "Dogwoodvale-Expect-Version", "" },
    { "Dogwoodvale-Hold", "" },
    { "Dogwoodvale-Pin-Ms", "" },
    { "Dogwoodvale-Kv-Backup", "" },
    { "Kv-From", "" },
    { "Kv-Fetch", "10.0.0.9:1" },
    { "Last-Event-Id", "7" },
  }));
  CAPTURE(name);
  HttpRequest request;
  request.method = "GET";
  request.path = "/p";
  std::string lower = name;
  std::ranges::transform(lower, lower.begin(), [](unsigned char aChar) {
    return std::tolower(aChar);
  });
  request.headers = { { name, "of the caller" },
                      { lower, "again" },
                      { name, "" },
                      { "X-Own", "kept" } };
  BackendRequestMetadata order;
  order.server = InstanceName("e1");
  order.customer = CustomerName("t1");
  order.timeLeft = milliseconds(1500);
  order.priority = 3;
  order.fetchFrom = SocketAddress{ "10.0.0.9", 1 };
  order.resumeAfter = 7;
  const HttpRequest composed = dialect->Compose(request, order);
  std::vector<std::string> values;
  for (const HeaderField& field : composed.headers) {
    if (absl::EqualsIgnoreCase(field.name, name)) {
      values.push_back(field.value);
    }
  }
  CHECK(values == (expected.empty() ? std::vector<std::string>()
                                    : std::vector{ expected }));
  CHECK(FindHeader(composed.headers, "x-own") == "kept");
}

// 9223372036854775807 ms are more microseconds than a Duration holds.
TEST_CASE("a caller's time limit is bounded", "[dialect]")
{
  const auto dialect = platform::CreateCallerDialect();
  HttpRequest request;
  request.headers = { { "Dogwoodvale-Deadline-Ms", "9223372036854775807" } };
  CHECK(dialect->Read(request).timeLimit == std::chrono::hours(24));
}

TEST_CASE("a stream is asked to go on after the last event", "[dialect]")
{
  const auto dialect = platform::CreateBackendDialect();
  HttpRequest request;
  request.headers = { { "Last-Event-Id", "3" },
                      { "X-Other", "kept" },
                      { "Kv-Fetch", "10.0.0.9:1" } };
  BackendRequestMetadata order;
  order.server = InstanceName("e1");
  order.timeLeft = milliseconds(900);
  order.priority = 12;
  const HttpRequest first = dialect->Compose(request, order);
  CHECK(FindHeader(first.headers, "last-event-id") == "3");
  CHECK(FindHeader(first.headers, "x-other") == "kept");
  CHECK(FindHeader(first.headers, "Dogwoodvale-Request-Priority") == "9");
  CHECK(FindHeader(first.headers, "Dogwoodvale-Deadline-Ms") == "900");
  // Not a caller's to set.
  CHECK(FindHeader(first.headers, "Kv-Fetch").empty());
  order.fetchFrom = SocketAddress{ "10.0.0.2", 7000 };
  CHECK(FindHeader(dialect->Compose(request, order).headers, "Kv-Fetch") ==
        "10.0.0.2:7000");
  order.resumeAfter = 12;
  const HttpRequest again = dialect->Compose(request, order);
  CHECK(FindHeader(again.headers, "last-event-id") == "12");
}

// Each gateway ends as soon as it has started: a proxy before the store, or a
// newer store, answers 200 with a body of another shape, and reading it threw.
TEST_CASE("answers of a wrong shape are a failed call", "[kv]")
{
  const auto loop = *EventLoop::Create();
  test::ScriptedServer server(*loop);
  const auto client =
    *platform::CreateKvStore(*loop, server.Address(), milliseconds(500));
  const std::string wrong =
    GENERATE(as<std::string>{},
             "[]",
             "7",
             R"({"storeRevision":{},"items":[]})",
             R"({"storeRevision":1,"items":[7]})",
             R"({"storeRevision":1,"items":[{"key":["k"]}]})",
             R"({"storeRevision":1,"items":[{"key":"k","value":"%%"}]})",
             R"({"storeRevision":1,"hasMore":"yes","items":[]})",
             R"({"lease":"x","ttlMs":1})",
             R"({"revision":[1]})",
             R"({"storeRevision":1,"events":[{"deleted":"no"}]})");
  INFO(wrong);
  server.SetScript([&](const std::string& aPath, const std::string&) {
    const bool isFirstRead = aPath.find("kv-range?prefix=w") != aPath.npos;
    return test::ScriptedServer::Reply{
      200, isFirstRead ? R"({"storeRevision":1,"items":[]})" : wrong
    };
  });
  RangeQuery query;
  query.key = "a/";
  query.isPrefix = true;
  std::optional<absl::StatusOr<RangeResult>> read;
  std::optional<absl::StatusOr<LeaseGrant>> lease;
  std::optional<WriteResult> write;
  Watcher watcher;
  const auto reading = client->Range(
    query, [&](absl::StatusOr<RangeResult> aResult) { read = aResult; });
  const auto granting = client->GrantLease(
    seconds(1), [&](absl::StatusOr<LeaseGrant> aGrant) { lease = aGrant; });
  const auto writing = client->Commit(
    PutIf("k", 1, "v"), [&](const WriteResult& aResult) { write = aResult; });
  const auto watch = client->Watch("w", watcher);
  REQUIRE(loop->RunUntil(
    [&] { return read && lease && write && watcher.losses > 0; }, seconds(3)));
  CHECK_FALSE(read->ok());
  CHECK_FALSE(lease->ok());
  CHECK(write->outcome == WriteOutcome::Unknown);
  CHECK(watcher.snapshots >= 1);
}

// With the last customer the last key goes, not the need for one: an empty list
// would open every route.
TEST_CASE("requests need a key though no customer is left", "[directory]")
{
  const auto format = platform::CreateDirectoryFormat();
  const auto needsKeys = [&](const std::string& aTenants) {
    const auto table =
      format->ParseRoutes(R"({"version":1,"routes":[])" + aTenants + "}", 0);
    REQUIRE(table.ok());
    return (*table)->NeedsKeys();
  };
  CHECK_FALSE(needsKeys(""));
  CHECK(needsKeys(R"(,"tenants":[])"));
  CHECK(needsKeys(R"(,"tenants":[{"name":"t","apiKeys":[]}])"));
}

TEST_CASE("a wrong configuration is named, not taken", "[directory]")
{
  const auto format = platform::CreateDirectoryFormat();
  CHECK_FALSE(format->ParseRoutes("{", 0).ok());
  CHECK_FALSE(format->ParseRoutes("[]", 0).ok());
  CHECK_FALSE(format->ParseRoutes(R"({"version":"x"})", 0).ok());
  CHECK_FALSE(format->ParseRoutes(R"({"version":1,"routes":[7]})", 0).ok());
  const auto split = format->ParseRoutes(
    R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
    R"("kind":"streaming","timeoutMs":10.5,"maxAttempts":2,)"
    R"("trafficSplit":[{"service":"a","weight":90},)"
    R"({"service":"b","weight":10}]}]})",
    0);
  REQUIRE(split.ok());
  const auto known = format->ParseRoutes(R"({"version":3,"routes":[7]})", 3);
  CHECK((known.ok() && *known == nullptr));
  const HostRoute* route = (*split)->FindRoute("h", "/p/x");
  REQUIRE(route != nullptr);
  CHECK(route->timeout == Duration(10'500));
  CHECK(route->services.size() == 2);
  CHECK_FALSE(format->ParseInstance("servers/i", R"({"address":"x"})").ok());
  const auto instance = format->ParseInstance(
    "servers/i-1",
    R"({"service":"a","address":"10.0.0.1:80","zone":"z","slots":48,)"
    R"("state":"draining"})");
  REQUIRE(instance.ok());
  CHECK(instance->name == InstanceName("i-1"));
  CHECK(instance->leaving);
}

namespace {

constexpr std::string_view kGoodEntry =
  R"({"service":"a","address":"10.0.0.1:80","zone":"z","version":"v1",)"
  R"("slots":48,"state":"ready","coldRemainingMs":0,"sequence":4,)"
  R"("born":1790000000000})";

std::string
Replaced(std::string_view aFrom, std::string_view aTo)
{
  std::string text(kGoodEntry);
  text.replace(text.find(aFrom), aFrom.size(), aTo);
  return text;
}

} // namespace

TEST_CASE("an incarnation of a server is told by its start", "[directory]")
{
  const auto format = platform::CreateDirectoryFormat();
  const auto read = format->ParseInstance("servers/i-1", kGoodEntry);
  REQUIRE(read.ok());
  CHECK(read->server == InstanceName("i-1"));
  CHECK(read->started == 1'790'000'000'000U);
  CHECK(read->name == InstanceName("i-1@1790000000000"));
}

TEST_CASE("an entry that a server would not write names none", "[directory]")
{
  const auto format = platform::CreateDirectoryFormat();
  const auto change = GENERATE(table<const char*, const char*>({
    { R"("service":"a")", R"("service":7)" },
    { R"("service":"a")", R"("service":"")" },
    { R"("service":"a",)", "" },
    { R"("10.0.0.1:80")", R"("somewhere:80")" },
    { R"("10.0.0.1:80")", "null" },
    { R"("zone":"z",)", "" },
    { R"("slots":48)", R"("slots":-1)" },
    { R"("slots":48)", R"("slots":4.5)" },
    { R"("slots":48)", R"("slots":1e300)" },
    { R"("slots":48)", R"("slots":"NaN")" },
    { R"("slots":48)", R"("slots":NaN)" },
    { R"("state":"ready")", R"("state":"asleep")" },
    { R"("state":"ready")", R"("state":true)" },
    { R"("sequence":4)", R"("sequence":"four")" },
    { R"("sequence":4)", R"("sequence":-4)" },
    { "1790000000000", "1790000000000.5" },
    { "1790000000000", "-1" },
    { "1790000000000", R"("1790000000000")" },
    { "{", "" },
    { "}", "}}" },
    { R"("a")", "\"\xff\xfe\"" },
  }));
  INFO(std::get<0>(change) << " -> " << std::get<1>(change));
  CHECK_FALSE(
    format
      ->ParseInstance("servers/i-1",
                      Replaced(std::get<0>(change), std::get<1>(change)))
      .ok());
}

TEST_CASE("entries that are no object name no server", "[directory]")
{
  const auto format = platform::CreateDirectoryFormat();
  for (const std::string& text : { std::string(),
                                   std::string("[]"),
                                   std::string("null"),
                                   std::string(5000, '['),
                                   std::string("\0\0", 2) }) {
    CHECK_FALSE(format->ParseInstance("servers/i-1", text).ok());
  }
  CHECK_FALSE(format->ParseInstance("servers/", kGoodEntry).ok());
}

// Bytes of an entry are changed at random. Whatever comes out is refused or
// names a server that can be used; the process never ends by it.
TEST_CASE("mutated entries and configurations are refused or whole",
          "[directory][property]")
{
  const auto format = platform::CreateDirectoryFormat();
  const std::string routes =
    R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
    R"("kind":"streaming","timeoutMs":10.5,"maxAttempts":2,)"
    R"("service":"a"}],"services":[{"name":"a","maxConnections":4}],)"
    R"("tenants":[{"name":"t","apiKeys":["k"]}]})";
  const auto mutated = [](std::string aText) {
    const int changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes && !aText.empty(); ++i) {
      const std::size_t at = *rc::gen::inRange<std::size_t>(0, aText.size());
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          aText[at] = *rc::gen::arbitrary<char>();
          break;
        case 1:
          aText.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
          break;
        default:
          aText.insert(at,
                       *rc::gen::elementOf(std::vector<std::string>{
                         "[", "{", "null", "-1", "1e999", "\"", "," }));
      }
    }
    return aText;
  };
  REQUIRE(rc::check([&] {
    const auto read =
      format->ParseInstance("servers/i-1", mutated(std::string(kGoodEntry)));
    if (read.ok()) {
      RC_ASSERT(!read->service.IsEmpty());
      RC_ASSERT(SocketAddress::Parse(read->address.ToString()).ok());
      RC_ASSERT(read->server == InstanceName("i-1"));
    }
  }));
  REQUIRE(rc::check([&] {
    const auto read = format->ParseRoutes(mutated(routes), 0);
    if (read.ok()) {
      RC_ASSERT((*read)->RouteCount() <= 1U);
    }
  }));
}
