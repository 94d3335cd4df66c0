#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <filesystem>
#include <set>

#include "dogwoodvale/Configuration"

using namespace dogwoodvale;

namespace {

constexpr std::string_view kServices = R"({
  "templates": {
    "reader": {
      "parameters": { "model": null, "tier": 0, "suffix": "x" },
      "service": {
        "kind": "model",
        "models": [{ "model": "${model}-${suffix}" }],
        "classes": [
          { "name": "fast", "tier": "${tier}", "idempotent": true },
          { "name": "slow", "tier": 2, "idempotent": true }
        ]
      }
    }
  },
  "services": [
    { "template": "reader", "name": "read", "parameters": { "model": "m" } },
    {
      "name": "app",
      "kind": "plain",
      "routes": [
        { "path_prefix": "/a", "class": "any" },
        { "method": "POST", "path_prefix": "/a/b", "class": "post" }
      ],
      "classes": [
        { "name": "any", "tier": 1, "idempotent": true },
        { "name": "post", "tier": 0, "idempotent": false }
      ]
    }
  ]
})";

std::string
CustomerText(int aIndex, int aWeight = 1)
{
  return fmt::format(
    R"({{"name": "c-{0}", "key_hashes": ["{1}"], "weight": {2},
        "grants": [{{"service": "read", "classes": ["fast", "slow"]}}]}})",
    aIndex,
    Sha256Hex(fmt::format("key-c-{}", aIndex)),
    aWeight);
}

std::vector<ConfigurationSource>
Sources(int aCustomers, int aChanged = -1)
{
  std::string customers = "{\"customers\": [";
  for (int i = 0; i < aCustomers; ++i) {
    customers += i == 0 ? "" : ",";
    customers += CustomerText(i, i == aChanged ? 7 : 1);
  }
  return { { "services.json", std::string(kServices) },
           { "customers.json", customers + "]}" } };
}

std::string
FindingsOf(std::vector<ConfigurationSource> aSources)
{
  Findings findings;
  ParseConfiguration(aSources, findings);
  return findings.Render();
}

std::string
Replaced(std::string aText, std::string_view aFrom, std::string_view aTo)
{
  const std::size_t at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

std::vector<std::string>
Hashes(const std::vector<Page>& aPages)
{
  std::vector<std::string> hashes;
  hashes.reserve(aPages.size());
  for (const Page& page : aPages) {
    hashes.push_back(page.hash);
  }
  return hashes;
}

std::size_t
CountNew(const std::vector<Page>& aBefore, const std::vector<Page>& aAfter)
{
  const auto before = Hashes(aBefore);
  const std::set<std::string> known(before.begin(), before.end());
  return static_cast<std::size_t>(
    std::count_if(aAfter.begin(), aAfter.end(), [&](const Page& aPage) {
      return !known.contains(aPage.hash);
    }));
}

Configuration
Parse(const std::vector<ConfigurationSource>& aSources)
{
  Findings findings;
  Configuration parsed = ParseConfiguration(aSources, findings);
  REQUIRE(findings.Render().empty());
  return parsed;
}

std::vector<PageView>
Views(const std::vector<Page>& aPages)
{
  std::vector<PageView> views;
  views.reserve(aPages.size());
  for (const Page& page : aPages) {
    views.push_back({ page.hash, page.content });
  }
  return views;
}

/// All that requests depend on, in an order that doesn't.
std::set<std::string>
Describe(const Configuration& aConfiguration)
{
  std::set<std::string> lines;
  for (const Service& service : aConfiguration.Services()) {
    for (const RequestClass& requestClass : service.classes) {
      lines.insert(fmt::format("{} {} {}",
                               service.name.Value(),
                               requestClass.name.Value(),
                               requestClass.tier));
    }
  }
  for (const Customer& customer : aConfiguration.Customers()) {
    const Customer* ofKey =
      aConfiguration.FindCustomerOfKey(customer.keyHashes.at(0));
    const Customer* ofName = aConfiguration.FindCustomer(customer.name);
    lines.insert(fmt::format("{} {} {} {} {}",
                             customer.name.Value(),
                             customer.weight,
                             customer.grants[0].classes.size(),
                             ofKey == &customer,
                             ofName == &customer));
  }
  return lines;
}

} // namespace

