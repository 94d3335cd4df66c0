#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>

#include "dogwoodvale/Store"
#include "standins/EngineOrders.h"
#include "standins/Platform.h"
#include "support/FakeStore.h"

using namespace dogwoodvale;

namespace {

ModelPlacement
Placement(const char* aModel,
          const char* aVersion,
          std::vector<std::string> aAdapters = {})
{
  return { ModelName(aModel), aVersion, std::move(aAdapters) };
}

/// A stand-in engine at the end of a wire that may hold orders up.
class WiredEngine
{
public:
  explicit WiredEngine(bool aChecksFencing)
    : orders({}, Duration(0), aChecksFencing)
  {
  }

  std::string VersionOf(const char* aModel) const
  {
    const Json::Value state = this->orders.State(Now());
    for (const Json::Value& model : state["models"]) {
      if (model["name"] == aModel) {
        return model["version"].asString();
      }
    }
    return "";
  }
  /// Fencing numbers of the orders obeyed, in order.
  std::vector<std::uint64_t> Obeyed() const
  {
    std::vector<std::uint64_t> numbers;
    const Json::Value state = this->orders.State(Now());
    for (const Json::Value& order : state["log"]) {
      numbers.push_back(order["fencing"].asUInt64());
    }
    return numbers;
  }

  standins::EngineOrders orders;
};

/// One holder's way to the engine.
class Wire : public EngineOrders
{
public:
  Wire(EventLoop& aLoop, WiredEngine& aEngine)
    : engine(aEngine)
    , stateTimer(aLoop, [this] { this->GiveState(); })
    , orderTimer(aLoop, [this] { this->Deliver(); })
  {
  }
  void SetHandler(EngineOrdersHandler* aHandler) override
  {
    this->handler = aHandler;
  }
  void ReadState() override { this->stateTimer.StartOnce(Duration(0)); }
  void Send(const EngineOrder& aOrder, Revision aFencing) override
  {
    Json::Value order;
    order["action"] =
      aOrder.action == EngineOrder::Action::Load ? "load" : "unload";
    order["model"] = aOrder.model;
    order["version"] = aOrder.version;
    order["adapter"] = aOrder.adapter;
    order["fencing"] = Json::UInt64(aFencing);
    this->sent.push_back(order);
    if (!this->isHeldUp) {
      this->orderTimer.StartOnce(Duration(0));
    }
  }
  /// What was held up arrives, whoever holds the slot by now.
  void Deliver()
  {
    const Json::Value order = this->sent.front();
    this->sent.pop_front();
    const int code = this->engine.orders.Obey(order, Now()).code;
    this->handler->OnOrderDone(code == 200   ? OrderOutcome::Obeyed
                               : code == 409 ? OrderOutcome::Fenced
                                             : OrderOutcome::Refused);
  }

  bool isHeldUp = false;
  std::deque<Json::Value> sent;

private:
  void GiveState()
  {
    const Json::Value state = this->engine.orders.State(Now());
    this->handler->OnEngineState(ParseEngineState(state.toStyledString()));
  }
  WiredEngine& engine;
  EngineOrdersHandler* handler = nullptr;
  Timer stateTimer;
  Timer orderTimer;
};

OrderOptions
Options()
{
  OrderOptions options;
  options.lease.ttl = seconds(1);
  options.lease.margin = milliseconds(200);
  options.period = milliseconds(20);
  options.longestOrder = milliseconds(300);
  options.spread = Duration(0);
  options.loadsPerMinute = 6000;
  return options;
}

/// A sidecar in the slot, with a loop of its own: a loop that isn't run is a
/// process that is paused.
struct Holder
{
  Holder(const SocketAddress& aStore,
         WiredEngine& aEngine,
         Incarnation aIncarnation,
         const OrderOptions& aOptions)
    : wire(*loop, aEngine)
    , store(OpenStore(*loop, aStore))
    , keeper(*loop, *store, InstanceName("s1"), aIncarnation, aOptions, wire)
  {
    this->keeper.Start();
  }
  static std::unique_ptr<HttpStoreClient> OpenStore(EventLoop& aLoop,
                                                    const SocketAddress& aStore)
  {
    HttpStoreOptions options;
    options.endpoints = { aStore };
    options.callsPerSecond = 1000;
    return *HttpStoreClient::Create(aLoop, options);
  }
  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  Wire wire;
  std::unique_ptr<HttpStoreClient> store;
  OrderKeeper keeper;
};

struct Slot
{
  explicit Slot(bool aChecksFencing)
    : engine(aChecksFencing)
    , checks(aChecksFencing)
  {
  }
  Holder NewHolder(Incarnation aIncarnation)
  {
    return {
      this->platform->Address(), this->engine, aIncarnation, this->options
    };
  }
  void Want(Holder& aHolder, const char* aVersion) const
  {
    aHolder.keeper.SetWanted({ Placement("m", aVersion) }, this->checks);
  }
  /// Runs the store and the holders named; others are paused.
  template<class Done, class... Holders>
  bool Run(Duration aLimit, Done aDone, Holders&... aHolders)
  {
    const TimePoint end = Now() + aLimit;
    while (!aDone()) {
      if (Now() > end) {
        return false;
      }
      for (EventLoop* each : { loop.get(), aHolders.loop.get()... }) {
        each->RunUntil([] { return false; }, milliseconds(1));
      }
    }
    return true;
  }

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  std::unique_ptr<standins::Platform> platform =
    *standins::Platform::Create(*loop, { "127.0.0.1", 0 }, {});
  WiredEngine engine;
  bool checks;
  OrderOptions options = Options();
};

constexpr auto kNever = [] { return false; };

bool
IsRising(const std::vector<std::uint64_t>& aNumbers)
{
  return std::is_sorted(aNumbers.begin(), aNumbers.end());
}

} // namespace

