#include <catch2/catch.hpp>

#include <fstream>
#include <set>

#include "dogwoodvale/Settings"

using namespace dogwoodvale;

namespace {

struct Row
{
  std::string section;
  std::string key;
  std::string type;
  std::string fallback;
};

std::vector<std::string>
Cells(const std::string& aLine)
{
  std::vector<std::string> cells;
  std::size_t from = 1;
  while (from < aLine.size()) {
    const std::size_t to = std::min(aLine.find('|', from), aLine.size());
    std::string cell = aLine.substr(from, to - from);
    cell.erase(0, cell.find_first_not_of(' '));
    cell.erase(cell.find_last_not_of(' ') + 1);
    cells.push_back(cell);
    from = to + 1;
  }
  return cells;
}

std::string
WithoutMarks(std::string aText)
{
  std::erase(aText, '`');
  return aText;
}

/// Rows of the tables of keys in docs/CONFIGURATION.md, by role.
std::vector<Row>
ReadPage()
{
  std::ifstream page(DOGWOODVALE_SOURCE_DIR "/docs/CONFIGURATION.md");
  std::vector<Row> rows;
  std::string section;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("#")) {
      section = WithoutMarks(line.substr(line.find(' ') + 1));
    } else if (line == "`platform`:") {
      section = "platform";
    } else if (line.starts_with("| `")) {
      const std::vector<std::string> cells = Cells(line);
      if (cells.size() >= 5) {
        rows.push_back({ section, WithoutMarks(cells[0]), cells[1], cells[3] });
      }
    }
  }
  return rows;
}

/// The default as JSON; nothing for those that a row describes in words.
std::optional<std::string>
AsJson(const Row& aRow)
{
  std::string text = WithoutMarks(aRow.fallback);
  if (text == "true" || text == "false") {
    return text;
  }
  if (aRow.fallback.starts_with("`")) {
    return "\"" + text + "\"";
  }
  std::erase(text, ',');
  const bool isNumber =
    !text.empty() && text.find_first_not_of("0123456789.") == text.npos;
  return isNumber ? std::optional(text) : std::nullopt;
}

/// Settings with an entry in a section; "platform" stands beside a gateway's.
DaemonSettings
Parse(const std::string& aSection, const std::string& aEntry)
{
  const bool isPlatform = aSection == "platform";
  const std::string role = isPlatform ? "gateway" : aSection;
  std::string required = role == "sidecar"
                           ? R"("backend":"127.0.0.1:3","service":"s")"
                           : R"("callers":"127.0.0.1:3")";
  if (!isPlatform && !aEntry.empty()) {
    required += "," + aEntry;
  }
  Findings findings;
  const DaemonSettings settings = ParseDaemonSettings(
    fmt::format(R"({{"role":"{0}","instance":"i","data_centre":"z",)"
                R"("region":"r","peers":"127.0.0.1:1",)"
                R"("operators":"127.0.0.1:2",)"
                R"("peer_secret":"0123456789abcdef",)"
                R"("platform":{{{2}}},"{0}":{{{1}}}}})",
                role,
                required,
                isPlatform ? aEntry : ""),
    "s.json",
    findings);
  INFO(findings.Render());
  CHECK(findings.IsEmpty());
  return settings;
}

} // namespace

// Guards against a page that names other defaults than those in force.
TEST_CASE("each default on the page is the code's, and stands there once",
          "[settings]")
{
  std::set<std::pair<std::string, std::string>> seen;
  int checked = 0;
  for (const Row& row : ReadPage()) {
    INFO(row.section << " " << row.key << " " << row.fallback);
    const std::optional<std::string> fallback = AsJson(row);
    const bool isRead = row.section == "entry" || row.section == "sidecar" ||
                        row.section == "gateway" || row.section == "platform";
    CHECK((!isRead || seen.emplace(row.section, row.key).second));
    // Duties need their required keys.
    if (!isRead || !fallback || row.key.starts_with("duties.")) {
      continue;
    }
    const std::size_t dot = row.key.find('.');
    const std::string stated = dot == std::string::npos
                                 ? fmt::format(R"("{}":{})", row.key, *fallback)
                                 : fmt::format(R"("{}":{{"{}":{}}})",
                                               row.key.substr(0, dot),
                                               row.key.substr(dot + 1),
                                               *fallback);
    const DaemonSettings plain = Parse(row.section, "");
    const DaemonSettings set = Parse(row.section, stated);
    CHECK(set.entry == plain.entry);
    CHECK(set.sidecar == plain.sidecar);
    CHECK(set.gateway == plain.gateway);
    CHECK(set.platform == plain.platform);
    ++checked;
  }
  CHECK(checked > 30);
}
