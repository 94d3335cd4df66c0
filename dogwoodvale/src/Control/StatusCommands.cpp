#include "dogwoodvale/Control"

namespace dogwoodvale {

namespace {

std::string
Trimmed(std::string aText)
{
  while (!aText.empty() && aText.back() == '\n') {
    aText.pop_back();
  }
  return aText;
}

/// A field of any type as text; \p aDefault if it is missing.
std::string
FieldText(const Json::Value& aObject, const char* aName, const char* aDefault)
{
  const Json::Value field = aObject.get(aName, aDefault);
  return field.isString() ? field.asString() : Trimmed(field.toStyledString());
}

std::string
StateOf(const ProcessStatus& aProcess)
{
  if (!aProcess.IsReached()) {
    return std::string(MessageOf(aProcess.status));
  }
  if (aProcess.Flag("stopping")) {
    return "stopping";
  }
  return aProcess.Flag("ready") ? "ready" : "not ready";
}

/// "service: N usable, M ejected" of an entry; load of a sidecar.
std::string
LoadOf(const ProcessStatus& aProcess)
{
  std::string text;
  const Json::Value& load = aProcess.document["load"];
  if (load.isObject()) {
    text = fmt::format("running {} queued {} limit {}",
                       FieldText(load, "running", ""),
                       FieldText(load, "queued", ""),
                       FieldText(load, "limit", ""));
  }
  for (const Json::Value& service : aProcess.document["services"]) {
    if (!service.isObject()) {
      continue;
    }
    text += fmt::format("{}{}: {} usable {} ejected",
                        text.empty() ? "" : ", ",
                        FieldText(service, "name", ""),
                        FieldText(service, "usable", ""),
                        FieldText(service, "ejected", ""));
  }
  return text;
}

ExitCode
CodeOf(std::span<const ProcessStatus> aProcesses)
{
  const bool isAnyReached = Highest(aProcesses) != nullptr;
  return isAnyReached ? ExitCode::Done : ExitCode::Unreachable;
}

} // namespace

CommandResult
FleetStatus(FleetView& aFleet)
{
  const std::vector<ProcessStatus> processes = aFleet.Read();
  CommandResult result;
  result.code = CodeOf(processes);
  result.json["processes"] = Json::Value(Json::arrayValue);
  for (const ProcessStatus& process : processes) {
    Json::Value item = process.document;
    item["address"] = process.address.ToString();
    item["reached"] = process.IsReached();
    if (!process.IsReached()) {
      item["error"] = std::string(MessageOf(process.status));
    }
    result.json["processes"].append(std::move(item));
    result.Line("{:<21}  {:<8}  {:<24}  epoch {:<6}  {}  {}  {}",
                process.address.ToString(),
                process.Text("role"),
                process.Text("instance"),
                process.HeldEpoch(),
                process.Text("incarnation"),
                StateOf(process),
                LoadOf(process));
  }
  return result;
}

CommandResult
FleetOrders(FleetView& aFleet)
{
  const std::vector<ProcessStatus> processes = aFleet.Read();
  CommandResult result;
  result.code = CodeOf(processes);
  result.json["slots"] = Json::Value(Json::arrayValue);
  for (const ProcessStatus& process : processes) {
    const Json::Value& orders = process.document["orders"];
    if (!orders.isObject()) {
      continue;
    }
    Json::Value slot = orders;
    slot["instance"] = process.Text("instance");
    result.json["slots"].append(slot);
    result.Line("{}  lease {}  fencing {}",
                process.Text("instance"),
                FieldText(orders, "lease", ""),
                FieldText(orders, "fencing", ""));
    for (const Json::Value& item : orders["items"]) {
      result.Line("  {:<9} {}",
                  FieldText(item, "state", ""),
                  FieldText(item, "wanted", ""));
    }
  }
  return result;
}

} // namespace dogwoodvale
