#include "PeerDocuments.h"

#include "dogwoodvale/Settings"

namespace dogwoodvale {

namespace {

Json::Value
InstanceToJson(const DirectInstance& aInstance)
{
  Json::Value value;
  value["name"] = aInstance.server.Value();
  value["started_ms"] = Json::UInt64(aInstance.started);
  value["service"] = aInstance.service.Value();
  value["address"] = aInstance.address.ToString();
  value["data_centre"] = aInstance.dataCentre.Value();
  value["slots"] = aInstance.slots;
  value["leaving"] = aInstance.leaving;
  value["software_version"] = aInstance.softwareVersion;
  return value;
}

absl::StatusOr<DirectInstance>
InstanceFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue);
  DirectInstance instance;
  instance.server = InstanceName(fields.Text("name"));
  instance.service = ServiceName(fields.Text("service"));
  const std::string address = fields.Text("address");
  instance.dataCentre = DataCentreName(fields.Text("data_centre"));
  instance.slots = fields.Count("slots");
  instance.leaving = fields.Flag("leaving");
  // Gateways of an older version don't send it.
  instance.started = fields.Whole("started_ms");
  if (!fields.Status().ok()) {
    return fields.Status();
  }
  const Json::Value& software = aValue["software_version"];
  instance.softwareVersion = software.isString() ? software.asString() : "";
  auto parsed = SocketAddress::ParseRemote(address);
  if (!parsed.ok()) {
    return parsed.status();
  }
  instance.address = *std::move(parsed);
  instance.name = IncarnationName(instance.server.Value(), instance.started);
  return instance;
}

} // namespace

std::string
WriteInstanceList(const InstanceList& aList)
{
  Json::Value document;
  document["age_ms"] = Json::Int64(aList.age.count());
  Json::Value& list = document["instances"] = Json::arrayValue;
  for (const DirectInstance& instance : aList.instances) {
    list.append(InstanceToJson(instance));
  }
  return WriteJson(document);
}

absl::StatusOr<InstanceList>
ReadInstanceList(std::string_view aText)
{
  const auto document = ParseJson(aText);
  if (!document.ok()) {
    return document.status();
  }
  JsonFields fields(*document);
  InstanceList list;
  list.age = milliseconds(fields.Count("age_ms"));
  for (const Json::Value& one : fields.List("instances")) {
    auto instance = InstanceFromJson(one);
    if (!instance.ok()) {
      return instance.status();
    }
    list.instances.push_back(*std::move(instance));
  }
  if (!fields.Status().ok()) {
    return fields.Status();
  }
  return list;
}

std::string
WriteGatewayEntry(const SocketAddress& aPeers)
{
  Json::Value value;
  value["peers"] = aPeers.ToString();
  return WriteJson(value);
}

absl::StatusOr<SocketAddress>
ReadGatewayEntry(std::string_view aText)
{
  const auto document = ParseJson(aText);
  if (!document.ok()) {
    return document.status();
  }
  JsonFields fields(*document);
  const std::string peers = fields.Text("peers");
  if (!fields.Status().ok()) {
    return fields.Status();
  }
  return SocketAddress::ParseRemote(peers);
}

} // namespace dogwoodvale
