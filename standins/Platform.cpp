#include "Platform.h"

#include <algorithm>

#include "StoreJson.h"

namespace dogwoodvale::standins {

namespace {

constexpr Duration kExpiryPeriod = milliseconds(20);
constexpr const char* kWatchPath = "/v3/watch";

bool
Flag(const Json::Value& aObject, const char* aName)
{
  return aObject[aName].isBool() && aObject[aName].asBool();
}

/// HTTP status of the published mapping.
int
HttpCode(absl::StatusCode aCode)
{
  switch (aCode) {
    case absl::StatusCode::kNotFound:
      return 404;
    case absl::StatusCode::kResourceExhausted:
      return 429;
    default:
      return 400;
  }
}

Json::Value
ErrorJson(const absl::Status& aStatus)
{
  Json::Value body;
  body["error"] = body["message"] = std::string(MessageOf(aStatus));
  body["code"] = static_cast<int>(aStatus.code());
  return body;
}

bool
IsInstance(const Json::Value& aInstance)
{
  if (!aInstance.isObject()) {
    return false;
  }
  for (const char* name : { "name", "role", "address", "state" }) {
    if (!aInstance[name].isString()) {
      return false;
    }
  }
  const std::string state = aInstance["state"].asString();
  return state == "live" || state == "leaving";
}

bool
IsWrite(const std::string& aPath)
{
  return aPath != kWatchPath && StoreApi::IsWrite(aPath);
}

absl::Status
CheckInstances(const Json::Value& aList)
{
  if (!aList.isObject() || !aList["instances"].isArray()) {
    return absl::InvalidArgumentError("instances must be a list");
  }
  for (const Json::Value& instance : aList["instances"]) {
    if (!IsInstance(instance)) {
      return absl::InvalidArgumentError("not an instance: " + ToLine(instance));
    }
  }
  return absl::OkStatus();
}

Json::Value
ListOrEmpty(Json::Value aList)
{
  if (aList.isNull()) {
    aList["instances"] = Json::Value(Json::arrayValue);
  }
  return aList;
}

} // namespace

bool
RateLimit::Take(TimePoint aNow)
{
  if (this->perSecond <= 0) {
    return true;
  }
  const double passed =
    std::chrono::duration<double>(aNow - this->last).count();
  this->last = aNow;
  this->tokens =
    std::min(this->perSecond, this->tokens + passed * this->perSecond);
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

absl::StatusOr<std::unique_ptr<Platform>>
Platform::Create(EventLoop& aLoop,
                 const SocketAddress& aListen,
                 const PlatformSettings& aSettings)
{
  absl::Status status = CheckInstances(ListOrEmpty(aSettings.instances));
  if (!status.ok()) {
    return status;
  }
  std::unique_ptr<Platform> platform(new Platform(aLoop, aSettings));
  auto server = JsonServer::Create(aLoop, aListen, *platform);
  if (!server.ok()) {
    return server.status();
  }
  platform->server = std::move(*server);
  return platform;
}

Platform::Platform(EventLoop& aLoop, const PlatformSettings& aSettings)
  : reads(aSettings.readsPerSecond)
  , writes(aSettings.writesPerSecond)
  , delayed(aLoop, [this](Exchange& aExchange) { this->Serve(aExchange); })
  , instances(aSettings.listLag, ListOrEmpty(aSettings.instances))
  , expiry(aLoop, [this] {
    if (this->api.Store().ExpireLeases(Now())) {
      this->SendToWatches();
    }
  })
{
  this->expiry.StartRepeating(kExpiryPeriod);
}

void
Platform::OnRequest(Exchange& aExchange)
{
  const std::string path = aExchange.Path();
  if (path.starts_with("/standin/")) {
    this->Control(aExchange);
  } else if (path == "/instances") {
    this->ListInstances(aExchange);
  } else if (path == kWatchPath || StoreApi::Has(path)) {
    this->Admit(aExchange);
  } else {
    aExchange.ReplyJson(404, ErrorJson(absl::NotFoundError("no such route")));
  }
}

void
Platform::OnClosed(Exchange& aExchange)
{
  this->delayed.Remove(aExchange);
  this->watches.erase(&aExchange);
}

void
Platform::Control(Exchange& aExchange)
{
  const std::string path = aExchange.Path();
  if (path == "/standin/calls") {
    aExchange.ReplyJson(200, this->Calls());
    return;
  }
  const auto body = aExchange.JsonBody();
  absl::Status status = absl::NotFoundError("no such route");
  if (!body) {
    status = absl::InvalidArgumentError("the body must be a JSON object");
  } else if (path == "/standin/fault") {
    status = this->SetFault(*body, &aExchange);
  } else if (path == "/standin/instances") {
    status = this->SetInstances(*body);
  }
  aExchange.ReplyJson(status.ok() ? 200 : HttpCode(status.code()),
                      status.ok() ? *body : ErrorJson(status));
}

absl::Status
Platform::SetInstances(const Json::Value& aList)
{
  absl::Status status = CheckInstances(aList);
  if (!status.ok()) {
    return status;
  }
  this->instances.Set(Now(), aList);
  return absl::OkStatus();
}

void
Platform::ListInstances(Exchange& aExchange)
{
  ++this->calls["instances"];
  if (this->faults.listDown) {
    aExchange.Drop();
    return;
  }
  aExchange.ReplyJson(200, this->instances.Get(Now()));
}

absl::Status
Platform::SetFault(const Json::Value& aFault, const Exchange* aSpared)
{
  if (Flag(aFault, "clear")) {
    this->faults = {};
  }
  if (aFault["list_down"].isBool()) {
    this->faults.listDown = aFault["list_down"].asBool();
  }
  if (aFault["slow_ms"].isNumeric()) {
    this->faults.slow =
      Duration(static_cast<long>(aFault["slow_ms"].asDouble() * 1000));
  }
  if (aFault["lose_replies"].isUInt64()) {
    this->faults.loseReplies = aFault["lose_replies"].asUInt64();
  }
  if (aFault["down"].isBool()) {
    this->faults.down = aFault["down"].asBool();
  }
  const std::int64_t revision = Int64Of(aFault["roll_back_to_revision"]);
  if (revision > 0) {
    absl::Status status = this->api.Store().RollBackTo(revision, Now());
    if (!status.ok()) {
      return status;
    }
  }
  if (revision > 0 || this->faults.down || Flag(aFault, "restart")) {
    this->Restart(aSpared);
  }
  return absl::OkStatus();
}

void
Platform::Restart(const Exchange* aSpared)
{
  this->delayed.Clear();
  this->watches.clear();
  this->server->DropAll(aSpared);
}

Json::Value
Platform::Calls() const
{
  Json::Value json(Json::objectValue);
  for (const auto& [kind, count] : this->calls) {
    json[kind] = Json::UInt64(count);
  }
  json["watches_waiting"] = Json::UInt64(this->watches.size());
  json["revision"] = Json::Int64(this->api.Store().Revision());
  return json;
}

void
Platform::Admit(Exchange& aExchange)
{
  const std::string path = aExchange.Path();
  ++this->calls[path.substr(path.rfind('/') + 1)];
  if (this->faults.down) {
    ++this->calls["refused_down"];
    aExchange.Drop();
    return;
  }
  RateLimit& limit = IsWrite(path) ? this->writes : this->reads;
  if (!limit.Take(Now())) {
    ++this->calls["rate_limited"];
    aExchange.ReplyJson(
      429,
      ErrorJson(absl::ResourceExhaustedError("etcdserver: too many requests")));
    return;
  }
  if (this->faults.slow > Duration(0)) {
    this->delayed.Add(aExchange, this->faults.slow);
    return;
  }
  this->Serve(aExchange);
}

void
Platform::Serve(Exchange& aExchange)
{
  const std::string path = aExchange.Path();
  const auto request = aExchange.JsonBody();
  if (!request) {
    aExchange.ReplyJson(
      400, ErrorJson(absl::InvalidArgumentError("the body must be an object")));
  } else if (path == kWatchPath) {
    this->StartWatch(aExchange, *request);
  } else {
    const auto answer = this->api.Serve(path, *request, Now());
    if (!answer.ok()) {
      aExchange.ReplyJson(HttpCode(answer.status().code()),
                          ErrorJson(answer.status()));
    } else if (IsWrite(path) && this->faults.loseReplies > 0) {
      --this->faults.loseReplies;
      ++this->calls["lost_replies"];
      aExchange.Drop();
    } else {
      aExchange.ReplyJson(200, *answer);
    }
    this->SendToWatches();
  }
}

void
Platform::StartWatch(Exchange& aExchange, const Json::Value& aRequest)
{
  const Json::Value& create = aRequest["create_request"];
  auto range = create.isObject()
                 ? KeyRangeFromJson(create)
                 : absl::InvalidArgumentError("create_request is missing");
  if (!range.ok()) {
    aExchange.ReplyJson(400, ErrorJson(range.status()));
    return;
  }
  const std::int64_t start = Int64Of(create["start_revision"]);
  Watch watch{ std::move(*range),
               start > 0 ? start : this->api.Store().Revision() + 1,
               Flag(create, "prev_kv"),
               std::to_string(this->nextWatch++) };
  Json::Value line;
  line["result"]["header"] = HeaderJson(this->api.Store().Revision());
  line["result"]["watch_id"] = watch.id;
  line["result"]["created"] = true;
  aExchange.StartStream("application/json");
  if (!aExchange.SendChunk(ToLine(line) + "\n")) {
    return;
  }
  if (start > 0 && start < this->api.Store().CompactRevision()) {
    line["result"].removeMember("created");
    line["result"]["canceled"] = true;
    line["result"]["compact_revision"] =
      std::to_string(this->api.Store().CompactRevision());
    if (aExchange.SendChunk(ToLine(line) + "\n")) {
      aExchange.EndStream();
    }
    return;
  }
  if (this->SendToWatch(aExchange, watch)) {
    this->watches.emplace(&aExchange, std::move(watch));
  }
}

bool
Platform::SendToWatch(Exchange& aExchange, Watch& aWatch)
{
  const auto events = this->api.Store().EventsFrom(aWatch.next, aWatch.range);
  aWatch.next = std::max(aWatch.next, this->api.Store().Revision() + 1);
  if (events.empty()) {
    return true;
  }
  ++this->calls["watch_messages"];
  Json::Value line;
  line["result"]["header"] = HeaderJson(this->api.Store().Revision());
  line["result"]["watch_id"] = aWatch.id;
  line["result"]["events"] = EventsJson(events, aWatch.wantsPrevious);
  return aExchange.SendChunk(ToLine(line) + "\n");
}

void
Platform::SendToWatches()
{
  for (auto at = this->watches.begin(); at != this->watches.end();) {
    const bool isThere = at->second.next > this->api.Store().Revision() ||
                         this->SendToWatch(*at->first, at->second);
    at = isThere ? std::next(at) : this->watches.erase(at);
  }
}

} // namespace dogwoodvale::standins
