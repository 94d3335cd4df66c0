#include <catch2/catch.hpp>

#include <map>
#include <numeric>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/escaping.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include "dogwoodvale/Core"
#include "standins/Engine.h"
#include "standins/PlainService.h"
#include "standins/Platform.h"

using namespace dogwoodvale;
using namespace dogwoodvale::standins;

namespace {

const SocketAddress kAnyPort{ "127.0.0.1", 0 };

/// One request on a connection of its own; closing it is destroying it.
class Call
{
public:
  Call(EventLoop& aLoop,
       const SocketAddress& aServer,
       const char* aPath,
       const std::string& aBody)
    : loop(aLoop)
    , connection(evhttp_connection_base_new(aLoop.Base(),
                                            nullptr,
                                            "127.0.0.1",
                                            aServer.port))
  {
    evhttp_request* request = evhttp_request_new(&Call::OnDone, this);
    evhttp_request_set_chunked_cb(request, &Call::OnChunk);
    evhttp_add_header(
      evhttp_request_get_output_headers(request), "X-Request-Id", "r");
    evbuffer_add(
      evhttp_request_get_output_buffer(request), aBody.data(), aBody.size());
    evhttp_make_request(this->connection,
                        request,
                        aBody.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                        aPath);
  }
  ~Call() { evhttp_connection_free(this->connection); }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  Call& Wait()
  {
    REQUIRE(this->loop.RunUntil([this] { return this->done; }, seconds(5)));
    return *this;
  }
  Json::Value Json() const
  {
    Json::Value value;
    Json::Reader().parse(this->body, value);
    return value;
  }

  int code = 0; ///< 0 if the connection was closed early
  bool done = false;
  std::string body;

private:
  static void OnChunk(evhttp_request* aRequest, void* aSelf)
  {
    evbuffer* input = evhttp_request_get_input_buffer(aRequest);
    std::string piece(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, piece.data(), piece.size());
    static_cast<Call*>(aSelf)->body += piece;
  }
  static void OnDone(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<Call*>(aSelf);
    self->done = true;
    self->code =
      aRequest == nullptr ? 0 : evhttp_request_get_response_code(aRequest);
  }

  EventLoop& loop;
  evhttp_connection* connection;
};

std::string
Chat(const std::string& aPrompt)
{
  return R"({"model":"a","stream":true,"messages":[{"role":"user","content":")" +
         aPrompt + R"("}]})";
}

std::size_t
Count(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

EngineSettings
Quick()
{
  EngineSettings settings;
  settings.batching.step = milliseconds(1);
  settings.loadLag = milliseconds(0);
  return settings;
}

struct EngineBench
{
  std::unique_ptr<EventLoop> loop = std::move(*EventLoop::Create());
  EngineSettings settings;
  std::unique_ptr<Engine> engine;

  explicit EngineBench(const EngineSettings& aSettings = Quick())
    : settings(aSettings)
  {
    this->engine =
      std::move(*Engine::Create(*this->loop, kAnyPort, this->settings));
  }
  std::unique_ptr<Call> Post(const char* aPath, const std::string& aBody)
  {
    return std::make_unique<Call>(
      *this->loop, this->engine->Address(), aPath, aBody);
  }
  Json::Value Last() const
  {
    const Json::Value list = this->engine->Record()["executions"];
    return list[list.size() - 1];
  }
};

std::string
B64(const char* aText)
{
  return absl::Base64Escape(aText);
}

/// {"key":...,"value":...} in base64.
std::string
KeyAndValue(const char* aKey, const char* aValue)
{
  return fmt::format(R"({{"key":"{}","value":"{}"}})", B64(aKey), B64(aValue));
}

/// Creates a key if it is absent, else reads it.
std::string
CreateIfAbsent(const char* aKey, const char* aValue)
{
  return fmt::format(
    R"({{"compare":[{{"key":"{0}","target":"VERSION","version":"0"}}],)"
    R"("success":[{{"request_put":{1}}}],)"
    R"("failure":[{{"request_range":{{"key":"{0}"}}}}]}})",
    B64(aKey),
    KeyAndValue(aKey, aValue));
}

struct PlatformBench
{
  std::unique_ptr<EventLoop> loop = std::move(*EventLoop::Create());
  std::unique_ptr<Platform> platform;

  explicit PlatformBench(const PlatformSettings& aSettings = {})
    : platform(std::move(*Platform::Create(*this->loop, kAnyPort, aSettings)))
  {
  }
  std::unique_ptr<Call> Post(const char* aPath, const std::string& aBody)
  {
    return std::make_unique<Call>(
      *this->loop, this->platform->Address(), aPath, aBody);
  }
  /// The reply, with its status under "http".
  Json::Value Ask(const char* aPath, const std::string& aBody)
  {
    const auto call = this->Post(aPath, aBody);
    Json::Value reply = call->Wait().Json();
    reply["http"] = call->code;
    return reply;
  }
  std::string Read(const char* aKey)
  {
    const Json::Value reply =
      this->Ask("/v3/kv/range", R"({"key":")" + B64(aKey) + R"("})");
    std::string value;
    absl::Base64Unescape(reply["kvs"][0]["value"].asString(), &value);
    return value;
  }
  void Fault(const char* aName, const Json::Value& aValue)
  {
    Json::Value fault;
    fault[aName] = aValue;
    REQUIRE(this->platform->SetFault(fault).ok());
  }
};

} // namespace

