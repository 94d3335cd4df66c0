#include <catch2/catch.hpp>

#include "dogwoodvale/Sidecar"
#include "support/PlatformSite.h"

using namespace dogwoodvale;
using test::PlatformSite;

namespace {

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

/// Values that another writer may leave in a field.
std::vector<std::string>
OddValues()
{
  return { Nested(100),
           Nested(2000),
           Nested(100'000),
           "1e999",
           "-1e999",
           "99999999999999999999999999",
           "-99999999999999999999999999",
           "1.5",
           "null" };
}

std::vector<std::string>
OddAddresses()
{
  std::vector<std::string> made;
  for (const char* port :
       { "", "0", "65536", "99999999999", "-1", "+80", " 80", "80 " }) {
    made.push_back(fmt::format("127.0.0.1:{}", port));
  }
  return made;
}

/// \param aMore further fields, after a comma.
std::string
ListedText(const std::string& aName,
           const std::string& aAddress = "127.0.0.1:80",
           const std::string& aMore = "")
{
  return fmt::format(
    R"({{"name":"{}","role":"sidecar","service":"s","data_centre":"d",)"
    R"("region":"r","address":"{}","state":"live"{}}})",
    aName,
    aAddress,
    aMore);
}

/// A site whose store gets an entry beside that of its one server.
struct OddSite : PlatformSite
{
  OddSite()
    : PlatformSite(1)
    , gateway(this->ReadyGateway())
  {
  }

  void Put(const std::string& aKey, const std::string& aText)
  {
    this->store->Put(aKey, aText);
    // The list is read at least this often.
    this->Until([] { return false; }, milliseconds(250));
  }

  void PutServer(const std::string& aName,
                 const std::string& aField,
                 const std::string& aValue)
  {
    std::map<std::string, std::string> fields = {
      { "service", R"("s")" },
      { "address",
        fmt::format(R"("{}")", this->engines[0]->Address().ToString()) },
      { "zone", R"("z")" },
      { "slots", "4" },
      { "state", R"("ready")" },
      { "sequence", "1" },
      { "born", fmt::format("{}", kBorn) },
      { "version", R"("v1")" }
    };
    fields[aField] = aValue;
    std::string text;
    for (const auto& [name, value] : fields) {
      text += fmt::format(R"({}"{}":{})", text.empty() ? "" : ",", name, value);
    }
    this->Put("servers/" + aName, "{" + text + "}");
  }

  bool IsServed()
  {
    return this->Ask(this->gateway, "/again/x", fmt::format("a-{}", ++asked))
      .starts_with("HTTP/1.1 200");
  }

  Gateway& gateway;
  int asked = 0;
};

} // namespace

// Guards against processes that end as they read a deeply nested text.
TEST_CASE("a text nested too deeply is an error to each reader", "[odd]")
{
  const std::string deep = Nested(GENERATE(100, 2000, 100'000));
  const std::string text =
    GENERATE_COPY(deep, fmt::format(R"({{"x":{}}})", deep));
  CHECK_FALSE(ParseJson(text).ok());
  CHECK_FALSE(ReadGatewayEntry(text).ok());
  CHECK_FALSE(ReadInstanceList(text).ok());
  CHECK_FALSE(ReadUsageReport(text).ok());
  CHECK_FALSE(ReadUsageDocument(text).ok());
  CHECK_FALSE(ParseInstanceList(text).ok());
  CHECK_FALSE(DecodeBundle(text).ok());
  CHECK_FALSE(ParseEngineState(text).ok());
  TokenStream stream;
  TokenBatch batch;
  CHECK_FALSE(stream.Feed("data: " + text + "\n\n", batch).ok());
}

// Guards against a list that is followed no more for one odd entry.
TEST_CASE("an odd entry of the instance list costs only itself", "[odd]")
{
  std::vector<std::string> odd = { "null", "7", "[]", "{}" };
  for (const std::string& address : OddAddresses()) {
    odd.push_back(ListedText("odd", address));
  }
  for (const std::string& value : OddValues()) {
    for (const char* field : { "name", "role", "address", "state" }) {
      std::string text = ListedText("odd");
      const std::string sought = fmt::format(R"("{}":")", field);
      const std::size_t at = text.find(sought) + sought.size() - 1;
      text.replace(at, text.find('"', at + 1) + 1 - at, value);
      odd.push_back(text);
    }
  }
  for (const std::string& text : odd) {
    INFO(text.substr(0, 200));
    const auto read =
      ParseInstanceList(fmt::format(R"({{"instances":[{},{},{}]}})",
                                    ListedText("first"),
                                    text,
                                    ListedText("last")));
    REQUIRE(read.ok());
    REQUIRE(read->instances.size() == 2);
    CHECK(read->instances.front().name.Value() == "first");
    CHECK(read->instances.back().name.Value() == "last");
  }
}

// Guards against gateways that end, or follow the list no more, for one entry.
TEST_CASE("an odd entry in the store costs only itself", "[odd]")
{
  OddSite site;
  REQUIRE(site.IsServed());
  SECTION("among the gateways")
  {
    for (const std::string& value : OddValues()) {
      site.Put("dogwoodvale/gateways/odd", value);
      site.Put("dogwoodvale/gateways/odd2",
               fmt::format(R"({{"peers":{}}})", value));
    }
    // The gateways are read at least this often.
    site.Until([] { return false; }, seconds(2));
    CHECK(site.IsServed());
  }
  SECTION("among the servers, as a whole")
  {
    for (const std::string& value : OddValues()) {
      site.Put("servers/odd", value);
      CHECK(site.IsServed());
    }
  }
  SECTION("among the servers, in one field")
  {
    for (const std::string& value : OddValues()) {
      for (const char* field : { "address", "slots", "born", "unknown" }) {
        site.PutServer("odd", field, value);
      }
      CHECK(site.IsServed());
    }
  }
  SECTION("among the servers, in the port")
  {
    for (const std::string& address : OddAddresses()) {
      site.PutServer("odd", "address", fmt::format(R"("{}")", address));
      CHECK(site.IsServed());
    }
  }
  // The list is followed on.
  site.AddEngine("e2");
  site.store->Remove("servers/e1");
  CHECK(site.Until([&] {
    site.Ask(site.gateway, "/again/x", fmt::format("b-{}", ++site.asked));
    return !site.engines[1]->Runs().empty();
  }));
}

// Guards against a server whose sound entry is not taken after an odd one.
TEST_CASE("a server's sound entry is taken after an odd one", "[odd]")
{
  OddSite site;
  for (const std::string& value : OddValues()) {
    site.PutServer("e1", "address", value);
    CHECK_FALSE(site.IsServed());
    site.Register("e1", *site.engines[0], "ready");
    site.Until([] { return false; }, milliseconds(250));
    CHECK(site.IsServed());
  }
}