TEST_CASE("services come from templates and are found by name, model and route")
{
  const Configuration configuration = Parse(Sources(3));
  const Service* read = configuration.FindServiceOfModel("m-x");
  REQUIRE(read != nullptr);
  CHECK(read == configuration.FindService(ServiceName("read")));
  CHECK(read->FindClass(ClassName("fast"))->tier == 0);
  CHECK(configuration.FindServiceOfModel("m") == nullptr);

  const auto route = [&](std::string_view aMethod, std::string_view aPath) {
    const auto match = configuration.FindRoute(aMethod, aPath);
    return match.route == nullptr ? "" : match.route->className.Value();
  };
  CHECK(route("GET", "/a") == "any");
  CHECK(route("GET", "/a/b") == "any");
  CHECK(route("POST", "/a/b/1") == "post");
  CHECK(route("POST", "/a/bc") == "any");
  CHECK(route("GET", "/a?x=1") == "any");
  CHECK(route("GET", "/ab").empty());
}

TEST_CASE("customers are found by key and by name")
{
  const Configuration configuration = Parse(Sources(3));
  const Customer* customer =
    configuration.FindCustomerOfKey(Sha256Hex("key-c-1"));
  REQUIRE(customer != nullptr);
  CHECK(customer->name == CustomerName("c-1"));
  CHECK(customer == configuration.FindCustomer(CustomerName("c-1")));
  CHECK(customer->FindGrant(ServiceName("read"))->classes.size() == 2);
  CHECK(customer->FindGrant(ServiceName("app")) == nullptr);
  CHECK(configuration.FindCustomerOfKey(Sha256Hex("key-c-9")) == nullptr);
  CHECK(Sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223"
                            "b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("a finding in a template names its place there and its use")
{
  const std::string text = Replaced(std::string(kServices),
                                    R"("model": "m" })",
                                    R"("model": "m", "tier": 16 })");
  CHECK(FindingsOf({ { "s.json", text } }) ==
        "s.json:9:37: \"tier\" is 16; 0 to 15 allowed (template \"reader\", "
        "used for service \"read\" at s.json:16:5)\n");
}

TEST_CASE("wrong use of templates is found")
{
  const auto with = [](std::string_view aFrom, std::string_view aTo) {
    return FindingsOf(
      { { "s.json", Replaced(std::string(kServices), aFrom, aTo) } });
  };
  CHECK(with(R"("parameters": { "model": "m" })", R"("parameters": {})") ==
        "s.json:16:5: template \"reader\" needs the parameter \"model\"\n");
  CHECK(with(R"({ "model": "m" })", R"({ "model": "m", "teir": 1 })") ==
        "s.json:16:75: template \"reader\" has no parameter \"teir\"; did you "
        "mean \"tier\"?\n");
  CHECK(with("${suffix}", "${sufix}") ==
        "s.json:4:49: the template never uses its parameter \"suffix\"\n"
        "s.json:7:31: \"${sufix}\" is not a parameter of the template; did you "
        "mean \"suffix\"?\n");
  CHECK(
    with("\"template\": \"reader\"", "\"template\": \"raeder\"") ==
    "s.json:16:19: no service template \"raeder\"; did you mean \"reader\"?\n");
  CHECK(with(R"({ "model": "m" })", R"({ "model": ["m"] })") ==
        "s.json:7:31: parameter \"model\" is no string, number or truth value "
        "and can't be part of a text (template \"reader\", used for service "
        "\"read\" at s.json:16:5)\n");
}

TEST_CASE("what doesn't fit together is found across files, all at once")
{
  const std::string customers = fmt::format(
    R"({{"customers": [
{{"name": "a", "key_hashes": ["{0}"],
  "grants": [{{"service": "raed", "classes": ["fast"]}}]}},
{{"name": "a", "key_hashes": ["{0}"],
  "grants": [{{"service": "read", "classes": ["fats"]}}]}},
{{"name": "b", "key_hashes": ["XYZ"], "requests_per_second": 5,
  "grants": [{{"service": "app", "classes": ["x", "x"]}}]}}
]}})",
    Sha256Hex("k"));
  const std::string more = R"({"services": [{
  "name": "app", "kind": "plain",
  "routes": [{ "path_prefix": "/a", "class": "none" }],
  "classes": [
    { "name": "x", "tier": 1, "idempotent": true, "queue_bound": 0 },
    { "name": "x", "tier": 1 }
  ]
}, {
  "name": "other", "kind": "model", "models": [{ "model": "m-x" }],
  "classes": [{ "name": "y", "tier": 3, "idempotent": true }]
}]})";
  CHECK(
    FindingsOf({ { "c.json", customers },
                 { "m.json", more },
                 { "s.json", std::string(kServices) } }) ==
    "c.json:3:26: no service \"raed\"\n"
    "c.json:4:1: customer \"a\" stands already at c.json:2:1\n"
    "c.json:4:30: key hash \"" +
      Sha256Hex("k") +
      "\" stands already at c.json:2:30\n"
      "c.json:5:46: service \"read\" has no class \"fats\"; did you mean "
      "\"fast\"?\n"
      "c.json:6:1: \"requests_per_second\" needs a \"burst\" of at least 1, "
      "or nothing would be let through\n"
      "c.json:6:30: not a key's SHA-256 in 64 lower-case hexadecimal "
      "digits\n"
      "c.json:7:50: class \"x\" stands twice in the grant\n"
      "m.json:3:46: service \"app\" has no class \"none\"\n"
      "m.json:5:66: \"queue_bound\" is 0; 1 to 10000000 allowed\n"
      "m.json:6:5: a class lacks \"idempotent\"\n"
      "m.json:6:5: class \"x\" stands twice in service \"app\"\n"
      "s.json:7:20: model \"m-x\" stands already at m.json:9:48 (template "
      "\"reader\", used for service \"read\" at s.json:16:5)\n"
      "s.json:17:5: service \"app\" stands already at m.json:1:15\n"
      "s.json:21:9: route \"* /a\" stands already at m.json:3:14\n");
}

