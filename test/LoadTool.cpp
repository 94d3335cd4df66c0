#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <filesystem>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include "tools/load/Answer.h"
#include "tools/load/History.h"
#include "tools/load/JsonReader.h"
#include "tools/load/LoadRun.h"
#include "tools/load/Report.h"

using namespace dogwoodvale;
using namespace dogwoodvale::load;

namespace {

/// What the tiny server does to an answer.
enum class Fault
{
  None,
  Cross,
  Cut,
  CutBehindEndMark,
  Shorten,
  Repeat,
  FailMidway,
  Refuse,
  Stall,
};

std::string
Between(const std::string& aText, const std::string& aAfter, char aEnd)
{
  const std::size_t at = aText.find(aAfter);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + aAfter.size();
  return aText.substr(begin,
                      aText.find_first_of({ aEnd, '"', '\\' }, begin) - begin);
}

std::string
ChunkText(const std::string& aToken)
{
  return "data: {\"choices\":[{\"delta\":{\"content\":\"" + aToken +
         " \"},\"finish_reason\":null}]}\n\n";
}

/// Answers in the stand-in engine's format, with one fault or none.
class TinyEngine
{
public:
  explicit TinyEngine(EventLoop& aLoop)
    : http(evhttp_new(aLoop.Base()))
  {
    evhttp_bound_socket* socket =
      evhttp_bind_socket_with_handle(this->http, "127.0.0.1", 0);
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(socket),
                reinterpret_cast<sockaddr*>(&address),
                &length);
    this->port = ntohs(address.sin_port);
    evhttp_set_gencb(this->http, &TinyEngine::OnRequest, this);
  }
  ~TinyEngine()
  {
    // A request whose connection is gone is freed only by its own end.
    for (evhttp_request* request : this->unfinished) {
      evhttp_send_reply_end(request);
    }
    evhttp_free(this->http);
  }

  SocketAddress Address() const { return { "127.0.0.1", this->port }; }

  Fault fault = Fault::None;
  int requests = 0;

private:
  static void OnRequest(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<TinyEngine*>(aSelf);
    ++self->requests;
    evbuffer* input = evhttp_request_get_input_buffer(aRequest);
    const std::string body(
      reinterpret_cast<const char*>(evbuffer_pullup(input, -1)),
      evbuffer_get_length(input));
    if (self->fault == Fault::Refuse) {
      self->Refuse(aRequest);
    } else if (body.find("\"stream\":true") != std::string::npos) {
      self->Stream(aRequest, body);
    } else {
      self->Echo(aRequest, body);
    }
  }

  void Refuse(evhttp_request* aRequest)
  {
    this->Reply(aRequest,
                429,
                R"({"error":{"code":"queue_full","disposition":"not_run",)"
                R"("message":"full","retry_after_ms":20}})");
    this->fault = Fault::None;
  }

  void Echo(evhttp_request* aRequest, const std::string& aBody)
  {
    const std::string nonce =
      this->fault == Fault::Cross ? "other" : Between(aBody, "nonce=", ' ');
    this->Reply(
      aRequest, 200, R"({"execution":1,"body":"nonce=)" + nonce + R"("})");
  }

  void Reply(evhttp_request* aRequest, int aStatus, const std::string& aBody)
  {
    evbuffer* output = evhttp_request_get_output_buffer(aRequest);
    evbuffer_add(output, aBody.data(), aBody.size());
    evhttp_send_reply(aRequest, aStatus, nullptr, nullptr);
  }

  void Chunk(evhttp_request* aRequest, const std::string& aText)
  {
    evbuffer* piece = evbuffer_new();
    evbuffer_add(piece, aText.data(), aText.size());
    evhttp_send_reply_chunk(aRequest, piece);
    evbuffer_free(piece);
  }

