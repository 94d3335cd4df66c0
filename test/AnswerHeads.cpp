#include <catch2/catch.hpp>

#include "support/BareSite.h"

using namespace dogwoodvale;
using test::BareSite;
using test::Ending;
using test::Has;
using test::PlatformSite;

namespace {

const std::string kIds = "Dogwoodvale-Attempt-Id: a-1\r\n"
                         "Dogwoodvale-Response-Seal: a seal\r\n";
const std::string kLine = "HTTP/1.1 200 OK\r\n";
const std::string kBody = "Content-Length: 5\r\n\r\nwhole";

} // namespace

// A caller would get a status that is none, or a body framed by a field that is
// none.
TEST_CASE("an answer with a malformed head does not reach the caller",
          "[heads]")
{
  const std::string answer =
    GENERATE_REF(as<std::string>{},
                 "HTTP/1.1 000 OK\r\n" + kIds + kBody,
                 "HTTP/1.1 007 OK\r\n" + kIds + kBody,
                 "HTTP/1.1 2000 OK\r\n" + kIds + kBody,
                 "HTTP/1.1 600 OK\r\n" + kIds + kBody,
                 "HTTP/1.1  200 OK\r\n" + kIds + kBody,
                 kLine + "X A: 1\r\n" + kIds + kBody,
                 kLine + "X\x01: 1\r\n" + kIds + kBody,
                 kLine + kIds + "Content-Length : 5\r\n\r\nwhole",
                 kLine + kIds + "Content-Length\x01: 2\r\n" + kBody,
                 kLine + kIds + "Transfer-Encoding\x0b: chunked\r\n\r\nwhole");
  INFO(answer);
  BareSite site;
  site.Begin("/once/x");
  site.Answer(answer, Ending::Close);
  CHECK(site.Received().starts_with("HTTP/1.1 502"));
  CHECK_FALSE(Has(site.Received(), "whole"));
  CHECK_FALSE(Has(site.Received(), "X"));
}