TEST_CASE("the example configurations are right")
{
  const auto examples =
    std::filesystem::path(DOGWOODVALE_SOURCE_DIR) / "examples";
  for (const char* site : { "nairobi", "muscat" }) {
    Findings findings;
    const auto sources = ReadConfigurationSources(
      (examples / site / "configuration").string(), findings);
    const Configuration configuration = ParseConfiguration(sources, findings);
    CHECK(findings.Render().empty());
    CHECK(configuration.Customers().size() == 10);
    for (const Customer& customer : configuration.Customers()) {
      const std::string key = "key-" + customer.name.Value();
      CHECK(configuration.FindCustomerOfKey(Sha256Hex(key)) == &customer);
    }
  }
}

TEST_CASE("a damaged configuration gives findings, never a crash")
{
  rc::prop("a configuration with random edits", [] {
    std::string text(kServices);
    const auto edits = *rc::gen::container<std::vector<std::pair<int, char>>>(
      rc::gen::pair(rc::gen::inRange(0, static_cast<int>(text.size())),
                    rc::gen::elementOf(std::string("{}[]\",:0-.e$\\/tn\n"
                                                   "\x01\xff"))));
    for (const auto& [at, character] : edits) {
      text[static_cast<std::size_t>(at)] = character;
    }
    const std::vector<ConfigurationSource> sources{ { "s.json", text } };
    Findings findings;
    ParseConfiguration(sources, findings);
    const auto pages = MakePages(sources);
    const auto joined = JoinPages(Hashes(pages), pages);
    RC_ASSERT(joined.ok());
    // Pages accept what the parser accepts, and nothing more.
    Findings joinedFindings;
    ParseConfiguration(*joined, joinedFindings);
    RC_ASSERT(findings.IsEmpty() == joinedFindings.IsEmpty());
  });
}

TEST_CASE("values of other types give findings, never a crash")
{
  rc::prop("any value of any type anywhere", [] {
    // Each member is replaced in turn by values that it doesn't expect.
    std::string text(kServices);
    std::vector<std::size_t> colons;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == ':') {
        colons.push_back(i + 1);
      }
    }
    const std::size_t at = *rc::gen::elementOf(colons);
    const std::string value =
      *rc::gen::elementOf(std::vector<std::string>{ "null",
                                                    "[]",
                                                    "{}",
                                                    "[1]",
                                                    "[{}]",
                                                    "-1",
                                                    "1e99",
                                                    "\"\"",
                                                    "true",
                                                    "\"${\"",
                                                    "\"${}\"",
                                                    "\"${name}\"",
                                                    "[[]]",
                                                    "{\"a\": {}}" });
    const std::size_t end = text.find_first_of(",}\n", at);
    text.replace(at, end - at, value);
    Findings findings;
    const std::vector<ConfigurationSource> sources{ { "s.json", text } };
    ParseConfiguration(sources, findings);
    RC_ASSERT(JoinPages(Hashes(MakePages(sources)), MakePages(sources)).ok());
  });
}