TEST_CASE("the engine streams exactly the tokens asked for")
{
  EngineBench bench;
  const auto call =
    bench.Post("/v1/chat/completions", Chat("nonce=W len=3 pad=100"));
  call->Wait();
  REQUIRE(call->code == 200);
  REQUIRE(Count(call->body, "data: ") == 5);
  std::size_t at = 0;
  for (const char* part : { R"("content":"W.0 ")",
                            R"("content":"W.1 ")",
                            R"("content":"W.2 ")",
                            R"("finish_reason":"stop")",
                            "data: [DONE]\n\n" }) {
    at = call->body.find(part, at);
    REQUIRE(at != std::string::npos);
  }
  REQUIRE(bench.Last()["end"] == "complete");
  REQUIRE(bench.Last()["tokens"].asInt() == 3);
  REQUIRE(bench.Last()["id"] == "r");
}

TEST_CASE("the engine goes on from what was generated elsewhere")
{
  EngineBench bench;
  const auto call = bench.Post(
    "/v1/completions",
    R"({"model":"a","prompt":"nonce=W len=9","continue_text":"W.0 W.1 ","max_tokens":2})");
  call->Wait();
  REQUIRE(call->Json()["choices"][0]["text"] == "W.2 W.3 ");
  REQUIRE(call->Json()["choices"][0]["finish_reason"] == "length");
  REQUIRE(bench.Last()["resumed_tokens"].asInt() == 2);
}

// The caller closes its connection, once mid-stream and once before the first
// token (the engine is stalled, so it has sent no token yet). The engine must
// see both at once, or it would spend its batch on answers that nobody reads.
TEST_CASE("a client that leaves stops the generation")
{
  for (const bool stalled : { false, true }) {
    for (const bool streams : { false, true }) {
      EngineBench bench;
      Json::Value fault;
      fault["stall"] = stalled;
      bench.engine->SetFault(fault);
      std::string body = Chat("nonce=W len=100000");
      if (!streams) {
        body.replace(body.find("true"), 4, "false");
      }
      auto call = bench.Post("/v1/chat/completions", body);
      REQUIRE(bench.loop->RunUntil(
        [&] {
          return stalled ? !bench.engine->Record()["executions"].empty()
                         : bench.Last()["tokens"].asInt() > 5;
        },
        seconds(5)));
      call.reset();
      REQUIRE(bench.loop->RunUntil(
        [&] { return bench.Last()["end"] == "cancelled"; }, milliseconds(500)));
      const auto steps = bench.engine->Record()["steps"];
      bench.loop->RunUntil([] { return false; }, milliseconds(20));
      REQUIRE(bench.engine->Record()["steps"].asInt() <= steps.asInt() + 1);
    }
  }
}

