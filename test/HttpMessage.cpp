#include <catch2/catch.hpp>

#include "dogwoodvale/Http"

using namespace dogwoodvale;

TEST_CASE("hop-by-hop headers go, also those that Connection names")
{
  const std::vector<HeaderField> headers = {
    { "Host", "h" },      { "connection", "X-One, close" },
    { "x-one", "1" },     { "Transfer-Encoding", "chunked" },
    { "X-Two", "2" },     { "TE", "trailers" },
    { "Upgrade", "h2c" }, { "Keep-Alive", "5" },
  };
  const std::vector<HeaderField> kept = { { "Host", "h" }, { "X-Two", "2" } };
  REQUIRE(WithoutHopByHop(headers) == kept);
  REQUIRE(FindHeader(headers, "x-two") == "2");
  REQUIRE(FindHeader(headers, "x-three").empty());
}

TEST_CASE("not_run and may_have_run never share a status")
{
  for (int i = 0; i < kErrorCodeCount; ++i) {
    const auto code = static_cast<ErrorCode>(i);
    const int notRun = HttpStatusOf({ code, Disposition::NotRun, "", {} });
    const int mayHaveRun =
      HttpStatusOf({ code, Disposition::MayHaveRun, "", {} });
    INFO(CodeName(code));
    REQUIRE(notRun != mayHaveRun);
    REQUIRE(notRun >= 400);
    // A repeat of a key is the caller's doing, though the first may have run.
    if (code == ErrorCode::DuplicateKey) {
      REQUIRE(mayHaveRun == 409);
    } else {
      REQUIRE(mayHaveRun >= 500);
    }
  }
  REQUIRE(HttpStatusOf(
            { ErrorCode::DeadlineExceeded, Disposition::MayHaveRun, "", {} }) ==
          504);
}

TEST_CASE("an error's body is JSON, whatever its detail holds")
{
  REQUIRE(ErrorBody({ ErrorCode::QueueFull,
                      Disposition::NotRun,
                      "a \"quote\"\n",
                      milliseconds(250) }) ==
          R"({"error":{"code":"queue_full","disposition":"not_run",)"
          R"("message":"a \"quote\"\n","retry_after_ms":250}})");
}
