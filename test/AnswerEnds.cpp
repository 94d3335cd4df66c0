#include <csignal>
#include <thread>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "RawSockets.h"
#include "dogwoodvale/Http"

using namespace dogwoodvale;
using test::RawSocket;

namespace {

class Recorder final : public BackendCallHandler
{
public:
  void OnHead(int aStatus, std::span<const HeaderField>) override
  {
    this->status = aStatus;
  }
  void OnBody(std::string_view aBytes) override { this->body += aBytes; }
  void OnComplete(AnswerEnd aEnd) override { this->end = aEnd; }
  void OnFailed(const absl::Status& aReason, bool aWritten) override
  {
    this->failed = true;
    this->reason = aReason;
    this->written = aWritten;
  }
  bool Ended() const { return this->end.has_value() || this->failed; }

  std::unique_ptr<BackendCall> call;
  int status = 0;
  std::string body;
  std::optional<AnswerEnd> end;
  bool failed = false;
  bool written = false;
  absl::Status reason;
};

/// More than loopback sockets take while the other end does not read.
constexpr std::size_t kLongUpload = 24U << 20U;
constexpr std::string_view kBody = "the whole body";

/// How an answer states where its body ends.
enum class Framing : std::uint8_t
{
  Length,
  Chunks,
  Close,
};

std::string
AnswerText(Framing aFraming, std::string_view aBody = kBody)
{
  switch (aFraming) {
    case Framing::Length:
      return fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", aBody.size(), aBody);
    case Framing::Chunks:
      return fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                         "\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                         aBody.size(),
                         aBody);
    case Framing::Close:
      return fmt::format("HTTP/1.1 200 OK\r\n\r\n{}", aBody);
  }
  return {};
}

/// What happens at the client's end once the server's connection has ended and
/// before the loop learns of it.
enum class Before : std::uint8_t
{
  Nothing,
  LookAtUnread,
  PauseAndResume,
};

enum class Step : std::uint8_t
{
  Turn,
  ServerActs,
  LookAtUnread,
  Pause,
  Resume,
};

/// Writes an answer in two pieces, then ends the connection.
class ServerSide
{
public:
  ServerSide(RawSocket& aSocket, std::string aText, bool aIsReset)
    : socket(aSocket)
    , text(std::move(aText))
    , isReset(aIsReset)
  {
  }

  bool HasEnded() const { return this->ended; }

  void Act()
  {
    if (!this->text.empty()) {
      const std::size_t size = this->text.size() / 2 + 1;
      this->socket.Send(this->text.substr(0, size));
      this->text.erase(0, size);
    } else if (!std::exchange(this->ended, true)) {
      if (this->isReset) {
        this->socket.Reset();
      } else {
        this->socket.Close();
      }
    }
  }

private:
  RawSocket& socket;
  std::string text;
  bool isReset;
  bool ended = false;
};

/// A client with one call, and the server's end of its connection.
struct Exchange
{
  explicit Exchange(std::size_t aUpload)
    : client(std::move(
        *BackendClient::Create(*this->loop, this->listener.Address(), {})))
  {
    // As in the daemon: a write to a connection that is gone gives an error.
    std::signal(SIGPIPE, SIG_IGN);
    this->recorder.call = this->client->Start(
      { "POST", "/x", {}, std::string(aUpload, 'x') }, this->recorder);
  }
  ~Exchange() { this->recorder.call.reset(); }

  bool Until(const std::function<bool()>& aDone,
             Duration aLimit = seconds(5)) const
  {
    return this->loop->RunUntil(aDone, aLimit);
  }

  void Turn() const
  {
    this->Until([] { return false; }, milliseconds(1));
  }

  /// Takes the connection and reads the head of the request.
  void Accept()
  {
    REQUIRE(this->Until([&] { return this->listener.Accept(this->server); }));
    // The rest of a long request stays unread.
    REQUIRE(this->Until([&] { return this->server.Peek() > 0; }));
  }

  void ReadRequest(std::size_t aUpload)
  {
    REQUIRE(this->Until([&] {
      const std::string& text = this->server.Read();
      const std::size_t head = text.find("\r\n\r\n");
      return head != std::string::npos && text.size() >= head + 4 + aUpload;
    }));
  }