TEST_CASE("pages join to the same configuration")
{
  rc::prop("any number of customers in any cut into files", [] {
    const int count = *rc::gen::inRange(1, 400);
    auto sources = Sources(count);
    if (*rc::gen::arbitrary<bool>()) {
      std::swap(sources[0], sources[1]);
    }
    const auto pages = MakePages(sources);
    ConfigurationRoot root;
    root.pageHashes = Hashes(pages);
    auto shuffled = pages;
    std::reverse(shuffled.begin(), shuffled.end());
    const auto joined = JoinPages(root, shuffled);
    RC_ASSERT(joined.ok());
    RC_ASSERT(Hashes(MakePages(*joined)) == root.pageHashes);

    const Configuration before = Parse(sources);
    const Configuration after = Parse(*joined);
    RC_ASSERT(after.Customers().size() == before.Customers().size());
    RC_ASSERT(after.Services().size() == before.Services().size());
    for (const Customer& customer : before.Customers()) {
      const Customer* same = after.FindCustomer(customer.name);
      RC_ASSERT(same != nullptr);
      RC_ASSERT(after.FindCustomerOfKey(customer.keyHashes[0]) == same);
      RC_ASSERT(same->weight == customer.weight);
    }
  });
}

TEST_CASE("a change of one customer changes few, small pages")
{
  rc::prop("one customer changed, added or removed", [] {
    const int count = *rc::gen::inRange(2, 1500);
    const auto before = MakePages(Sources(count));
    const auto changed = MakePages(Sources(count, *rc::gen::inRange(0, count)));
    const auto grown = MakePages(Sources(count + 1));
    RC_ASSERT(CountNew(before, changed) == 1U);
    // A page that grows too large makes two; one that shrinks, one.
    RC_ASSERT(CountNew(before, grown) <= 2U);
    RC_ASSERT(CountNew(grown, before) <= 2U);
    for (const Page& page : grown) {
      RC_ASSERT(page.content.size() <= kMaxPageBytes + 64);
    }
  });
}

// The process sees: a page from a peer or the store whose content isn't what
// the root named. Put in force, this process would follow another configuration
// than the rest, and nothing would show it.
TEST_CASE("a page that is missing or altered is refused")
{
  const auto pages = MakePages(Sources(5));
  const auto hashes = Hashes(pages);
  REQUIRE(JoinPages(hashes, pages).ok());
  for (std::size_t i = 0; i < pages.size(); ++i) {
    auto altered = pages;
    altered[i].content += " ";
    CHECK(JoinPages(hashes, altered).status().code() ==
          absl::StatusCode::kDataLoss);
    auto fewer = pages;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
    CHECK(JoinPages(hashes, fewer).status().code() ==
          absl::StatusCode::kNotFound);
  }
}

TEST_CASE("customers taken over from the previous configuration are the same")
{
  rc::prop("any few changes of customers or services", [] {
    const auto edit = [](std::vector<ConfigurationSource>& aSources) {
      if (*rc::gen::inRange(0, 4) == 0) {
        // Another tier of the services' template: nothing may be taken over.
        aSources[0].text =
          Replaced(aSources[0].text, "\"tier\": 0,", "\"tier\": 1,");
      }
    };
    const int count = *rc::gen::inRange(1, 300);
    auto firstSources = Sources(count, *rc::gen::inRange(0, count));
    auto secondSources =
      Sources(count + *rc::gen::inRange(0, 3), *rc::gen::inRange(0, count));
    edit(firstSources);
    edit(secondSources);
    const auto firstPages = MakePages(firstSources);
    const auto secondPages = MakePages(secondSources);
    const auto first =
      ParsePages(Hashes(firstPages), Views(firstPages), nullptr);
    RC_ASSERT(first.ok());
    const auto second =
      ParsePages(Hashes(secondPages), Views(secondPages), &*first);
    RC_ASSERT(second.ok());
    const Configuration whole = Parse(secondSources);
    RC_ASSERT(Describe(*second) == Describe(whole));
  });
}

// Operators see: a customer with the key of another, in a page that changed
// while the other's page did not. Taking the other over without a comparison
// would accept it, and each process would bill whichever it met first.
TEST_CASE("a new customer is compared with those taken over")
{
  const auto before = MakePages(Sources(500));
  auto sources = Sources(500);
  sources[1].text =
    Replaced(sources[1].text, Sha256Hex("key-c-250"), Sha256Hex("key-c-100"));
  const auto after = MakePages(sources);
  const auto previous = ParsePages(Hashes(before), Views(before), nullptr);
  REQUIRE(previous.ok());
  const auto next = ParsePages(Hashes(after), Views(after), &*previous);
  REQUIRE(next.status().code() == absl::StatusCode::kInvalidArgument);
  CHECK(MessageOf(next.status()).find("stands already at") !=
        std::string_view::npos);
}

