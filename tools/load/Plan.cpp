#include "tools/load/Plan.h"

#include <limits>

#include "tools/load/JsonReader.h"

namespace dogwoodvale::load {

namespace {

constexpr double kMaxRate = 1e6;
constexpr double kMaxMs = 1e7;
constexpr double kMaxSeconds = 1e6;
constexpr int kMaxTokens = 1000000;
constexpr int kMaxPrefixes = 100000;
constexpr int kMaxRetries = 100;

void
ReadLength(JsonReader& aReader,
           const Json::Value& aObject,
           const char* aKey,
           LengthDistribution& aLength)
{
  const Json::Value& value = aReader.Object(aObject, aKey);
  aReader.CheckKeys(value, { "median", "sigma", "max" });
  aReader.Read(value, "median", aLength.median, 1, kMaxTokens);
  aLength.max = static_cast<int>(aLength.median);
  aReader.Read(value, "sigma", aLength.sigma, 0, 10);
  aReader.Read(value, "max", aLength.max, 1, kMaxTokens);
}

void
ReadBound(JsonReader& aReader,
          const Json::Value& aObject,
          const char* aKey,
          std::optional<double>& aBound)
{
  if (aObject.isMember(aKey)) {
    aReader.Read(aObject, aKey, aBound.emplace(), 0, kMaxMs);
  }
}

void
ReadTarget(JsonReader& aReader, const Json::Value& aObject, LatencyTarget& aTo)
{
  const Json::Value& value = aReader.Object(aObject, "latency_target");
  aReader.CheckKeys(value,
                    { "first_token_ms", "between_tokens_ms", "total_ms" });
  ReadBound(aReader, value, "first_token_ms", aTo.firstTokenMs);
  ReadBound(aReader, value, "between_tokens_ms", aTo.betweenTokensMs);
  ReadBound(aReader, value, "total_ms", aTo.totalMs);
}

void
ReadBehaviour(JsonReader& aReader,
              const Json::Value& aObject,
              ClassPlan& aClass)
{
  const Json::Value& abandon = aReader.Object(aObject, "abandon");
  aReader.CheckKeys(abandon, { "share", "after_ms" });
  aReader.Read(abandon, "share", aClass.abandon.share, 0, 1);
  aReader.Read(abandon, "after_ms", aClass.abandon.afterMs, 0, kMaxMs);
  const Json::Value& retry = aReader.Object(aObject, "retry");
  aReader.CheckKeys(retry, { "max" });
  aReader.Read(retry, "max", aClass.retry.maxRetries, 0, kMaxRetries);
}

void
ReadClassCustomers(JsonReader& aReader,
                   const Json::Value& aObject,
                   const LoadPlan& aPlan,
                   ClassPlan& aClass)
{
  for (const Json::Value& name : aReader.Array(aObject, "customers")) {
    std::size_t index = 0;
    while (
      index < aPlan.customers.size() &&
      !(name.isString() && aPlan.customers[index].name == name.asString())) {
      ++index;
    }
    if (index == aPlan.customers.size()) {
      aReader.Fail(name, "no such customer in this plan");
      continue;
    }
    aClass.customers.push_back(index);
  }
  if (aClass.customers.empty()) {
    for (std::size_t index = 0; index < aPlan.customers.size(); ++index) {
      aClass.customers.push_back(index);
    }
  }
}

void
ReadKind(JsonReader& aReader, const Json::Value& aObject, ClassPlan& aClass)
{
  std::string name = "chat";
  aReader.Read(aObject, "kind", name);
  const std::optional<Kind> kind = ParseKind(name);
  if (!kind) {
    aReader.Fail(aObject["kind"], "\"kind\" is chat, completion or plain");
    return;
  }
  aClass.kind = *kind;
  if (aClass.kind == Kind::Chat) {
    aClass.path = "/v1/chat/completions";
  } else if (aClass.kind == Kind::Completion) {
    aClass.path = "/v1/completions";
  }
}

ClassPlan
ReadClass(JsonReader& aReader, const Json::Value& aObject, const LoadPlan& aTo)
{
  ClassPlan made;
  if (!aObject.isObject()) {
    aReader.Fail(aObject, "a class must be an object");
    return made;
  }
  aReader.CheckKeys(aObject,
                    { "name",
                      "tier",
                      "kind",
                      "rate",
                      "method",
                      "path",
                      "model",
                      "stream",
                      "idempotent",
                      "keyed",
                      "output_tokens",
                      "prompt_tokens",
                      "prefixes",
                      "retry",
                      "latency_target",
                      "abandon",
                      "prefix_tokens",
                      "customers" });
  aReader.Read(aObject, "name", made.name);
  if (made.name.empty()) {
    aReader.Fail(aObject, "a class must have a name");
  }
  if (aObject.isMember("tier")) {
    aReader.Read(aObject, "tier", made.tier.emplace(), 0, kTierCount - 1);
  }
  ReadKind(aReader, aObject, made);
  aReader.Read(aObject, "rate", made.rate, 0, kMaxRate);
  aReader.Read(aObject, "method", made.method);
  aReader.Read(aObject, "path", made.path);
  if (!made.path.starts_with('/')) {
    aReader.Fail(aObject, "\"path\" must begin with /");
  }
  aReader.Read(aObject, "model", made.model);
  if (made.model.empty() && made.kind != Kind::Plain) {
    aReader.Fail(aObject, "a class that calls a model must name it");
  }
  aReader.Read(aObject, "stream", made.stream);
  aReader.Read(aObject, "idempotent", made.idempotent);
  aReader.Read(aObject, "keyed", made.keyed, 0, 1);
  ReadLength(aReader, aObject, "output_tokens", made.outputTokens);
  ReadLength(aReader, aObject, "prompt_tokens", made.promptTokens);
  aReader.Read(aObject, "prefixes", made.prefixes, 0, kMaxPrefixes);
  aReader.Read(aObject, "prefix_tokens", made.prefixTokens, 0, kMaxTokens);
  ReadTarget(aReader, aObject, made.target);
  ReadBehaviour(aReader, aObject, made);
  ReadClassCustomers(aReader, aObject, aTo, made);
  return made;
}

void
ReadCustomers(JsonReader& aReader, const Json::Value& aRoot, LoadPlan& aPlan)
{
  const Json::Value& customers = aReader.Object(aRoot, "customers");
  for (const std::string& name : customers.getMemberNames()) {
    const Json::Value& value = aReader.Object(customers, name.c_str());
    aReader.CheckKeys(value, { "api_key", "share" });
    CustomerPlan made;
    made.name = name;
    aReader.Read(value, "api_key", made.apiKey);
    aReader.Read(value, "share", made.share, 1e-6, 1e6);
    aPlan.customers.push_back(std::move(made));
  }
  if (aPlan.customers.empty()) {
    aReader.Fail(aRoot, "a plan must have customers");
  }
}

void
ReadPhases(JsonReader& aReader, const Json::Value& aRoot, LoadPlan& aPlan)
{
  for (const Json::Value& value : aReader.Array(aRoot, "phases")) {
    if (!value.isObject()) {
      aReader.Fail(value, "a phase must be an object");
      continue;
    }
    aReader.CheckKeys(value, { "from_s", "to_s", "class", "factor" });
    Phase phase;
    aReader.Read(value, "from_s", phase.fromSeconds, 0, kMaxSeconds);
    aReader.Read(value, "to_s", phase.toSeconds, 0, kMaxSeconds);
    aReader.Read(value, "factor", phase.factor, 0, kMaxRate);
    std::string name;
    aReader.Read(value, "class", name);
    while (phase.classIndex < aPlan.classes.size() &&
           aPlan.classes[phase.classIndex].name != name) {
      ++phase.classIndex;
    }
    if (phase.classIndex == aPlan.classes.size()) {
      aReader.Fail(value, fmt::format("no class \"{}\" in this plan", name));
      continue;
    }
    aPlan.phases.push_back(phase);
  }
}

} // namespace

std::string_view
KindName(Kind aKind)
{
  switch (aKind) {
    case Kind::Chat:
      return "chat";
    case Kind::Completion:
      return "completion";
    case Kind::Plain:
      return "plain";
  }
  return "plain";
}

std::optional<Kind>
ParseKind(std::string_view aName)
{
  for (const Kind kind : { Kind::Chat, Kind::Completion, Kind::Plain }) {
    if (KindName(kind) == aName) {
      return kind;
    }
  }
  return std::nullopt;
}

double
LoadPlan::RateAt(std::size_t aClass, double aSeconds) const
{
  double rate = this->classes[aClass].rate;
  for (const Phase& phase : this->phases) {
    if (phase.classIndex == aClass && aSeconds >= phase.fromSeconds &&
        aSeconds < phase.toSeconds) {
      rate *= phase.factor;
    }
  }
  return rate;
}

double
LoadPlan::NextChange(std::size_t aClass, double aSeconds) const
{
  double next = std::numeric_limits<double>::infinity();
  for (const Phase& phase : this->phases) {
    for (const double edge : { phase.fromSeconds, phase.toSeconds }) {
      if (phase.classIndex == aClass && edge > aSeconds && edge < next) {
        next = edge;
      }
    }
  }
  return next;
}

absl::StatusOr<LoadPlan>
ParsePlan(std::string_view aFile, std::string_view aText)
{
  const absl::StatusOr<Json::Value> root = ParseJson(aText);
  if (!root.ok()) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "{}: {}",
                     aFile,
                     MessageOf(root.status()));
  }
  JsonReader reader(aFile, aText);
  LoadPlan plan;
  if (!root->isObject()) {
    reader.Fail(*root, "a plan must be an object");
    return reader.Found().ToStatus();
  }
  reader.CheckKeys(*root, { "customers", "classes", "phases" });
  ReadCustomers(reader, *root, plan);
  for (const Json::Value& value : reader.Array(*root, "classes")) {
    plan.classes.push_back(ReadClass(reader, value, plan));
  }
  if (plan.classes.empty()) {
    reader.Fail(*root, "a plan must have classes");
  }
  ReadPhases(reader, *root, plan);
  if (!reader.Found().IsEmpty()) {
    return reader.Found().ToStatus();
  }
  return plan;
}

absl::StatusOr<LoadPlan>
ReadPlan(const std::string& aFile)
{
  const absl::StatusOr<std::string> text = ReadFile(aFile);
  if (!text.ok()) {
    return text.status();
  }
  return ParsePlan(aFile, *text);
}

} // namespace dogwoodvale::load
