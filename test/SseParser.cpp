#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/Http"

using namespace dogwoodvale;

namespace {

using Events = std::vector<std::pair<std::string, std::string>>;

Events
Feed(SseParser& aParser, std::string_view aText)
{
  std::vector<SseEvent> out;
  REQUIRE(aParser.Feed(aText, out).ok());
  Events events;
  for (SseEvent& event : out) {
    events.emplace_back(std::move(event.event), std::move(event.data));
  }
  return events;
}

Events
ParseWhole(std::string_view aText)
{
  SseParser parser;
  return Feed(parser, aText);
}

} // namespace

TEST_CASE("server-sent events are read as the standard says")
{
  REQUIRE(ParseWhole("data: a\n\n") == Events{ { "", "a" } });
  REQUIRE(ParseWhole("data:a\r\ndata:  b\r\n\r\n") ==
          Events{ { "", "a\n b" } });
  REQUIRE(ParseWhole("event: e\rdata: x\r\rdata\r\r") ==
          Events{ { "e", "x" }, { "", "" } });
  REQUIRE(ParseWhole("\xEF\xBB\xBF"
                     "data: bom\n\n") == Events{ { "", "bom" } });
  REQUIRE(ParseWhole(": comment\nid: 7\nretry: 3\nfoo\n\n").empty());
  REQUIRE(ParseWhole("event: lost\n\ndata: y\n\n") == Events{ { "", "y" } });
}

TEST_CASE("an unfinished event is not given out, and is known")
{
  SseParser parser;
  REQUIRE(Feed(parser, "data: a\n").empty());
  REQUIRE(parser.HasPartialEvent());
  REQUIRE(Feed(parser, "\n").size() == 1);
  REQUIRE_FALSE(parser.HasPartialEvent());
}

TEST_CASE("an event over the bound is an error, however it is spread")
{
  for (const char* piece : { "x", "data: yyyyyyyy\n", "event: zzzzz\n" }) {
    SseParser parser(64);
    std::vector<SseEvent> out;
    absl::Status status;
    for (int i = 0; i < 100 && status.ok(); ++i) {
      status = parser.Feed(piece, out);
    }
    const bool grows = std::string_view(piece) != "event: zzzzz\n";
    REQUIRE(status.ok() != grows);
  }
}

TEST_CASE("wherever the bytes are cut, the events are the same")
{
  rc::prop("any cut gives the same events", [] {
    const auto pieces = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("data",
                                    "event",
                                    ":",
                                    " ",
                                    "\r",
                                    "\n",
                                    "\r\n",
                                    "\n\n",
                                    "\r\r",
                                    "x",
                                    "\xEF\xBB\xBF",
                                    "data: t\n\n"));
    std::string text;
    for (const std::string& piece : pieces) {
      text += piece;
    }
    SseParser parser;
    Events cut;
    std::string_view rest = text;
    while (!rest.empty()) {
      const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      for (auto& event : Feed(parser, rest.substr(0, size))) {
        cut.push_back(std::move(event));
      }
      rest.remove_prefix(size);
    }
    RC_ASSERT(cut == ParseWhole(text));
  });
}
