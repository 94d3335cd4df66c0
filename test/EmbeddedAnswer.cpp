#include <catch2/catch.hpp>

#include "dogwoodvale/Http"

using namespace dogwoodvale;

namespace {

/// The longest body that a gateway holds whole.
constexpr std::size_t kLongBody = 8U << 20U;

std::string
Repeated(std::string_view aPart, std::size_t aSize)
{
  std::string text;
  text.reserve(aSize + aPart.size());
  while (text.size() < aSize) {
    text += aPart;
  }
  return text;
}

bool
HasHeadWithId(std::string_view aBody, std::string_view aBehind)
{
  return HasEmbeddedAnswer(
    aBody, aBehind, [](std::span<const HeaderField> aHead) {
      return !FindHeader(aHead, "id").empty();
    });
}

} // namespace

// A server's faulty answer would stop the gateway's loop, and with it all
// requests and the heartbeat, for longer than callers wait for it to read.
TEST_CASE("a long body full of heads is searched within a second", "[embedded]")
{
  const std::string part = GENERATE(as<std::string>{},
                                    "HTTP/1.",
                                    "HTTP/1.1 200 ",
                                    "HTTP/1.1 200\x01 ",
                                    "HTTP/1.1 200\r\n",
                                    "HTTP/1.1 200\r\na:",
                                    "a:HTTP/1.1 200\r\n",
                                    "a:\r\n",
                                    "\r\n");
  const std::string behind = GENERATE(as<std::string>{}, "", "\r\nb: 1\r\n");
  CAPTURE(part, behind);
  const std::string body = Repeated(part, kLongBody);
  const TimePoint start = Now();
  CHECK_FALSE(HasHeadWithId(body, behind));
  CHECK(Now() - start < seconds(1));
}

// A head that is cut anywhere, or begins inside another's field, would pass.
TEST_CASE("a head is found wherever it begins", "[embedded]")
{
  const std::string head = GENERATE(as<std::string>{},
                                    "HTTP/1.1 200 OK\r\nid: 7\r\n\r\n",
                                    "HTTP/1.0 404\r\na: 1\r\nid: 7\r\n");
  const std::string before = GENERATE(as<std::string>{},
                                      "",
                                      "text",
                                      "a\x01",
                                      "text\r\n",
                                      "HTTP/1.",
                                      "HTTP/1.1 200 OK\r\n",
                                      "HTTP/1.1 200 OK\r\nid:\r\nb: ",
                                      "HTTP/1.1 200 OK\r\n\r\n");
  const std::size_t behind = GENERATE(0U, 1U, 9U, 20U, 22U);
  CAPTURE(head, before, behind);
  const std::string text = before + head;
  const std::size_t cut = text.size() - behind;
  CHECK(HasHeadWithId(text.substr(0, cut), text.substr(cut)));
}

// A sound answer would be refused for what is no part of its body, or no head.
TEST_CASE("a body without a head is passed", "[embedded]")
{
  const std::string head = "HTTP/1.1 200 OK\r\nid: 7\r\n\r\n";
  CHECK_FALSE(HasHeadWithId("whole", head));
  CHECK_FALSE(HasHeadWithId("whole\r\n", head));
  CHECK_FALSE(HasHeadWithId("HTTP/1.1 200 OK\r\n\r\nid: 7\r\n", ""));
  CHECK_FALSE(HasHeadWithId("HTTP/1.1 200 OK\r\ntext\r\nid: 7\r\n", ""));
  CHECK_FALSE(HasHeadWithId("HTTP/1.1 999 OK\r\nid: 7\r\n", ""));
  CHECK_FALSE(HasHeadWithId("HTTP/1.1 200 \x01\r\nid: 7\r\n", ""));
}