// A caller stops reading but stays connected. What the engine writes piles up
// in its own memory once the sockets are full, so it closes at a bound.
TEST_CASE("a client that doesn't read is dropped at the bound")
{
  EngineSettings settings = Quick();
  settings.batching.step = Duration(1);
  settings.batching.kvTokens = 2000000;
  settings.maxBacklog = 100000;
  EngineBench bench(settings);
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  const int small = 4096;
  setsockopt(client, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_port = htons(bench.engine->Address().port);
  where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(client, reinterpret_cast<sockaddr*>(&where), sizeof(where)) ==
          0);
  const std::string body = Chat("len=1000000");
  const std::string request =
    fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: "
                "h\r\nContent-Length: {}\r\n\r\n{}",
                body.size(),
                body);
  REQUIRE(send(client, request.data(), request.size(), 0) ==
          static_cast<ssize_t>(request.size()));
  REQUIRE(bench.loop->RunUntil(
    [&] { return bench.Last()["end"] == "cancelled"; }, seconds(20)));
  close(client);
}

TEST_CASE("a batch takes priorities in order and drops no running sequence")
{
  BatchingSettings settings;
  settings.batch = 1;
  BatchingCore core(settings);
  const auto add = [&](std::uint64_t aKey, std::int64_t aPriority) {
    REQUIRE(core.Add({ aKey, aPriority, 4, 1, {} }));
  };
  add(1, 5);
  REQUIRE(core.BeginStep());
  add(2, 5);
  add(3, 0);
  add(4, 5);
  std::vector<std::uint64_t> order;
  do {
    for (const auto& token : core.EndStep()) {
      order.push_back(token.key);
    }
  } while (core.BeginStep());
  REQUIRE(order == std::vector<std::uint64_t>{ 1, 3, 2, 4 });
}

TEST_CASE("a cached prefix spares its prefill until it is evicted")
{
  BatchingSettings settings;
  settings.step = milliseconds(10);
  settings.kvTokens = 2200;
  BatchingCore core(settings);
  const auto stepFor = [&](std::uint64_t aSeed) {
    std::vector<std::uint64_t> blocks(16);
    std::iota(blocks.begin(), blocks.end(), aSeed * 100);
    REQUIRE(core.Add({ aSeed, 0, 16 * kBlockTokens, 1, blocks }));
    const auto length = core.BeginStep();
    core.EndStep();
    return *length;
  };
  REQUIRE(stepFor(1) == milliseconds(30));
  REQUIRE(stepFor(1) == milliseconds(10));
  REQUIRE(stepFor(2) == milliseconds(30));
  REQUIRE(stepFor(1) == milliseconds(30));
}

// Memory runs out as answers grow. The last in order waits again, keeps what
// it has made, and all are finished; a sequence too long alone is refused.
TEST_CASE("a batch that outgrows its memory still finishes all")
{
  BatchingSettings settings;
  settings.kvTokens = 300;
  BatchingCore core(settings);
  REQUIRE_FALSE(core.Add({ 9, 0, 300, 1, {} }));
  for (std::uint64_t key = 1; key <= 4; ++key) {
    REQUIRE(core.Add({ key, 0, 50, 100, {} }));
  }
  std::map<std::uint64_t, int> made;
  while (core.BeginStep()) {
    REQUIRE(core.KvUsed() + core.Running() <= 300);
    for (const auto& token : core.EndStep()) {
      ++made[token.key];
    }
  }
  REQUIRE(made == std::map<std::uint64_t, int>{
                    { 1, 100 }, { 2, 100 }, { 3, 100 }, { 4, 100 } });
  REQUIRE(core.KvUsed() == 0);
}

TEST_CASE("an old fencing number is refused only where it is checked")
{
  for (const bool checks : { false, true }) {
    EngineOrders orders({ "a" }, milliseconds(100), checks);
    const TimePoint now = Now();
    Json::Value load;
    load["action"] = "load";
    load["model"] = "b";
    load["fencing"] = 7;
    REQUIRE(orders.Obey(load, now).code == 200);
    REQUIRE_FALSE(orders.Serves("b", now));
    REQUIRE(orders.Serves("b", now + milliseconds(100)));
    load["action"] = "unload";
    load["fencing"] = 6;
    REQUIRE(orders.Obey(load, now).code == (checks ? 409 : 200));
    REQUIRE(orders.Serves("b", now + milliseconds(100)) == checks);
    REQUIRE(orders.State(now)["highest_fencing"].asInt() == 7);
    REQUIRE(orders.State(now)["log"].size() == (checks ? 1 : 2));
  }
}

