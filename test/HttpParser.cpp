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
