#include "MetadataStore.h"

#include <algorithm>
#include <cstdlib>

#include <absl/strings/escaping.h>

namespace dogwoodvale::standins {

namespace {

constexpr std::string_view kBase = "/dogwoodvale/kv-";
constexpr Duration kTick = milliseconds(20);
constexpr std::int64_t kMillisPerSecond = 1000;

/// All keys that begin with \p aPrefix.
KeyRange
PrefixRange(const std::string& aPrefix)
{
  std::string end = aPrefix;
  while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff) {
    end.pop_back();
  }
  if (end.empty()) {
    return { std::string(1, '\0'), std::string(1, '\0') };
  }
  ++end.back();
  return { aPrefix, end };
}

Json::Value
ToJson(const KeyValue& aItem)
{
  Json::Value item;
  item["key"] = aItem.key;
  item["value"] = absl::Base64Escape(aItem.value);
  item["revision"] = Json::Int64(aItem.modRevision);
  item["created"] = Json::Int64(aItem.createRevision);
  item["lease"] = Json::Int64(aItem.lease);
  return item;
}

std::int64_t
NumberOf(const std::string& aText)
{
  return std::strtoll(aText.c_str(), nullptr, 10);
}

} // namespace

absl::StatusOr<std::unique_ptr<MetadataStore>>
MetadataStore::Create(EventLoop& aLoop, const SocketAddress& aListen)
{
  std::unique_ptr<MetadataStore> made(new MetadataStore(aLoop));
  auto server = JsonServer::Create(aLoop, aListen, *made);
  if (!server.ok()) {
    return server.status();
  }
  made->server = *std::move(server);
  return made;
}

MetadataStore::MetadataStore(EventLoop& aLoop)
  : tick(aLoop, [this] {
    this->store.ExpireLeases(Now());
    this->TellWatches();
  })
{
  this->tick.StartRepeating(kTick);
}

void
MetadataStore::Put(const std::string& aKey, const std::string& aValue)
{
  Operation put;
  put.kind = Operation::Kind::Put;
  put.range.key = aKey;
  put.value = aValue;
  static_cast<void>(this->store.Apply({ &put, 1 }));
  this->TellWatches();
}

void
MetadataStore::Remove(const std::string& aKey)
{
  Operation removal;
  removal.kind = Operation::Kind::Delete;
  removal.range.key = aKey;
  static_cast<void>(this->store.Apply({ &removal, 1 }));
  this->TellWatches();
}

std::vector<KeyValue>
MetadataStore::Read(const KeyRange& aRange) const
{
  Operation read;
  read.range = aRange;
  // Reading changes nothing; only Apply() serves both.
  auto result = const_cast<KvStore&>(this->store).Apply({ &read, 1 });
  return result.ok() ? (*result)[0].kvs : std::vector<KeyValue>{};
}

std::size_t
MetadataStore::CountKeys(const std::string& aPrefix) const
{
  return this->Read(PrefixRange(aPrefix)).size();
}

void
MetadataStore::Reply(Exchange& aExchange,
                     int aCode,
                     const Json::Value& aBody) const
{
  aExchange.AddHeader("Store-Era", fmt::format("{}", this->era));
  aExchange.ReplyJson(aCode, aBody);
}

void
MetadataStore::GoBackTo(std::int64_t aRevision)
{
  if (!this->store.RollBackTo(aRevision, Now()).ok()) {
    return;
  }
  ++this->era;
  for (const KeyValue& item : this->Read(PrefixRange(""))) {
    if (item.lease != 0) {
      static_cast<void>(this->store.Revoke(item.lease));
    }
  }
  std::list<Watch> waiting = std::move(this->watches);
  this->watches.clear();
  for (Watch& watch : waiting) {
    watch.exchange->Drop();
  }
}

