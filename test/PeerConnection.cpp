#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dogwoodvale/Peer"

using namespace dogwoodvale;

namespace {

Hello
MakeHello(std::string aInstance)
{
  Hello hello;
  hello.protocolVersion = 1;
  hello.secret = "shared";
  hello.instance = std::move(aInstance);
  hello.incarnation = 7;
  return hello;
}

/// Records what happens on a stream, in order.
struct StreamLog : PeerStreamHandler
{
  void OnMessage(Message aMessage) override
  {
    if (const auto* chunk = std::get_if<Chunk>(&aMessage)) {
      this->textBytes += chunk->text.size();
    }
    this->messages.push_back(std::move(aMessage));
    this->onMessage();
  }
  void OnEnd() override { this->ended = true; }
  void OnLost(const absl::Status& aReason) override
  {
    this->lost = aReason;
    this->onLost();
  }
  void OnWritable() override { ++this->writable; }

  std::unique_ptr<PeerStream> stream;
  std::vector<Message> messages;
  std::size_t textBytes = 0;
  bool ended = false;
  std::optional<absl::Status> lost;
  int writable = 0;
  std::function<void()> onMessage = [] {};
  std::function<void()> onLost = [] {};
};

/// One end of a connection.
struct End : PeerConnectionHandler
{
  void OnReady(const Hello& aPeer) override { this->peer = aPeer; }
  void OnNotice(const Notice& aNotice) override
  {
    this->notices.push_back(aNotice);
  }
  void OnClosed(const absl::Status& aReason) override
  {
    this->closed = aReason;
    this->onClosed();
  }
  void OnStream(std::unique_ptr<PeerStream> aStream) override
  {
    this->streams.push_back(Adopt(std::move(aStream)));
  }
  static std::unique_ptr<StreamLog> Adopt(std::unique_ptr<PeerStream> aStream)
  {
    auto log = std::make_unique<StreamLog>();
    log->stream = std::move(aStream);
    log->stream->SetHandler(log.get());
    return log;
  }

  std::unique_ptr<PeerConnection> connection;
  std::optional<Hello> peer;
  std::vector<Notice> notices;
  std::optional<absl::Status> closed;
  std::vector<std::unique_ptr<StreamLog>> streams;
  std::function<void()> onClosed = [] {};
};

/// A listener and a client on one loop.
struct Pair : PeerAcceptor
{
  explicit Pair(PeerOptions aOptions = {})
    : options(aOptions)
    , loop(std::move(*EventLoop::Create()))
    , listener(std::move(*PeerListener::Create(*this->loop,
                                               { "127.0.0.1", 0 },
                                               aOptions,
                                               MakeHello("server"),
                                               *this)))
  {
  }
  PeerConnectionHandler& OnAccepted(std::unique_ptr<PeerConnection> aConnection,
                                    const Hello& aPeer) override
  {
    // The first one is the server's end of the client's connection.
    if (this->server.connection != nullptr) {
      this->others.push_back(std::make_unique<End>());
    }
    End& end = this->others.empty() ? this->server : *this->others.back();
    end.connection = std::move(aConnection);
    end.peer = aPeer;
    return end;
  }
  void Connect(const Hello& aHello)
  {
    this->client.connection = PeerConnection::Connect(
      *this->loop, this->listener->Address(), this->options, aHello, client);
  }
  void ConnectReady()
  {
    this->Connect(MakeHello("client"));
    REQUIRE(this->Until([&] { return this->client.peer.has_value(); }));
  }
  bool Until(const std::function<bool()>& aDone, Duration aLimit = seconds(5))
  {
    return this->loop->RunUntil(aDone, aLimit);
  }
  /// A stream with a request on it, which the server has seen.
  std::unique_ptr<StreamLog> Open()
  {
    const std::size_t count = this->server.streams.size();
    auto log = End::Adopt(this->client.connection->OpenStream());
    log->stream->Send(RunRequest{});
    REQUIRE(this->Until([&] { return this->server.streams.size() > count; }));
    return log;
  }
  StreamLog& Served(std::size_t aIndex)
  {
    return *this->server.streams.at(aIndex);
  }