  void Stream(evhttp_request* aRequest, const std::string& aBody)
  {
    const std::string nonce = Between(aBody, "nonce=", ' ');
    const int length = std::stoi(Between(aBody, "len=", ' '));
    evhttp_add_header(evhttp_request_get_output_headers(aRequest),
                      "Content-Type",
                      "text/event-stream");
    evhttp_add_header(
      evhttp_request_get_output_headers(aRequest), "X-Request-Id", "id-1");
    evhttp_send_reply_start(aRequest, 200, "OK");
    const int middle = length / 2;
    for (int index = 0; index < length; ++index) {
      const bool isFaulty = index == middle;
      if (isFaulty && this->fault == Fault::Stall) {
        this->unfinished.push_back(aRequest);
        return;
      }
      if (isFaulty && this->fault == Fault::Cut) {
        this->CutOff(aRequest);
        this->unfinished.push_back(aRequest);
        return;
      }
      if (isFaulty && this->fault == Fault::FailMidway) {
        this->Chunk(aRequest,
                    "event: error\ndata: {\"error\":{\"code\":"
                    "\"backend_failed\",\"disposition\":\"may_have_run\"}}"
                    "\n\n");
        evhttp_send_reply_end(aRequest);
        return;
      }
      if (isFaulty && this->fault == Fault::Shorten) {
        break;
      }
      const bool isCrossed = isFaulty && this->fault == Fault::Cross;
      const std::string owner = isCrossed ? "other" : nonce;
      const std::string token = fmt::format("{}.{}", owner, index);
      this->Chunk(aRequest, ChunkText(token));
      if (isFaulty && this->fault == Fault::Repeat) {
        this->Chunk(aRequest, ChunkText(token));
      }
    }
    this->Chunk(aRequest, "data: [DONE]\n\n");
    if (this->fault == Fault::CutBehindEndMark) {
      this->CutOff(aRequest);
      this->unfinished.push_back(aRequest);
      return;
    }
    evhttp_send_reply_end(aRequest);
  }

  /// Closes the connection once what was written has gone out.
  void CutOff(evhttp_request* aRequest)
  {
    evhttp_connection* connection = evhttp_request_get_connection(aRequest);
    bufferevent* stream = evhttp_connection_get_bufferevent(connection);
    evbuffer* output = bufferevent_get_output(stream);
    evbuffer_write(output, bufferevent_getfd(stream));
    shutdown(bufferevent_getfd(stream), SHUT_RDWR);
  }

  evhttp* http;
  std::uint16_t port = 0;
  std::vector<evhttp_request*> unfinished;
};

class CallList : public CallSink
{
public:
  void OnCall(const Call& aCall) override { this->calls.push_back(aCall); }
  std::vector<Call> calls;
};

constexpr const char* kChatPlan = R"({
  // one customer, one class
  "customers": { "sacco-01": { "api_key": "key-sacco-01" } },
  "classes": [ { "name": "teller", "tier": 0, "kind": "chat", "rate": 100,
    "model": "m", "stream": true,
    "output_tokens": { "median": 6 }, "retry": { "max": 2 },
    "latency_target": { "first_token_ms": 5000 } } ]
})";

constexpr const char* kPlainPlan = R"({
  "customers": { "sacco-01": { "api_key": "key-sacco-01" } },
  "classes": [ { "name": "posting", "kind": "plain", "rate": 100,
    "path": "/exceptions", "idempotent": false, "keyed": 1 } ]
})";

/// Runs \p aPlan for 200 ms against an engine with one fault.
std::vector<Call>
RunAgainst(Fault aFault, const char* aPlan, int* aRequests = nullptr)
{
  const auto loop = EventLoop::Create();
  TinyEngine engine(**loop);
  engine.fault = aFault;
  const auto plan = ParsePlan("plan", aPlan);
  REQUIRE(plan.ok());
  RunOptions options;
  options.targets = { engine.Address() };
  options.duration = milliseconds(200);
  options.drain = milliseconds(200);
  options.noncePrefix = "t";
  CallList list;
  LoadRun run(**loop, *plan, options, list);
  run.Start();
  REQUIRE((*loop)->RunUntil([&] { return run.IsDone(); }, seconds(10)));
  REQUIRE(list.calls.size() > 5);
  if (aRequests != nullptr) {
    *aRequests = engine.requests;
  }
  return list.calls;
}

