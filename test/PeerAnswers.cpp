#include <catch2/catch.hpp>

#include "RawSockets.h"
#include "dogwoodvale/Peer"

using namespace dogwoodvale;
using test::RawSocket;
using namespace std::string_view_literals;

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

/// Types and flags of frames, RFC 9113.
constexpr char kData = 0;
constexpr char kHeaders = 1;
constexpr char kResetStream = 3;
constexpr char kSettings = 4;
constexpr char kGoAway = 7;
constexpr char kNoFlag = 0;
constexpr char kEndStream = 1;
constexpr char kEndHeaders = 4;
/// ":status: 200" by the static table of RFC 7541.
constexpr std::string_view kStatus200 = "\x88";
constexpr std::string_view kNoError = "\0\0\0\0"sv;
constexpr std::string_view kCancel = "\0\0\0\x08"sv;
/// The stream that the client opens after its control stream.
constexpr char kStreamId = 3;

std::string
Frame(char aType, char aFlags, char aStream, std::string_view aPayload)
{
  std::string frame = { '\0',
                        static_cast<char>(aPayload.size() >> 8U),
                        static_cast<char>(aPayload.size() & 0xffU),
                        aType,
                        aFlags,
                        '\0',
                        '\0',
                        '\0',
                        aStream };
  return frame.append(aPayload);
}

struct StreamLog : PeerStreamHandler
{
  void OnMessage(Message) override { ++this->messages; }
  void OnEnd() override { this->ended = true; }
  void OnLost(const absl::Status&) override { this->lost = true; }

  int messages = 0;
  bool ended = false;
  bool lost = false;
};

/// A client of the product and a peer whose every byte the test decides.
struct RawSite : PeerConnectionHandler
{
  RawSite()
  {
    this->connection = PeerConnection::Connect(
      *this->loop, this->listener.Address(), {}, MakeHello("client"), *this);
    REQUIRE(this->Until([&] { return this->listener.Accept(this->peer); },
                        seconds(5)));
    // Only then has the client opened its control stream.
    REQUIRE(this->Until([&] { return this->peer.Has("shared"); }, seconds(5)));
    this->peer.Send(
      Frame(kSettings, kNoFlag, 0, "") +
      Frame(kHeaders, kEndHeaders, 1, kStatus200) +
      Frame(kData, kNoFlag, 1, EncodeMessage(MakeHello("server"))));
    REQUIRE(this->Until([&] { return this->isReady; }, seconds(5)));
    this->stream = this->connection->OpenStream();
    REQUIRE(this->stream != nullptr);
    this->stream->SetHandler(&this->log);
    this->stream->Send(RunRequest{});
    this->Until([] { return false; });
  }

  bool Until(const std::function<bool()>& aDone,
             Duration aLimit = milliseconds(30)) const
  {
    return this->loop->RunUntil(aDone, aLimit);
  }

  void OnReady(const Hello&) override { this->isReady = true; }
  void OnNotice(const Notice&) override {}
  void OnClosed(const absl::Status&) override {}
  void OnStream(std::unique_ptr<PeerStream>) override {}

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  RawSocket listener = RawSocket::Listen();
  RawSocket peer;
  bool isReady = false;
  StreamLog log;
  std::unique_ptr<PeerConnection> connection;
  std::unique_ptr<PeerStream> stream;
};

enum class After : std::uint8_t
{
  Nothing,
  Close,
  Reset,
};

struct Ending
{
  const char* name;
  /// Bytes of the message that come.
  std::size_t size;
  /// Flags of their frame.
  char flags;
  std::string more;
  After after;
  bool isWhole;
};

} // namespace

// A message or a document that was cut would be taken for all that the peer
// had to say.
TEST_CASE("only the end of the stream behind a whole message is an end",
          "[peer][ends]")
{
  Chunk chunk;
  chunk.text = "some text of an answer";
  const std::string message = EncodeMessage(chunk);
  const std::size_t all = message.size();
  const std::string trailers =
    Frame(kHeaders, static_cast<char>(kEndHeaders | kEndStream), kStreamId, "");
  const auto reset = [](std::string_view aError) {
    return Frame(kResetStream, kNoFlag, kStreamId, aError);
  };
  const std::string goAway = Frame(kGoAway, kNoFlag, 0, "\0\0\0\x03\0\0\0\0"sv);
  const Ending ending = GENERATE_COPY(values<Ending>({
    { "end", all, kEndStream, "", After::Nothing, true },
    { "end, then no error",
      all,
      kEndStream,
      reset(kNoError),
      After::Nothing,
      true },
    { "end, then closed", all, kEndStream, "", After::Close, true },
    { "cut in the text, end", all - 3, kEndStream, "", After::Nothing, false },
    { "cut in the size, end", 2, kEndStream, "", After::Nothing, false },
    { "cut, trailers", all - 3, kNoFlag, trailers, After::Nothing, false },
    { "no error", all, kNoFlag, reset(kNoError), After::Nothing, false },
    { "cut, no error",
      all - 3,
      kNoFlag,
      reset(kNoError),
      After::Nothing,
      false },
    { "cancel", all, kNoFlag, reset(kCancel), After::Nothing, false },
    { "go-away", all, kNoFlag, goAway, After::Nothing, false },
    { "closed", all, kNoFlag, "", After::Close, false },
    { "cut, closed", all - 3, kNoFlag, "", After::Close, false },
    { "reset", all, kNoFlag, "", After::Reset, false },
  }));
  CAPTURE(ending.name);
  RawSite site;
  site.peer.Send(
    Frame(kHeaders, kEndHeaders, kStreamId, kStatus200) +
    Frame(kData, ending.flags, kStreamId, message.substr(0, ending.size)) +
    ending.more);
  site.Until([&] { return site.log.messages > 0; });
  if (ending.after == After::Close) {
    site.peer.Close();
  } else if (ending.after == After::Reset) {
    site.peer.Reset();
  }
  CHECK(
    site.Until([&] { return site.log.ended || site.log.lost; }, seconds(2)));
  CHECK(site.log.ended == ending.isWhole);
  CHECK((ending.isWhole || site.log.lost));
  CHECK(site.log.messages <= (ending.size == all ? 1 : 0));
}
