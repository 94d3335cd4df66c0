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
           const Customer::Grant& aGrant,
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
  std::vector<std::string> known;
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
    const std::string nearest = NearestName(name, known);
    aScope.Add(classes[static_cast<Json::ArrayIndex>(i)],
               fmt::format("service \"{}\" has no class \"{}\"{}",
                           aGrant.service.Value(),
                           name,
                           nearest.empty()
                             ? ""
                             : fmt::format("; did you mean \"{}\"?", nearest)));
  }
}

Customer::Grant
ReadGrant(const ReadScope& aScope,
          const Json::Value& aValue,
          const ServiceDirectory& aServices)
{
  Customer::Grant made;
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

void
ReadGrants(const ReadScope& aScope,
           const Json::Value& aList,
           const ServiceDirectory& aServices,
           Customer& aCustomer)
{
  if (aList.empty()) {
    aScope.Add(aList, "a customer needs at least one grant");
  }
  if (aList.size() > kMaxGrants) {
    aScope.Add(
      aList,
      fmt::format("{} grants; at most {} allowed", aList.size(), kMaxGrants));
    return;
  }
  aCustomer.grants.reserve(aList.size());
  for (const Json::Value& item : aList) {
    Customer::Grant grant = ReadGrant(aScope, item, aServices);
    if (aCustomer.FindGrant(grant.service) != nullptr &&
        !grant.service.IsEmpty()) {
      aScope.Add(
        item,
        fmt::format("service \"{}\" is granted twice", grant.service.Value()));
    }
    aCustomer.grants.push_back(std::move(grant));
  }
}

} // namespace

Customer
ReadCustomer(const ReadScope& aScope,
             const Json::Value& aValue,
             const ServiceDirectory& aServices)
{
  Customer made;
  ObjectReader reader(aScope, aValue, "a customer");
  for (const char* key : { "name", "key_hashes", "grants" }) {
    reader.Require(key);
  }
  reader.ReadName("name", made.name);
  if (reader.ReadStrings("key_hashes", made.keyHashes)) {
    CheckKeyHashes(aScope, aValue["key_hashes"]);
  }
  if (const Json::Value* grants = reader.FindList("grants")) {
    ReadGrants(aScope, *grants, aServices, made);
  }
  reader.ReadNumber("weight", kWeight, made.weight);
  reader.ReadNumber(
    "requests_per_second", kRequestsPerSecond, made.requestsPerSecond);
  reader.ReadInteger("burst", kBurst, made.burst);
  reader.ReadInteger("concurrency", kConcurrency, made.concurrency);
  reader.Finish();
  if (made.requestsPerSecond > 0 && made.burst == 0) {
    aScope.Add(aValue,
               "\"requests_per_second\" needs a \"burst\" of at least 1, or "
               "nothing would be let through");
  }
  if (made.requestsPerSecond == 0 && made.burst > 0) {
    aScope.Add(aValue["burst"],
               "\"burst\" has no meaning without \"requests_per_second\"");
  }
  return made;
}

} // namespace dogwoodvale::internal
