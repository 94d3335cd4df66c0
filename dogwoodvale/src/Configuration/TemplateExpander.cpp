#include "TemplateExpander.h"

#include <algorithm>
#include <span>

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

/// Checks that all references are to declared parameters, and notes them.
void
CheckReferences(const ReadScope& aScope,
                const Json::Value& aValue,
                std::span<const std::string_view> aDeclared,
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
    aUsed.emplace(reference->name);
    if (std::find(aDeclared.begin(), aDeclared.end(), reference->name) ==
        aDeclared.end()) {
      aScope.Add(aValue,
                 fmt::format("\"${{{}}}\" is not a parameter of the template{}",
                             reference->name,
                             Suggestion(reference->name, aDeclared)));
    }
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
  if (const auto other = this->templates.find(aName);
      other != this->templates.end()) {
    aScope.Add(aValue,
               fmt::format("a {} template \"{}\" exists already, in {}",
                           this->kind,
                           aName,
                           other->second.document->File()));
  }
  ObjectReader reader(aScope, aValue, "a template");
  Template made;
  made.document = &aScope.document;
  const Json::Value* parameters = reader.Find("parameters");
  if (parameters != nullptr && !parameters->isObject()) {
    aScope.Add(*parameters, "\"parameters\" must be an object, by name");
  } else if (parameters != nullptr) {
    for (const std::string& parameter : parameters->getMemberNames()) {
      made.parameters.emplace(parameter, (*parameters)[parameter]);
      if (parameter == kNameParameter || !IsValidName(parameter)) {
        aScope.AddAt(aScope.document.PlaceOfKey(*parameters, parameter),
                     fmt::format("\"{}\" can't name a parameter", parameter));
      }
    }
  }
  if (const Json::Value* body = reader.Require(this->kind)) {
    this->ReadBody(aScope, *body, parameters, made);
  }
  reader.Finish();
  if (aScope.findings.All().size() > before) {
    this->broken.insert(aName);
  }
  this->templates.emplace(aName, std::move(made));
}

void
TemplateSet::ReadBody(const ReadScope& aScope,
                      const Json::Value& aBody,
                      const Json::Value* aParameters,
                      Template& aMade) const
{
  if (!aBody.isObject()) {
    aScope.Add(aBody, fmt::format("\"{}\" must be an object", this->kind));
    return;
  }
  if (aBody.isMember("name")) {
    aScope.AddAt(aScope.document.PlaceOfKey(aBody, "name"),
                 "a template has no \"name\"; each use of it gives one");
  }
  std::vector<std::string_view> declared{ kNameParameter };
  for (const auto& [parameter, standard] : aMade.parameters) {
    declared.push_back(parameter);
  }
  aMade.fixed = Json::Value(Json::objectValue);
  aMade.open = Json::Value(Json::objectValue);
  std::set<std::string, std::less<>> used;
  for (const std::string& member : aBody.getMemberNames()) {
    std::set<std::string, std::less<>> usedHere;
    CheckReferences(aScope, aBody[member], declared, usedHere);
    (usedHere.empty() ? aMade.fixed : aMade.open)[member] = aBody[member];
    used.merge(usedHere);
  }
  aMade.fixed.setOffsetStart(aBody.getOffsetStart());
  aMade.open.setOffsetStart(aBody.getOffsetStart());
  for (const auto& [parameter, standard] : aMade.parameters) {
    if (!used.contains(parameter)) {
      aScope.AddAt(
        aScope.document.PlaceOfKey(*aParameters, parameter),
        fmt::format("the template never uses its parameter \"{}\"", parameter));
    }
  }
}

const Template*
TemplateSet::FindTemplate(const ReadScope& aScope,
                          const Json::Value& aItem,
                          std::string_view aName) const
{
  const auto found = this->templates.find(aName);
  if (found != this->templates.end()) {
    return &found->second;
  }
  std::vector<std::string_view> names;
  for (const auto& [name, unused] : this->templates) {
    names.push_back(name);
  }
  aScope.Add(
    aItem["template"],
    fmt::format(
      "no {} template \"{}\"{}", this->kind, aName, Suggestion(aName, names)));
  return nullptr;
}

TemplateSet::Parameters
TemplateSet::FillParameters(const ReadScope& aScope,
                            const Json::Value& aItem,
                            const Json::Value* aGiven,
                            std::string_view aTemplateName,
                            const Template& aTemplate)
{
  Parameters values = aTemplate.parameters;
  if (aGiven != nullptr) {
    for (const std::string& parameter : aGiven->getMemberNames()) {
      if (aTemplate.parameters.contains(parameter)) {
        values[parameter] = (*aGiven)[parameter];
        continue;
      }
      std::vector<std::string_view> declared;
      for (const auto& [known, standard] : aTemplate.parameters) {
        declared.push_back(known);
      }
      aScope.AddAt(aScope.document.PlaceOfKey(*aGiven, parameter),
                   fmt::format("template \"{}\" has no parameter \"{}\"{}",
                               aTemplateName,
                               parameter,
                               Suggestion(parameter, declared)));
    }
  }
  for (const auto& [parameter, value] : values) {
    if (value.isNull()) {
      aScope.Add(aItem,
                 fmt::format("template \"{}\" needs the parameter \"{}\"",
                             aTemplateName,
                             parameter));
    }
  }
  return values;
}

std::optional<Expansion>
TemplateSet::Expand(const ReadScope& aScope, const Json::Value& aItem) const
{
  const std::size_t before = aScope.findings.All().size();
  ObjectReader reader(aScope, aItem, "a use of a template");
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
  if (templateName.empty()) {
    return std::nullopt;
  }
  const Template* source = this->FindTemplate(aScope, aItem, templateName);
  if (source == nullptr) {
    return std::nullopt;
  }
  Parameters values =
    FillParameters(aScope, aItem, given, templateName, *source);
  if (this->broken.contains(templateName) ||
      aScope.findings.All().size() > before) {
    return std::nullopt;
  }
  values.emplace(kNameParameter, name);
  const Place use = aScope.document.PlaceOf(aItem);
  Expansion expansion{ source->open,
                       &source->fixed,
                       { *source->document,
                         aScope.findings,
                         fmt::format(" (template \"{}\", used for {} \"{}\" at "
                                     "{}:{}:{})",
                                     templateName,
                                     this->kind,
                                     name,
                                     use.file,
                                     use.line,
                                     use.column) } };
  Substitution(expansion.scope, values).Apply(expansion.value);
  if (aScope.findings.All().size() > before) {
    return std::nullopt;
  }
  Json::Value nameValue(name);
  nameValue.setOffsetStart(expansion.value.getOffsetStart());
  expansion.value["name"] = std::move(nameValue);
  return expansion;
}

} // namespace dogwoodvale::internal
