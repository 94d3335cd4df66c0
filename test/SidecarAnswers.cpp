#include <catch2/catch.hpp>

#include <json/json.h>

#include "dogwoodvale/Entry"
#include "dogwoodvale/Sidecar"
#include "support/AnswerServer.h"
#include "support/InProcessSite.h"
#include "support/ScriptedServer.h"

using namespace dogwoodvale;
using test::AnswerServer;
using test::ChatRequest;
using test::ConnectionEnd;
using test::RawSocket;
using test::Repeat;

namespace {

/// Loopback sockets hold a few megabytes of bytes that nobody has read, on
/// each of the ways from the engine to the caller.
constexpr std::size_t kSocketBuffers = 24U << 20U;

constexpr std::string_view kPlainConfiguration = R"({
  "services": [ {
    "name": "chat", "kind": "plain",
    "routes": [ { "method": "GET", "path_prefix": "/read", "class": "read" } ],
    "classes": [ { "name": "read", "tier": 0, "idempotent": true,
                   "max_wait_ms": 1000, "budget_ms": 3000 } ] } ],
  "customers": [ {
    "name": "sacco-01",
    "key_hashes": [
      "7ce7ee468ae2d91d7ae72e40f215666d1e1964f1107e41bc7466f44f95f45304" ],
    "grants": [ { "service": "chat", "classes": [ "read" ] } ] } ]
})";

const std::string kPlainRequest = "GET /read/x HTTP/1.1\r\nHost: x\r\n"
                                  "Authorization: Bearer key-sacco-01\r\n\r\n";

/// An entry and two sidecars before one server of raw answers.
struct AnswerSite
{
  explicit AnswerSite(bool aIsPlain = false)
  {
    if (aIsPlain) {
      std::ofstream(this->file.Path()) << kPlainConfiguration;
    }
    DaemonSettings settings =
      test::EntryFor(this->file, this->sidecars[0]->PeerAddress());
    settings.staticInstances.push_back({ InstanceName("sidecar-2"),
                                         "chat",
                                         DataCentreName("dc1"),
                                         this->sidecars[1]->PeerAddress() });
    this->entry = *Entry::Create(*this->loop, settings);
    REQUIRE(this->Until([&] { return this->entry->Ready().ok(); }));
  }

  bool Until(const std::function<bool()>& aDone,
             Duration aLimit = seconds(8)) const
  {
    return this->loop->RunUntil(aDone, aLimit);
  }

  /// Sends a request and waits for the end of its answer.
  std::string Ask(const std::string& aRequest)
  {
    RawSocket caller = RawSocket::Connect(this->entry->CallerAddress());
    std::string request = aRequest;
    request.insert(request.find("Host:"), "Connection: close\r\n");
    caller.Send(request);
    REQUIRE(this->Until([&] { return caller.IsClosed(); }));
    return caller.received;
  }

  std::unique_ptr<Sidecar> MakeSidecar(const char* aName)
  {
    DaemonSettings made = test::CommonSettings(Role::Sidecar, aName);
    made.sidecar.backend = this->server.Address();
    made.sidecar.service = "chat";
    return *Sidecar::Create(*this->loop, made);
  }

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  AnswerServer server{ *this->loop };
  test::ConfigurationFile file;
  std::vector<std::unique_ptr<Sidecar>> sidecars = [this] {
    std::vector<std::unique_ptr<Sidecar>> made;
    made.push_back(this->MakeSidecar("sidecar-1"));
    made.push_back(this->MakeSidecar("sidecar-2"));
    return made;
  }();
  std::unique_ptr<Entry> entry;
};

const std::string kToken =
  R"(data: {"choices":[{"delta":{"content":"one "},"finish_reason":null}]})"
  "\n\n";
const std::string kLastToken =
  R"(data: {"choices":[{"delta":{},"finish_reason":"stop"}]})"
  "\n\n";
const std::string kDone = "data: [DONE]\n\n";
const std::string kEventHead =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

std::string
ChunkOf(const std::string& aText)
{
  return fmt::format("{:x}\r\n{}\r\n", aText.size(), aText);
}

bool
LooksWhole(const std::string& aAnswer)
{
  const std::size_t head = aAnswer.find("\r\n\r\n");
  if (head == std::string::npos || !aAnswer.starts_with("HTTP/1.1 200")) {
    return false;
  }
  return aAnswer.find("Transfer-Encoding: chunked") < head
           ? aAnswer.ends_with("0\r\n\r\n") &&
               aAnswer.find("event: error") == std::string::npos
           : true;
}

} // namespace