TEST_CASE("orders are what is missing, and unloads only when all is there")
{
  const std::vector<ModelPlacement> wanted{ Placement("m", "2", { "a" }) };
  EngineState state{ .models = { { "old", "1", "", false } }, .adapters = {} };
  REQUIRE(PlanOrders(wanted, state).size() == 1);
  CHECK(PlanOrders(wanted, state)[0].model == "m");

  state.models.push_back({ "m", "2", "", true });
  CHECK(PlanOrders(wanted, state).empty());
  state.models.back().isLoading = false;
  REQUIRE(PlanOrders(wanted, state).size() == 1);
  CHECK(PlanOrders(wanted, state)[0].adapter == "a");
  CHECK_FALSE(IsSettled(wanted, state));

  state.adapters.push_back({ "a", "", "m", false });
  CHECK(IsSettled(wanted, state));
  REQUIRE(PlanOrders(wanted, state).size() == 1);
  CHECK(PlanOrders(wanted, state)[0].action == EngineOrder::Action::Unload);
  CHECK(PlanOrders({}, state).empty());
}

TEST_CASE(
  "whatever an engine holds, orders obeyed in turn end at what is wanted")
{
  rc::prop("orders converge", [] {
    const auto name = rc::gen::element<std::string>("a", "b", "c");
    const auto version = rc::gen::element<std::string>("", "1", "2");
    std::vector<ModelPlacement> wanted;
    for (const std::string each : { "a", "b", "c" }) {
      if (!*rc::gen::arbitrary<bool>()) {
        continue;
      }
      wanted.push_back({ ModelName(each), *version, {} });
      if (*rc::gen::arbitrary<bool>()) {
        wanted.back().adapters = { each + "-x" };
      }
    }
    standins::EngineOrders engine({ *name, *name }, Duration(0), true);
    int orders = 0;
    const auto state = [&] {
      return *ParseEngineState(engine.State(Now()).toStyledString());
    };
    for (auto plan = PlanOrders(wanted, state()); !plan.empty();
         plan = PlanOrders(wanted, state())) {
      RC_ASSERT(++orders < 30);
      Json::Value order;
      order["action"] =
        plan[0].action == EngineOrder::Action::Load ? "load" : "unload";
      order["model"] = plan[0].model;
      order["version"] = plan[0].version;
      order["adapter"] = plan[0].adapter;
      RC_ASSERT(engine.Obey(order, Now()).code == 200);
    }
    RC_ASSERT(IsSettled(wanted, state()));
  });
}

TEST_CASE("a wanted model is ordered once, under the lease, and seen as done")
{
  for (const bool checks : { true, false }) {
    Slot slot(checks);
    Holder holder = slot.NewHolder(1);
    slot.Want(holder, "1");
    const TimePoint start = Now();
    REQUIRE(slot.Run(
      seconds(5), [&] { return holder.keeper.IsDone(); }, holder));
    // An engine that ignores fencing numbers: the former lease is waited out.
    CHECK((Now() - start > milliseconds(1300)) == !checks);
    slot.Run(milliseconds(100), kNever, holder);
    CHECK(slot.engine.Obeyed().size() == 1);
    CHECK(holder.keeper.Describe()["items"][0]["state"] == "done");
  }
}

// A sidecar is stopped by the machine (SIGSTOP) while it holds the slot and
// wants version 1. Its lease lapses, another takes the slot and loads version
// 2. The first wakes, and its timers all fire at once, before any word from the
// store. It must not order version 1 again: the callers would be served by a
// version that the operators have replaced.
TEST_CASE("a holder that was paused past its lease orders nothing on waking")
{
  for (const bool checks : { true, false }) {
    Slot slot(checks);
    Holder first = slot.NewHolder(1);
    slot.Want(first, "1");
    REQUIRE(slot.Run(
      seconds(5), [&] { return first.keeper.IsDone(); }, first));
    REQUIRE(first.keeper.HoldsSlot());

    Holder second = slot.NewHolder(2);
    slot.Want(second, "2");
    REQUIRE(slot.Run(
      seconds(10), [&] { return second.keeper.IsDone(); }, second));
    CHECK(slot.engine.VersionOf("m") == "2");
    const std::uint64_t before = first.keeper.Counters().sent;
    // The first alone runs: not even the store answers it yet.
    first.loop->RunUntil(kNever, milliseconds(150));
    CHECK(first.keeper.Counters().sent == before);
    CHECK(slot.engine.VersionOf("m") == "2");
    slot.Run(milliseconds(500), kNever, first, second);
    CHECK(slot.engine.VersionOf("m") == "2");
    CHECK(IsRising(slot.engine.Obeyed()));
  }
}

