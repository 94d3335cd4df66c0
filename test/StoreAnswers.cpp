#include <catch2/catch.hpp>

#include "dogwoodvale/Store"
#include "support/AnswerServer.h"

using namespace dogwoodvale;
using test::AnswerServer;
using test::ConnectionEnd;
using test::Repeat;

namespace {

constexpr std::size_t kMaxBody = 1U << 20U;
/// Loopback sockets hold a few megabytes of bytes that nobody has read.
constexpr std::size_t kSocketBuffers = 8U << 20U;
constexpr std::string_view kBody = "the whole body";
/// Below the bytes that loopback sockets take while the other end does not
/// read.
constexpr std::size_t kUpload = 600'000;

struct Setup
{
  HttpAnswer Ask(HttpCall aCall = {})
  {
    aCall.address = this->server.Address();
    aCall.path = "/x";
    aCall.timeout = milliseconds(300);
    aCall.maxBodyBytes = kMaxBody;
    std::optional<HttpAnswer> answer;
    const auto exchange = HttpExchange::Start(
      *this->loop, aCall, [&](const HttpAnswer& aAnswer) { answer = aAnswer; });
    this->loop->RunUntil([&] { return answer.has_value(); }, seconds(3));
    if (!answer) {
      HttpAnswer none;
      none.status = absl::InternalError("the exchange did not end");
      return none;
    }
    return *answer;
  }

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  AnswerServer server{ *this->loop };
};

std::string
WithLength(std::string_view aBody)
{
  return fmt::format(
    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", aBody.size(), aBody);
}

std::string
InChunks(std::string_view aBody)
{
  return fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                     "\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                     aBody.size(),
                     aBody);
}

std::string
UntilClose(std::string_view aBody)
{
  return fmt::format("HTTP/1.1 200 OK\r\n\r\n{}", aBody);
}

} // namespace

TEST_CASE("an answer that ends by its own framing is complete", "[store]")
{
  Setup setup;
  setup.server.text = GENERATE(
    WithLength(kBody),
    InChunks(kBody),
    UntilClose(kBody),
    "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n" + std::string(kBody),
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + WithLength(kBody),
    "HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\n" + UntilClose(kBody));
  CAPTURE(setup.server.text);
  const HttpAnswer answer = setup.Ask();
  CHECK(answer.status.ok());
  CHECK(answer.code == 200);
  CHECK(answer.body == kBody);
  CHECK(answer.received > kBody.size());
}

// The part of a document that came before a reset would be taken for all of it.
TEST_CASE("an answer that is cut is never complete", "[store]")
{
  Setup setup;
  const std::string text =
    GENERATE(WithLength(kBody), InChunks(kBody), UntilClose(kBody));
  setup.server.end = GENERATE(ConnectionEnd::Close, ConnectionEnd::Reset);
  const bool isByClose = text == UntilClose(kBody);
  const std::size_t head = text.find("\r\n\r\n") + 4;
  const std::size_t cut = GENERATE(5U, 17U, 1000U, 1001U, 1006U);
  const std::size_t at = cut >= 1000 ? head + (cut - 1000) : cut;
  setup.server.text = text.substr(0, at);
  CAPTURE(setup.server.text, setup.server.end);
  const bool mayEnd =
    isByClose && at >= head && setup.server.end == ConnectionEnd::Close;
  const HttpAnswer answer = setup.Ask();
  CHECK(answer.status.ok() == mayEnd);
  CHECK(answer.written);
  CHECK((mayEnd || answer.code == 0));
}

// What a server says of a request that it has not taken can't be told from the
// end of a process.
TEST_CASE(
  "a close does not end a store's answer while the request is not taken",
  "[store]")
{
  Setup setup;
  setup.server.text = UntilClose(kBody);
  setup.server.isHasty = true;
  HttpCall call;
  call.method = "POST";
  call.body = std::string(kUpload, 'x');
  const HttpAnswer answer = setup.Ask(call);
  CHECK_FALSE(answer.status.ok());
  CHECK(answer.written);
}

// A lenient reader frames a body by a field that others do not see, or takes
// an interim head for the answer.
TEST_CASE("an answer with a malformed head is refused", "[store]")
{
  Setup setup;
  const std::string body = "5\r\nwhole\r\n0\r\n\r\n";
  const std::string head =
    GENERATE(as<std::string>{},
             "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n",
             "HTTP/1.1 2000 OK\r\nContent-Length: 5\r\n",
             "HTTP/1.1 20 OK\r\nContent-Length: 5\r\n",
             "HTTP/1.1 -200 OK\r\nContent-Length: 5\r\n",
             "HTTP/1.1 600 OK\r\nContent-Length: 5\r\n",
             "HTTP/1.1 200\x01OK\r\nContent-Length: 5\r\n",
             "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n",
             "HTTP/1.1 103 Early Hints\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding\x0b: chunked\r\n",
             "HTTP/1.1 200 OK\r\nX\tY: 1\r\nContent-Length: 5\r\n",
             "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 5\r\n",
             "HTTP/1.1 200 OK\r\nX: 1\x01\r\nContent-Length: 5\r\n",
             "HTTP/1.1 200 OK\r\nX: 1\r\n folded\r\nContent-Length: 5\r\n",
             "HTTP/1.1 200 OK\nContent-Length: 5\n",
             "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
             "Transfer-Encoding: chunked\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n");
  setup.server.text = head + "\r\n" + body;
  CAPTURE(head);
  const HttpAnswer answer = setup.Ask();
  CHECK_FALSE(answer.status.ok());
  CHECK(answer.code == 0);
}

