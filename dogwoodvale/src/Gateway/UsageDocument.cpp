#include "UsageDocument.h"

#include "dogwoodvale/Settings"

namespace dogwoodvale {

namespace {

Json::Value
ToJson(const UsageSource& aSource, const UsageUpdate& aUpdate)
{
  Json::Value value;
  value["process"] = aSource.process.Value();
  value["incarnation"] = Json::UInt64(aSource.incarnation);
  value["window"] = Json::Int64(aUpdate.window);
  value["total"] = Json::UInt64(aUpdate.total);
  Json::Value& counts = value["counts"] = Json::objectValue;
  for (const auto& [customer, count] : aUpdate.counts) {
    counts[customer.Value()] = Json::UInt64(count);
  }
  return value;
}

absl::Status
ReadLine(const Json::Value& aValue, UsageDocument& aDocument)
{
  JsonFields fields(aValue);
  UsageSource source;
  source.process = InstanceName(fields.Text("process"));
  source.incarnation = fields.Whole("incarnation");
  UsageUpdate update;
  update.window = fields.Int("window");
  update.total = fields.Whole("total");
  if (!fields.Status().ok()) {
    return fields.Status();
  }
  const Json::Value& counts = aValue["counts"];
  if (!counts.isObject()) {
    return absl::DataLossError("\"counts\" is not an object");
  }
  for (const std::string& customer : counts.getMemberNames()) {
    if (!counts[customer].isUInt64()) {
      return absl::DataLossError("a count is not a whole number");
    }
    update.counts[CustomerName(customer)] = counts[customer].asUInt64();
  }
  aDocument.sources[source].push_back(std::move(update));
  return absl::OkStatus();
}

} // namespace

std::string
WriteUsageDocument(const UsageDocument& aDocument)
{
  Json::Value document;
  document["since_ms"] = Json::Int64(aDocument.since.count());
  document["written_ms"] = Json::Int64(aDocument.writtenAt.count());
  Json::Value& lines = document["lines"] = Json::arrayValue;
  for (const auto& [source, windows] : aDocument.sources) {
    for (const UsageUpdate& update : windows) {
      lines.append(ToJson(source, update));
    }
  }
  return WriteJson(document);
}

absl::StatusOr<UsageDocument>
ReadUsageDocument(std::string_view aText)
{
  const auto parsed = ParseJson(aText);
  if (!parsed.ok()) {
    return parsed.status();
  }
  JsonFields fields(*parsed);
  UsageDocument document;
  document.since = milliseconds(fields.Int("since_ms"));
  document.writtenAt = milliseconds(fields.Int("written_ms"));
  for (const Json::Value& line : fields.List("lines")) {
    if (absl::Status status = ReadLine(line, document); !status.ok()) {
      return status;
    }
  }
  if (!fields.Status().ok()) {
    return fields.Status();
  }
  return document;
}

} // namespace dogwoodvale