void
MetadataStore::SetFault(const Json::Value& aFault)
{
  if (aFault["clear"].asBool()) {
    this->busy = false;
    this->silent = false;
  }
  this->busy = this->busy || aFault["busy"].asBool();
  this->silent = this->silent || aFault["silent"].asBool();
  if (aFault["lose_polls"].asBool()) {
    this->watches.clear();
  }
  if (aFault["lose_changes"].isInt64()) {
    this->GoBackTo(this->store.Revision() - aFault["lose_changes"].asInt64());
  }
  if (aFault["forget"].asBool()) {
    static_cast<void>(this->store.Compact(this->store.Revision()));
    std::list<Watch> cut = std::move(this->watches);
    this->watches.clear();
    for (Watch& watch : cut) {
      watch.exchange->Drop();
    }
  }
}

void
MetadataStore::OnRequest(Exchange& aExchange)
{
  const std::string path = aExchange.Path();
  if (path.starts_with("/standin/")) {
    this->Control(aExchange);
  } else if (this->silent) {
    // Stays unanswered; a later exchange on another connection is served.
  } else if (this->busy) {
    this->Reply(aExchange, 503, Json::Value(Json::objectValue));
  } else {
    this->Serve(aExchange);
  }
}

void
MetadataStore::OnClosed(Exchange& aExchange)
{
  this->watches.remove_if(
    [&](const Watch& aWatch) { return aWatch.exchange == &aExchange; });
}

void
MetadataStore::Control(Exchange& aExchange)
{
  const Json::Value body =
    aExchange.JsonBody().value_or(Json::Value(Json::objectValue));
  const std::string path = aExchange.Path();
  if (path == "/standin/put") {
    this->Put(body["key"].asString(), body["value"].asString());
  } else if (path == "/standin/remove") {
    this->Remove(body["key"].asString());
  } else if (path == "/standin/fault") {
    this->SetFault(body);
  }
  aExchange.ReplyJson(200, body);
}

void
MetadataStore::Serve(Exchange& aExchange)
{
  const std::string path = aExchange.Path();
  const std::string_view call =
    path.starts_with(kBase) ? std::string_view(path).substr(kBase.size()) : "";
  if (call == "key") {
    this->ServeKey(aExchange);
  } else if (call == "range") {
    this->ServeRange(aExchange);
  } else if (call == "watch") {
    this->ServeWatch(aExchange);
  } else if (call == "txn") {
    this->ServeTransaction(aExchange);
  } else if (call == "lease" || call.starts_with("keep/") ||
             call.starts_with("lease-end/")) {
    this->ServeLease(aExchange);
  } else {
    this->Reply(aExchange, 404, Json::Value(Json::objectValue));
  }
}

void
MetadataStore::ServeKey(Exchange& aExchange)
{
  const std::vector<KeyValue> found =
    this->Read({ aExchange.Query("key"), "" });
  if (found.empty()) {
    this->Reply(aExchange, 404, Json::Value(Json::objectValue));
    return;
  }
  Json::Value item = ToJson(found.front());
  item["storeRevision"] = Json::Int64(this->store.Revision());
  this->Reply(aExchange, 200, item);
}

void
MetadataStore::ServeRange(Exchange& aExchange)
{
  constexpr std::size_t kPage = 5;
  const std::string after = aExchange.Query("after");
  Json::Value reply;
  reply["items"] = Json::arrayValue;
  reply["hasMore"] = false;
  for (const KeyValue& item :
       this->Read(PrefixRange(aExchange.Query("prefix")))) {
    if (!after.empty() && item.key <= after) {
      continue;
    }
    // Small pages, so that every reader has to go on.
    if (reply["items"].size() == kPage) {
      reply["hasMore"] = true;
      break;
    }
    reply["items"].append(ToJson(item));
  }
  reply["storeRevision"] = Json::Int64(this->store.Revision());
  this->Reply(aExchange, 200, reply);
}

void
MetadataStore::ServeWatch(Exchange& aExchange)
{
  Watch watch;
  watch.exchange = &aExchange;
  watch.prefix = aExchange.Query("prefix");
  watch.after = NumberOf(aExchange.Query("after"));
  watch.until = Now() + milliseconds(NumberOf(aExchange.Query("waitMs")));
  const bool isKnown = watch.after >= this->store.CompactRevision() &&
                       watch.after <= this->store.Revision();
  if (!isKnown) {
    this->Reply(aExchange, 410, Json::Value(Json::objectValue));
    return;
  }
  if (!this->TryTell(watch)) {
    this->watches.push_back(std::move(watch));
  }
}

