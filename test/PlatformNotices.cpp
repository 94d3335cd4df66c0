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

BackendAnswer
LoadAnswer(const std::string& aValue)
{
  const std::vector<HeaderField> headers{ { "dogwoodvale-instance-load",
                                            aValue } };
  return platform::CreateBackendDialect()->ReadHead(200, headers);
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

TEST_CASE("the load of a server is read from three or four figures", "[load]")
{
  using Load = ServerLoad;
  CHECK(LoadAnswer("3,2,64").load == Load{ 3, 2, 64, std::nullopt });
  CHECK(LoadAnswer("3,2,64,137").load == Load{ 3, 2, 64, 1.37 });
  CHECK(LoadAnswer("0,0,1,1").load == Load{ 0, 0, 1, 0.01 });
  CHECK(LoadAnswer("64,4294967295,64,10000").load ==
        Load{ 64, 4294967295, 64, 100.0 });
  CHECK(LoadAnswer("100000,0,100000").load ==
        Load{ 100'000, 0, 100'000, std::nullopt });
  // White space around a header's value is not part of it.
  CHECK(LoadAnswer(" 3,2,64,55\t").load == Load{ 3, 2, 64, 0.55 });
  CHECK_FALSE(LoadAnswer("3,2,64,137").isLoadMalformed);
  const BackendAnswer silent =
    platform::CreateBackendDialect()->ReadHead(200, {});
  CHECK_FALSE(silent.load.has_value());
  CHECK_FALSE(silent.isLoadMalformed);
}

// Every answer counts, also one that refuses.
TEST_CASE("the load of a server is read whatever the status", "[load]")
{
  const std::vector<HeaderField> headers{ { "Dogwoodvale-Instance-Load",
                                            "64,9,64,300" } };
  for (const int status : { 200, 421, 429, 500, 503 }) {
    CHECK(platform::CreateBackendDialect()->ReadHead(status, headers).load ==
          ServerLoad{ 64, 9, 64, 3.0 });
  }
}

// Guards against a load that is made up of what can be read of a broken value.
TEST_CASE("a load that is malformed is ignored and told of", "[load]")
{
  for (const char* text : { "",
                            ",",
                            "3",
                            "3,2",
                            "3,2,",
                            ",2,64",
                            "3,,64",
                            "3,2,64,",
                            "3,2,64,100,",
                            "3,2,64,100,1",
                            "-3,2,64",
                            "+3,2,64",
                            "-0,2,64",
                            "3,2,64,-100",
                            "3.0,2,64",
                            "3,2,64,1e2",
                            "0x3,2,64",
                            "a,b,c",
                            "3;2;64",
                            "3, 2, 64",
                            "3 ,2,64",
                            "3,2,64 100",
                            "3,2,64x",
                            "65,0,64",
                            "0,0,0",
                            "0,0,100001",
                            "3,2,64,0",
                            "3,2,64,10001",
                            "3,4294967296,64",
                            "18446744073709551619,2,64",
                            "3,2,64,100,100,100,100,100" }) {
    INFO(text);
    CHECK_FALSE(LoadAnswer(text).load.has_value());
    CHECK(LoadAnswer(text).isLoadMalformed);
  }
}

TEST_CASE("a load that is stated twice is malformed", "[load]")
{
  for (const char* second : { "3,2,64,100", "4,2,64,100", "x" }) {
    const std::vector<HeaderField> headers{
      { "Dogwoodvale-Instance-Load", "3,2,64,100" },
      { "Server-Limit", "7" },
      { "dogwoodvale-instance-load", second }
    };
    const BackendAnswer answer =
      platform::CreateBackendDialect()->ReadHead(200, headers);
    CHECK_FALSE(answer.load.has_value());
    CHECK(answer.isLoadMalformed);
    CHECK(answer.notice.rateLimit == 7.0);
  }
}
