#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/src/Http/HttpParser.h"

using namespace dogwoodvale;
using internal::HttpParser;

namespace {

class Collector final : public internal::HttpParserListener
{
public:
  bool OnParsedHead() override
  {
    ++this->heads;
    return true;
  }
  bool OnParsedBody(std::string_view aBytes) override
  {
    this->body += aBytes;
    return true;
  }

  int heads = 0;
  std::string body;
};

struct Result
{
  HttpParser::State state{};
  std::size_t taken = 0;
  std::string method;
  std::string path;
  std::string body;
  std::vector<HeaderField> headers;

  bool operator==(const Result&) const = default;
};

/// Feeds \p aText in pieces of the given sizes, over and over.
Result
Parse(HttpParser::Kind aKind,
      std::string_view aText,
      const std::vector<std::size_t>& aSizes)
{
  Collector collector;
  HttpParser parser(aKind, 1024, collector);
  Result result;
  for (std::size_t i = 0; result.taken < aText.size() &&
                          parser.GetState() == HttpParser::State::Reading;
       ++i) {
    // A copy of its own, so that a sanitizer sees a read beyond it.
    const std::string_view next =
      aText.substr(result.taken, aSizes[i % aSizes.size()]);
    const std::vector<char> piece(next.begin(), next.end());
    const std::size_t taken = parser.Run({ piece.data(), piece.size() });
    RC_ASSERT(taken <= piece.size());
    result.taken += taken;
  }
  result.state = parser.GetState();
  result.method = parser.Method();
  result.path = parser.Path();
  result.body = collector.body;
  result.headers = parser.Headers();
  return result;
}

rc::Gen<std::vector<std::size_t>>
Sizes()
{
  return rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(
    rc::gen::inRange<std::size_t>(1, 40)));
}

rc::Gen<std::string>
ChunkedMessage(const std::string& aFirstLine)
{
  return rc::gen::map(
    rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("abc", "x", "\r\n", "5", "GET / ")),
    [aFirstLine](const std::vector<std::string>& aParts) {
      std::string chunks;
      for (const std::string& part : aParts) {
        chunks += fmt::format("{:x}\r\n{}\r\n", part.size(), part);
      }
      return aFirstLine +
             "\r\nA: 1\r\nB:\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks +
             "0\r\n\r\n";
    });
}

} // namespace

TEST_CASE("wherever a message is cut, it is read the same, to its last byte")
{
  const bool isRequest = GENERATE(true, false);
  const auto kind =
    isRequest ? HttpParser::Kind::Request : HttpParser::Kind::Response;
  const std::string first =
    isRequest ? "POST /p?q=1 HTTP/1.1" : "HTTP/1.1 200 OK";
  rc::prop("any cut", [&] {
    const std::string text = *ChunkedMessage(first);
    const std::string next = "NEXT" + text;
    const Result whole = Parse(kind, text + next, { 1U << 20U });
    RC_ASSERT(whole.state == HttpParser::State::Complete);
    RC_ASSERT(whole.taken == text.size());
    RC_ASSERT(Parse(kind, text + next, *Sizes()) == whole);
  });
}

TEST_CASE("no bytes make the parser read astray or never end")
{
  const auto kind =
    GENERATE(HttpParser::Kind::Request, HttpParser::Kind::Response);
  rc::prop("mutated messages", [&] {
    std::string text =
      *ChunkedMessage("POST /p HTTP/1.1") + *ChunkedMessage("HTTP/1.1 200 OK");
    const auto edits =
      *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
        rc::gen::pair(rc::gen::arbitrary<std::size_t>(),
                      rc::gen::arbitrary<char>()));
    for (const auto& [at, byte] : edits) {
      text[at % text.size()] = byte;
    }
    const Result result = Parse(kind, text, *Sizes());
    RC_ASSERT(result.body.size() <= text.size());
  });
}

// Guards against chunk lines that libevhtp reads as it likes: where char is
// unsigned it takes any byte for a digit, and a size without end is read on.
TEST_CASE("the lines of a chunked body are checked and bounded", "[http]")
{
  using State = HttpParser::State;
  const std::string zeros(16, '0');
  const auto [body, expected] = GENERATE_COPY(table<std::string, State>({
    { "3\r\nabc\r\n0\r\n\r\n", State::Complete },
    { "00a\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n", State::Complete },
    { "zz\r\n", State::Malformed },
    { "\r\n", State::Malformed },
    { "-1\r\n", State::Malformed },
    { "0x1\r\n", State::Malformed },
    { "3;a=b\r\nabc\r\n", State::Malformed },
    { "3 \r\nabc\r\n", State::Malformed },
    { "3\nabc\r\n", State::Malformed },
    { "1\r\nabc", State::Malformed },
    { "1\r\na\n0\r\n\r\n", State::Malformed },
    { zeros, State::TooLarge },
    { "0\r\nX-T: " + std::string(2000, 'x'), State::TooLarge },
  }));
  const std::string head =
    "POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  INFO(body.substr(0, 40));
  for (const std::size_t size : { 1, 7, 4096 }) {
    CHECK(Parse(HttpParser::Kind::Request, head + body, { size }).state ==
          expected);
  }
}