void
RequireAllEnd(const std::vector<Call>& aCalls, Ending aEnding)
{
  for (const Call& call : aCalls) {
    INFO(RenderCall(call));
    REQUIRE(call.ending == aEnding);
  }
}

} // namespace

TEST_CASE("whole streams are complete, with every token counted once")
{
  int requests = 0;
  const auto calls = RunAgainst(Fault::None, kChatPlan, &requests);
  RequireAllEnd(calls, Ending::Complete);
  REQUIRE(requests == int(calls.size()));
  for (const Call& call : calls) {
    REQUIRE(call.tokens == 6);
    REQUIRE(call.firstTokenMs >= call.sentMs);
    REQUIRE(call.endedMs >= call.lastTokenMs);
    REQUIRE(call.requestId == "id-1");
  }
}

TEST_CASE("each fault of a stream is recognised")
{
  // The caller sees, in turn: another's token in its stream; a connection that
  // ends midway with no word; an end mark before all tokens; a token twice; an
  // explicit error; nothing more at all. Only the last three tokens differ, so
  // a tool that counts bytes or trusts [DONE] would pass them all.
  RequireAllEnd(RunAgainst(Fault::Cross, kChatPlan), Ending::Crossed);
  RequireAllEnd(RunAgainst(Fault::Cut, kChatPlan), Ending::Cut);
  // All its tokens and its end mark, but not HTTP's end: the caller's client
  // tells it of an error.
  RequireAllEnd(RunAgainst(Fault::CutBehindEndMark, kChatPlan), Ending::Cut);
  RequireAllEnd(RunAgainst(Fault::Shorten, kChatPlan), Ending::Truncated);
  RequireAllEnd(RunAgainst(Fault::Repeat, kChatPlan), Ending::Duplicated);
  RequireAllEnd(RunAgainst(Fault::Stall, kChatPlan), Ending::Unanswered);
  const auto failed = RunAgainst(Fault::FailMidway, kChatPlan);
  RequireAllEnd(failed, Ending::Error);
  REQUIRE(failed[0].code == "backend_failed");
  REQUIRE(failed[0].disposition == Disposition::MayHaveRun);
  REQUIRE(failed[0].tokens == 3);
}

TEST_CASE("plain calls are judged by their echo")
{
  const auto calls = RunAgainst(Fault::None, kPlainPlan);
  RequireAllEnd(calls, Ending::Complete);
  REQUIRE(calls[0].key == "key-" + calls[0].call);
  RequireAllEnd(RunAgainst(Fault::Cross, kPlainPlan), Ending::Crossed);
}

TEST_CASE("a refused caller comes again as a new request of the same call")
{
  const auto calls = RunAgainst(Fault::Refuse, kChatPlan);
  const auto refused =
    std::find_if(calls.begin(), calls.end(), [](const Call& aCall) {
      return aCall.ending == Ending::Error;
    });
  REQUIRE(refused != calls.end());
  REQUIRE(refused->disposition == Disposition::NotRun);
  REQUIRE(refused->retryAfterMs == 20);
  const auto again =
    std::find_if(calls.begin(), calls.end(), [&](const Call& aCall) {
      return aCall.call == refused->call && aCall.attempt == 2;
    });
  REQUIRE(again != calls.end());
  REQUIRE(again->nonce != refused->nonce);
  REQUIRE(again->sentMs >= refused->endedMs + 20);
  REQUIRE(again->ending == Ending::Complete);
}