  void Do(Before aBefore)
  {
    // The end has to reach the socket while the loop does not run.
    std::this_thread::sleep_for(milliseconds(2));
    if (aBefore == Before::LookAtUnread) {
      this->recorder.call->HasUnread();
    } else if (aBefore == Before::PauseAndResume) {
      this->recorder.call->SetReadingPaused(true);
      this->Turn();
      if (!this->recorder.Ended()) {
        this->recorder.call->SetReadingPaused(false);
      }
    }
  }

  void Do(Step aStep, ServerSide& aServer)
  {
    BackendCall& call = *this->recorder.call;
    switch (aStep) {
      case Step::Turn:
        this->Turn();
        break;
      case Step::ServerActs:
        aServer.Act();
        break;
      case Step::LookAtUnread:
        call.HasUnread();
        break;
      case Step::Pause:
      case Step::Resume:
        call.SetReadingPaused(aStep == Step::Pause);
        break;
    }
  }

  std::unique_ptr<EventLoop> loop = std::move(*EventLoop::Create());
  RawSocket listener = RawSocket::Listen();
  RawSocket server;
  std::unique_ptr<BackendClient> client;
  Recorder recorder;
};

} // namespace

// A caller would take the part of an answer that came before a reset for all
// of it.
TEST_CASE("an answer that is reset on the way is never complete", "[ends]")
{
  const auto framing =
    GENERATE(Framing::Length, Framing::Chunks, Framing::Close);
  const auto before =
    GENERATE(Before::Nothing, Before::LookAtUnread, Before::PauseAndResume);
  const std::size_t upload = GENERATE(std::size_t{ 4 }, kLongUpload);
  const bool isHeadOnly = GENERATE(false, true);
  CAPTURE(framing, before, upload, isHeadOnly);
  Exchange exchange(upload);
  exchange.Accept();
  const std::string text = AnswerText(framing);
  const std::size_t cut =
    isHeadOnly ? text.find("\r\n\r\n") + 4 : text.find("the whole") + 5;
  exchange.server.Send(text.substr(0, cut));
  REQUIRE(exchange.Until([&] { return exchange.recorder.status != 0; }));
  exchange.server.Reset();
  exchange.Do(before);
  REQUIRE(exchange.Until([&] { return exchange.recorder.Ended(); }));
  CHECK_FALSE(exchange.recorder.end);
  CHECK(exchange.recorder.written);
  CHECK(exchange.client->OpenConnections() == 0);
}

// The same for a server that answers before it has read anything.
TEST_CASE("an answer that is reset before the request is written is not "
          "complete",
          "[ends]")
{
  Exchange exchange(4);
  // Both ends are connected by the kernel; the loop has not run yet.
  std::this_thread::sleep_for(milliseconds(2));
  REQUIRE(exchange.listener.Accept(exchange.server));
  exchange.server.Send("HTTP/1.1 200 OK\r\n\r\nthe");
  exchange.server.Reset();
  std::this_thread::sleep_for(milliseconds(2));
  REQUIRE(exchange.Until([&] { return exchange.recorder.Ended(); }));
  CHECK_FALSE(exchange.recorder.end);
}

TEST_CASE("an answer that is closed in order is complete", "[ends]")
{
  const auto framing =
    GENERATE(Framing::Length, Framing::Chunks, Framing::Close);
  const auto before =
    GENERATE(Before::Nothing, Before::LookAtUnread, Before::PauseAndResume);
  CAPTURE(framing, before);
  Exchange exchange(4);
  exchange.Accept();
  exchange.ReadRequest(4);
  exchange.server.Send(AnswerText(framing));
  exchange.server.Close();
  exchange.Do(before);
  REQUIRE(exchange.Until([&] { return exchange.recorder.Ended(); }));
  CHECK(exchange.recorder.end == (framing == Framing::Length ? AnswerEnd::Length
                                  : framing == Framing::Chunks
                                    ? AnswerEnd::LastChunk
                                    : AnswerEnd::Close));
  CHECK(exchange.recorder.body == kBody);
}

