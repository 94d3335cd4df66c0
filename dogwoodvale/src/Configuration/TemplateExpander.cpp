#include "TemplateExpander.h"

#include <algorithm>

namespace dogwoodvale::internal {

namespace {

constexpr std::string_view kNameParameter = "name";
constexpr std::size_t kMaxExpandedText = 65'536;

/// One "${name}" in a text; nothing after the last.
struct Reference
{
  std::size_t begin = 0;
  std::size_t end = 0;
  std::string_view name;
};

std::optional<Reference>
NextReference(std::string_view aText, std::size_t aFrom)
{
  const std::size_t begin = aText.find("${", aFrom);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t close = aText.find('}', begin);
  if (close == std::string_view::npos) {
    return Reference{ begin, aText.size(), {} };
  }
  return Reference{ begin,
                    close + 1,
                    aText.substr(begin + 2, close - begin - 2) };
}

std::string_view
TextOf(const Json::Value& aString)
{
  const char* begin = nullptr;
  const char* end = nullptr;
  aString.getString(&begin, &end);
  return { begin, static_cast<std::size_t>(end - begin) };
}

std::string
JoinQuoted(const std::vector<std::string>& aNames)
{
  std::string joined;
  for (const std::string& name : aNames) {
    joined += fmt::format("{}\"{}\"", joined.empty() ? "" : ", ", name);
  }
  return joined;
}

/// Checks that all references are to declared parameters, and notes them.
void
CheckReferences(const ReadScope& aScope,
                const Json::Value& aValue,
                const std::vector<std::string>& aDeclared,
                std::set<std::string, std::less<>>& aUsed)
{
  if (aValue.isArray() || aValue.isObject()) {
    for (const Json::Value& item : aValue) {
      CheckReferences(aScope, item, aDeclared, aUsed);
    }
    return;
  }
  if (!aValue.isString()) {
    return;
  }
  const std::string_view text = TextOf(aValue);
  std::size_t from = 0;
  while (const auto reference = NextReference(text, from)) {
    from = reference->end;
    const std::string name(reference->name);
    aUsed.insert(name);
    if (std::find(aDeclared.begin(), aDeclared.end(), name) !=
        aDeclared.end()) {
      continue;
    }
    const std::string nearest = NearestName(name, aDeclared);
    aScope.Add(aValue,
               fmt::format("\"${{{}}}\" is not a parameter of the template{}",
                           name,
                           nearest.empty()
                             ? ""
                             : fmt::format("; did you mean \"{}\"?", nearest)));
  }
}

/// Fills parameters into a copy of a template's body.
class Substitution
{
public:
  Substitution(const ReadScope& aScope,
               const std::map<std::string, Json::Value, std::less<>>& aValues)
    : scope(aScope)
    , values(aValues)
  {
  }

  void Apply(Json::Value& aValue)
  {
    if (aValue.isArray() || aValue.isObject()) {
      for (Json::Value& item : aValue) {
        this->Apply(item);
      }
    } else if (aValue.isString()) {
      this->ApplyToText(aValue);
    }
  }

private:
  void ApplyToText(Json::Value& aValue)
  {
    const std::string text = aValue.asString();
    const auto first = NextReference(text, 0);
    if (!first) {
      return;
    }
    Json::Value filled;
    if (first->begin == 0 && first->end == text.size()) {
      filled = this->values.find(first->name)->second;
    } else {
      filled = this->FillText(aValue, text);
    }
    MoveTo(filled, aValue.getOffsetStart());
    aValue = std::move(filled);
  }

  std::string FillText(const Json::Value& aPlace, std::string_view aText)
  {
    std::string filled;
    std::size_t from = 0;
    while (const auto reference = NextReference(aText, from)) {
      filled += aText.substr(from, reference->begin - from);
      const Json::Value& value = this->values.find(reference->name)->second;
      if (value.isArray() || value.isObject() || value.isNull()) {
        this->scope.Add(aPlace,
                        fmt::format("parameter \"{}\" is no string, number or "
                                    "truth value and can't be part of a text",
                                    reference->name));
      } else {
        filled += value.asString();
      }
      from = reference->end;
    }
    filled += aText.substr(from);
    if (filled.size() > kMaxExpandedText) {
      this->scope.Add(aPlace,
                      fmt::format("the filled-in text has {} bytes; at most {} "
                                  "allowed",
                                  filled.size(),
                                  kMaxExpandedText));
      filled.clear();
    }
    return filled;
  }

  /// A parameter's value comes from another file; its findings are reported
  /// where the template uses it.
  static void MoveTo(Json::Value& aValue, std::ptrdiff_t aOffset)
  {
    aValue.setOffsetStart(aOffset);
    if (aValue.isArray() || aValue.isObject()) {
      for (Json::Value& item : aValue) {
        MoveTo(item, aOffset);
      }
    }
  }

