#include <catch2/catch.hpp>

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
    this->messages.push_back(std::move(aMessage));
  }
  void OnEnd() override { this->ended = true; }
  void OnLost(const absl::Status& aReason) override { this->lost = aReason; }
  void OnWritable() override { ++this->writable; }

  std::unique_ptr<PeerStream> stream;
  std::vector<Message> messages;
  bool ended = false;
  std::optional<absl::Status> lost;
  int writable = 0;
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
    this->server.connection = std::move(aConnection);
    this->server.peer = aPeer;
    return this->server;
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
  std::unique_ptr<StreamLog> Open()
  {
    return End::Adopt(this->client.connection->OpenStream());
  }

  PeerOptions options;
  std::unique_ptr<EventLoop> loop;
  std::unique_ptr<PeerListener> listener;
  End server;
  End client;
};

Chunk
MakeChunk(std::uint64_t aSequence, std::size_t aSize = 5)
{
  Chunk chunk;
  chunk.sequence = aSequence;
  chunk.text = std::string(aSize, 'x');
  return chunk;
}

} // namespace

TEST_CASE("a request and its answer go round")
{
  Pair pair;
  pair.ConnectReady();
  REQUIRE(pair.client.peer->instance == "server");
  REQUIRE(pair.server.peer->instance == "client");
  const auto call = pair.Open();
  REQUIRE_FALSE(call->stream->WasWritten());
  RunRequest request;
  request.body = std::string(1U << 20U, 'b');
  call->stream->Send(request);
  call->stream->FinishSending();
  REQUIRE(pair.Until([&] {
    return !pair.server.streams.empty() && pair.server.streams[0]->ended;
  }));
  REQUIRE(call->stream->WasWritten());
  StreamLog& served = *pair.server.streams[0];
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