// The first holder's order is on its way when the holder is paused, and comes
// to the engine late. An engine that checks refuses it. For one that doesn't,
// the next holder has waited until nothing of the first can be under way.
TEST_CASE("an order under way when its holder loses the slot does no harm")
{
  for (const bool checks : { true, false }) {
    Slot slot(checks);
    slot.options.longestOrder = milliseconds(1500);
    Holder first = slot.NewHolder(1);
    first.wire.isHeldUp = true;
    slot.Want(first, "1");
    REQUIRE(slot.Run(
      seconds(5), [&] { return !first.wire.sent.empty(); }, first));
    const TimePoint sentAt = Now();

    Holder second = slot.NewHolder(2);
    slot.Want(second, "2");
    bool hasArrived = false;
    const auto arrive = [&] {
      // As late as an order can be: sent when the lease has its margin left,
      // and then under way for the longest time. An engine that checks stands
      // even later ones.
      const Duration latest = checks ? seconds(4) : milliseconds(2300);
      if (!hasArrived && Now() - sentAt > latest) {
        hasArrived = true;
        first.wire.Deliver();
      }
      return hasArrived && second.keeper.IsDone();
    };
    REQUIRE(slot.Run(seconds(10), arrive, second));
    CHECK(slot.engine.VersionOf("m") == "2");
    CHECK(IsRising(slot.engine.Obeyed()));
  }
}

// The creation of the slot's key takes effect and its reply is lost. The holder
// must find out that it holds the slot, instead of waiting for itself.
TEST_CASE("a lost reply to the slot's creation is settled by reading")
{
  const auto loop = *EventLoop::Create();
  test::FakeStore store(*loop);
  struct Observer : SlotLeaseObserver
  {
    void OnSlotAcquired() override { ++this->acquired; }
    void OnSlotLost() override { ++this->lost; }
    int acquired = 0;
    int lost = 0;
  } observer;
  SlotLease lease(*loop, store, "slot", "me", Options().lease, observer);
  lease.Acquire();
  REQUIRE(
    loop->RunUntil([&] { return store.GrantedLeases() == 1; }, seconds(1)));
  store.mode = test::FakeStore::Mode::LosesReplies;
  loop->RunUntil([&] { return store.ValueOf("slot") == "me"; }, seconds(1));
  store.mode = test::FakeStore::Mode::Up;
  REQUIRE(loop->RunUntil([&] { return observer.acquired == 1; }, seconds(2)));
  CHECK(lease.MayOrder(Now()));
  CHECK(lease.Fencing() > 0);

  SECTION("the lease lapses in the store: it is lost, then gained anew, higher")
  {
    const Revision before = lease.Fencing();
    store.ExpireLease(1);
    REQUIRE(loop->RunUntil([&] { return observer.acquired == 2; }, seconds(5)));
    CHECK(observer.lost == 1);
    CHECK(lease.Fencing() > before);
  }
  SECTION("the store goes silent: the own clock ends it, without any word")
  {
    store.mode = test::FakeStore::Mode::Down;
    CHECK(loop->RunUntil([&] { return !lease.MayOrder(Now()); }, seconds(2)));
  }
}

TEST_CASE("loads are spread: an engine that serves waits, an empty one doesn't")
{
  const auto loop = *EventLoop::Create();
  test::FakeStore store(*loop);
  int soon = 0;
  std::vector<std::unique_ptr<WiredEngine>> engines;
  std::vector<std::unique_ptr<Wire>> wires;
  std::vector<std::unique_ptr<OrderKeeper>> keepers;
  for (int i = 0; i < 40; ++i) {
    engines.push_back(std::make_unique<WiredEngine>(true));
    Json::Value held;
    held["action"] = "load";
    held["model"] = "m";
    held["version"] = "1";
    engines.back()->orders.Obey(held, Now());
    wires.push_back(std::make_unique<Wire>(*loop, *engines.back()));
    OrderOptions options = Options();
    options.spread = seconds(2);
    keepers.push_back(
      std::make_unique<OrderKeeper>(*loop,
                                    store,
                                    InstanceName(fmt::format("s{}", i)),
                                    1,
                                    options,
                                    *wires.back()));
    keepers.back()->SetWanted({ Placement("m", "2") }, true);
    keepers.back()->Start();
  }
  loop->RunUntil(kNever, milliseconds(500));
  for (const auto& engine : engines) {
    soon += engine->VersionOf("m") == "2" ? 1 : 0;
  }
  CHECK(soon > 0);
  CHECK(soon < 25);
}
