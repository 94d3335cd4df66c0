#include "dogwoodvale/Store"

#include <algorithm>

namespace dogwoodvale {

OrderKeeper::OrderKeeper(EventLoop& aLoop,
                         StoreClient& aStore,
                         const InstanceName& aInstance,
                         Incarnation aIncarnation,
                         const OrderOptions& aOptions,
                         EngineOrders& aEngine)
  : lease(aLoop,
          aStore,
          SlotKey(aInstance),
          fmt::format("{:016x}", aIncarnation),
          aOptions.lease,
          *this)
  , options(aOptions)
  , engine(aEngine)
  , random(DrawIncarnation())
  , timer(aLoop, [this] { this->Tick(); })
  , loadBudget(aOptions.loadsPerMinute / 60.0,
               std::max(1.0, aOptions.loadsPerMinute / 4),
               Now())
{
  this->engine.SetHandler(this);
}

void
OrderKeeper::SetWanted(std::vector<ModelPlacement> aWanted, bool aChecksFencing)
{
  this->wanted = std::move(aWanted);
  this->checksFencing = aChecksFencing;
  this->hasDrawnDelay = false;
  this->Proceed();
}

void
OrderKeeper::Start()
{
  this->timer.StartRepeating(this->options.period);
  this->Tick();
}

void
OrderKeeper::Stop()
{
  this->timer.Stop();
  this->wanted.clear();
  this->lease.Release();
}

void
OrderKeeper::Tick()
{
  if (!this->wanted.empty()) {
    this->engine.ReadState();
  }
}

void
OrderKeeper::OnEngineState(const absl::StatusOr<EngineState>& aState)
{
  if (!aState.ok()) {
    this->engineState.reset();
    return;
  }
  this->engineState = *aState;
  this->Proceed();
}

void
OrderKeeper::Proceed()
{
  if (!this->engineState) {
    return;
  }
  const TimePoint now = Now();
  this->plan = PlanOrders(this->wanted, *this->engineState);
  if (this->plan.empty()) {
    this->hasDrawnDelay = false;
    const bool isIdle = !this->underWay && this->lease.IsWanted();
    if (isIdle && now - this->idleSince >= this->options.keepFor) {
      this->lease.Release();
    }
    return;
  }
  this->idleSince = now;
  if (!this->hasDrawnDelay) {
    this->hasDrawnDelay = true;
    std::uniform_real_distribution<double> share(0, 1);
    const bool serves = ServesAny(this->wanted, *this->engineState);
    const auto most = static_cast<double>(this->options.spread.count());
    const double micros = serves ? most * share(this->random) : 0;
    this->earliestLoad = now + Duration(static_cast<Duration::rep>(micros));
  }
  if (now < this->earliestLoad) {
    return;
  }
  this->lease.Acquire();
  this->SendNext(now);
}

bool
OrderKeeper::IsWaitedOut(TimePoint aNow) const
{
  // The former holder may believe in its lease until that would have lapsed,
  // and what it sent last may be under way; an engine that doesn't look at
  // fencing numbers would obey that after ours.
  const Duration wait = this->lease.Ttl() + this->options.longestOrder;
  return this->checksFencing || aNow >= this->lease.AcquiredAt() + wait;
}

void
OrderKeeper::SendNext(TimePoint aNow)
{
  if (this->underWay || this->plan.empty() || !this->lease.IsHeld() ||
      !this->IsWaitedOut(aNow)) {
    return;
  }
  const EngineOrder& next = this->plan.front();
  if (next.action == EngineOrder::Action::Load &&
      !this->loadBudget.TryTake(aNow)) {
    return;
  }
  // The process may have been paused since anything above was found true; the
  // lease may have lapsed and another holder may be ordering by now.
  if (!this->lease.MayOrder(Now())) {
    ++this->counters.heldBack;
    return;
  }
  this->underWay = next;
  ++this->counters.sent;
  this->engine.Send(next, this->lease.Fencing());
  Log(LogLevel::Info,
      "order_sent",
      "order",
      ToString(next),
      "fencing",
      this->lease.Fencing());
}

void
OrderKeeper::OnOrderDone(OrderOutcome aOutcome)
{
  const EngineOrder order = this->underWay.value_or(EngineOrder{});
  this->underWay.reset();
  switch (aOutcome) {
    case OrderOutcome::Obeyed:
      ++this->counters.obeyed;
      break;
    case OrderOutcome::Fenced:
      ++this->counters.fenced;
      // Somebody holds the slot with a higher number, whatever the clock says.
      this->lease.Release();
      break;
    case OrderOutcome::Refused:
      ++this->counters.refused;
      break;
    case OrderOutcome::Unknown:
      ++this->counters.unknown;
      break;
  }
  if (aOutcome != OrderOutcome::Obeyed) {
    Log(LogLevel::Warning,
        "order_failed",
        "order",
        ToString(order),
        "outcome",
        aOutcome == OrderOutcome::Fenced    ? "fenced"
        : aOutcome == OrderOutcome::Refused ? "refused"
                                            : "unknown");
    return;
  }
  // What the engine holds now decides what comes next.
  this->engineState.reset();
  this->engine.ReadState();
}

void
OrderKeeper::OnSlotAcquired()
{
  this->Proceed();
}

void
OrderKeeper::OnSlotLost()
{
}

bool
OrderKeeper::IsDone() const
{
  return this->engineState && IsSettled(this->wanted, *this->engineState);
}

std::string
OrderKeeper::StateOf(const ModelPlacement& aPlacement) const
{
  if (this->engineState &&
      IsSettled(std::span(&aPlacement, 1), *this->engineState)) {
    return "done";
  }
  if (this->underWay && this->underWay->model == aPlacement.model.Value()) {
    return "ordered";
  }
  if (this->engineState) {
    for (const LoadedModel& model : this->engineState->models) {
      if (model.name == aPlacement.model.Value() && model.isLoading) {
        return "loading";
      }
    }
  }
  return "wanted";
}

Json::Value
OrderKeeper::Describe() const
{
  Json::Value result(Json::objectValue);
  result["lease"] = std::string(this->lease.StateName());
  result["fencing"] = Json::Int64(this->lease.Fencing());
  result["sent"] = Json::UInt64(this->counters.sent);
  result["fenced"] = Json::UInt64(this->counters.fenced);
  result["items"] = Json::Value(Json::arrayValue);
  for (const ModelPlacement& placement : this->wanted) {
    Json::Value item(Json::objectValue);
    std::string text = placement.model.Value();
    if (!placement.version.empty()) {
      text += " version " + placement.version;
    }
    for (const std::string& adapter : placement.adapters) {
      text += " +" + adapter;
    }
    item["wanted"] = text;
    item["state"] = this->StateOf(placement);
    result["items"].append(std::move(item));
  }
  return result;
}

} // namespace dogwoodvale
