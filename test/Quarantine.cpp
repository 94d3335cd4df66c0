#include <catch2/catch.hpp>

#include "dogwoodvale/Quarantine"

using namespace dogwoodvale;

namespace {

constexpr std::string_view kSecret = "a secret of the test's own";

RequestContent
Content()
{
  return { CustomerName("c1"), "POST", "/notes/1?q=2", "a body" };
}

} // namespace

TEST_CASE("a request's fingerprint depends on its content and the secret",
          "[quarantine]")
{
  const Fingerprint known = FingerprintOf(Content(), kSecret);
  CHECK(FingerprintOf(Content(), kSecret) == known);
  CHECK(FingerprintOf(Content(), "another secret") != known);
  RequestContent other = Content();
  SECTION("customer")
  {
    other.customer = CustomerName("c2");
  }
  SECTION("method")
  {
    other.method = "PUT";
  }
  SECTION("path")
  {
    other.path = "/notes/1?q=3";
  }
  SECTION("body")
  {
    other.body = "a bodz";
  }
  CHECK(FingerprintOf(other, kSecret) != known);
}

TEST_CASE("a part's fingerprint depends on customer, id and secret only",
          "[quarantine]")
{
  const CustomerName customer("c1");
  const Fingerprint known = FingerprintOfPart(customer, 7, kSecret);
  CHECK(FingerprintOfPart(customer, 7, kSecret) == known);
  CHECK(FingerprintOfPart(CustomerName("c2"), 7, kSecret) != known);
  CHECK(FingerprintOfPart(customer, 8, kSecret) != known);
  CHECK(FingerprintOfPart(customer, 7, "another secret") != known);
}
