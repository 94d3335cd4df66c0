#include "EngineOrders.h"

#include <algorithm>

#include "Journal.h"

namespace dogwoodvale::standins {

namespace {

constexpr std::size_t kKeptOrders = 10000;

std::string
TextOf(const Json::Value& aOrder, const char* aName)
{
  const Json::Value& value = aOrder[aName];
  return value.isString() || value.isNumeric() ? value.asString() : "";
}

EngineOrders::Answer
Refuse(int aCode, const std::string& aWhy)
{
  Json::Value body;
  body["error"] = aWhy;
  return { aCode, body };
}

} // namespace

EngineOrders::EngineOrders(const std::vector<std::string>& aModels,
                           Duration aLoadTime,
                           bool aChecksFencing)
  : loadTime(aLoadTime)
  , checksFencing(aChecksFencing)
{
  for (const std::string& model : aModels) {
    this->models[model] = { "", "", TimePoint{} };
  }
}

EngineOrders::Answer
EngineOrders::Obey(const Json::Value& aOrder, TimePoint aNow)
{
  const Json::Value& fencing = aOrder["fencing"];
  if (!fencing.isNull() && !fencing.isUInt64()) {
    return Refuse(400, "fencing must be a number");
  }
  const std::uint64_t number = fencing.isNull() ? 0 : fencing.asUInt64();
  if (this->checksFencing && number < this->highestFencing) {
    Answer answer = Refuse(409, "fenced off");
    answer.body["highest_fencing"] = Json::UInt64(this->highestFencing);
    return answer;
  }
  if (const auto wrong = this->Apply(aOrder, aNow)) {
    return Refuse(400, *wrong);
  }
  this->highestFencing = std::max(this->highestFencing, number);
  Json::Value entry = aOrder;
  entry["order"] = Json::UInt64(this->obeyed++);
  entry["at_ms"] = ToMs(aNow);
  this->log.push_back(std::move(entry));
  if (this->log.size() > kKeptOrders) {
    this->log.pop_front();
  }
  Json::Value body;
  body["obeyed"] = true;
  return { 200, body };
}

std::optional<std::string>
EngineOrders::Apply(const Json::Value& aOrder, TimePoint aNow)
{
  const std::string action = TextOf(aOrder, "action");
  const std::string model = TextOf(aOrder, "model");
  const std::string adapter = TextOf(aOrder, "adapter");
  const std::string version = TextOf(aOrder, "version");
  if (action == "role") {
    const std::string wanted = TextOf(aOrder, "role");
    if (wanted.empty()) {
      return "role is missing";
    }
    this->role = wanted;
    return std::nullopt;
  }
  if (action != "load" && action != "unload") {
    return "action must be load, unload or role";
  }
  if (model.empty() && adapter.empty()) {
    return "model or adapter is missing";
  }
  Shelf& shelf = adapter.empty() ? this->models : this->adapters;
  const std::string& name = adapter.empty() ? model : adapter;
  if (action == "load") {
    const std::string base = adapter.empty() ? "" : model;
    const auto [at, isNew] = shelf.try_emplace(name);
    if (isNew || at->second.version != version || at->second.base != base) {
      at->second = { version, base, aNow + this->loadTime };
    }
    return std::nullopt;
  }
  shelf.erase(name);
  if (adapter.empty()) {
    std::erase_if(this->adapters, [&](const auto& aItem) {
      return aItem.second.base == model;
    });
  }
  return std::nullopt;
}

bool
EngineOrders::Serves(const std::string& aModel, TimePoint aNow) const
{
  for (const Shelf* shelf : { &this->models, &this->adapters }) {
    const auto found = shelf->find(aModel);
    if (found != shelf->end() && found->second.readyAt <= aNow) {
      return true;
    }
  }
  return false;
}

std::vector<std::string>
EngineOrders::Served(TimePoint aNow) const
{
  std::vector<std::string> names;
  for (const Shelf* shelf : { &this->models, &this->adapters }) {
    for (const auto& [name, loaded] : *shelf) {
      if (loaded.readyAt <= aNow) {
        names.push_back(name);
      }
    }
  }
  return names;
}

Json::Value
EngineOrders::ShelfJson(const Shelf& aShelf, TimePoint aNow)
{
  Json::Value list(Json::arrayValue);
  for (const auto& [name, loaded] : aShelf) {
    Json::Value item;
    item["name"] = name;
    item["version"] = loaded.version;
    if (!loaded.base.empty()) {
      item["model"] = loaded.base;
    }
    item["state"] = loaded.readyAt <= aNow ? "loaded" : "loading";
    list.append(item);
  }
  return list;
}

Json::Value
EngineOrders::State(TimePoint aNow) const
{
  Json::Value state;
  state["models"] = ShelfJson(this->models, aNow);
  state["adapters"] = ShelfJson(this->adapters, aNow);
  state["role"] = this->role;
  state["highest_fencing"] = Json::UInt64(this->highestFencing);
  state["checks_fencing"] = this->checksFencing;
  state["obeyed"] = Json::UInt64(this->obeyed);
  state["log"] = Json::Value(Json::arrayValue);
  for (const Json::Value& entry : this->log) {
    state["log"].append(entry);
  }
  return state;
}

} // namespace dogwoodvale::standins