TEST_CASE("cache events come late and with gaps")
{
  EngineSettings settings = Quick();
  settings.loadLag = milliseconds(100);
  settings.lostEvents = 0.5;
  EngineBench bench(settings);
  const auto events = bench.Post("/kv_events", "");
  bench.loop->RunUntil([] { return false; }, milliseconds(20));
  const TimePoint start = Now();
  bench.Post("/v1/chat/completions", Chat("len=1 pad=6400"))->Wait();
  REQUIRE(
    bench.loop->RunUntil([&] { return !events->body.empty(); }, seconds(5)));
  REQUIRE(Now() - start >= milliseconds(100));
  const std::size_t stored = Count(events->body, R"("event":"stored")");
  REQUIRE(stored > 20);
  REQUIRE(stored < 80);
}

TEST_CASE("a crash cuts a stream with no end")
{
  EngineBench bench;
  Json::Value fault;
  fault["crash_after_tokens"] = 4;
  bench.engine->SetFault(fault);
  const auto call = bench.Post("/v1/chat/completions", Chat("nonce=W len=8"));
  call->Wait();
  REQUIRE(call->code == 0);
  REQUIRE(Count(call->body, "data: ") == 4);
  REQUIRE(bench.Last()["end"] == "crashed");
  fault["clear"] = fault["crash"] = true;
  const auto other = bench.Post("/v1/chat/completions", Chat("len=100000"));
  bench.loop->RunUntil([&] { return !other->body.empty(); }, seconds(5));
  REQUIRE(bench.Post("/standin/fault", ToLine(fault))->Wait().code == 200);
  REQUIRE(other->Wait().code == 0);
}

TEST_CASE("a plain service that crashes has executed")
{
  auto loop = std::move(*EventLoop::Create());
  auto service =
    std::move(*PlainService::Create(*loop, kAnyPort, milliseconds(1)));
  Call first(*loop, service->Address(), "/pay", "nonce=N1");
  REQUIRE(first.Wait().Json()["execution"].asInt() == 0);
  Json::Value fault;
  fault["crash"] = true;
  service->SetFault(fault);
  Call second(*loop, service->Address(), "/pay", "nonce=N2");
  REQUIRE(second.Wait().code == 0);
  const Json::Value record = service->Record()["executions"];
  REQUIRE(record.size() == 2);
  REQUIRE(record[0]["end"] == "complete");
  REQUIRE(record[1]["end"] == "crashed");
  REQUIRE(record[1]["nonce"] == "N2");
}

TEST_CASE("of two transactions that create a key one succeeds")
{
  PlatformBench bench;
  const Json::Value one = bench.Ask("/v3/kv/txn", CreateIfAbsent("k", "one"));
  const Json::Value two = bench.Ask("/v3/kv/txn", CreateIfAbsent("k", "two"));
  REQUIRE(one["succeeded"] == true);
  REQUIRE(one["header"]["revision"] == "2");
  REQUIRE_FALSE(two.isMember("succeeded"));
  const Json::Value held = two["responses"][0]["response_range"]["kvs"][0];
  REQUIRE(held["value"] == B64("one"));
  REQUIRE(held["version"] == "1");
  REQUIRE(bench.Read("k") == "one");
}

// The write takes effect but its reply is lost: the writer sees its connection
// close and can't tell, until it reads back. Only that one write is hit.
TEST_CASE("a write whose reply is lost has taken effect")
{
  PlatformBench bench;
  bench.Fault("lose_replies", 1);
  REQUIRE(bench.Ask("/v3/kv/put", KeyAndValue("k", "v"))["http"] == 0);
  REQUIRE(bench.Read("k") == "v");
  REQUIRE(bench.Ask("/v3/kv/put", KeyAndValue("k", "w"))["http"] == 200);
  REQUIRE(bench.platform->Calls()["lost_replies"].asInt() == 1);
}