TEST_CASE("a token stream that ends by its own signs is complete", "[sidecar]")
{
  const bool isStream = GENERATE(true, false);
  const std::string events = kToken + kLastToken + kDone;
  AnswerSite site;
  site.server.text =
    GENERATE_COPY(kEventHead + "\r\n" + events,
                  kEventHead + "Transfer-Encoding: chunked\r\n\r\n" +
                    ChunkOf(events) + "0\r\n\r\n");
  const std::string answer = site.Ask(ChatRequest("x", isStream));
  CHECK(LooksWhole(answer));
  CHECK(answer.find("one ") != std::string::npos);
}

// HTTP may end an answer that the engine did not finish, and an engine's last
// event may come before HTTP's end.
TEST_CASE("a token stream without one of its ends is not complete", "[sidecar]")
{
  const bool isStream = GENERATE(true, false);
  const std::string chunked = kEventHead + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string whole = kToken + kLastToken + kDone;
  struct Variant
  {
    std::string text;
    ConnectionEnd end;
  };
  const Variant variant = GENERATE_COPY(values<Variant>({
    { kEventHead + "\r\n" + kToken, ConnectionEnd::Close },
    { kEventHead + "\r\n" + kToken + kLastToken, ConnectionEnd::Close },
    { kEventHead + "\r\n" + kToken + kDone, ConnectionEnd::Close },
    { kEventHead + "\r\n" + whole, ConnectionEnd::Reset },
    { kEventHead + "\r\n" + kToken, ConnectionEnd::Reset },
    { chunked + ChunkOf(kToken) + "0\r\n\r\n", ConnectionEnd::Close },
    { chunked + ChunkOf(whole), ConnectionEnd::Close },
    { chunked + ChunkOf(whole), ConnectionEnd::Reset },
    { chunked + ChunkOf(whole) + "0x0\r\n\r\n", ConnectionEnd::Close },
    { kEventHead + "Content-Length: 9000\r\n\r\n" + whole,
      ConnectionEnd::Close },
    { "HTTP/1.1 200 OK\r\nContent-Type : text/event-stream\r\n\r\n" + whole,
      ConnectionEnd::Close },
    { "HTTP/1.1 2000 OK\r\n\r\n" + whole, ConnectionEnd::Close },
  }));
  CAPTURE(isStream, variant.text, variant.end);
  AnswerSite site;
  site.server.text = variant.text;
  site.server.end = variant.end;
  CHECK_FALSE(LooksWhole(site.Ask(ChatRequest("x", isStream))));
}

// The part of an answer that came before a reset would reach the caller as all
// of it.
TEST_CASE("a plain answer that is cut is not passed on as whole", "[sidecar]")
{
  const std::size_t size = GENERATE(100U, 3'000'000U);
  const std::string body(size, 'y');
  const std::string head = GENERATE(as<std::string>{},
                                    "HTTP/1.1 200 OK\r\n\r\n",
                                    "HTTP/1.1 200 OK\r\n"
                                    "Content-Length: 3000001\r\n\r\n",
                                    "HTTP/1.1 200 OK\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n2dc6c1"
                                    "\r\n");
  CAPTURE(size, head);
  AnswerSite site(true);
  site.server.text = head + body;
  site.server.end = ConnectionEnd::Reset;
  CHECK_FALSE(LooksWhole(site.Ask(kPlainRequest)));
}

// A part of the first answer would be followed by the second, in one answer.
TEST_CASE("a plain answer is of one attempt only", "[sidecar]")
{
  const std::size_t size = GENERATE(100U, 3'000'000U);
  const std::string body = std::string(size, 'y') + "end";
  AnswerSite site(true);
  site.server.text = "HTTP/1.1 200 OK\r\n\r\n" + body;
  // A retry is paid for by requests that succeeded.
  for (int i = 0; i < 30; ++i) {
    REQUIRE(LooksWhole(site.Ask(kPlainRequest)));
  }
  const std::size_t before = site.server.Accepted();
  const std::size_t cut = GENERATE_COPY(25U, 19U + size / 2, 19U + size);
  site.server.nextCut = cut;
  site.server.turnsBeforeReset = GENERATE(0, 50);
  CAPTURE(size, cut);
  const std::string answer = site.Ask(kPlainRequest);
  const std::size_t calls = site.server.Accepted() - before;
  const auto count = static_cast<std::size_t>(std::ranges::count(answer, 'y'));
  CAPTURE(calls, count);
  if (LooksWhole(answer)) {
    CHECK(calls == 2);
    CHECK(count == size);
    CHECK(answer.find("yend") != std::string::npos);
  } else {
    // Of what the caller has, nothing is of a second attempt.
    CHECK(size > 1000);
    CHECK(count <= size);
  }
}

// A whole error answer of an engine is passed on; a cut one is not.
TEST_CASE("an engine's error answer is passed on whole or not at all",
          "[sidecar]")
{
  const bool isStream = GENERATE(true, false);
  const ConnectionEnd end =
    GENERATE(ConnectionEnd::Close, ConnectionEnd::Reset);
  AnswerSite site;
  site.server.text = "HTTP/1.1 404 Not Found\r\n\r\nno such model";
  site.server.end = end;
  const std::string answer = site.Ask(ChatRequest("x", isStream));
  const bool isWhole = end == ConnectionEnd::Close;
  CAPTURE(isStream, answer);
  CHECK(answer.starts_with("HTTP/1.1 404") == isWhole);
  CHECK(answer.ends_with("no such model") == isWhole);
}

