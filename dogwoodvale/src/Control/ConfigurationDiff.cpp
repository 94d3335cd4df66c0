#include "dogwoodvale/Control"

#include <set>

namespace dogwoodvale {

namespace {

std::string
OneLine(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["commentStyle"] = "None";
  builder["precision"] = 15;
  return Json::writeString(builder, aValue);
}

/// A list of named items as an object by name; anything else as it is.
Json::Value
ByName(const Json::Value& aValue)
{
  if (!aValue.isArray() || aValue.empty()) {
    return aValue;
  }
  Json::Value named(Json::objectValue);
  for (const Json::Value& item : aValue) {
    if (!item.isObject() || !item["name"].isString() ||
        named.isMember(item["name"].asString())) {
      return aValue;
    }
    named[item["name"].asString()] = item;
  }
  return named;
}

/// All sources as one object of sections.
Json::Value
Merge(std::span<const ConfigurationSource> aSources)
{
  Json::Value merged(Json::objectValue);
  for (const ConfigurationSource& source : aSources) {
    Findings ignored;
    const JsonDocument document =
      JsonDocument::Parse(source.text, source.file, ignored);
    if (!document.Root().isObject()) {
      continue;
    }
    for (const std::string& section : document.Root().getMemberNames()) {
      const Json::Value part = ByName(document.Root()[section]);
      if (!part.isObject()) {
        merged[section] = part;
        continue;
      }
      for (const std::string& name : part.getMemberNames()) {
        merged[section][name] = part[name];
      }
    }
  }
  return merged;
}

void
CompareValues(const std::string& aPath,
              const Json::Value* aBefore,
              const Json::Value* aAfter,
              std::vector<Difference>& aOut)
{
  if (aBefore == nullptr) {
    aOut.push_back({ Difference::Kind::Added, aPath, "", OneLine(*aAfter) });
    return;
  }
  if (aAfter == nullptr) {
    aOut.push_back({ Difference::Kind::Removed, aPath, OneLine(*aBefore), "" });
    return;
  }
  const Json::Value before = ByName(*aBefore);
  const Json::Value after = ByName(*aAfter);
  if (!before.isObject() || !after.isObject()) {
    const std::string left = OneLine(*aBefore);
    const std::string right = OneLine(*aAfter);
    if (left != right) {
      aOut.push_back({ Difference::Kind::Changed, aPath, left, right });
    }
    return;
  }
  std::set<std::string> names;
  for (const Json::Value* side : { &before, &after }) {
    for (const std::string& name : side->getMemberNames()) {
      names.insert(name);
    }
  }
  for (const std::string& name : names) {
    CompareValues(aPath.empty() ? name : fmt::format("{}/{}", aPath, name),
                  before.isMember(name) ? &before[name] : nullptr,
                  after.isMember(name) ? &after[name] : nullptr,
                  aOut);
  }
}

std::string_view
KindName(Difference::Kind aKind)
{
  switch (aKind) {
    case Difference::Kind::Added:
      return "added";
    case Difference::Kind::Removed:
      return "removed";
    case Difference::Kind::Changed:
      return "changed";
  }
  return "changed";
}

} // namespace

std::vector<Difference>
DiffSources(std::span<const ConfigurationSource> aBefore,
            std::span<const ConfigurationSource> aAfter)
{
  std::vector<Difference> differences;
  const Json::Value before = Merge(aBefore);
  const Json::Value after = Merge(aAfter);
  CompareValues("", &before, &after, differences);
  return differences;
}

std::string
RenderDifferences(std::span<const Difference> aDifferences)
{
  std::string text;
  for (const Difference& difference : aDifferences) {
    switch (difference.kind) {
      case Difference::Kind::Added:
        text += fmt::format("+ {}: {}\n", difference.path, difference.after);
        break;
      case Difference::Kind::Removed:
        text += fmt::format("- {}: {}\n", difference.path, difference.before);
        break;
      case Difference::Kind::Changed:
        text += fmt::format("~ {}: {} -> {}\n",
                            difference.path,
                            difference.before,
                            difference.after);
        break;
    }
  }
  return text;
}

Json::Value
DifferencesToJson(std::span<const Difference> aDifferences)
{
  Json::Value list(Json::arrayValue);
  for (const Difference& difference : aDifferences) {
    Json::Value item(Json::objectValue);
    item["kind"] = std::string(KindName(difference.kind));
    item["path"] = difference.path;
    item["before"] = difference.before;
    item["after"] = difference.after;
    list.append(std::move(item));
  }
  return list;
}

} // namespace dogwoodvale
