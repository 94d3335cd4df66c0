#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "dogwoodvale/Routing"
#include "dogwoodvale/Scheduling"
#include "dogwoodvale/Settings"

using namespace dogwoodvale;

namespace {

constexpr std::string_view kEntry = R"({
  // An entry.
  "role": "entry",
  "instance": "entry-1",
  "data_centre": "dc1",
  "region": "nairobi",
  "peers": "127.0.0.1:2000",
  "operators": "127.0.0.1:2001",
  "peer_secret": "0123456789abcdef",
  "entry": { "callers": "127.0.0.1:2002" }
})";

std::string
With(std::string_view aFrom, std::string_view aTo)
{
  std::string text(kEntry);
  const std::size_t at = text.find(aFrom);
  REQUIRE(at != std::string::npos);
  return text.replace(at, aFrom.size(), aTo);
}

std::string
FindingsOf(std::string_view aText)
{
  Findings findings;
  ParseDaemonSettings(aText, "s.json", findings);
  return findings.Render();
}

std::filesystem::path
Examples()
{
  return std::filesystem::path(DOGWOODVALE_SOURCE_DIR) / "examples";
}

} // namespace

TEST_CASE("settings are read, and what isn't written has its default")
{
  Findings findings;
  const DaemonSettings settings = ParseDaemonSettings(
    With("\"peers\"", R"("stop_timeout_ms": 1500, "peers")"),
    "s.json",
    findings);
  CHECK(findings.Render().empty());
  CHECK(settings.role == Role::Entry);
  CHECK(settings.instance == InstanceName("entry-1"));
  CHECK(settings.entry.callers.port == 2002);
  CHECK(settings.entry.maxAttempts == 4);
  CHECK(settings.stopTimeout == milliseconds(1500));
}

TEST_CASE("every finding is reported at once, with its place")
{
  CHECK(FindingsOf(R"({
  "role": "entry",
  "instance": "a b",
  "data_center": "dc1",
  "region": 7,
  "peers": "localhost:1",
  "operators": "127.0.0.1:2001",
  "entry": { "callers": "127.0.0.1:2002", "max_attempts": 0 },
  "sidecar": { "backend": "127.0.0.1:1", "service": "s", "overdue_share": 0.9 }
})") == "s.json:1:1: the settings lacks \"data_centre\"\n"
        "s.json:3:15: \"instance\" must be a name: 1 to 64 letters, digits, "
        "'.', '_' or '-'\n"
        "s.json:5:13: \"region\" must be a string, not a number\n"
        "s.json:6:12: \"peers\": \"localhost\" is not an IP number; names are "
        "not resolved\n"
        "s.json:1:1: give one of \"peer_secret\" and \"peer_secret_file\"\n"
        "s.json:8:59: \"max_attempts\" is 0; 1 to 16 allowed\n"
        "s.json:9:75: \"overdue_share\" is 0.9; 0 to 0.5 allowed\n"
        "s.json:9:3: section \"sidecar\" has no meaning for role \"entry\"\n"
        "s.json:4:3: the settings has no key \"data_center\"; did you mean "
        "\"data_centre\"?\n");
}

TEST_CASE("text that is no JSON is a finding with line and column")
{
  CHECK(FindingsOf("{\n  \"role\": entry }") ==
        "s.json:2:11: Syntax error: value, object or array expected.\n");
  CHECK_FALSE(FindingsOf("").empty());
  CHECK_FALSE(FindingsOf("[]").empty());
  CHECK_FALSE(FindingsOf(std::string(kEntry) + "{}").empty());
  CHECK_FALSE(
    FindingsOf(With("\"peers\"", "\"role\": \"entry\", \"peers\"")).empty());
}

