#include "CustomerReader.h"

#include <algorithm>

namespace dogwoodvale::internal {

namespace {

constexpr NumberBounds kWeight{ 0.001, 1000 };
constexpr NumberBounds kRequestsPerSecond{ 0, 1'000'000 };
constexpr IntegerBounds kBurst{ 0, 1'000'000 };
constexpr IntegerBounds kConcurrency{ 0, 1'000'000 };
constexpr std::size_t kMaxKeys = 64;
constexpr std::size_t kMaxGrants = 256;
constexpr std::size_t kHashLength = 64;

bool
IsSha256Hex(std::string_view aText)
{
  return aText.size() == kHashLength &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return (aCharacter >= '0' && aCharacter <= '9') ||
                  (aCharacter >= 'a' && aCharacter <= 'f');
         });
}

void
CheckKeyHashes(const ReadScope& aScope, const Json::Value& aList)
{
  if (aList.size() > kMaxKeys) {
    aScope.Add(
      aList,
      fmt::format("{} key hashes; at most {} allowed", aList.size(), kMaxKeys));
  }
  for (const Json::Value& item : aList) {
    if (item.isString() && !IsSha256Hex(item.asString())) {
      aScope.Add(item,
                 "not a key's SHA-256 in 64 lower-case hexadecimal digits");
    }
  }
}

/// Checks a grant's class names against the service; the names are left as
/// they are.
void
CheckGrant(const ReadScope& aScope,
           const Json::Value& aValue,
           const Grant& aGrant,
           const ServiceDirectory& aServices)
{
  if (aGrant.service.IsEmpty()) {
    return;
  }
  const Service* service = aServices.Find(aGrant.service);
  if (service == nullptr) {
    aScope.Add(aValue["service"],
               fmt::format("no service \"{}\"", aGrant.service.Value()));
    return;
  }
  std::vector<std::string_view> known;
  for (const RequestClass& requestClass : service->classes) {
    known.push_back(requestClass.name.Value());
  }
  const Json::Value& classes = aValue["classes"];
  for (std::size_t i = 0; i < aGrant.classes.size(); ++i) {
    const std::string& name = aGrant.classes[i].Value();
    const auto* const first =
      std::find(&aGrant.classes.front(), &aGrant.classes[i], aGrant.classes[i]);
    if (first != &aGrant.classes[i]) {
      aScope.Add(classes[static_cast<Json::ArrayIndex>(i)],
                 fmt::format("class \"{}\" stands twice in the grant", name));
    }
    if (service->FindClass(aGrant.classes[i]) != nullptr) {
      continue;
    }
    aScope.Add(classes[static_cast<Json::ArrayIndex>(i)],
               fmt::format("service \"{}\" has no class \"{}\"{}",
                           aGrant.service.Value(),
                           name,
                           Suggestion(name, known)));
  }
}

Grant
ReadGrant(const ReadScope& aScope,
          const Json::Value& aValue,
          const ServiceDirectory& aServices)
{
  Grant made;
  std::vector<std::string> classes;
  ObjectReader reader(aScope, aValue, "a grant");
  reader.Require("service");
  reader.ReadName("service", made.service);
  reader.Require("classes");
  const bool isRead = reader.ReadStrings("classes", classes);
  reader.Finish();
  if (isRead && classes.empty()) {
    aScope.Add(aValue, "a grant needs at least one class");
  }
  made.classes.reserve(classes.size());
  for (std::string& name : classes) {
    made.classes.emplace_back(std::move(name));
  }
  if (isRead) {
    CheckGrant(aScope, aValue, made, aServices);
  }
  return made;
}

std::vector<Grant>
ReadGrantList(const ReadScope& aScope,
              const Json::Value& aList,
              const ServiceDirectory& aServices)
{
  std::vector<Grant> grants;
  if (aList.empty()) {
    aScope.Add(aList, "a customer needs at least one grant");
  }
  if (aList.size() > kMaxGrants) {
    aScope.Add(
      aList,
      fmt::format("{} grants; at most {} allowed", aList.size(), kMaxGrants));
    return grants;
  }
  grants.reserve(aList.size());
  for (const Json::Value& item : aList) {
    Grant grant = ReadGrant(aScope, item, aServices);
    const bool isTwice =
      std::any_of(grants.begin(), grants.end(), [&](const Grant& aOther) {
        return aOther.service == grant.service;
      });
    if (isTwice && !grant.service.IsEmpty()) {
      aScope.Add(
        item,
        fmt::format("service \"{}\" is granted twice", grant.service.Value()));
    }
    grants.push_back(std::move(grant));
  }
  return grants;
}

} // namespace

CustomerReader::CustomerReader(const ServiceDirectory& aServices)
  : services(aServices)
{
}

Customer
CustomerReader::Read(const ReadScope& aScope, ObjectView aValue)
{
  Customer made;
  ObjectReader reader(aScope, aValue, "a customer");
  for (const char* key : { "name", "key_hashes", "grants" }) {
    reader.Require(key);
  }
  reader.ReadName("name", made.name);
  if (reader.ReadStrings("key_hashes", made.keyHashes)) {
    CheckKeyHashes(aScope, *aValue.Find("key_hashes"));
  }
  if (reader.FindList("grants") != nullptr) {
    made.grants = this->ReadGrants(aScope, aValue);
  }
  reader.ReadNumber("weight", kWeight, made.weight);
  reader.ReadNumber(
    "requests_per_second", kRequestsPerSecond, made.requestsPerSecond);
  reader.ReadInteger("burst", kBurst, made.burst);
  reader.ReadInteger("concurrency", kConcurrency, made.concurrency);
  reader.Finish();
  if (made.requestsPerSecond > 0 && made.burst == 0) {
    aScope.Add(aValue.own,
               "\"requests_per_second\" needs a \"burst\" of at least 1, or "
               "nothing would be let through");
  }
  if (made.requestsPerSecond == 0 && made.burst > 0) {
    aScope.Add(*aValue.Find("burst"),
               "\"burst\" has no meaning without \"requests_per_second\"");
  }
  return made;
}

GrantList
CustomerReader::ReadGrants(const ReadScope& aScope, ObjectView aCustomer)
{
  const Json::Value* list = aCustomer.Find("grants");
  const bool isOfTemplate = !aCustomer.own.isMember("grants");
  if (isOfTemplate) {
    const auto found = this->ofTemplate.find(list);
    if (found != this->ofTemplate.end()) {
      return found->second;
    }
  }
  GrantList grants =
    *this->known.insert(GrantList(ReadGrantList(aScope, *list, this->services)))
       .first;
  if (isOfTemplate) {
    this->ofTemplate.emplace(list, grants);
  }
  return grants;
}

} // namespace dogwoodvale::internal
