#include "dogwoodvale/Duties"

#include "dogwoodvale/Settings"

namespace dogwoodvale {

std::string
WriteUsageReport(const UsageReport& aReport)
{
  Json::Value value;
  value["window"] = Json::Int64(aReport.window);
  Json::Value& counts = value["counts"] = Json::objectValue;
  for (const auto& [customer, count] : aReport.counts) {
    counts[customer.Value()] = Json::UInt64(count);
  }
  return WriteJson(value);
}

absl::StatusOr<UsageReport>
ReadUsageReport(std::string_view aText)
{
  const auto parsed = ParseJson(aText);
  if (!parsed.ok()) {
    return parsed.status();
  }
  JsonFields fields(*parsed);
  UsageReport report;
  report.window = fields.Int("window");
  if (!fields.Status().ok()) {
    return fields.Status();
  }
  const Json::Value& counts = (*parsed)["counts"];
  if (!counts.isObject()) {
    return absl::DataLossError("\"counts\" is not an object");
  }
  for (const std::string& customer : counts.getMemberNames()) {
    if (!counts[customer].isUInt64()) {
      return MakeError(absl::StatusCode::kDataLoss,
                       "the count of \"{}\" is not an unsigned integer",
                       customer);
    }
    report.counts[CustomerName(customer)] = counts[customer].asUInt64();
  }
  return report;
}

std::string
WriteUsageFloor(const UsageFloor& aFloor)
{
  Json::Value value;
  value["era"] = Json::UInt64(aFloor.era);
  value["window"] = Json::Int64(aFloor.window);
  return WriteJson(value);
}

absl::StatusOr<UsageFloor>
ReadUsageFloor(std::string_view aText)
{
  const auto parsed = ParseJson(aText);
  if (!parsed.ok()) {
    return parsed.status();
  }
  JsonFields fields(*parsed);
  UsageFloor floor;
  floor.era = fields.Whole("era");
  floor.window = fields.Int("window");
  if (!fields.Status().ok()) {
    return fields.Status();
  }
  return floor;
}

} // namespace dogwoodvale
