#include "PlainService.h"

#include <algorithm>
#include <cstdlib>

#include <xxhash.h>

#include "Prompt.h"

namespace dogwoodvale::standins {

Json::Value
ServiceExecution::ToJson() const
{
  Json::Value json = Execution::ToJson();
  json["execution"] = Json::UInt64(this->number);
  json["idempotency_key"] = this->idempotencyKey;
  json["method"] = this->method;
  json["path"] = this->path;
  json["body_hash"] = fmt::format("{:016x}", this->bodyHash);
  return json;
}

absl::StatusOr<std::unique_ptr<PlainService>>
PlainService::Create(EventLoop& aLoop,
                     const SocketAddress& aListen,
                     Duration aDelay)
{
  std::unique_ptr<PlainService> service(new PlainService(aLoop, aDelay));
  auto server = JsonServer::Create(aLoop, aListen, *service);
  if (!server.ok()) {
    return server.status();
  }
  service->server = std::move(*server);
  return service;
}

PlainService::PlainService(EventLoop& aLoop, Duration aDelay)
  : delay(aDelay)
  , delayed(aLoop, [this](Exchange& aExchange) { this->Answer(aExchange); })
{
}

void
PlainService::OnRequest(Exchange& aExchange)
{
  const std::string path = aExchange.Path();
  if (path == "/standin/fault" || path == "/standin/record") {
    this->Control(aExchange);
  } else if (this->faults.refuse) {
    Json::Value body;
    body["error"] = "refused by a fault";
    aExchange.ReplyJson(503, body);
  } else {
    this->Execute(aExchange);
  }
}

void
PlainService::OnClosed(Exchange& aExchange)
{
  const auto found = this->pending.find(&aExchange);
  if (found != this->pending.end()) {
    this->End(found->second, "cancelled");
    this->delayed.Remove(aExchange);
    this->pending.erase(found);
  }
}

void
PlainService::Control(Exchange& aExchange)
{
  if (aExchange.Path() == "/standin/record") {
    const std::string since = aExchange.Query("since");
    aExchange.ReplyJson(
      200, this->Record(std::strtoull(since.c_str(), nullptr, 10)));
    return;
  }
  const auto fault = aExchange.JsonBody();
  this->SetFault(fault.value_or(Json::Value(Json::objectValue)));
  aExchange.ReplyJson(fault ? 200 : 400, fault.value_or(Json::Value()));
}

void
PlainService::SetFault(const Json::Value& aFault)
{
  const auto set = [&](const char* aName, bool& aFlag) {
    aFlag = aFault[aName].isBool() ? aFault[aName].asBool() : aFlag;
  };
  bool clear = false;
  set("clear", clear);
  if (clear) {
    this->faults = {};
  }
  if (aFault["slow"].isNumeric()) {
    this->faults.slow = std::max(aFault["slow"].asDouble(), 0.0);
  }
  set("stall", this->faults.stall);
  set("refuse", this->faults.refuse);
  set("crash", this->faults.crash);
  this->delayed.Stop(this->faults.stall);
}

Json::Value
PlainService::Record(std::uint64_t aSince) const
{
  Json::Value record;
  record["executions"] = this->journal.ToJson(aSince);
  record["next"] = Json::UInt64(this->journal.Next());
  return record;
}

void
PlainService::Execute(Exchange& aExchange)
{
  const std::string body = aExchange.Body();
  ServiceExecution execution;
  execution.id = aExchange.Header("X-Request-Id");
  execution.nonce = Directive(body, "nonce");
  if (execution.nonce.empty()) {
    execution.nonce = Directive(aExchange.Target(), "nonce");
  }
  execution.started = Now();
  execution.number = this->journal.Next();
  execution.idempotencyKey = aExchange.Header("Idempotency-Key");
  execution.method = aExchange.Method();
  execution.path = aExchange.Path();
  execution.bodyHash = XXH3_64bits(body.data(), body.size());
  const std::uint64_t entry = this->journal.Append(std::move(execution));
  if (this->faults.crash) {
    this->End(entry, "crashed");
    aExchange.Drop();
    return;
  }
  this->pending[&aExchange] = entry;
  this->delayed.Add(
    aExchange,
    std::chrono::duration_cast<Duration>(this->delay * this->faults.slow));
}

void
PlainService::Answer(Exchange& aExchange)
{
  const std::uint64_t entry = this->pending.at(&aExchange);
  this->pending.erase(&aExchange);
  this->End(entry, "complete");
  Json::Value body;
  body["execution"] = Json::UInt64(entry);
  body["method"] = aExchange.Method();
  body["path"] = aExchange.Target();
  body["body"] = aExchange.Body();
  aExchange.AddHeader("X-Execution", std::to_string(entry));
  aExchange.ReplyJson(200, body);
}

void
PlainService::End(std::uint64_t aEntry, const char* aEnd)
{
  if (ServiceExecution* execution = this->journal.Find(aEntry)) {
    execution->End(aEnd, Now());
  }
}

} // namespace dogwoodvale::standins