TEST_CASE("a malformed size of a chunk is refused", "[store]")
{
  Setup setup;
  const std::string line = GENERATE(as<std::string>{}, "0x5", "+5", "5 x");
  setup.server.text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                      line + "\r\nwhole\r\n0\r\n\r\n";
  CAPTURE(line);
  CHECK_FALSE(setup.Ask().status.ok());
}

// A compressed document that is cut would be taken for a shorter one.
TEST_CASE("a compressed answer that is cut is refused", "[store]")
{
  Setup setup;
  const std::string whole = Compress(std::string(1000, 'x') + "the end");
  const std::size_t missing = GENERATE(0U, 1U, 10U);
  const std::string head = fmt::format(
    "HTTP/1.1 200 OK\r\nContent-Encoding: {}\r\n\r\n", kCompressionName);
  setup.server.text = head + whole.substr(0, whole.size() - missing);
  HttpCall call;
  call.acceptsCompressed = true;
  CHECK(setup.Ask(call).status.ok() == (missing == 0));
}

// An answer without end would be held until the machine is out of memory.
TEST_CASE("an answer without end is given up at its limit", "[store][endless]")
{
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string bytes(60'000, 'x');
  struct Variant
  {
    std::string text;
    std::string repeated;
  };
  const Variant variant = GENERATE_COPY(values<Variant>(
    { { "HTTP/1.1 200 OK\r\n", Repeat("X-Filler: and so on\r\n", 4096) },
      { "HTTP/1.1 200 OK\r\n", std::string(4096, 'x') },
      { "", std::string(4096, 'x') },
      { "", Repeat("\r\n", 4096) },
      { "", Repeat("HTTP/1.1 100 Continue\r\n\r\n", 4096) },
      { "", Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 4096) },
      { "HTTP/1.1 200 OK\r\n\r\n", bytes },
      { "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", bytes },
      { chunked, fmt::format("ea60\r\n{}\r\n", bytes) },
      { chunked, std::string(4096, '0') },
      { chunked, std::string(4096, ' ') },
      { chunked, "5;" + std::string(60'000, 'x') },
      { chunked + "7fffffff\r\n", bytes } }));
  Setup setup;
  setup.server.text = variant.text;
  setup.server.repeated = variant.repeated;
  setup.server.end = ConnectionEnd::Never;
  CAPTURE(variant.text, variant.repeated.substr(0, 30));
  const HttpAnswer answer = setup.Ask();
  CHECK_FALSE(answer.status.ok());
  CHECK_FALSE(absl::IsInternal(answer.status));
  CHECK(answer.received <= kMaxBody + (128U << 10U));
  CHECK(setup.server.BytesSent() < kMaxBody + kSocketBuffers);
  setup.loop->RunUntil([&] { return setup.server.OpenCount() == 0; },
                       milliseconds(500));
  CHECK(setup.server.OpenCount() == 0);
}

// The body is whole by then; what follows must not be read for ever.
TEST_CASE("trailers without end are given up", "[store][endless]")
{
  Setup setup;
  setup.server.text =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
  setup.server.repeated = Repeat("X-Trailer: and so on\r\n", 4096);
  setup.server.end = ConnectionEnd::Never;
  CHECK_FALSE(absl::IsInternal(setup.Ask().status));
  setup.loop->RunUntil([&] { return setup.server.OpenCount() == 0; },
                       milliseconds(500));
  CHECK(setup.server.OpenCount() == 0);
  CHECK(setup.server.BytesSent() < kSocketBuffers);
}

namespace {

struct OrderRecorder : EngineOrdersHandler
{
  void OnEngineState(const absl::StatusOr<EngineState>& aState) override
  {
    this->state = aState;
  }
  void OnOrderDone(OrderOutcome aOutcome) override { this->outcome = aOutcome; }

  std::optional<absl::StatusOr<EngineState>> state;
  std::optional<OrderOutcome> outcome;
};

} // namespace

// An order that the engine never answered would count as obeyed, and the next
// one would be sent.
TEST_CASE("an order is not obeyed by an answer that is none", "[store][orders]")
{
  Setup setup;
  setup.server.text =
    GENERATE(as<std::string>{},
             "HTTP/1.1 103 Early Hints\r\n\r\n",
             "HTTP/1.1 20 OK\r\n\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}");
  CAPTURE(setup.server.text);
  OrderRecorder recorder;
  HttpEngineOrders orders(
    *setup.loop, setup.server.Address(), milliseconds(300));
  orders.SetHandler(&recorder);
  EngineOrder order;
  order.model = "m";
  orders.Send(order, 1);
  setup.loop->RunUntil([&] { return recorder.outcome.has_value(); },
                       seconds(2));
  CHECK(recorder.outcome == OrderOutcome::Unknown);
}