// An engine's answer without end would be held until the machine is out of
// memory.
TEST_CASE("an engine's answer without end is given up", "[sidecar][endless]")
{
  const std::string bytes(60'000, 'x');
  struct Variant
  {
    std::string text;
    std::string repeated;
  };
  const Variant variant = GENERATE_COPY(values<Variant>({
    { "", bytes },
    { "HTTP/1.1 200 OK\r\n", Repeat("X-Filler: and so on\r\n", 4096) },
    { "", Repeat("HTTP/1.1 100 Continue\r\n\r\n", 4096) },
    { kEventHead + "\r\ndata: ", bytes },
    { kEventHead + "\r\n", Repeat("data: xxx\n", 4096) },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      std::string(4096, '0') },
    { "HTTP/1.1 400 Bad Request\r\n\r\n", bytes },
    { "HTTP/1.1 400 Bad Request\r\nContent-Length: 9000000000\r\n\r\n", bytes },
    { "HTTP/1.1 400 Bad Request\r\nTransfer-Encoding: chunked\r\n\r\n",
      ChunkOf(bytes) },
  }));
  const bool isStream = GENERATE(true, false);
  CAPTURE(isStream, variant.text, variant.repeated.substr(0, 30));
  AnswerSite site;
  site.server.text = variant.text;
  site.server.repeated = variant.repeated;
  site.server.end = ConnectionEnd::Never;
  const TimePoint begun = Now();
  CHECK_FALSE(LooksWhole(site.Ask(ChatRequest("x", isStream))));
  CHECK(Between(begun, Now()) < seconds(2));
  CHECK(site.Until([&] { return site.server.OpenCount() == 0; }));
  CHECK(site.server.BytesSent() <
        site.server.Accepted() * (4U << 20U) + kSocketBuffers);
}

namespace {

bool
IsUp(Sidecar& aSidecar)
{
  return aSidecar.Statusz().find("\"backend_up\" : true") != std::string::npos;
}

/// A site whose engine refuses connections until Listen().
struct DownSite
{
  DownSite()
  {
    DaemonSettings made = test::CommonSettings(Role::Sidecar, "sidecar-1");
    made.sidecar.backend = this->address;
    made.sidecar.service = "chat";
    this->sidecar = *Sidecar::Create(*this->loop, made);
    this->entry = *Entry::Create(
      *this->loop, test::EntryFor(this->file, this->sidecar->PeerAddress()));
    this->Until([&] { return this->entry->Ready().ok(); });
    this->caller = RawSocket::Connect(this->entry->CallerAddress());
    this->caller.Send(ChatRequest("x", true, "brief"));
    REQUIRE(this->Until([&] { return !IsUp(*this->sidecar); }));
  }

  bool Until(const std::function<bool()>& aDone,
             Duration aLimit = seconds(5)) const
  {
    return this->loop->RunUntil(aDone, aLimit);
  }

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  SocketAddress address = test::DeadAddress();
  test::ConfigurationFile file;
  std::unique_ptr<Sidecar> sidecar;
  std::unique_ptr<Entry> entry;
  RawSocket caller;
};

} // namespace

// A process that answers with other bytes would be sent requests again.
TEST_CASE("a malformed head does not bring an engine back", "[sidecar][trial]")
{
  DownSite site;
  AnswerServer server(*site.loop, site.address.port);
  server.text = GENERATE(as<std::string>{},
                         "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\n{}",
                         "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
                         "HTTP/1.1 103 Early Hints\r\n\r\n",
                         "HTTP/1.1 200 OK\r\n",
                         "OK\r\n\r\n");
  CAPTURE(server.text);
  site.Until([&] { return server.Accepted() > 2 || IsUp(*site.sidecar); });
  CHECK(server.Accepted() > 2);
  CHECK_FALSE(IsUp(*site.sidecar));
}

// The trial's answer is of no use beyond its head; one without end would be
// read for as long as the sidecar runs.
TEST_CASE("a trial of an engine ends with the head of its answer",
          "[sidecar][trial][endless]")
{
  DownSite site;
  AnswerServer server(*site.loop, site.address.port);
  server.text = "HTTP/1.1 200 OK\r\n\r\n";
  server.repeated = std::string(60'000, 'x');
  server.end = ConnectionEnd::Never;
  REQUIRE(site.Until([&] { return IsUp(*site.sidecar); }));
  site.caller.Close();
  CHECK(site.Until([&] { return server.OpenCount() == 0; }));
}
