#include <catch2/catch.hpp>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include "dogwoodvale/Core"
#include "standins/Engine.h"
#include "standins/PlainService.h"

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

struct EngineBench
{
  std::unique_ptr<EventLoop> loop = std::move(*EventLoop::Create());
  EngineSettings settings;
  std::unique_ptr<Engine> engine;

  explicit EngineBench(Duration aStep = milliseconds(1))
  {
    this->settings.batching.step = aStep;
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