TEST_CASE("a watch delivers from its revision on, and ends at a compaction")
{
  PlatformBench bench;
  bench.Ask("/v3/kv/put", KeyAndValue("a/1", "old"));
  const std::string range =
    R"("key":")" + B64("a/") + R"(","range_end":")" + B64("a0") + R"(")";
  const auto watch = bench.Post(
    "/v3/watch", R"({"create_request":{"start_revision":"2",)" + range + "}}");
  REQUIRE(bench.loop->RunUntil(
    [&] { return Count(watch->body, B64("old")) == 1; }, seconds(5)));
  bench.Ask("/v3/kv/put", KeyAndValue("b", "other"));
  bench.Ask("/v3/kv/deleterange", "{" + range + "}");
  REQUIRE(bench.loop->RunUntil(
    [&] { return Count(watch->body, R"("type":"DELETE")") == 1; }, seconds(5)));
  REQUIRE(Count(watch->body, "\n") == 3);
  REQUIRE(Count(watch->body, B64("other")) == 0);
  REQUIRE(bench.platform->Calls()["watches_waiting"].asInt() == 1);

  bench.Ask("/v3/kv/compaction", R"({"revision":"4"})");
  const auto late = bench.Post(
    "/v3/watch", R"({"create_request":{"start_revision":"2",)" + range + "}}");
  REQUIRE(late->Wait().body.find(R"("compact_revision":"4")") !=
          std::string::npos);
  bench.Fault("restart", true);
  REQUIRE(watch->Wait().code == 0);
  REQUIRE(bench.platform->Calls()["watches_waiting"].asInt() == 0);
}

TEST_CASE("a lease that isn't kept alive takes its keys along")
{
  PlatformBench bench;
  const std::string id =
    bench.Ask("/v3/lease/grant", R"({"TTL":"1"})")["ID"].asString();
  const std::string lease = R"({"ID":")" + id + R"("})";
  Json::Value put = Json::Value();
  put["key"] = B64("k");
  put["value"] = B64("v");
  put["lease"] = id;
  REQUIRE(bench.Ask("/v3/kv/put", ToLine(put))["http"] == 200);
  for (int kept = 0; kept < 3; ++kept) {
    bench.loop->RunUntil([] { return false; }, milliseconds(500));
    REQUIRE(bench.Ask("/v3/lease/keepalive", lease)["result"]["TTL"] == "1");
  }
  REQUIRE(bench.Read("k") == "v");
  bench.loop->RunUntil([] { return false; }, milliseconds(1100));
  REQUIRE(bench.Read("k").empty());
  REQUIRE_FALSE(
    bench.Ask("/v3/lease/keepalive", lease)["result"].isMember("TTL"));
  REQUIRE(bench.Ask("/v3/kv/put", ToLine(put))["http"] == 404);
}

TEST_CASE("an outage, a rate limit and older data are as asked for")
{
  PlatformSettings settings;
  settings.writesPerSecond = 2;
  PlatformBench bench(settings);
  bench.Ask("/v3/kv/put", KeyAndValue("k", "old"));
  bench.Ask("/v3/kv/put", KeyAndValue("k", "new"));
  REQUIRE(bench.Ask("/v3/kv/put", KeyAndValue("k", "x"))["http"] == 429);
  bench.Fault("down", true);
  REQUIRE(bench.Ask("/v3/kv/range", "{}")["http"] == 0);
  bench.Fault("down", false);
  REQUIRE(bench.Read("k") == "new");
  bench.Fault("roll_back_to_revision", 2);
  REQUIRE(bench.Read("k") == "old");
  REQUIRE(bench.platform->Calls()["revision"].asInt() == 2);
}

TEST_CASE("the list shows a change only after its lag")
{
  PlatformSettings settings;
  settings.listLag = milliseconds(200);
  PlatformBench bench(settings);
  const std::string list =
    R"({"instances":[{"name":"n","role":"entry","address":"127.0.0.1:1","state":"live"}]})";
  REQUIRE(bench.Ask("/standin/instances", list)["http"] == 200);
  REQUIRE(bench.Ask("/instances", "")["instances"].empty());
  bench.loop->RunUntil([] { return false; }, milliseconds(250));
  REQUIRE(bench.Ask("/instances", "")["instances"][0]["name"] == "n");
}
