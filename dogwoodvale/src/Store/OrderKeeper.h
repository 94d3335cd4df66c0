#ifndef DOGWOODVALE_STORE_ORDERKEEPER_H
#define DOGWOODVALE_STORE_ORDERKEEPER_H

#include <optional>
#include <random>
#include <string>
#include <vector>

#include <json/json.h>

#include "OrderPlan.h"
#include "SlotLease.h"
#include "StoreCallBudget.h"

namespace dogwoodvale {

struct OrderOptions
{
  SlotLeaseOptions lease;
  /// Between looks at the engine's state.
  Duration period = seconds(2);
  /// The longest that an order may be under way to the engine.
  Duration longestOrder = seconds(5);
  /// An engine that already serves waits up to this long, by chance, before it
  /// is ordered to load something else: not all of a service load at once, and
  /// the weight store's rate is kept.
  Duration spread = seconds(30);
  /// Loads that this process orders, at most.
  double loadsPerMinute = 6;
  /// The slot is given up after this long with nothing to order, so that a
  /// fleet at rest renews no leases.
  Duration keepFor = seconds(20);
};

struct OrderCounters
{
  std::uint64_t sent = 0;
  std::uint64_t obeyed = 0;
  std::uint64_t fenced = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  /// Orders held back because the lease had too little time left.
  std::uint64_t heldBack = 0;
};

/// Brings one backend server to what the configuration wants of it, and keeps
/// it there.
///
/// Orders go out only under the slot's lease, checked on the own clock right
/// before each. An engine that checks fencing numbers refuses what a former
/// holder sent late. For one that doesn't, a new holder first waits out the
/// former lease and the longest order; and as orders say what should be, and
/// the state is read back, an order that slipped through is put right.
class OrderKeeper final
  : public SlotLeaseObserver
  , public EngineOrdersHandler
{
public:
  OrderKeeper(EventLoop& aLoop,
              StoreClient& aStore,
              const InstanceName& aInstance,
              Incarnation aIncarnation,
              const OrderOptions& aOptions,
              EngineOrders& aEngine);

  /// What the configuration in force wants here; empty for a plain service.
  void SetWanted(std::vector<ModelPlacement> aWanted, bool aChecksFencing);
  void Start();
  /// Stops ordering and gives the slot up.
  void Stop();

  const OrderCounters& Counters() const { return this->counters; }
  bool HoldsSlot() const { return this->lease.IsHeld(); }
  Revision Fencing() const { return this->lease.Fencing(); }
  /// Whether the engine was last seen to be as wanted.
  bool IsDone() const;
  /// For /statusz: {"lease","fencing","items":[{"wanted","state"}]} with state
  /// "wanted", "ordered", "loading" or "done".
  Json::Value Describe() const;

  void OnSlotAcquired() override;
  void OnSlotLost() override;
  void OnEngineState(const absl::StatusOr<EngineState>& aState) override;
  void OnOrderDone(OrderOutcome aOutcome) override;

private:
  void Tick();
  void Proceed();
  void SendNext(TimePoint aNow);
  bool IsWaitedOut(TimePoint aNow) const;
  std::string StateOf(const ModelPlacement& aPlacement) const;

  SlotLease lease;
  OrderOptions options;
  EngineOrders& engine;
  std::mt19937_64 random;
  Timer timer;
  StoreCallBudget loadBudget;
  std::vector<ModelPlacement> wanted;
  bool checksFencing = false;
  std::optional<EngineState> engineState;
  std::vector<EngineOrder> plan;
  std::optional<EngineOrder> underWay;
  TimePoint earliestLoad;
  bool hasDrawnDelay = false;
  TimePoint idleSince;
  OrderCounters counters;
};

} // namespace dogwoodvale

#endif