// Operators see: a class renamed, while customers that are granted the old name
// stay as they were. Taking them over would put grants of no class in force.
TEST_CASE("a change of services or templates reaches customers taken over")
{
  const auto before = MakePages(Sources(500));
  auto sources = Sources(500);
  sources[0].text = Replaced(sources[0].text, "\"slow\"", "\"slower\"");
  const auto after = MakePages(sources);
  REQUIRE(CountNew(before, after) == 1);
  const auto previous = ParsePages(Hashes(before), Views(before), nullptr);
  REQUIRE(previous.ok());
  const auto next = ParsePages(Hashes(after), Views(after), &*previous);
  REQUIRE(next.status().code() == absl::StatusCode::kInvalidArgument);
  CHECK(MessageOf(next.status()).find("has no class \"slow\"") !=
        std::string_view::npos);
}

TEST_CASE("pages that the previous configuration has need not be given")
{
  const auto before = MakePages(Sources(500));
  const auto after = MakePages(Sources(500, 3));
  const auto previous = ParsePages(Hashes(before), Views(before), nullptr);
  REQUIRE(previous.ok());
  std::vector<Page> needed;
  for (const Page& page : after) {
    if (page.content.substr(0, 12) != "{\"customers\"" ||
        CountNew(before, { page }) == 1) {
      needed.push_back(page);
    }
  }
  REQUIRE(needed.size() < after.size());
  CHECK(ParsePages(Hashes(after), Views(needed), &*previous).ok());
  CHECK(ParsePages(Hashes(after), Views(needed), nullptr).status().code() ==
        absl::StatusCode::kNotFound);
  needed.back().content += " ";
  CHECK(ParsePages(Hashes(after), Views(needed), &*previous).status().code() ==
        absl::StatusCode::kDataLoss);
}

TEST_CASE("a root survives its text form, within bounds")
{
  ConfigurationRoot root;
  root.epoch = 100;
  root.changeId = "change-1";
  root.author = "an operator";
  root.comment =
    std::string(ConfigurationRoot::kMaxComment - 1, 'x') + "\u00e9";
  root.acceptedAt = 1'790'000'000;
  root.pageHashes = Hashes(MakePages(Sources(200)));
  for (Epoch epoch = 99; epoch > 9; --epoch) {
    root.history.push_back({ epoch, "c", "a", "n", 5 });
  }
  const auto decoded = DecodeRoot(EncodeRoot(root));
  REQUIRE(decoded.ok());
  CHECK(decoded->epoch == root.epoch);
  CHECK(decoded->changeId == root.changeId);
  CHECK(decoded->author == root.author);
  CHECK(decoded->comment.size() == ConfigurationRoot::kMaxComment - 1);
  CHECK(decoded->acceptedAt == root.acceptedAt);
  CHECK(decoded->pageHashes == root.pageHashes);
  CHECK(decoded->history.size() == ConfigurationRoot::kMaxHistory);
  CHECK(decoded->history[0].epoch == 99);
}

TEST_CASE("a root that is damaged is refused, never a crash")
{
  ConfigurationRoot root;
  root.epoch = 2;
  root.changeId = "change-2";
  root.pageHashes = Hashes(MakePages(Sources(2)));
  root.history.push_back({ 1, "change-1", "", "", 5 });
  const std::string text = EncodeRoot(root);
  CHECK_FALSE(DecodeRoot(Replaced(text, "\"epoch\":2", "\"epoch\":0")).ok());
  CHECK_FALSE(DecodeRoot(Replaced(text, "\"epoch\":1", "\"epoch\":2")).ok());
  CHECK_FALSE(DecodeRoot(Replaced(text, "\"format\":1", "\"format\":2")).ok());
  CHECK_FALSE(DecodeRoot("").ok());
  rc::prop("a root with random edits", [&] {
    std::string damaged = text;
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    damaged[at] = *rc::gen::arbitrary<char>();
    const auto decoded = DecodeRoot(damaged);
    if (decoded.ok()) {
      RC_ASSERT(decoded->epoch > 0U);
    }
  });
}