// A proxy that reads a head as it likes passes on a status that is none, or
// frames a body by a field that is none.
TEST_CASE("a head that is no answer's is refused", "[http]")
{
  const std::string line = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 2\r\n\r\nok";
  const std::string head =
    GENERATE_REF(as<std::string>{},
                 "HTTP/1.1 000 OK\r\n" + length,
                 "HTTP/1.1 007 OK\r\n" + length,
                 "HTTP/1.1 0200 OK\r\n" + length,
                 "HTTP/1.1 2000 OK\r\n" + length,
                 "HTTP/1.1 20 OK\r\n" + length,
                 "HTTP/1.1 600 OK\r\n" + length,
                 "HTTP/1.1 999 OK\r\n" + length,
                 "HTTP/1.1 2x0 OK\r\n" + length,
                 "HTTP/1.1 -200 OK\r\n" + length,
                 "HTTP/1.1 200OK\r\n" + length,
                 "HTTP/1.1  200 OK\r\n" + length,
                 "HTTP/1.1\t200 OK\r\n" + length,
                 " HTTP/1.1 200 OK\r\n" + length,
                 "HTTP/2.7 200 OK\r\n" + length,
                 "HTTP/1.10 200 OK\r\n" + length,
                 "http/1.1 200 OK\r\n" + length,
                 "HTTP/1.1 200 O\x01K\r\n" + length,
                 // Interim heads, then one's own.
                 "HTTP/1.1 1xx No\r\n\r\n" + line + length,
                 "HTTP/1.1 1000 No\r\n\r\n" + line + length,
                 "HTTP/1.1 10 No\r\n\r\n" + line + length,
                 "HTTP/1.1 101 No\r\n\r\n" + line + length,
                 "HTTP/1.1 100 Continue\r\nA B: 1\r\n\r\n" + line + length,
                 line + "Content-Length : 2\r\n\r\nok",
                 line + "Content-Length\t: 2\r\n\r\nok",
                 line + "Content Length: 2\r\n" + length,
                 line + "X A: 1\r\n" + length,
                 line + " X: 1\r\n" + length,
                 line + "X: 1\r\n Y: 2\r\n" + length,
                 line + ": 1\r\n" + length,
                 line + "X\r\n" + length,
                 line + "X\x7f: 1\r\n" + length,
                 line + "X\x01: 1\r\n" + length,
                 line + "X\x80: 1\r\n" + length,
                 line + std::string("X\0: 1\r\n", 7) + length,
                 line + "X(: 1\r\n" + length,
                 line + "X: a\x01z\r\n" + length,
                 line + "X: a\nY: 1\r\n" + length,
                 line + "X: a\rY: 1\r\n" + length,
                 line + "Transfer-Encoding\x01: chunked\r\n" + length,
                 line + "Transfer-Encoding: chunked, gzip\r\n"
                        "\r\n2\r\nok\r\n0\r\n\r\n",
                 line + "Transfer-Encoding:\x0b"
                        "chunked\r\n"
                        "\r\n2\r\nok\r\n0\r\n\r\n",
                 line + "Content-Length: +2\r\n\r\nok",
                 line + "Content-Length: 2,2\r\n\r\nok",
                 line + "Content-Length: 0x2\r\n\r\nok",
                 line + "Content-Length:\r\n\r\nok",
                 line + "Transfer-Encoding: chunked\r\n\r\n"
                        "2\r\nok\r\n0\r\nX A: 1\r\n\r\n",
                 line + "Transfer-Encoding: chunked\r\n\r\n"
                        "2\r\nok\r\n0\r\n: 1\r\n\r\n",
                 line + "Transfer-Encoding: chunked\r\n\r\n"
                        "2\r\nok\r\n0\r\nX\x01: 1\r\n\r\n",
                 line + "Transfer-Encoding: chunked\r\n\r\n"
                        "2\r\nok\r\n0\r\nX: a\x01z\r\n\r\n",
                 line + "Transfer-Encoding: chunked\r\n\r\n"
                        "2\r\nok\r\n0\r\nno field\r\n\r\n");
  INFO(head);
  for (const std::size_t size : { 1, 7, 4096 }) {
    CHECK(Parse(HttpParser::Kind::Response, head, { size }).state ==
          HttpParser::State::Malformed);
  }
}

TEST_CASE("a head that is an answer's is taken", "[http]")
{
  const std::string text = GENERATE(
    as<std::string>{},
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.0 200 OK\r\nContent-Length:2\r\n\r\nok",
    "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 \r\nContent-Length: 2 \r\n\r\nok",
    "HTTP/1.1 404 Not  Found\r\nx!#$%&'*+-.^_`|~1: a \t b\r\n"
    "Content-Length: 2\r\n\r\nok",
    "HTTP/1.1 599 \xc3\xa9t\xc3\xa9\r\nX: \xff\r\nContent-Length: 2\r\n\r\nok",
    "\r\nHTTP/1.1 100 Continue\r\nA: 1\r\n\r\nHTTP/1.1 199\r\n\r\n"
    "HTTP/1.1 200 OK\r\nX:\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nok\r\n0\r\nX: a b\r\nY:\r\n\r\n");
  INFO(text);
  for (const std::size_t size : { 1, 7, 4096 }) {
    const Result result = Parse(HttpParser::Kind::Response, text, { size });
    CHECK(result.state == HttpParser::State::Complete);
    CHECK(result.body == "ok");
  }
}