TEST_CASE("a target that refuses connections is passed over unsent")
{
  // One of two entries is down; its port refuses. Nothing was sent to it, so
  // the balancer's part is to take the other, and no caller sees it.
  const auto loop = EventLoop::Create();
  TinyEngine engine(**loop);
  const auto plan = ParsePlan("plan", kChatPlan);
  RunOptions options;
  options.targets = { { "127.0.0.1", 1 }, engine.Address() };
  options.duration = milliseconds(200);
  options.noncePrefix = "t";
  CallList list;
  LoadRun run(**loop, *plan, options, list);
  run.Start();
  REQUIRE((*loop)->RunUntil([&] { return run.IsDone(); }, seconds(10)));
  RequireAllEnd(list.calls, Ending::Complete);
}

TEST_CASE("a plan tells all that is wrong with it, with places")
{
  const auto plan = ParsePlan("p.json", R"({
  "customers": { "a": { "api_key": "k", "weight": 1 } },
  "classes": [ { "name": "x", "kind": "chat", "rate": -1 } ],
  "phases": [ { "class": "y", "factor": 2 } ]
})");
  REQUIRE_FALSE(plan.ok());
  const std::string text(MessageOf(plan.status()));
  REQUIRE(text.find("p.json:2:51: unknown key \"weight\"") !=
          std::string::npos);
  REQUIRE(text.find("\"rate\" must be") != std::string::npos);
  REQUIRE(text.find("must name it") != std::string::npos);
  REQUIRE(text.find("no class \"y\"") != std::string::npos);
}

TEST_CASE("the example plans are sound")
{
  const auto examples =
    std::filesystem::path(DOGWOODVALE_SOURCE_DIR) / "examples";
  for (const char* name : { "nairobi/load.json",
                            "nairobi/month-end.json",
                            "muscat/load.json",
                            "muscat/applicant-wave.json" }) {
    const auto plan = ReadPlan((examples / name).string());
    INFO(name << ": " << MessageOf(plan.status()));
    REQUIRE(plan.ok());
    REQUIRE(plan->customers.size() == 10);
  }
}

TEST_CASE("arrivals follow the rate, the phases and the seed")
{
  auto plan = *ParsePlan("plan", kChatPlan);
  plan.phases.push_back({ 10, 20, 0, 3 });
  const auto draw = [&](std::uint64_t aSeed) {
    Arrivals arrivals(plan, aSeed, 1);
    std::vector<double> times;
    while (const auto arrival = arrivals.Next(30)) {
      times.push_back(arrival->atSeconds);
    }
    return times;
  };
  const std::vector<double> times = draw(1);
  REQUIRE(times == draw(1));
  REQUIRE(times != draw(2));
  REQUIRE(std::is_sorted(times.begin(), times.end()));
  const auto inBurst =
    std::count_if(times.begin(), times.end(), [](double aAt) {
      return aAt >= 10 && aAt < 20;
    });
  // 3000 and 2000 expected; five standard deviations.
  REQUIRE(std::abs(inBurst - 3000) < 275);
  REQUIRE(std::abs(long(times.size()) - inBurst - 2000) < 225);
}

TEST_CASE("a history line survives writing and reading")
{
  Call call;
  call.nonce = "t1";
  call.call = "t0";
  call.attempt = 2;
  call.className = "teller";
  call.tier = 0;
  call.key = "k\"1";
  call.sentMs = 123456789.125;
  call.firstTokenMs = 123456790.5;
  call.ending = Ending::Error;
  call.code = "queue_full";
  call.disposition = Disposition::NotRun;
  call.retryAfterMs = 20;
  const auto read = ParseCall(RenderCall(call));
  REQUIRE(read.ok());
  REQUIRE(*read == call);
  REQUIRE_FALSE(ParseCall("{\"nonce\":\"a\"}").ok());
  REQUIRE_FALSE(ParseCall("[]").ok());
}

