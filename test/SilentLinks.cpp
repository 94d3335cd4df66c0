#include <catch2/catch.hpp>

#include <linux/filter.h>

#include "RawSockets.h"
#include "dogwoodvale/Http"

using namespace dogwoodvale;
using test::RawSocket;

namespace {

constexpr Duration kLimit = seconds(1);
/// What the tests allow beyond a limit, for a busy machine.
constexpr Duration kSlack = seconds(1);
constexpr std::size_t kBodyBytes = 100'000;
constexpr std::size_t kWindowBytes = 16U << 10U;

class Recorder final : public BackendCallHandler
{
public:
  void OnHead(int /*aStatus*/,
              std::span<const HeaderField> /*aHeaders*/) override
  {
  }
  void OnBody(std::string_view aBytes) override { this->body += aBytes; }
  void OnComplete(AnswerEnd /*aEnd*/) override { this->complete = true; }
  void OnFailed(const absl::Status& aReason, bool /*aWritten*/) override
  {
    this->reason = aReason;
    this->failed = true;
  }

  std::unique_ptr<BackendCall> call;
  std::string body;
  bool complete = false;
  bool failed = false;
  absl::Status reason;
};

/// A server with a small window that reads only when told to.
struct Fixture
{
  Fixture()
    : client(std::move(*BackendClient::Create(*this->loop,
                                              this->listener.Address(),
                                              Options())))
  {
  }

  static BackendClientOptions Options()
  {
    BackendClientOptions options;
    options.silentLinkTimeout = kLimit;
    return options;
  }

  static RawSocket SmallWindow()
  {
    RawSocket made = RawSocket::Listen();
    const int bytes = kWindowBytes;
    setsockopt(made.Descriptor(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    return made;
  }

  void Start(std::size_t aBodyBytes)
  {
    this->recorder.call = this->client->Start(
      { "POST", "/x", {}, std::string(aBodyBytes, 'b') }, this->recorder);
    REQUIRE(this->loop->RunUntil(
      [this] { return this->listener.Accept(this->server); }, seconds(5)));
  }

  bool Until(const std::function<bool()>& aDone, Duration aLimit) const
  {
    return this->loop->RunUntil(aDone, aLimit);
  }

  void Run(Duration aTime) const
  {
    this->loop->RunUntil([] { return false; }, aTime);
  }

  /// From now on no segment reaches the server, which answers none.
  void FallSilent() const
  {
    sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{ 1, &drop };
    REQUIRE(setsockopt(this->server.Descriptor(),
                       SOL_SOCKET,
                       SO_ATTACH_FILTER,
                       &program,
                       sizeof(program)) == 0);
  }

  /// Reads on. \return whether the whole request has come, of which the test
  /// has read \p aRead bytes before.
  bool ReadsRest(std::size_t aRead)
  {
    return aRead + this->server.Read().size() > kBodyBytes;
  }

  std::unique_ptr<EventLoop> loop = std::move(*EventLoop::Create());
  RawSocket listener = SmallWindow();
  RawSocket server;
  std::unique_ptr<BackendClient> client;
  Recorder recorder;
};

const std::string kHead = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";

} // namespace

// Guards against answers cut as their server reads a long body late.
TEST_CASE("a server that reads a body late keeps its connection")
{
  Fixture f;
  f.Start(kBodyBytes);
  SECTION("and sends nothing meanwhile")
  {
    f.Run(4 * kLimit);
  }
  SECTION("and answers meanwhile")
  {
    f.server.Send(kHead + "o");
    f.Run(4 * kLimit);
    REQUIRE(f.recorder.body == "o");
  }
  REQUIRE_FALSE(f.recorder.failed);
  REQUIRE(f.Until([&f] { return f.ReadsRest(0); }, seconds(5)));
  f.server.Send(f.recorder.body.empty() ? kHead + "ok" : "k");
  REQUIRE(f.Until([&f] { return f.recorder.complete; }, seconds(5)));
  REQUIRE(f.recorder.body == "ok");
}

// Guards against a server taken for gone as its host drops what it can't hold.
TEST_CASE("a server that reads a body piece by piece keeps its connection")
{
  Fixture f;
  f.Start(kBodyBytes);
  std::string piece(kWindowBytes, '\0');
  std::size_t read = 0;
  for (int i = 0; i < 3; ++i) {
    f.Run(kLimit + kLimit / 2);
    const ssize_t size =
      recv(f.server.Descriptor(), piece.data(), piece.size(), MSG_DONTWAIT);
    REQUIRE(size > 0);
    read += static_cast<std::size_t>(size);
  }
  REQUIRE(f.Until([&] { return f.ReadsRest(read); }, seconds(5)));
  REQUIRE_FALSE(f.recorder.failed);
  f.server.Send(kHead + "ok");
  REQUIRE(f.Until([&f] { return f.recorder.complete; }, seconds(5)));
}

// Guards against requests that wait at a link which is silent below TCP.
TEST_CASE("a link that falls silent is given up within its limit")
{
  Fixture f;
  f.Start(0);
  REQUIRE(f.Until([&f] { return f.server.Has("\r\n\r\n"); }, seconds(5)));
  SECTION("with a request in flight")
  {
    f.server.Send(kHead + "ok");
    REQUIRE(f.Until([&f] { return f.recorder.complete; }, seconds(5)));
    f.FallSilent();
    Recorder next;
    next.call = f.client->Start({ "GET", "/x", {}, "" }, next);
    REQUIRE(f.Until([&next] { return next.failed; }, kLimit + kSlack));
    REQUIRE(absl::IsDeadlineExceeded(next.reason));
  }
  SECTION("with an answer due")
  {
    f.FallSilent();
    // The system's own probes of a connection without traffic.
    REQUIRE(f.Until([&f] { return f.recorder.failed; }, 2 * kLimit + kSlack));
  }
}

// Guards against a closed window that hides a link which falls silent.
TEST_CASE("a link that falls silent is given up behind a closed window")
{
  Fixture f;
  f.Start(kBodyBytes);
  f.Run(3 * kLimit);
  REQUIRE_FALSE(f.recorder.failed);
  f.FallSilent();
  REQUIRE(f.Until([&f] { return f.recorder.failed; }, 2 * kLimit + kSlack));
  REQUIRE(absl::IsDeadlineExceeded(f.recorder.reason));
}
