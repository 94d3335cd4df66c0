#include "dogwoodvale/Store"

#include "StoreJson.h"

namespace dogwoodvale {

namespace {

constexpr int kHttpOk = 200;

/// Of the period between reads, either way.
constexpr double kJitter = 0.2;

std::string
TextOf(const Json::Value& aObject, const char* aName)
{
  const Json::Value& field = aObject[aName];
  return field.isString() ? field.asString() : std::string();
}

absl::StatusOr<ListedInstance>
ParseInstance(const Json::Value& aValue)
{
  if (!aValue.isObject()) {
    return absl::DataLossError("instance list: an entry is not a JSON object");
  }
  ListedInstance result;
  result.name = InstanceName(TextOf(aValue, "name"));
  result.service = ServiceName(TextOf(aValue, "service"));
  result.dataCentre = DataCentreName(TextOf(aValue, "data_centre"));
  result.region = RegionName(TextOf(aValue, "region"));
  const std::string role = TextOf(aValue, "role");
  const std::string state = TextOf(aValue, "state");
  const absl::StatusOr<SocketAddress> address =
    SocketAddress::ParseRemote(TextOf(aValue, "address"));
  const bool isKnown = (role == "entry" || role == "sidecar") &&
                       (state == "live" || state == "leaving");
  if (result.name.IsEmpty() || !isKnown || !address.ok()) {
    return MakeError(absl::StatusCode::kDataLoss,
                     "instance list: entry \"{}\" is malformed",
                     result.name.Value());
  }
  result.role = role == "entry" ? Role::Entry : Role::Sidecar;
  result.state = state == "live" ? ListedState::Live : ListedState::Leaving;
  result.address = *address;
  return result;
}

absl::StatusOr<InstanceListContent>
ReadAnswer(const HttpAnswer& aAnswer)
{
  if (!aAnswer.status.ok()) {
    return aAnswer.status;
  }
  if (aAnswer.code != kHttpOk) {
    return MakeError(absl::StatusCode::kUnavailable,
                     "the instance list answered with HTTP {}",
                     aAnswer.code);
  }
  return ParseInstanceList(aAnswer.body);
}

} // namespace

absl::StatusOr<InstanceListContent>
ParseInstanceList(std::string_view aText)
{
  const auto items = SplitJsonList(aText, "instances");
  if (!items.ok()) {
    return items.status();
  }
  InstanceListContent content;
  for (const std::string& item : *items) {
    const absl::StatusOr<Json::Value> parsed = ParseJson(item);
    absl::StatusOr<ListedInstance> instance =
      parsed.ok() ? ParseInstance(*parsed) : parsed.status();
    if (instance.ok()) {
      content.instances.push_back(*std::move(instance));
    } else {
      content.rejected.emplace_back(MessageOf(instance.status()));
    }
  }
  if (content.instances.empty() && !content.rejected.empty()) {
    return absl::DataLossError(ToAbsl(content.rejected.front()));
  }
  return content;
}

InstanceListClient::InstanceListClient(EventLoop& aLoop,
                                       const SocketAddress& aAddress,
                                       Duration aPeriod,
                                       Duration aTimeout,
                                       InstanceListObserver& aObserver)
  : loop(aLoop)
  , address(aAddress)
  , period(aPeriod)
  , timeout(aTimeout)
  , observer(aObserver)
  , random(DrawIncarnation())
  , timer(aLoop, [this] { this->Read(); })
{
}

void
InstanceListClient::Start()
{
  this->Read();
}

void
InstanceListClient::Read()
{
  HttpCall call;
  call.address = this->address;
  call.path = "/instances";
  call.timeout = this->timeout;
  this->exchange =
    HttpExchange::Start(this->loop, call, [this](const HttpAnswer& aAnswer) {
      this->OnAnswer(aAnswer);
    });
}

void
InstanceListClient::OnAnswer(const HttpAnswer& aAnswer)
{
  this->ScheduleNext();
  const absl::StatusOr<InstanceListContent> list = ReadAnswer(aAnswer);
  if (list.ok()) {
    if (this->isFailing) {
      Log(LogLevel::Info,
          "instance_list_back",
          "instances",
          list->instances.size());
    }
    if (list->rejected != this->rejected && !list->rejected.empty()) {
      Log(LogLevel::Warning,
          "instance_list_entries_rejected",
          "count",
          list->rejected.size(),
          "first",
          list->rejected.front());
    }
    this->rejected = list->rejected;
    this->isFailing = false;
    this->hasList = true;
    this->observer.OnList(list->instances);
    return;
  }
  if (!this->isFailing) {
    Log(LogLevel::Warning,
        "instance_list_failed",
        "reason",
        MessageOf(list.status()));
  }
  this->isFailing = true;
  this->observer.OnListFailed(list.status());
}

void
InstanceListClient::ScheduleNext()
{
  std::uniform_real_distribution<double> jitter(1 - kJitter, 1 + kJitter);
  const double micros =
    static_cast<double>(this->period.count()) * jitter(this->random);
  this->timer.StartOnce(Duration(static_cast<Duration::rep>(micros)));
}

} // namespace dogwoodvale