  const ReadScope& scope;
  const std::map<std::string, Json::Value, std::less<>>& values;
};

} // namespace

TemplateSet::TemplateSet(std::string_view aKind)
  : kind(aKind)
{
}

void
TemplateSet::Read(const ReadScope& aScope, const Json::Value& aTemplates)
{
  if (!aTemplates.isObject()) {
    aScope.Add(aTemplates, "templates must be an object, by name");
    return;
  }
  for (const std::string& name : aTemplates.getMemberNames()) {
    this->ReadOne(aScope, name, aTemplates[name]);
  }
}

void
TemplateSet::ReadOne(const ReadScope& aScope,
                     const std::string& aName,
                     const Json::Value& aValue)
{
  const std::size_t before = aScope.findings.All().size();
  if (!IsValidName(aName)) {
    aScope.Add(aValue, fmt::format("\"{}\" is not a name", aName));
  }
  if (this->templates.contains(aName)) {
    aScope.Add(aValue,
               fmt::format("a {} template \"{}\" exists already, in {}",
                           this->kind,
                           aName,
                           this->templates[aName].document->File()));
  }
  ObjectReader reader(aScope, aValue, "a template");
  Template made;
  made.document = &aScope.document;
  std::vector<std::string> declared{ std::string(kNameParameter) };
  const Json::Value* parameters = reader.Find("parameters");
  if (parameters != nullptr && !parameters->isObject()) {
    aScope.Add(*parameters, "\"parameters\" must be an object, by name");
  } else if (parameters != nullptr) {
    for (const std::string& parameter : parameters->getMemberNames()) {
      made.parameters.emplace(parameter, (*parameters)[parameter]);
      declared.push_back(parameter);
      if (parameter == kNameParameter || !IsValidName(parameter)) {
        aScope.AddAt(aScope.document.PlaceOfKey(*parameters, parameter),
                     fmt::format("\"{}\" can't name a parameter", parameter));
      }
    }
  }
  if (const Json::Value* body = reader.Require(this->kind)) {
    std::set<std::string, std::less<>> used;
    CheckReferences(aScope, *body, declared, used);
    for (const auto& [parameter, standard] : made.parameters) {
      if (!used.contains(parameter)) {
        aScope.AddAt(aScope.document.PlaceOfKey(*parameters, parameter),
                     fmt::format("the template never uses its parameter \"{}\"",
                                 parameter));
      }
    }
    if (body->isObject() && body->isMember("name")) {
      aScope.AddAt(aScope.document.PlaceOfKey(*body, "name"),
                   "a template has no \"name\"; each use of it gives one");
    }
    if (body->isObject()) {
      made.body = *body;
    } else {
      aScope.Add(*body, fmt::format("\"{}\" must be an object", this->kind));
    }
  }
  reader.Finish();
  if (aScope.findings.All().size() > before) {
    this->broken.insert(aName);
  }
  this->templates.emplace(aName, std::move(made));
}

std::optional<Expansion>
TemplateSet::Expand(const ReadScope& aScope, const Json::Value& aItem) const
{
  const std::size_t before = aScope.findings.All().size();
  ObjectReader reader(
    aScope, aItem, fmt::format("a {} from a template", this->kind));
  std::string name;
  std::string templateName;
  reader.Require("name");
  reader.ReadName("name", name);
  reader.ReadName("template", templateName);
  const Json::Value* given = reader.Find("parameters");
  reader.Finish();
  if (given != nullptr && !given->isObject()) {
    aScope.Add(*given, "\"parameters\" must be an object, by name");
    given = nullptr;
  }
  const auto found = this->templates.find(templateName);
  if (found == this->templates.end()) {
    if (!templateName.empty()) {
      std::vector<std::string> names;
      for (const auto& [known, unused] : this->templates) {
        names.push_back(known);
      }
      aScope.Add(aItem["template"],
                 fmt::format("no {} template \"{}\"; there are: {}",
                             this->kind,
                             templateName,
                             JoinQuoted(names)));
    }
    return std::nullopt;
  }
  const Template& source = found->second;
  std::map<std::string, Json::Value, std::less<>> values = source.parameters;
  std::vector<std::string> declared;
  for (const auto& [parameter, standard] : source.parameters) {
    declared.push_back(parameter);
  }
  if (given != nullptr) {
    for (const std::string& parameter : given->getMemberNames()) {
      if (!source.parameters.contains(parameter)) {
        const std::string nearest = NearestName(parameter, declared);
        aScope.AddAt(
          aScope.document.PlaceOfKey(*given, parameter),
          fmt::format("template \"{}\" has no parameter \"{}\"{}",
                      templateName,
                      parameter,
                      nearest.empty()
                        ? ""
                        : fmt::format("; did you mean \"{}\"?", nearest)));
        continue;
      }
      values[parameter] = (*given)[parameter];
    }
  }
  for (const auto& [parameter, value] : values) {
    if (value.isNull()) {
      aScope.Add(aItem,
                 fmt::format("template \"{}\" needs the parameter \"{}\"",
                             templateName,
                             parameter));
    }
  }
  if (this->broken.contains(templateName) ||
      aScope.findings.All().size() > before) {
    return std::nullopt;
  }
  values.emplace(kNameParameter, name);
  const Place use = aScope.document.PlaceOf(aItem);
  Expansion expansion{ source.body,
                       { *source.document,
                         aScope.findings,
                         fmt::format(" (template \"{}\", used for {} \"{}\" at "
                                     "{}:{}:{})",
                                     templateName,
                                     this->kind,
                                     name,
                                     use.file,
                                     use.line,
                                     use.column) } };
  const std::size_t beforeFilling = aScope.findings.All().size();
  Substitution(expansion.scope, values).Apply(expansion.value);
  if (aScope.findings.All().size() > beforeFilling) {
    return std::nullopt;
  }
  Json::Value nameValue(name);
  nameValue.setOffsetStart(expansion.value.getOffsetStart());
  expansion.value["name"] = std::move(nameValue);
  return expansion;
}

} // namespace dogwoodvale::internal