bool
MetadataStore::TryTell(const Watch& aWatch)
{
  const std::vector<StoreEvent> events =
    this->store.EventsFrom(aWatch.after + 1, PrefixRange(aWatch.prefix));
  if (events.empty() && Now() < aWatch.until) {
    return false;
  }
  Json::Value reply;
  reply["events"] = Json::arrayValue;
  for (const StoreEvent& event : events) {
    Json::Value one = ToJson(event.kv);
    if (event.isDelete) {
      one["deleted"] = true;
    }
    reply["events"].append(one);
  }
  reply["storeRevision"] = Json::Int64(this->store.Revision());
  this->Reply(*aWatch.exchange, 200, reply);
  return true;
}

void
MetadataStore::TellWatches()
{
  if (this->silent) {
    return;
  }
  // A reply may bring the next watch at once, so the list is taken first.
  std::list<Watch> waiting = std::move(this->watches);
  this->watches.clear();
  for (Watch& watch : waiting) {
    if (!this->TryTell(watch)) {
      this->watches.push_back(std::move(watch));
    }
  }
}

void
MetadataStore::ServeTransaction(Exchange& aExchange)
{
  const Json::Value body =
    aExchange.JsonBody().value_or(Json::Value(Json::objectValue));
  Json::Value present;
  present["items"] = Json::arrayValue;
  bool holds = true;
  for (const Json::Value& row : body["expectedRev"]) {
    const auto found = this->Read({ row["key"].asString(), "" });
    const std::int64_t revision = found.empty() ? 0 : found.front().modRevision;
    holds = holds && revision == row["revision"].asInt64();
    if (!found.empty()) {
      present["items"].append(ToJson(found.front()));
    }
  }
  if (!holds) {
    this->Reply(aExchange, 412, present);
    return;
  }
  std::vector<Operation> operations;
  for (const Json::Value& put : body["puts"]) {
    Operation operation;
    operation.kind = Operation::Kind::Put;
    operation.range.key = put["key"].asString();
    absl::Base64Unescape(put["value"].asString(), &operation.value);
    operation.lease = put["lease"].asInt64();
    operations.push_back(std::move(operation));
  }
  for (const Json::Value& key : body["remove"]) {
    Operation operation;
    operation.kind = Operation::Kind::Delete;
    operation.range.key = key.asString();
    operations.push_back(std::move(operation));
  }
  const bool applied = this->store.Apply(operations).ok();
  Json::Value reply;
  reply["revision"] = Json::Int64(this->store.Revision());
  this->Reply(aExchange, applied ? 200 : 404, reply);
  this->TellWatches();
}

void
MetadataStore::ServeLease(Exchange& aExchange)
{
  const std::string path = aExchange.Path();
  const std::int64_t id = NumberOf(path.substr(path.rfind('/') + 1));
  Json::Value reply(Json::objectValue);
  if (path.ends_with("kv-lease")) {
    const Json::Value body =
      aExchange.JsonBody().value_or(Json::Value(Json::objectValue));
    const std::int64_t ttl = body["ttlMs"].asInt64();
    const auto granted = this->store.Grant(
      0, std::max<std::int64_t>(1, ttl / kMillisPerSecond), Now());
    reply["lease"] = Json::Int64(granted.value_or(0));
    reply["ttlMs"] = Json::Int64(ttl);
    this->Reply(aExchange, 200, reply);
  } else if (path.find("/kv-keep/") != std::string::npos) {
    const auto left = this->store.KeepAlive(id, Now());
    reply["ttlMs"] = Json::Int64(left.value_or(0) * kMillisPerSecond);
    this->Reply(aExchange, left ? 200 : 404, reply);
  } else {
    this->Reply(aExchange, this->store.Revoke(id) ? 200 : 404, reply);
  }
}

} // namespace dogwoodvale::standins
