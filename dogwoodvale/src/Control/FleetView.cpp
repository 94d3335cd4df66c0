#include "dogwoodvale/Control"

#include <algorithm>

namespace dogwoodvale {

namespace {

constexpr std::size_t kAtOnce = 64;

void
AddAddress(std::string_view aText,
           const Place& aPlace,
           std::vector<SocketAddress>& aOut,
           Findings& aFindings)
{
  const absl::StatusOr<SocketAddress> address = SocketAddress::Parse(aText);
  if (address.ok()) {
    aOut.push_back(*address);
  } else {
    aFindings.Add(aPlace, std::string(MessageOf(address.status())));
  }
}

void
AddList(const JsonDocument& aDocument,
        const char* aName,
        std::vector<SocketAddress>& aOut,
        Findings& aFindings)
{
  for (const Json::Value& item : aDocument.Root()[aName]) {
    const Json::Value& address =
      item.isObject() && item.isMember("operators") ? item["operators"] : item;
    AddAddress(address.isString() ? address.asString() : "",
               aDocument.PlaceOf(item),
               aOut,
               aFindings);
  }
}

Json::Value
ParseDocument(std::string_view aText)
{
  return ParseJson(aText).value_or(Json::Value::null);
}

void
TakeAnswer(const HttpAnswer& aAnswer, ProcessStatus& aStatus)
{
  aStatus.status = aAnswer.status;
  if (aAnswer.status.ok() && aAnswer.code != 200) {
    aStatus.status = MakeError(
      absl::StatusCode::kUnavailable, "answered with HTTP {}", aAnswer.code);
  }
  if (aStatus.status.ok()) {
    aStatus.document = ParseDocument(aAnswer.body);
    if (!aStatus.document.isObject()) {
      aStatus.status = absl::DataLossError("its status is not JSON");
      aStatus.document = Json::Value();
    }
  }
}

} // namespace

std::string
ProcessStatus::Text(const char* aField) const
{
  const Json::Value& field = this->document[aField];
  return field.isString() ? field.asString() : std::string();
}

bool
ProcessStatus::Flag(const char* aField) const
{
  const Json::Value& field = this->document[aField];
  return field.isBool() && field.asBool();
}

Epoch
ProcessStatus::HeldEpoch() const
{
  const Json::Value& field = this->document["epoch"];
  return field.isUInt64() ? field.asUInt64() : 0;
}

SiteAddresses
ReadSite(const std::string& aPath, Findings& aFindings)
{
  SiteAddresses site;
  std::string text;
  std::FILE* file = std::fopen(aPath.c_str(), "rb");
  if (file == nullptr) {
    aFindings.Add({ aPath, 0, 0 }, "can't be read");
    return site;
  }
  char buffer[4096];
  for (std::size_t count = std::fread(buffer, 1, sizeof buffer, file);
       count > 0;
       count = std::fread(buffer, 1, sizeof buffer, file)) {
    text.append(buffer, count);
  }
  std::fclose(file);
  const JsonDocument document = JsonDocument::Parse(text, aPath, aFindings);
  if (!document.Root().isObject()) {
    aFindings.Add({ aPath, 1, 1 }, "a site must be an object");
    return site;
  }
  AddList(document, "store", site.store, aFindings);
  for (const char* list : { "processes", "entries", "sidecars" }) {
    AddList(document, list, site.processes, aFindings);
  }
  return site;
}

std::vector<SocketAddress>
ParseAddresses(std::string_view aText, const Place& aPlace, Findings& aFindings)
{
  std::vector<SocketAddress> addresses;
  while (!aText.empty()) {
    const std::size_t comma = aText.find(',');
    AddAddress(aText.substr(0, comma), aPlace, addresses, aFindings);
    aText = comma == std::string_view::npos ? "" : aText.substr(comma + 1);
  }
  return addresses;
}

std::vector<ProcessStatus>
FleetView::Read()
{
  std::vector<ProcessStatus> all(this->processes.size());
  std::vector<std::unique_ptr<HttpExchange>> exchanges(all.size());
  std::size_t started = 0;
  std::size_t answered = 0;
  const auto startMore = [&] {
    while (started < all.size() && started - answered < kAtOnce) {
      const std::size_t index = started++;
      all[index].address = this->processes[index];
      all[index].status = absl::DeadlineExceededError("no answer in time");
      HttpCall call;
      call.address = this->processes[index];
      call.path = "/statusz";
      call.timeout = this->timeout;
      exchanges[index] = HttpExchange::Start(
        this->loop, call, [&, index](const HttpAnswer& aAnswer) {
          TakeAnswer(aAnswer, all[index]);
          ++answered;
        });
    }
  };
  this->loop.RunUntil(
    [&] {
      startMore();
      return answered == all.size();
    },
    this->timeout * static_cast<int>(1 + all.size() / kAtOnce) + seconds(1));
  return all;
}

void
FleetView::Sleep(Duration aFor)
{
  this->loop.RunUntil([] { return false; }, aFor);
}

absl::StatusOr<ConfigurationBundle>
FleetView::ReadConfiguration(const SocketAddress& aProcess)
{
  std::optional<HttpAnswer> answer;
  HttpCall call;
  call.address = aProcess;
  call.path = "/configuration";
  call.timeout = this->timeout;
  const auto exchange = HttpExchange::Start(
    this->loop, call, [&](const HttpAnswer& aAnswer) { answer = aAnswer; });
  this->loop.RunUntil([&] { return answer.has_value(); }, kLongestTransfer);
  if (!answer || !answer->status.ok() || answer->code != 200) {
    return MakeError(absl::StatusCode::kUnavailable,
                     "{} does not give its configuration",
                     aProcess.ToString());
  }
  return DecodeBundle(answer->body);
}

const ProcessStatus*
Highest(std::span<const ProcessStatus> aProcesses)
{
  const ProcessStatus* best = nullptr;
  for (const ProcessStatus& process : aProcesses) {
    if (process.IsReached() &&
        (best == nullptr || process.HeldEpoch() > best->HeldEpoch())) {
      best = &process;
    }
  }
  return best;
}

} // namespace dogwoodvale
