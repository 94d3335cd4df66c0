#ifndef DOGWOODVALE_SETTINGS_OBJECTREADER_H
#define DOGWOODVALE_SETTINGS_OBJECTREADER_H

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "JsonDocument.h"

namespace dogwoodvale {

/// The range that a number, or the length of a text, must lie in.
struct IntegerBounds
{
  std::int64_t min = 0;
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
};

struct NumberBounds
{
  double min = 0;
  double max = std::numeric_limits<double>::max();
};

/// Most characters of a name of a service, class, customer or instance.
inline constexpr std::size_t kMaxNameLength = 64;
inline constexpr std::size_t kMaxTextLength = 4096;

/// A JSON object, and perhaps one of which it inherits the members that it
/// doesn't have itself; so many objects can share one set of members.
struct ObjectView
{
  // NOLINTNEXTLINE(google-explicit-constructor): any value can be viewed.
  ObjectView(const Json::Value& aOwn, const Json::Value* aInherited = nullptr)
    : own(aOwn)
    , inherited(aInherited)
  {
  }

  /// Null if neither has it, or this is no object.
  const Json::Value* Find(std::string_view aKey) const;

  const Json::Value& own;
  const Json::Value* inherited;
};

/// Where findings go, and what is added to each of them.
struct ReadScope
{
  const JsonDocument& document;
  Findings& findings;
  /// Appended to each message, e.g. which service a template was used for.
  std::string note;

  void Add(const Json::Value& aValue, std::string_view aMessage) const;
  void AddAt(Place aPlace, std::string_view aMessage) const;
};

/// Reads the members of one JSON object by name and type.
///
/// Each Read method leaves the target as it was, and returns false, where the
/// member is missing or wrong; a wrong one becomes a finding. Finish() reports
/// members that nobody asked for.
class ObjectReader
{
public:
  /// All three must outlive the reader, and so must the keys asked for.
  ///
  /// \param aWhat names the object in messages, such as "a class".
  ObjectReader(const ReadScope& aScope,
               ObjectView aObject,
               std::string_view aWhat);

  bool IsObject() const { return this->isObject; }
  const Json::Value& Object() const { return this->object.own; }
  const ReadScope& Scope() const { return this->scope; }

  /// The member, or null if it is missing; counts as asked for.
  const Json::Value* Find(std::string_view aKey);
  /// As Find(), and a missing member is a finding.
  const Json::Value* Require(std::string_view aKey);

  bool ReadString(std::string_view aKey,
                  std::string& aTarget,
                  IntegerBounds aLength = { 1, kMaxTextLength });
  /// A name: letters, digits, '.', '_' and '-'.
  bool ReadName(std::string_view aKey, std::string& aTarget);
  /// One of \p aChoices.
  bool ReadChoice(std::string_view aKey,
                  std::span<const std::string_view> aChoices,
                  std::string& aTarget);
  bool ReadBoolean(std::string_view aKey, bool& aTarget);
  bool ReadNumber(std::string_view aKey, NumberBounds aBounds, double& aTarget);
  bool ReadAddress(std::string_view aKey, SocketAddress& aTarget);
  /// A whole number of milliseconds; the key ends in "_ms".
  bool ReadMilliseconds(std::string_view aKey,
                        IntegerBounds aBounds,
                        Duration& aTarget);
  bool ReadStrings(std::string_view aKey, std::vector<std::string>& aTarget);
  /// Any member of type list; null if missing or of another type.
  const Json::Value* FindList(std::string_view aKey);

  template<class Integer>
  bool ReadInteger(std::string_view aKey,
                   IntegerBounds aBounds,
                   Integer& aTarget)
  {
    static_assert(std::is_integral_v<Integer>);
    std::int64_t value = 0;
    if (!this->ReadWhole(aKey, aBounds, value)) {
      return false;
    }
    aTarget = static_cast<Integer>(value);
    return true;
  }

  /// \tparam NameType one of the names of Core.
  template<class NameType>
  bool ReadName(std::string_view aKey, NameType& aTarget)
  {
    std::string value;
    if (!this->ReadName(aKey, value)) {
      return false;
    }
    aTarget = NameType(std::move(value));
    return true;
  }

  /// Reports the members that were never asked for, each with the nearest
  /// known name.
  void Finish();

private:
  bool ReadWhole(std::string_view aKey,
                 IntegerBounds aBounds,
                 std::int64_t& aTarget);
  void ReportUnknown(const Json::Value& aObject);
  void AddWrongType(std::string_view aKey,
                    const Json::Value& aValue,
                    std::string_view aWanted);

  const ReadScope& scope;
  ObjectView object;
  std::string_view what;
  bool isObject;
  std::vector<std::string_view> known;
};

/// Whether \p aText may be a name: letters, digits, '.', '_' and '-', at most
/// kMaxNameLength of them.
bool
IsValidName(std::string_view aText);

/// The one of \p aKnown with the smallest edit distance; empty if none is near.
std::string
NearestName(std::string_view aText, std::span<const std::string_view> aKnown);

/// "; did you mean ...?" for NearestName(), or nothing.
std::string
Suggestion(std::string_view aText, std::span<const std::string_view> aKnown);

} // namespace dogwoodvale

#endif
