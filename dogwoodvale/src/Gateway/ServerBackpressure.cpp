#include "ServerBackpressure.h"

#include <utility>

#include "GatewayRoster.h"

namespace dogwoodvale {

namespace {

/// Allowance for a late answer to a read of the roster.
constexpr Duration kRosterSlack = seconds(1);

void
LogRateChange(const InstanceName& aServer,
              std::optional<double> aPerSecond,
              const RateChange& aChange,
              std::string_view aFrom,
              milliseconds aAge)
{
  Log(LogLevel::Info,
      "server_rate_limit",
      "instance",
      aServer.Value(),
      "limited",
      aPerSecond.has_value(),
      "per_second",
      aPerSecond.value_or(0),
      "before",
      aChange.before.value_or(0),
      "before_for_ms",
      WholeMillis(aChange.lasted),
      "from",
      aFrom,
      "age_ms",
      aAge.count());
}

void
LogLeaving(const InstanceName& aServer,
           std::string_view aFrom,
           milliseconds aAge)
{
  Log(LogLevel::Info,
      "server_leaving",
      "instance",
      aServer.Value(),
      "from",
      aFrom,
      "age_ms",
      aAge.count());
}

void
LogRest(const InstanceName& aServer, Duration aRest)
{
  Log(LogLevel::Info,
      "server_rests",
      "instance",
      aServer.Value(),
      "for_ms",
      WholeMillis(aRest));
}

} // namespace

ServerBackpressure::ServerBackpressure(InstanceName aSelf)
  : rates(std::move(aSelf), GatewayRoster::kPeriod + kRosterSlack)
{
}

void
ServerBackpressure::SetGateways(std::span<const InstanceName> aNames,
                                TimePoint aNow)
{
  this->rates.Allocator().SetGateways(aNames, aNow);
}

void
ServerBackpressure::OnSuspended(TimePoint aNow)
{
  this->rates.Allocator().SuspendShares(aNow);
}

void
ServerBackpressure::OnNotice(const InstanceName& aServer,
                             const BackpressureNotice& aNotice,
                             TimePoint aNow)
{
  if (!aNotice.isMalformed) {
    this->malformed.erase(aServer);
  } else if (this->malformed.insert(aServer).second) {
    Log(LogLevel::Warning,
        "server_notice_malformed",
        "instance",
        aServer.Value());
  }
  if (aNotice.isLeaving && this->leaving.OnAnswer(aServer, aNow)) {
    LogLeaving(aServer, "answer", milliseconds(0));
  }
  if (!aNotice.backoffFor) {
    this->backoffs.OnAnswer(aServer, aNow);
  } else if (this->backoffs.OnRefused(aServer, *aNotice.backoffFor, aNow)) {
    LogRest(aServer, *aNotice.backoffFor);
  }
  if (const auto change =
        this->rates.OnAnswer(aServer, aNotice.rateLimit, aNow)) {
    LogRateChange(
      aServer, aNotice.rateLimit, *change, "answer", milliseconds(0));
  }
}

void
ServerBackpressure::AddToDigest(PeerDigest& aDigest, TimePoint aNow) const
{
  aDigest.rates = this->rates.OutgoingUpdates(aNow);
  aDigest.leaving = this->leaving.OutgoingUpdates(aNow);
}

void
ServerBackpressure::ApplyDigest(
  const PeerDigest& aDigest,
  const std::function<bool(const InstanceName&)>& aIsUsed,
  TimePoint aNow)
{
  // Departures of servers that are not listed are recorded too: a list that
  // arrives later may be older than the report.
  for (const LeavingUpdate& update : aDigest.leaving) {
    if (this->leaving.OnUpdate(update, aNow)) {
      LogLeaving(update.server, aDigest.gateway.Value(), update.age);
    }
  }
  for (const RateUpdate& update : aDigest.rates) {
    if (!aIsUsed(update.server)) {
      continue;
    }
    if (const auto change = this->rates.OnUpdate(update, aNow)) {
      LogRateChange(update.server,
                    update.perSecond,
                    *change,
                    aDigest.gateway.Value(),
                    update.age);
    }
  }
}

void
ServerBackpressure::Forget(const InstanceName& aServer)
{
  this->rates.Forget(aServer);
  this->backoffs.Forget(aServer);
  this->malformed.erase(aServer);
}

bool
ServerBackpressure::MaySend(const InstanceName& aServer,
                            std::size_t aCells,
                            TimePoint aNow)
{
  return !this->leaving.Contains(aServer) &&
         this->backoffs.MaySend(aServer, aNow) &&
         this->rates.MaySend(aServer, aCells, aNow);
}

void
ServerBackpressure::OnSent(const InstanceName& aServer,
                           std::size_t aCells,
                           TimePoint aNow)
{
  this->backoffs.OnSent(aServer, aNow);
  this->rates.OnSent(aServer, aCells, aNow);
}

Duration
ServerBackpressure::UntilFree(const InstanceName& aServer,
                              std::size_t aCells,
                              TimePoint aNow)
{
  return std::max(this->backoffs.UntilFree(aServer, aNow),
                  this->rates.UntilAllowed(aServer, aCells, aNow));
}

} // namespace dogwoodvale
