#ifndef DOGWOODVALE_CONFIGURATION_TEMPLATEEXPANDER_H
#define DOGWOODVALE_CONFIGURATION_TEMPLATEEXPANDER_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodvale/Settings"

namespace dogwoodvale::internal {

/// A template of services or of customers: a body with "${parameter}" in its
/// strings, and the parameters that fill it.
struct Template
{
  const JsonDocument* document = nullptr;
  /// Members of the body with no reference to a parameter.
  Json::Value fixed;
  /// Members that must be filled in.
  Json::Value open;
  /// Null where the parameter must be given.
  std::map<std::string, Json::Value, std::less<>> parameters;
};

/// A template filled in. Its values keep the template's places, so findings
/// in it are to be reported with \c scope.
struct Expansion
{
  Json::Value value;
  /// Members that all uses of the template share, at the same address.
  const Json::Value* inherited = nullptr;
  ReadScope scope;

  ObjectView View() const { return { this->value, this->inherited }; }
};

/// The templates of one kind, by name.
class TemplateSet
{
public:
  /// \param aKind "service" or "customer", the name of a template's body.
  explicit TemplateSet(std::string_view aKind);

  /// Reads a file's templates; \p aScope's document must outlive this set.
  void Read(const ReadScope& aScope, const Json::Value& aTemplates);

  /// Fills a template in, if \p aItem names one that exists and gives it what
  /// it needs; else every finding goes to \p aScope and nothing is returned.
  ///
  /// \param aItem an object with "template", "name" and "parameters".
  std::optional<Expansion> Expand(const ReadScope& aScope,
                                  const Json::Value& aItem) const;

private:
  using Parameters = std::map<std::string, Json::Value, std::less<>>;

  /// The parameters with what \p aItem gives for them.
  static Parameters FillParameters(const ReadScope& aScope,
                                   const Json::Value& aItem,
                                   const Json::Value* aGiven,
                                   std::string_view aTemplateName,
                                   const Template& aTemplate);
  const Template* FindTemplate(const ReadScope& aScope,
                               const Json::Value& aItem,
                               std::string_view aName) const;
  void ReadBody(const ReadScope& aScope,
                const Json::Value& aBody,
                const Json::Value* aParameters,
                Template& aMade) const;
  void ReadOne(const ReadScope& aScope,
               const std::string& aName,
               const Json::Value& aValue);

  std::string kind;
  std::map<std::string, Template, std::less<>> templates;
  /// Those that are wrong; their use isn't reported once more.
  std::set<std::string, std::less<>> broken;
};

} // namespace dogwoodvale::internal

#endif
