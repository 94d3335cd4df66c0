#include <catch2/catch.hpp>

#include "platform/Adapters.h"
#include "support/AnswerServer.h"

using namespace dogwoodvale;
using test::AnswerServer;
using test::ConnectionEnd;
using test::Repeat;

namespace {

/// The store's client reads no more than this of one answer.
constexpr std::size_t kMostOfOne = 16U << 20U;
/// Loopback sockets hold a few megabytes of bytes that nobody has read.
constexpr std::size_t kSocketBuffers = 8U << 20U;

constexpr std::string_view kPage =
  R"({"storeRevision":7,"hasMore":false,"items":[)"
  R"({"key":"a/1","value":"dmFs","revision":5,"created":5,"lease":0}]})";
constexpr std::string_view kCommitted = R"({"revision":9})";

/// How an answer states where its body ends.
enum class Framing : std::uint8_t
{
  Length,
  Chunks,
  Close,
};

std::string
AnswerText(Framing aFraming,
           std::string_view aBody,
           std::string_view aFields = "Store-Era: 1\r\n")
{
  const std::string head = fmt::format("HTTP/1.1 200 OK\r\n{}", aFields);
  switch (aFraming) {
    case Framing::Length:
      return fmt::format(
        "{}Content-Length: {}\r\n\r\n{}", head, aBody.size(), aBody);
    case Framing::Chunks:
      return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n"
                         "0\r\n\r\n",
                         head,
                         aBody.size(),
                         aBody);
    case Framing::Close:
      return fmt::format("{}\r\n{}", head, aBody);
  }
  return {};
}

struct Setup
{
  absl::StatusOr<RangeResult> Read() const
  {
    std::optional<absl::StatusOr<RangeResult>> result;
    const auto call = this->client->Range(
      { .key = "a/", .isPrefix = true },
      [&](absl::StatusOr<RangeResult> aResult) { result = aResult; });
    REQUIRE(
      this->loop->RunUntil([&] { return result.has_value(); }, seconds(5)));
    return *result;
  }

  WriteResult Commit() const
  {
    Transaction transaction;
    Operation put;
    put.key = "a/1";
    put.value = "one";
    transaction.then.push_back(put);
    std::optional<WriteResult> result;
    const auto call = this->client->Commit(
      transaction, [&](const WriteResult& aResult) { result = aResult; });
    REQUIRE(
      this->loop->RunUntil([&] { return result.has_value(); }, seconds(5)));
    return *result;
  }

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  AnswerServer server{ *this->loop };
  std::unique_ptr<StoreClient> client =
    *platform::CreateKvStore(*this->loop,
                             this->server.Address(),
                             milliseconds(200));
};

} // namespace

TEST_CASE("a whole answer of the store is read", "[kv][ends]")
{
  const auto framing =
    GENERATE(Framing::Length, Framing::Chunks, Framing::Close);
  Setup setup;
  setup.server.text = AnswerText(framing, kPage);
  const auto read = setup.Read();
  REQUIRE(read.ok());
  CHECK(read->values.size() == 1);
  CHECK(setup.client->Era() == 1);
  // On a connection of its own: the other's server has closed it.
  Setup another;
  another.server.text = AnswerText(framing, kCommitted);
  CHECK(another.Commit().outcome == WriteOutcome::Applied);
}

// The part of a list that came would remove the servers of the rest; the write
// of an answer that was cut may stand.
TEST_CASE("an answer of the store that is cut settles nothing", "[kv][ends]")
{
  const auto framing =
    GENERATE(Framing::Length, Framing::Chunks, Framing::Close);
  const auto end = GENERATE(ConnectionEnd::Close, ConnectionEnd::Reset);
  const std::size_t missing = GENERATE(1U, 3U);
  CAPTURE(framing, end, missing);
  const auto cut = [&](std::string_view aBody) {
    std::string text = AnswerText(framing, aBody);
    const std::size_t tail = framing == Framing::Chunks ? 7 : 0;
    return text.substr(0, text.size() - tail - missing);
  };
  Setup setup;
  setup.server.end = end;
  setup.server.text = cut(kPage);
  CHECK_FALSE(setup.Read().ok());
  setup.server.text = cut(kCommitted);
  CHECK(setup.Commit().outcome == WriteOutcome::Unknown);
}

// A reset behind a whole body without a length may have cut it.
TEST_CASE("a reset ends no answer of the store that has no length",
          "[kv][ends]")
{
  Setup setup;
  setup.server.end = ConnectionEnd::Reset;
  setup.server.text = AnswerText(Framing::Close, kPage);
  CHECK_FALSE(setup.Read().ok());
  setup.server.text = AnswerText(Framing::Close, kCommitted);
  CHECK(setup.Commit().outcome == WriteOutcome::Unknown);
}

// An era of which only the first digits count would look like an older one, in
// which leases and fencing tokens are others.
TEST_CASE("an answer with a malformed era is refused", "[kv][ends]")
{
  const std::string era = GENERATE(as<std::string>{},
                                   "2x",
                                   "x2",
                                   "-2",
                                   "2 3",
                                   "2.5",
                                   "0x2",
                                   "99999999999999999999");
  CAPTURE(era);
  Setup setup;
  setup.server.text =
    AnswerText(Framing::Length, kPage, "Store-Era: " + era + "\r\n");
  CHECK_FALSE(setup.Read().ok());
  setup.server.text =
    AnswerText(Framing::Length, kCommitted, "Store-Era: " + era + "\r\n");
  CHECK(setup.Commit().outcome == WriteOutcome::Unknown);
  CHECK(setup.client->Era() == 0);
}

TEST_CASE("a malformed answer of the store settles nothing", "[kv][ends]")
{
  const std::string head =
    GENERATE(as<std::string>{},
             "HTTP/1.1 2000 OK\r\nContent-Length: 14\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length : 14\r\n",
             "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 14\r\n",
             "HTTP/1.1 200 OK\r\nX: 1\x01\r\nContent-Length: 14\r\n",
             "HTTP/1.1 103 Early Hints\r\n");
  CAPTURE(head);
  Setup setup;
  setup.server.text = head + "\r\n" + std::string(kCommitted);
  CHECK(setup.Commit().outcome == WriteOutcome::Unknown);
}

// A store's answer without end would be held until the machine is out of
// memory.
TEST_CASE("an answer of the store without end is given up", "[kv][endless]")
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
    { "HTTP/1.1 200 OK\r\n\r\n", bytes },
    { "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", bytes },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      fmt::format("ea60\r\n{}\r\n", bytes) },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      std::string(4096, '0') },
  }));
  CAPTURE(variant.text, variant.repeated.substr(0, 30));
  Setup setup;
  setup.server.text = variant.text;
  setup.server.repeated = variant.repeated;
  setup.server.end = ConnectionEnd::Never;
  CHECK_FALSE(setup.Read().ok());
  CHECK(setup.server.BytesSent() < kMostOfOne + kSocketBuffers);
  setup.loop->RunUntil([&] { return setup.server.OpenCount() == 0; },
                       seconds(1));
  CHECK(setup.server.OpenCount() == 0);
}