TEST_CASE("a policy's name is one that can be made")
{
  CHECK(CreateChooser(EntrySettings{}.chooser).ok());
  CHECK(std::count(kChooserNames.begin(),
                   kChooserNames.end(),
                   EntrySettings{}.chooser) == 1);
  for (const std::string_view name : kChooserNames) {
    CHECK(CreateChooser(name).ok());
  }
  for (const std::string_view name : kQueuePolicyNames) {
    CHECK(ParseQueuePolicy(name).ok());
  }
  CHECK(FindingsOf(With("\"callers\"", R"("chooser": "best", "callers")")) ==
        "s.json:10:25: \"chooser\" must be one of \"least_loaded\", "
        "\"least_loaded_of_two\", "
        "\"least_connections\", \"round_robin\", \"random\"\n");
}

TEST_CASE("whole numbers are whole and in range, whatever their spelling")
{
  const auto attempts = [](std::string_view aNumber) {
    return FindingsOf(
      With("\"callers\"",
           fmt::format("\"max_attempts\": {}, \"callers\"", aNumber)));
  };
  CHECK(attempts("16").empty());
  for (const char* bad : { "17",
                           "-1",
                           "1.5",
                           "1e300",
                           "18446744073709551616",
                           "\"4\"",
                           "null" }) {
    CHECK_FALSE(attempts(bad).empty());
  }
}

// The caller sees: a settings or configuration file of a few hundred kilobytes
// of brackets. Without a bound on depth the reader recurses once a bracket and
// the process dies of its stack; with it the file is one finding.
TEST_CASE("a JSON bomb is a finding")
{
  for (const char* open : { "[", "{\"a\":" }) {
    std::string bomb;
    for (int i = 0; i < 200'000; ++i) {
      bomb += open;
    }
    CHECK(FindingsOf(bomb) == "s.json:0:0: nested deeper than 64 levels\n");
  }
}

TEST_CASE("the secret may lie in a file beside the settings")
{
  const auto directory =
    std::filesystem::temp_directory_path() /
    fmt::format("dogwoodvale-settings-{:x}", DrawIncarnation());
  std::filesystem::create_directory(directory);
  std::ofstream(directory / "secret") << "fedcba9876543210\n";
  std::ofstream(directory / "short") << "x";
  const auto parse = [&](std::string_view aSecret) {
    Findings findings;
    const auto settings = ParseDaemonSettings(
      With("\"peer_secret\": \"0123456789abcdef\"", aSecret),
      (directory / "s.json").string(),
      findings);
    return findings.IsEmpty() ? settings.peerSecret : "";
  };
  CHECK(parse(R"("peer_secret_file": "secret")") == "fedcba9876543210");
  CHECK(parse(R"("peer_secret_file": "short")").empty());
  CHECK(parse(R"("peer_secret_file": "missing")").empty());
  CHECK(parse(R"("peer_secret": "0123456789abcdef",
                 "peer_secret_file": "secret")")
          .empty());
  std::filesystem::remove_all(directory);
}

TEST_CASE("the example settings are right")
{
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(Examples())) {
    if (entry.path().parent_path().filename() == "settings") {
      Findings findings;
      LoadDaemonSettings(entry.path().string(), findings);
      CHECK(findings.Render().empty());
    }
  }
}

TEST_CASE("damaged settings give findings, never a crash")
{
  rc::prop("settings with random edits", [](std::uint32_t aSalt) {
    std::string text(kEntry);
    const auto edits = *rc::gen::container<std::vector<std::pair<int, char>>>(
      rc::gen::pair(rc::gen::inRange(0, static_cast<int>(text.size())),
                    rc::gen::elementOf(std::string("{}[]\",:0-.eE\\/*tnu\n"
                                                   "\x01\xff"))));
    for (const auto& [at, character] : edits) {
      text[static_cast<std::size_t>(at)] = character;
    }
    text.resize(text.size() - aSalt % 3);
    Findings findings;
    const DaemonSettings settings =
      ParseDaemonSettings(text, "s.json", findings);
    const auto lines = std::count(text.begin(), text.end(), '\n') + 1;
    for (const Finding& finding : findings.All()) {
      RC_ASSERT(finding.place.line <= lines);
      RC_ASSERT(!finding.message.empty());
    }
    RC_ASSERT(!findings.IsEmpty() || settings.entry.maxAttempts >= 1);
  });
}
