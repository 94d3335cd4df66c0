#include "ServiceReader.h"

#include <algorithm>
#include <array>

namespace dogwoodvale::internal {

namespace {

constexpr std::int64_t kDayMs = 24LL * 3600 * 1000;
constexpr IntegerBounds kTier{ 0, kTierCount - 1 };
constexpr IntegerBounds kFirstTokenMs{ 1, 600'000 };
constexpr IntegerBounds kBetweenTokensMs{ 1, 60'000 };
constexpr IntegerBounds kTotalMs{ 0, kDayMs };
constexpr NumberBounds kWeight{ 0.001, 1000 };
constexpr IntegerBounds kMaxWaitMs{ 1, kDayMs };
constexpr IntegerBounds kBudgetMs{ 1, kDayMs };
constexpr IntegerBounds kQueueBound{ 1, 10'000'000 };
constexpr IntegerBounds kMaxTokens{ 1, 1'000'000 };
constexpr IntegerBounds kPathLength{ 1, 1024 };
constexpr IntegerBounds kModelNameLength{ 1, 128 };
constexpr std::size_t kMaxClasses = 64;
constexpr std::size_t kMaxRoutes = 256;
constexpr std::size_t kMaxModels = 64;
constexpr std::size_t kMaxAdapters = 1024;
constexpr std::array<std::string_view, 7> kMethods{ "GET",    "HEAD",   "POST",
                                                    "PUT",    "DELETE", "PATCH",
                                                    "OPTIONS" };

/// Whether the list is short enough to be read.
bool
CheckCount(const ReadScope& aScope,
           const Json::Value& aList,
           std::string_view aWhat,
           std::size_t aMax)
{
  if (aList.size() <= aMax) {
    return true;
  }
  aScope.Add(
    aList, fmt::format("{} {}; at most {} allowed", aList.size(), aWhat, aMax));
  return false;
}

void
ReadTarget(const ReadScope& aScope,
           const Json::Value& aValue,
           LatencyTarget& aTarget)
{
  ObjectReader reader(aScope, aValue, "\"target\"");
  reader.ReadMilliseconds("first_token_ms", kFirstTokenMs, aTarget.firstToken);
  reader.ReadMilliseconds(
    "between_tokens_ms", kBetweenTokensMs, aTarget.betweenTokens);
  reader.ReadMilliseconds("total_ms", kTotalMs, aTarget.total);
  reader.Finish();
}

RequestClass
ReadClass(const ReadScope& aScope, const Json::Value& aValue)
{
  RequestClass made;
  ObjectReader reader(aScope, aValue, "a class");
  // These three have no default: a guess would repeat work that must not be,
  // or order tiers by accident.
  for (const char* key : { "name", "tier", "idempotent" }) {
    reader.Require(key);
  }
  reader.ReadName("name", made.name);
  reader.ReadInteger("tier", kTier, made.tier);
  if (const Json::Value* target = reader.Find("target")) {
    ReadTarget(aScope, *target, made.target);
  }
  reader.ReadBoolean("idempotent", made.idempotent);
  reader.ReadNumber("weight", kWeight, made.weight);
  reader.ReadMilliseconds("max_wait_ms", kMaxWaitMs, made.maxWait);
  reader.ReadMilliseconds("budget_ms", kBudgetMs, made.budget);
  reader.ReadInteger("queue_bound", kQueueBound, made.queueBound);
  reader.ReadInteger("default_max_tokens", kMaxTokens, made.defaultMaxTokens);
  reader.Finish();
  if (made.maxWait > made.budget) {
    aScope.Add(aValue,
               fmt::format("\"max_wait_ms\" {} is above \"budget_ms\" {}: the "
                           "class would give up before its turn is due",
                           made.maxWait / milliseconds(1),
                           made.budget / milliseconds(1)));
  }
  return made;
}

void
ReadClasses(const ReadScope& aScope,
            const Json::Value& aList,
            Service& aService)
{
  if (!CheckCount(aScope, aList, "classes", kMaxClasses)) {
    return;
  }
  for (const Json::Value& item : aList) {
    RequestClass made = ReadClass(aScope, item);
    if (aService.FindClass(made.name) != nullptr && !made.name.IsEmpty()) {
      aScope.Add(item,
                 fmt::format("class \"{}\" stands twice in service \"{}\"",
                             made.name.Value(),
                             aService.name.Value()));
    }
    aService.classes.push_back(std::move(made));
  }
}

ModelPlacement
ReadModel(const ReadScope& aScope, const Json::Value& aValue)
{
  ModelPlacement made;
  std::string model;
  ObjectReader reader(aScope, aValue, "a model");
  reader.Require("model");
  reader.ReadString("model", model, kModelNameLength);
  reader.ReadString("version", made.version, kModelNameLength);
  if (const Json::Value* adapters = reader.Find("adapters");
      adapters != nullptr && adapters->isArray()) {
    CheckCount(aScope, *adapters, "adapters", kMaxAdapters);
  }
  reader.ReadStrings("adapters", made.adapters);
  reader.Finish();
  made.model = ModelName(std::move(model));
  return made;
}

void
CheckRoute(const ReadScope& aScope,
           const Json::Value& aValue,
           const Route& aRoute,
           const Service& aService)
{
  if (!aRoute.method.empty() &&
      std::find(kMethods.begin(), kMethods.end(), aRoute.method) ==
        kMethods.end()) {
    aScope.Add(aValue["method"],
               fmt::format("\"{}\" is not a method; write it in capitals, or "
                           "leave it out for any",
                           aRoute.method));
  }
  if (!aRoute.pathPrefix.empty() && aRoute.pathPrefix.front() != '/') {
    aScope.Add(aValue["path_prefix"], "\"path_prefix\" must begin with \"/\"");
  }
  if (!aRoute.className.IsEmpty() &&
      aService.FindClass(aRoute.className) == nullptr) {
    aScope.Add(aValue["class"],
               fmt::format("service \"{}\" has no class \"{}\"",
                           aService.name.Value(),
                           aRoute.className.Value()));
  }
}

/// \pre the service's classes are read.
void
ReadRoutes(const ReadScope& aScope, const Json::Value& aList, Service& aService)
{
  if (!CheckCount(aScope, aList, "routes", kMaxRoutes)) {
    return;
  }
  for (const Json::Value& item : aList) {
    Route made;
    ObjectReader reader(aScope, item, "a route");
    reader.Require("path_prefix");
    reader.Require("class");
    reader.ReadString("method", made.method);
    reader.ReadString("path_prefix", made.pathPrefix, kPathLength);
    reader.ReadName("class", made.className);
    reader.Finish();
    CheckRoute(aScope, item, made, aService);
    aService.routes.push_back(std::move(made));
  }
}

ServiceKind
ReadKind(ObjectReader& aReader)
{
  const Json::Value* value = aReader.Require("kind");
  std::string text;
  if (value != nullptr && aReader.ReadString("kind", text) && text != "model" &&
      text != "plain") {
    aReader.Scope().Add(*value, "\"kind\" must be \"model\" or \"plain\"");
  }
  return text == "plain" ? ServiceKind::Plain : ServiceKind::Model;
}

/// A model service is reached by model, a plain one by route.
void
CheckKind(ObjectReader& aReader, const Service& aService)
{
  const bool isModel = aService.kind == ServiceKind::Model;
  const ReadScope& scope = aReader.Scope();
  const Json::Value* models = aReader.Find("models");
  const Json::Value* routes = aReader.Find("routes");
  if (isModel && aService.models.empty()) {
    scope.Add(aReader.Object(), "a service of kind \"model\" needs \"models\"");
  }
  if (isModel && routes != nullptr) {
    scope.Add(*routes, "only a service of kind \"plain\" has \"routes\"");
  }
  if (!isModel && aService.routes.empty()) {
    scope.Add(aReader.Object(), "a service of kind \"plain\" needs \"routes\"");
  }
  if (!isModel && models != nullptr) {
    scope.Add(*models, "only a service of kind \"model\" has \"models\"");
  }
}

} // namespace

Service
ReadService(const ReadScope& aScope, ObjectView aValue)
{
  Service made;
  ObjectReader reader(aScope, aValue, "a service");
  reader.Require("name");
  reader.ReadName("name", made.name);
  made.kind = ReadKind(reader);
  if (const Json::Value* models = reader.FindList("models");
      models != nullptr && CheckCount(aScope, *models, "models", kMaxModels)) {
    for (const Json::Value& item : *models) {
      made.models.push_back(ReadModel(aScope, item));
    }
  }
  reader.Require("classes");
  if (const Json::Value* classes = reader.FindList("classes")) {
    if (classes->empty()) {
      aScope.Add(*classes, "a service needs at least one class");
    }
    ReadClasses(aScope, *classes, made);
  }
  if (const Json::Value* routes = reader.FindList("routes")) {
    ReadRoutes(aScope, *routes, made);
  }
  reader.ReadBoolean("checks_fencing", made.checksFencing);
  CheckKind(reader, made);
  reader.Finish();
  return made;
}

} // namespace dogwoodvale::internal
