#include "dogwoodvale/Store"

#include "StoreJson.h"

namespace dogwoodvale {

namespace {

std::string
TextOf(const Json::Value& aObject, const char* aName)
{
  const Json::Value& field = aObject[aName];
  return field.isString() ? field.asString() : std::string();
}

absl::StatusOr<std::vector<LoadedModel>>
ParseModels(const Json::Value& aList)
{
  std::vector<LoadedModel> models;
  if (!aList.isNull() && !aList.isArray()) {
    return absl::DataLossError("the engine's state is malformed");
  }
  for (const Json::Value& item : aList) {
    if (!item.isObject() || TextOf(item, "name").empty()) {
      return absl::DataLossError("the engine's state is malformed");
    }
    models.push_back({ .name = TextOf(item, "name"),
                       .version = TextOf(item, "version"),
                       .base = TextOf(item, "model"),
                       .isLoading = TextOf(item, "state") == "loading" });
  }
  return models;
}

OrderOutcome
OutcomeOf(const HttpAnswer& aAnswer)
{
  if (!aAnswer.status.ok() || aAnswer.code >= 500) {
    return OrderOutcome::Unknown;
  }
  if (aAnswer.code == 409) {
    return OrderOutcome::Fenced;
  }
  return aAnswer.code < 300 ? OrderOutcome::Obeyed : OrderOutcome::Refused;
}

} // namespace

std::string
ToString(const EngineOrder& aOrder)
{
  return fmt::format("{} {}{}{}{}{}",
                     aOrder.action == EngineOrder::Action::Load ? "load"
                                                                : "unload",
                     aOrder.model,
                     aOrder.version.empty() ? "" : " version ",
                     aOrder.version,
                     aOrder.adapter.empty() ? "" : " adapter ",
                     aOrder.adapter);
}

absl::StatusOr<EngineState>
ParseEngineState(std::string_view aText)
{
  const absl::StatusOr<Json::Value> value = ParseJson(aText);
  if (!value.ok()) {
    return value.status();
  }
  if (!value->isObject()) {
    return absl::DataLossError("the engine's state is malformed");
  }
  const auto models = ParseModels((*value)["models"]);
  const auto adapters = ParseModels((*value)["adapters"]);
  if (!models.ok()) {
    return models.status();
  }
  if (!adapters.ok()) {
    return adapters.status();
  }
  return EngineState{ *models, *adapters };
}

HttpEngineOrders::HttpEngineOrders(EventLoop& aLoop,
                                   const SocketAddress& aEngine,
                                   Duration aTimeout)
  : loop(aLoop)
  , engine(aEngine)
  , timeout(aTimeout)
{
}

void
HttpEngineOrders::SetHandler(EngineOrdersHandler* aHandler)
{
  this->handler = aHandler;
}

void
HttpEngineOrders::ReadState()
{
  HttpCall call;
  call.address = this->engine;
  call.path = "/orders/state";
  call.timeout = this->timeout;
  this->stateExchange =
    HttpExchange::Start(this->loop, call, [this](const HttpAnswer& aAnswer) {
      if (!aAnswer.status.ok()) {
        this->handler->OnEngineState(aAnswer.status);
      } else if (aAnswer.code != 200) {
        this->handler->OnEngineState(
          MakeError(absl::StatusCode::kUnavailable,
                    "the engine answered with HTTP {}",
                    aAnswer.code));
      } else {
        this->handler->OnEngineState(ParseEngineState(aAnswer.body));
      }
    });
}

void
HttpEngineOrders::Send(const EngineOrder& aOrder, Revision aFencing)
{
  Json::Value body(Json::objectValue);
  const bool isLoad = aOrder.action == EngineOrder::Action::Load;
  body["action"] = isLoad ? "load" : "unload";
  body["model"] = aOrder.model;
  body["version"] = aOrder.version;
  body["adapter"] = aOrder.adapter;
  body["fencing"] = Json::Int64(aFencing);
  HttpCall call;
  call.address = this->engine;
  call.method = "POST";
  call.path = "/orders";
  call.body = WriteJson(body);
  call.timeout = this->timeout;
  this->orderExchange =
    HttpExchange::Start(this->loop, call, [this](const HttpAnswer& aAnswer) {
      this->handler->OnOrderDone(OutcomeOf(aAnswer));
    });
}

} // namespace dogwoodvale