TEST_CASE("records of engines and of plain services are read")
{
  const auto record = ParseRecord("s", R"({"executions":[
    {"end":"complete","ended_ms":9.5,"id":"e-1","nonce":"w1",
     "started_ms":1.5,"tokens":3},
    {"end":"cancelled","ended_ms":9,"execution":1,"id":"e-2",
     "idempotency_key":"k","method":"GET","nonce":"w2",
     "path":"/mandates","started_ms":2}]})");
  REQUIRE(record.ok());
  REQUIRE(record->at(0).tokens == 3);
  REQUIRE(record->at(0).server == "s");
  REQUIRE(record->at(1).nonce == "w2");
  REQUIRE(record->at(1).key == "k");
  REQUIRE(record->at(1).end == ExecutionEnd::Cancelled);
  REQUIRE_FALSE(ParseRecord("s", R"({"executions":[{}]})").ok());
  REQUIRE_FALSE(ParseRecord("s", "{").ok());
}

TEST_CASE("attainment counts a caller's retries as one call")
{
  // A teller is refused, comes back and gets its first token 600 ms after it
  // first asked: the target of 400 ms is missed, though the second request
  // alone took 100 ms. Another meets it; a third abandons and doesn't count.
  auto plan = *ParsePlan("plan", kChatPlan);
  plan.classes[0].target.firstTokenMs = 400;
  Call refused;
  refused.nonce = refused.call = "a";
  refused.className = "teller";
  refused.ending = Ending::Error;
  refused.code = "queue_full";
  Call again = refused;
  again.nonce = "b";
  again.attempt = 2;
  again.sentMs = 500;
  again.firstTokenMs = 600;
  again.lastTokenMs = 650;
  again.endedMs = 650;
  again.tokens = again.expectedTokens = 6;
  again.ending = Ending::Complete;
  Call good = again;
  good.nonce = good.call = "c";
  good.attempt = 1;
  Call left = refused;
  left.nonce = left.call = "d";
  left.ending = Ending::Abandoned;
  left.tokens = 2;
  const std::vector<Call> calls = { refused, again, good, left };
  const Report report = MakeReport(plan, calls, 0, 1);
  const ClassReport& teller = report.classes[0];
  REQUIRE(teller.calls == 3);
  REQUIRE(teller.requests == 4);
  REQUIRE(teller.attained == 1);
  REQUIRE(teller.attainment == 0.5);
  REQUIRE(teller.longestWaitMs == 600);
  REQUIRE(teller.goodputTokensPerSecond == 12);
  REQUIRE(teller.uselessTokens == 2);
  REQUIRE(teller.errors.at("queue_full") == 1);
  const std::vector<Execution> executions = {
    { "e", "1", "b", "", 0, 0, 6, ExecutionEnd::Complete },
    { "e", "2", "c", "", 0, 0, 6, ExecutionEnd::Complete },
    { "e", "3", "d", "", 0, 0, 4, ExecutionEnd::Cancelled },
    { "e", "4", "elsewhere", "", 0, 0, 99, ExecutionEnd::Complete },
  };
  REQUIRE(CompareWork(calls, executions).wastedShare == 0.25);
}

TEST_CASE("tokens are judged the same however the bytes are cut")
{
  rc::prop("any cut of the bytes gives the same verdict", [] {
    const int length = *rc::gen::inRange(1, 20);
    std::string bytes;
    for (int index = 0; index < length; ++index) {
      bytes += ChunkText(fmt::format("w.{}", index));
    }
    bytes += "data: [DONE]\n\n";
    Call call;
    call.nonce = "w";
    call.expectedTokens = length;
    Answer answer(call, true);
    answer.Begin(200, "text/event-stream");
    std::size_t at = 0;
    while (at < bytes.size()) {
      const auto piece = *rc::gen::inRange<std::size_t>(1, 40);
      answer.Take(std::string_view(bytes).substr(at, piece), 1);
      at += piece;
    }
    answer.End(true, 2);
    RC_ASSERT(call.ending == Ending::Complete);
    RC_ASSERT(call.tokens == length);
  });
}