  PeerOptions options;
  std::unique_ptr<EventLoop> loop;
  std::unique_ptr<PeerListener> listener;
  End server;
  End client;
  std::vector<std::unique_ptr<End>> others;
};

Chunk
MakeChunk(std::uint64_t aSequence, std::size_t aSize = 5)
{
  Chunk chunk;
  chunk.sequence = aSequence;
  chunk.text = std::string(aSize, 'x');
  return chunk;
}

/// A socket that speaks whatever bytes a test wants.
struct RawPeer
{
  RawPeer(EventLoop& aLoop, const SocketAddress& aAddress)
    : socket(bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aAddress.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bufferevent_setcb(
      this->socket,
      nullptr,
      nullptr,
      [](bufferevent*, short aWhat, void* aSelf) {
        static_cast<RawPeer*>(aSelf)->gone |=
          (aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
      },
      this);
    bufferevent_enable(this->socket, EV_READ | EV_WRITE);
    bufferevent_socket_connect(
      this->socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
  ~RawPeer() { bufferevent_free(this->socket); }
  void Write(std::string_view aBytes)
  {
    bufferevent_write(this->socket, aBytes.data(), aBytes.size());
  }
  std::size_t Received() const
  {
    return evbuffer_get_length(bufferevent_get_input(this->socket));
  }

  bufferevent* socket;
  bool gone = false;
};

using namespace std::string_view_literals;
constexpr std::string_view kMagic = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
                                    "\0\0\0\x04\0\0\0\0\0"sv;

} // namespace

TEST_CASE("a request and its answer go round")
{
  Pair pair;
  pair.ConnectReady();
  REQUIRE(pair.client.peer->instance == "server");
  REQUIRE(pair.server.peer->instance == "client");
  const auto call = End::Adopt(pair.client.connection->OpenStream());
  REQUIRE_FALSE(call->stream->WasWritten());
  RunRequest request;
  request.body = std::string(1U << 20U, 'b');
  call->stream->Send(request);
  call->stream->FinishSending();
  REQUIRE_FALSE(call->stream->WasWritten());
  REQUIRE(pair.Until(
    [&] { return !pair.server.streams.empty() && pair.Served(0).ended; }));
  REQUIRE(call->stream->WasWritten());
  StreamLog& served = pair.Served(0);
  REQUIRE(std::get<RunRequest>(served.messages.at(0)).body == request.body);
  served.stream->Send(Started{ 3 });
  served.stream->Send(MakeChunk(0));
  served.stream->FinishSending();
  // Nothing of a finished answer is lost when its stream is let go.
  served.stream.reset();
  REQUIRE(pair.Until([&] { return call->ended; }));
  REQUIRE(call->messages.size() == 2);
  REQUIRE(std::get<Chunk>(call->messages[1]).text == "xxxxx");
  REQUIRE_FALSE(call->lost);
  REQUIRE(pair.client.connection->StreamCount() == 0);
  REQUIRE(pair.server.connection->StreamCount() == 0);
}

TEST_CASE("a finished answer arrives though the request was not ended")
{
  Pair pair;
  pair.ConnectReady();
  const auto call = pair.Open();
  pair.Served(0).stream->Send(MakeChunk(0, 1U << 20U));
  pair.Served(0).stream->FinishSending();
  pair.Served(0).stream.reset();
  REQUIRE(pair.Until([&] { return call->ended; }));
  REQUIRE(call->textBytes == 1U << 20U);
  REQUIRE_FALSE(
    pair.Until([&] { return call->lost.has_value(); }, milliseconds(20)));
  REQUIRE(pair.client.connection->StreamCount() == 0);
}

TEST_CASE("a peer without the secret, or of another version, gets nothing")
{
  // The caller sees a closed connection. The listener reads the hello, finds
  // it wrong and closes; since it sends nothing before that check, not even
  // its settings reach a stranger.
  Pair pair;
  Hello hello = MakeHello("client");
  hello.secret = "shareD";
  SECTION("a wrong secret") {}
  SECTION("a secret of another length")
  {
    hello.secret = "share";
  }
  SECTION("no secret")
  {
    hello.secret.clear();
  }
  SECTION("another version")
  {
    hello.secret = "shared";
    hello.protocolVersion = 2;
  }
  pair.Connect(hello);
  REQUIRE(pair.Until([&] { return pair.client.closed.has_value(); }));
  REQUIRE_FALSE(pair.client.peer);
  REQUIRE_FALSE(pair.server.peer);
  REQUIRE(pair.client.connection->BytesReceived() == 0);
  REQUIRE(pair.client.connection->OpenStream() == nullptr);
  REQUIRE(pair.listener->RejectedCount() == 1);
}

TEST_CASE("garbage closes its own connection and is counted")
{
  // Where bytes came that are wrong, none waits for the hello's deadline.
  PeerOptions options;
  options.connectTimeout = seconds(10);
  std::string bytes(kMagic);
  SECTION("another protocol")
  {
    bytes = "GET / HTTP/1.1\r\n\r\n";
  }
  SECTION("nothing at all")
  {
    bytes.clear();
    options.connectTimeout = milliseconds(150);
  }
  SECTION("no hello")
  {
    options.connectTimeout = milliseconds(150);
  }
  SECTION("a frame of an impossible length")
  {
    bytes += "\xff\xff\xff\0\0\0\0\0\x01"sv;
  }
  SECTION("headers that do not decode")
  {
    bytes += "\0\0\x04\x01\x04\0\0\0\x01\xff\xff\xff\xff"sv;
  }
  SECTION("a stream before the hello")
  {
    bytes += "\0\0\x06\x01\x04\0\0\0\x01\x83\x86\x84\x41\x01p"sv;
    bytes += "\0\0\x06\x01\x04\0\0\0\x03\x83\x86\x84\x41\x01p"sv;
  }
  SECTION("a flood of settings")
  {
    for (int i = 0; i < 300; ++i) {
      bytes += "\0\0\0\x04\0\0\0\0\0"sv;
    }
  }
  Pair pair(options);
  pair.ConnectReady();
  RawPeer raw(*pair.loop, pair.listener->Address());
  raw.Write(bytes);
  REQUIRE(pair.Until([&] { return raw.gone; }, seconds(1)));
  REQUIRE(raw.Received() == 0);
  REQUIRE(pair.listener->RejectedCount() == 1);
  // No effect on others.
  const auto call = pair.Open();
  REQUIRE_FALSE(call->lost);
}

TEST_CASE("a slow reader stops its own stream alone, in bounded memory")
{
  // The reader of one stream pauses. What its window allows still comes, the
  // rest stays queued at the sender, and the connection's window stays open
  // since it is acknowledged at once; so the other stream goes on.
  Pair pair;
  pair.ConnectReady();
  const auto slow = pair.Open();
  const auto fast = pair.Open();
  slow->stream->SetReadingPaused(true);
  constexpr std::size_t kTotal = 32U << 20U;
  constexpr std::size_t kPart = 64U << 10U;
  PeerStream& sender = *pair.Served(0).stream;
  for (std::size_t i = 0; i < kTotal / kPart; ++i) {
    sender.Send(MakeChunk(i, kPart));
  }
  for (int round = 0; round < 100; ++round) {
    pair.Served(1).stream->Send(MakeChunk(0, kPart));
  }
  REQUIRE(pair.Until([&] { return fast->textBytes == 100 * kPart; }));
  REQUIRE(slow->textBytes <= pair.options.streamWindowBytes);
  REQUIRE(sender.QueuedBytes() >= kTotal - pair.options.streamWindowBytes);
  REQUIRE(pair.client.connection->BytesReceived() < 101 * kPart + (1U << 20U));
  REQUIRE(pair.Served(0).writable == 0);

  slow->stream->SetReadingPaused(false);
  REQUIRE(pair.Until([&] { return slow->textBytes == kTotal; }));
  REQUIRE(pair.Served(0).writable == 1);
  REQUIRE(sender.QueuedBytes() == 0);
}

TEST_CASE("a cancel reaches the other side at once")
{
  Pair pair;
  pair.ConnectReady();
  auto call = pair.Open();
  // Even from behind a full window.
  call->stream->SetReadingPaused(true);
  pair.Served(0).stream->Send(MakeChunk(0, 4U << 20U));
  pair.Until([] { return false; }, milliseconds(20));
  const TimePoint start = Now();
  SECTION("the caller")
  {
    call->stream->FinishSending();
    call.reset();
    REQUIRE(pair.Until([&] { return pair.Served(0).lost.has_value(); }));
    REQUIRE(absl::IsCancelled(*pair.Served(0).lost));
  }
  SECTION("the answering side, which has not finished")
  {
    pair.Served(0).stream.reset();
    REQUIRE(pair.Until([&] { return call->lost.has_value(); }));
    REQUIRE(absl::IsCancelled(*call->lost));
    REQUIRE_FALSE(call->ended);
  }
  REQUIRE(Now() - start < milliseconds(50));
  REQUIRE(pair.client.connection->StreamCount() == 0);
  REQUIRE(pair.server.connection->StreamCount() == 0);
}

TEST_CASE("a stream that is dropped before the loop turns is never seen")
{
  Pair pair;
  pair.ConnectReady();
  {
    const auto call = End::Adopt(pair.client.connection->OpenStream());
    call->stream->Send(RunRequest{});
    REQUIRE_FALSE(call->stream->WasWritten());
  }
  const auto next = pair.Open();
  REQUIRE(pair.server.streams.size() == 1);
}

TEST_CASE("a lost connection loses its streams first")
{
  Pair pair;
  pair.ConnectReady();
  const auto first = pair.Open();
  const auto second = pair.Open();
  std::vector<std::string> order;
  first->onLost = [&] { order.emplace_back("stream"); };
  second->onLost = [&] { order.emplace_back("stream"); };
  pair.client.onClosed = [&] { order.emplace_back("connection"); };
  SECTION("closed by the peer")
  {
    pair.server.connection.reset();
    REQUIRE(absl::IsCancelled(pair.Served(0).lost.value()));
    REQUIRE(pair.Until([&] { return pair.client.closed.has_value(); }));
    REQUIRE(absl::IsUnavailable(*first->lost));
    REQUIRE(order ==
            std::vector<std::string>{ "stream", "stream", "connection" });
  }
  SECTION("destroyed here")
  {
    pair.client.connection.reset();
    REQUIRE(order == std::vector<std::string>{ "stream", "stream" });
    REQUIRE(pair.Until([&] { return pair.server.closed.has_value(); }));
  }
  REQUIRE(first->stream->WasWritten());
  first->stream->Send(RunRequest{});
  REQUIRE(first->stream->QueuedBytes() == 0);
}

TEST_CASE("a failure to connect is told by OnClosed, not inside Connect")
{
  Pair pair;
  SocketAddress address = pair.listener->Address();
  absl::StatusCode code = absl::StatusCode::kUnavailable;
  SECTION("refused")
  {
    pair.listener->StopAccepting();
  }
  SECTION("not an address")
  {
    address.ip = "localhost";
    code = absl::StatusCode::kInvalidArgument;
  }
  // A link-local address that names no link fails in the system call itself.
  SECTION("refused by this system")
  {
    address.ip = "fe80::1";
  }
  pair.client.connection = PeerConnection::Connect(
    *pair.loop, address, {}, MakeHello("client"), pair.client);
  REQUIRE_FALSE(pair.client.closed);
  REQUIRE(pair.Until([&] { return pair.client.closed.has_value(); }));
  REQUIRE(pair.client.closed->code() == code);
}

TEST_CASE("idle connections stay, silent peers do not")
{
  PeerOptions options;
  options.heartbeatPeriod = milliseconds(20);
  options.heartbeatTimeout = milliseconds(100);
  Pair pair(options);
  SECTION("heartbeats repeat the last notice")
  {
    pair.ConnectReady();
    Notice notice;
    notice.epoch = 9;
    notice.draining = true;
    pair.server.connection->SetNotice(notice, false);
    REQUIRE_FALSE(pair.Until([&] { return pair.client.closed.has_value(); },
                             milliseconds(300)));
    REQUIRE(pair.client.notices.size() >= 5);
    REQUIRE(pair.client.notices.size() <= 16);
    REQUIRE(pair.client.notices.back().epoch == 9);
    REQUIRE(pair.client.notices.back().draining);
  }
  SECTION("an idle connection is silent for as long as its notice says")
  {
    pair.ConnectReady();
    Notice notice;
    notice.idlePeriodMillis = 60;
    pair.server.connection->SetNotice(notice, true);
    pair.client.connection->SetNotice(notice, true);
    pair.Until([] { return false; }, milliseconds(50));
    pair.client.notices.clear();
    REQUIRE_FALSE(pair.Until([&] { return pair.client.closed.has_value(); },
                             milliseconds(400)));
    REQUIRE(pair.client.notices.size() >= 3);
    REQUIRE(pair.client.notices.size() <= 7);
    // With a stream open a silence of 100 ms is too long again, and the
    // heartbeats come every 20 ms.
    pair.client.notices.clear();
    const auto call = pair.Open();
    REQUIRE_FALSE(pair.Until([&] { return pair.client.closed.has_value(); },
                             milliseconds(300)));
    REQUIRE(pair.client.notices.size() >= 5);
  }
  SECTION("no heartbeat while other bytes go out")
  {
    pair.ConnectReady();
    const auto call = pair.Open();
    Timer token(*pair.loop, [&] { pair.Served(0).stream->Send(MakeChunk(0)); });
    token.StartRepeating(milliseconds(5));
    pair.Until([] { return false; }, milliseconds(200));
    REQUIRE(call->messages.size() > 10);
    REQUIRE(pair.client.notices.size() <= 2);
  }
  SECTION("a process that was stopped itself does not blame its peer")
  {
    pair.ConnectReady();
    usleep(300000);
    REQUIRE_FALSE(pair.Until([&] { return pair.client.closed.has_value(); },
                             milliseconds(300)));
    REQUIRE_FALSE(pair.server.closed);
  }
  SECTION("a peer that says nothing any more")
  {
    // A process that was stopped: its kernel still takes what is sent.
    PeerOptions mute = options;
    mute.heartbeatPeriod = seconds(60);
    mute.heartbeatTimeout = seconds(60);
    pair.options = mute;
    pair.ConnectReady();
    const TimePoint start = Now();
    REQUIRE(pair.Until([&] { return pair.server.closed.has_value(); }));
    REQUIRE(absl::IsDeadlineExceeded(*pair.server.closed));
    REQUIRE(Now() - start < milliseconds(400));
    REQUIRE(pair.listener->RejectedCount() == 0);
  }
}

/// A listener whose process is stopped: the kernel accepts, nobody answers.
struct FrozenListener
{
  FrozenListener()
    : descriptor(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(
      bind(this->descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(this->descriptor, 1) == 0);
    getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
  }
  ~FrozenListener() { close(this->descriptor); }
  SocketAddress Address() const { return { "127.0.0.1", this->port }; }

  int descriptor;
  std::uint16_t port = 0;
};

TEST_CASE("a hello that does not come is not waited for")
{
  PeerOptions options;
  options.connectTimeout = milliseconds(50);
  Pair pair(options);
  const FrozenListener frozen;
  pair.client.connection = PeerConnection::Connect(
    *pair.loop, frozen.Address(), options, MakeHello("client"), pair.client);
  REQUIRE(pair.Until([&] { return pair.client.closed.has_value(); }));
  REQUIRE(absl::IsDeadlineExceeded(*pair.client.closed));
}

/// What a connecting side with the right secret sends first.
std::string
CaptureOpening(Pair& aPair)
{
  const FrozenListener frozen;
  End end;
  end.connection = PeerConnection::Connect(
    *aPair.loop, frozen.Address(), {}, MakeHello("client"), end);
  aPair.Until([&] { return end.connection->BytesSent() > 0; });
  const int taken = accept(frozen.descriptor, nullptr, nullptr);
  std::string bytes(4096, '\0');
  const ssize_t size = recv(taken, bytes.data(), bytes.size(), 0);
  close(taken);
  bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
  return bytes;
}

TEST_CASE("mutated openings harm nobody")
{
  PeerOptions options;
  options.connectTimeout = milliseconds(20);
  Pair pair(options);
  pair.ConnectReady();
  const std::string opening = CaptureOpening(pair);
  REQUIRE(opening.find("shared") != std::string::npos);
  rc::prop("mutate and listen", [&] {
    std::string bytes = opening;
    const int count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i) {
      // Behind the magic, which every mutation of is refused alike.
      bytes[*rc::gen::inRange<std::size_t>(24, bytes.size())] =
        *rc::gen::arbitrary<char>();
    }
    RawPeer raw(*pair.loop, pair.listener->Address());
    raw.Write(bytes);
    const auto isSettled = [&] { return raw.gone || raw.Received() > 0; };
    RC_ASSERT(pair.Until(isSettled, seconds(1)));
    const std::size_t before = pair.client.notices.size();
    pair.server.connection->SetNotice({}, true);
    RC_ASSERT(pair.Until([&] { return pair.client.notices.size() > before; }));
    pair.others.clear();
  });
}

TEST_CASE("handlers may destroy streams and connections in callbacks")
{
  // A handler frees what calls it. The session is on the stack below, inside
  // nghttp2, and would go on in freed memory; it is freed last of all.
  Pair pair;
  pair.ConnectReady();
  auto call = pair.Open();
  auto other = pair.Open();
  PeerStream& sender = *pair.Served(0).stream;
  SECTION("the stream at its first message")
  {
    StreamLog& log = *call;
    log.onMessage = [&] { log.stream.reset(); };
    sender.Send(MakeChunk(0));
    sender.Send(MakeChunk(1));
    REQUIRE(pair.Until([&] { return pair.Served(0).lost.has_value(); }));
    REQUIRE(log.messages.size() == 1);
  }
  SECTION("the connection at a message")
  {
    call->onMessage = [&] { pair.client.connection.reset(); };
    sender.Send(MakeChunk(0));
    sender.Send(MakeChunk(1));
    REQUIRE(pair.Until([&] { return pair.server.closed.has_value(); }));
    REQUIRE(call->messages.size() == 1);
    REQUIRE(call->lost);
    REQUIRE(other->lost);
    REQUIRE_FALSE(pair.client.closed);
  }
  SECTION("the connection and the other stream when one is lost")
  {
    call->onLost = [&] {
      pair.client.connection.reset();
      other->stream.reset();
    };
    other->onLost = [&] {
      pair.client.connection.reset();
      call->stream.reset();
    };
    pair.server.connection.reset();
    REQUIRE(pair.Until([&] { return call->lost || other->lost; }));
    REQUIRE_FALSE((call->lost && other->lost));
  }
  SECTION("the connection when it is closed")
  {
    pair.client.onClosed = [&] { pair.client.connection.reset(); };
    pair.server.connection.reset();
    REQUIRE(pair.Until([&] { return pair.client.closed.has_value(); }));
  }
}

TEST_CASE("a message that is too long costs its stream only")
{
  Pair pair;
  pair.ConnectReady();
  const auto big = pair.Open();
  const auto other = pair.Open();
  big->stream->Send(MakeChunk(0, kMaxMessageBytes));
  REQUIRE(pair.Until([&] { return big->lost.has_value(); }));
  REQUIRE(absl::IsResourceExhausted(*big->lost));
  REQUIRE(absl::IsResourceExhausted(pair.Served(0).lost.value()));
  REQUIRE_FALSE(other->lost);
}

TEST_CASE("many incomplete messages are bounded together")
{
  Pair pair;
  pair.ConnectReady();
  std::vector<std::unique_ptr<StreamLog>> calls;
  std::size_t lost = 0;
  for (int i = 0; i < 12; ++i) {
    calls.push_back(pair.Open());
    calls.back()->onLost = [&] { ++lost; };
    pair.Served(i).stream->SetReadingPaused(false);
    calls.back()->stream->Send(MakeChunk(0, kMaxMessageBytes - 100));
  }
  REQUIRE(pair.Until([&] {
    std::size_t whole = 0;
    for (const auto& served : pair.server.streams) {
      whole += served->textBytes > 0 ? 1 : 0;
    }
    return lost + whole == 12;
  }));
  REQUIRE(lost > 0);
  REQUIRE(lost < 12);
}

TEST_CASE("1,500 streams at once, and no more than the bound")
{
  PeerOptions options;
  options.maxStreams = 1500;
  Pair pair(options);
  pair.ConnectReady();
  std::vector<std::unique_ptr<StreamLog>> calls;
  for (std::uint64_t i = 0; i < 1500; ++i) {
    calls.push_back(End::Adopt(pair.client.connection->OpenStream()));
    calls.back()->stream->Send(MakeChunk(i));
  }
  REQUIRE(pair.client.connection->OpenStream() == nullptr);
  const auto allCame = [](const auto& aLogs) {
    return aLogs.size() == 1500 &&
           std::none_of(aLogs.begin(), aLogs.end(), [](const auto& aLog) {
             return aLog->messages.empty();
           });
  };
  REQUIRE(pair.Until([&] { return allCame(pair.server.streams); }));
  for (const auto& served : pair.server.streams) {
    served->stream->Send(served->messages.at(0));
    served->stream->FinishSending();
  }
  REQUIRE(pair.Until([&] {
    return std::all_of(calls.begin(), calls.end(), [](const auto& aCall) {
      return aCall->ended;
    });
  }));
  for (std::uint64_t i = 0; i < 1500; ++i) {
    REQUIRE(std::get<Chunk>(calls[i]->messages.at(0)).sequence == i);
  }
  // Cancelling them all at once is no flood.
  calls.clear();
  REQUIRE(
    pair.Until([&] { return pair.server.connection->StreamCount() == 0; }));
  const auto next = pair.Open();
  REQUIRE_FALSE(pair.client.closed);
}

TEST_CASE("a peer that opens and resets without end is closed")
{
  // The bound on open streams does not bound how many are opened: each reset
  // makes room for the next, and each costs the listening side a request.
  PeerOptions options;
  options.maxStreams = 100;
  Pair pair(options);
  pair.ConnectReady();
  for (int round = 0; round < 30 && !pair.client.closed; ++round) {
    std::vector<std::unique_ptr<StreamLog>> calls;
    while (auto stream = pair.client.connection->OpenStream()) {
      calls.push_back(End::Adopt(std::move(stream)));
      calls.back()->stream->Send(RunRequest{});
    }
    const auto count = [&] { return pair.server.connection->StreamCount(); };
    pair.Until([&] { return pair.client.closed || count() == 100; });
    calls.clear();
    pair.Until([&] { return pair.client.closed || count() == 0; });
  }
  REQUIRE(pair.Until([&] { return pair.client.closed.has_value(); }));
  REQUIRE(pair.listener->RejectedCount() == 1);
}
