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
    SocketAddress::Parse(TextOf(aValue, "address"));
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

absl::StatusOr<std::vector<ListedInstance>>
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

absl::StatusOr<std::vector<ListedInstance>>
ParseInstanceList(std::string_view aText)
{
  const absl::StatusOr<Json::Value> parsed = ParseJson(aText);
  if (!parsed.ok()) {
    return parsed.status();
  }
  if (!parsed->isObject() || !(*parsed)["instances"].isArray()) {
    return absl::DataLossError("instance list: no array \"instances\"");
  }
  std::vector<ListedInstance> result;
  for (const Json::Value& item : (*parsed)["instances"]) {
    absl::StatusOr<ListedInstance> instance = ParseInstance(item);
    if (!instance.ok()) {
      return instance.status();
    }
    result.push_back(*std::move(instance));
  }
  return result;
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
  const absl::StatusOr<std::vector<ListedInstance>> list = ReadAnswer(aAnswer);
  if (list.ok()) {
    if (this->isFailing) {
      Log(LogLevel::Info, "instance_list_back", "instances", list->size());
    }
    this->isFailing = false;
    this->hasList = true;
    this->observer.OnList(*list);
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