// What a server says of a request that it has not taken can't be told from the
// end of a process.
TEST_CASE("a close does not end an answer while the request is not taken",
          "[ends]")
{
  const std::size_t upload = GENERATE(std::size_t{ 600'000 }, kLongUpload);
  const auto before =
    GENERATE(Before::Nothing, Before::LookAtUnread, Before::PauseAndResume);
  const bool isReset = GENERATE(false, true);
  CAPTURE(upload, before, isReset);
  Exchange exchange(upload);
  exchange.Accept();
  exchange.server.Send(AnswerText(Framing::Close).substr(0, 25));
  REQUIRE(exchange.Until([&] { return exchange.recorder.status != 0; }));
  exchange.server.EndSending();
  if (isReset) {
    std::this_thread::sleep_for(milliseconds(5));
    exchange.server.Reset();
  }
  exchange.Do(before);
  REQUIRE(exchange.Until([&] { return exchange.recorder.Ended(); }));
  CHECK_FALSE(exchange.recorder.end);
  CHECK(exchange.recorder.written);
}

// A server that rejects a long upload closes without reading it, which resets
// the connection behind its whole answer.
TEST_CASE("a whole answer to a request that is still being written arrives",
          "[ends]")
{
  const auto framing = GENERATE(Framing::Length, Framing::Chunks);
  const bool isReset = GENERATE(false, true);
  // The long one takes several reads.
  const std::string body(GENERATE(14U, 50'000U), 'y');
  CAPTURE(framing, isReset, body.size());
  Exchange exchange(kLongUpload);
  exchange.Accept();
  exchange.server.Send(AnswerText(framing, body));
  if (isReset) {
    exchange.server.Close();
  }
  REQUIRE(exchange.Until([&] { return exchange.recorder.Ended(); }));
  CHECK(exchange.recorder.end);
  CHECK(exchange.recorder.body == body);
  CHECK(exchange.client->IdleConnections() == 0);
}

// Guards against an order of reads, writes, looks and pauses in which the error
// of a connection is lost.
TEST_CASE("no order of events completes an answer that is cut", "[ends]")
{
  rc::prop("any order", [] {
    const bool isLong =
      *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });
    const std::size_t upload = isLong ? kLongUpload : 4;
    const auto framing =
      *rc::gen::element(Framing::Length, Framing::Chunks, Framing::Close);
    const bool isReset = *rc::gen::arbitrary<bool>();
    const std::string text = AnswerText(framing);
    const std::size_t head = text.find("\r\n\r\n") + 4;
    const std::size_t most = isReset ? text.size() - 1 : text.size();
    const std::size_t cut = *rc::gen::weightedOneOf<std::size_t>(
      { { 1, rc::gen::inRange<std::size_t>(0, head) },
        { 4, rc::gen::inRange<std::size_t>(head, most + 1) } });
    const auto steps = *rc::gen::container<std::vector<Step>>(
      12,
      rc::gen::weightedElement<Step>({ { 3, Step::Turn },
                                       { 3, Step::ServerActs },
                                       { 3, Step::LookAtUnread },
                                       { 1, Step::Pause },
                                       { 1, Step::Resume } }));
    Exchange exchange(upload);
    exchange.Accept();
    if (!isLong) {
      exchange.ReadRequest(upload);
    }
    ServerSide server(exchange.server, text.substr(0, cut), isReset);
    for (const Step step : steps) {
      exchange.Do(step, server);
    }
    while (!server.HasEnded()) {
      server.Act();
    }
    exchange.recorder.call->SetReadingPaused(false);
    RC_ASSERT(exchange.Until([&] { return exchange.recorder.Ended(); }));
    const bool isWhole = cut == text.size();
    const bool mayEnd =
      framing == Framing::Close ? !isReset && !isLong && cut >= head : isWhole;
    if (mayEnd) {
      RC_ASSERT(exchange.recorder.body == text.substr(head, cut - head) ||
                framing == Framing::Chunks);
    }
    // Behind a long upload the server's close is a reset, before which a whole
    // answer may arrive or not.
    if (!mayEnd || !isLong) {
      RC_ASSERT(exchange.recorder.end.has_value() == mayEnd);
    }
  });
}
