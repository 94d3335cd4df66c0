#include <catch2/catch.hpp>

#include "platform/Adapters.h"

using namespace dogwoodvale;

namespace {

BackpressureNotice
NoticeOf(std::span<const HeaderField> aHeaders, int aStatus = 200)
{
  return platform::CreateBackendDialect()->ReadHead(aStatus, aHeaders).notice;
}

BackpressureNotice
RateNotice(const std::string& aValue)
{
  const std::vector<HeaderField> headers{ { "server-limit", aValue } };
  return NoticeOf(headers);
}

} // namespace

TEST_CASE("a rate limit is read as a decimal number", "[notices]")
{
  CHECK(RateNotice("2.3").rateLimit == 2.3);
  CHECK(RateNotice(" 40 ").rateLimit == 40.0);
  CHECK(RateNotice("0").rateLimit == 0.0);
  CHECK(RateNotice("123456789012").rateLimit == 123456789012.0);
  CHECK_FALSE(RateNotice("2.3").isMalformed);
  CHECK_FALSE(NoticeOf({}).rateLimit.has_value());
  CHECK_FALSE(NoticeOf({}).isMalformed);
}

TEST_CASE("a rate limit that is no number is ignored and told of", "[notices]")
{
  for (const char* text : { "",
                            "-1",
                            "-0",
                            "a",
                            "2.3x",
                            "2,3",
                            "1e3",
                            "inf",
                            "nan",
                            "0x10",
                            "Thu, 03 Dec 2026 09:00:00 GMT" }) {
    INFO(text);
    CHECK_FALSE(RateNotice(text).rateLimit.has_value());
    CHECK(RateNotice(text).isMalformed);
  }
}

TEST_CASE("a server that turns a request away may ask for rest", "[notices]")
{
  const auto rest = [](const char* aValue, int aStatus) {
    const std::vector<HeaderField> headers{ { "retry-after", aValue } };
    return NoticeOf(headers, aStatus);
  };
  CHECK(rest("3", 503).backoffFor == seconds(3));
  CHECK(rest("0.25", 503).backoffFor == milliseconds(250));
  CHECK(rest("3", 429).backoffFor == seconds(3));
  CHECK_FALSE(rest("3", 200).backoffFor.has_value());
  CHECK_FALSE(rest("3", 500).backoffFor.has_value());
  CHECK_FALSE(NoticeOf({}, 503).backoffFor.has_value());
  CHECK_FALSE(NoticeOf({}, 503).isMalformed);
  CHECK(rest("99999999999999999999", 503).backoffFor > std::chrono::hours(1));
  for (const char* text : { "", "-1", "soon", "1,2", "Thu, 03 Dec 2026" }) {
    INFO(text);
    CHECK_FALSE(rest(text, 503).backoffFor.has_value());
    CHECK(rest(text, 503).isMalformed);
  }
  const std::vector<HeaderField> twice{ { "Retry-After", "1" },
                                        { "Retry-After", "2" } };
  CHECK(NoticeOf(twice, 503).backoffFor == seconds(2));
}

TEST_CASE("a server that leaves says 1", "[notices]")
{
  const auto leaving = [](const char* aValue) {
    const std::vector<HeaderField> headers{ { "server-leaving", aValue } };
    return NoticeOf(headers);
  };
  CHECK(leaving("1").isLeaving);
  CHECK_FALSE(leaving("1").isMalformed);
  CHECK_FALSE(leaving("0").isLeaving);
  CHECK_FALSE(leaving("0").isMalformed);
  CHECK_FALSE(leaving("yes").isLeaving);
  CHECK(leaving("yes").isMalformed);
  CHECK_FALSE(NoticeOf({}).isLeaving);
}

TEST_CASE("of two rate limits the smaller holds", "[notices]")
{
  const std::vector<HeaderField> headers{ { "Server-Limit", "7" },
                                          { "Server-Limit", "3" },
                                          { "Server-Limit", "x" } };
  CHECK(NoticeOf(headers).rateLimit == 3.0);
  CHECK(NoticeOf(headers).isMalformed);
}
