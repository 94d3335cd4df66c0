#include <catch2/catch.hpp>

#include <map>
#include <queue>
#include <set>

#include "bench/EngineModel.h"
#include "dogwoodvale/Gateway"

using namespace dogwoodvale;
using model::EngineModel;

namespace {

constexpr std::uint32_t kEngines = 12;
constexpr std::uint32_t kSlots = 48;
constexpr Duration kShortTarget = milliseconds(250);
constexpr Duration kLongTarget = milliseconds(600);

/// One kind of request of the load.
struct Kind
{
  double perSecond = 0;
  std::uint32_t sharedTokens = 0;
  std::uint32_t ownTokens = 0;
  std::uint32_t answerTokens = 0;
  /// How many shared parts there are; each request has one of them.
  std::uint32_t subjects = 1;
  Duration target{ 0 };
};

/// What the callers of one kind got.
struct Tally
{
  int asked = 0;
  int onTime = 0;

  double Share() const { return static_cast<double>(onTime) / asked; }
};

/// Plays a load against modelled engines, placed as a gateway places it.
///
/// Engines keep every shared part that they have read. Time is simulated; one
/// gateway knows its own work at once.
class LoadPlay
{
public:
  LoadPlay(std::vector<Kind> aKinds, std::uint64_t aSeed)
    : kinds(std::move(aKinds))
    , random(aSeed)
  {
    EngineModel::Options options;
    options.slots = kSlots;
    options.base = Duration(6350);
    options.perSequence = Duration(45);
    options.perPrefillToken = Duration(23);
    std::vector<DirectInstance> instances;
    for (std::uint32_t i = 0; i < kEngines; ++i) {
      DirectInstance instance;
      instance.name = InstanceName(fmt::format("e{:02}", i));
      instance.service = this->service.name;
      instance.address = { "127.0.0.1", static_cast<std::uint16_t>(1000 + i) };
      instance.slots = kSlots;
      instances.push_back(instance);
      this->engines.push_back({ instance.name, EngineModel(options), {}, {} });
    }
    this->pool.SetInstances(instances);
  }

  /// Requests of this kind come so often from now on.
  void SetRate(std::size_t aKind, double aPerSecond)
  {
    this->kinds[aKind].perSecond = aPerSecond;
  }

  /// \return for each kind, what its callers got in this time.
  std::vector<Tally> Run(Duration aLength)
  {
    this->tallies.assign(this->kinds.size(), Tally{});
    this->countedSince = this->now;
    const TimePoint end = this->now + aLength;
    std::vector<TimePoint> next;
    for (const Kind& kind : this->kinds) {
      next.push_back(this->now + this->Pause(kind));
    }
    while (this->now < end) {
      const auto kind =
        static_cast<std::size_t>(std::ranges::min_element(next) - next.begin());
      this->StepEnginesUntil(next[kind]);
      this->now = next[kind];
      this->Arrive(kind);
      next[kind] += this->Pause(this->kinds[kind]);
    }
    return this->tallies;
  }

private:
  struct Running
  {
    std::size_t kind = 0;
    TimePoint arrived{};
    BackendWork work;
    std::uint64_t ahead = 0;
    std::uint64_t prefill = 0;
    bool hasFirst = false;
  };
  struct Engine
  {
    InstanceName name;
    EngineModel model;
    std::set<PrefixHash> held;
    /// When its step under way ends; none while it is idle.
    std::optional<TimePoint> stepEnds;
  };

  Duration Pause(const Kind& aKind)
  {
    std::exponential_distribution<double> draw(aKind.perSecond / 1e6);
    return Duration(static_cast<Duration::rep>(draw(this->random)));
  }

  void Arrive(std::size_t aKind)
  {
    const Kind& kind = this->kinds[aKind];
    std::uniform_int_distribution<std::uint32_t> subject(0, kind.subjects - 1);
    const std::vector<PromptPart> parts = {
      { aKind * 100'000 + subject(this->random), kind.sharedTokens }
    };
    PrefillFlow& flow = this->pool.FlowOf(this->service.name);
    DirectDemand demand;
    demand.promptTokens = kind.sharedTokens + kind.ownTokens;
    demand.steps = StepsOf(parts);
    flow.OnRequest(demand.promptTokens);
    demand.isLong = flow.IsLong(demand.promptTokens);
    demand.tokensPerTurn =
      flow.TokensPerTurn(kSlots).value_or(DirectDemand::kGuessedTokensPerTurn);
    ++this->tallies[aKind].asked;
    const auto candidates =
      this->pool.Candidates(this->service, demand, {}, this->now);
    const auto chosen = this->chooser->Choose(candidates, demand, this->random);
    REQUIRE(chosen.has_value());
    this->Send(aKind, demand, candidates[*chosen]);
  }

  void Send(std::size_t aKind,
            const DirectDemand& aDemand,
            const DirectCandidate& aTo)
  {
    Engine& engine = *std::ranges::find(this->engines, aTo.name, &Engine::name);
    const bool isHeld = !engine.held.insert(aDemand.steps[0].hash).second;
    Running running;
    running.kind = aKind;
    running.arrived = this->now;
    running.ahead = aTo.work.PrefillUpTo(aDemand.rank);
    running.work.requests = 1;
    running.work.PrefillAt(aDemand.rank) =
      aDemand.promptTokens - aTo.cachedTokens;
    running.prefill = running.work.Prefill();
    this->pool.OnSent(aTo.name, running.work, aDemand.steps, this->now);
    if (aDemand.isLong) {
      this->pool.OnLongPrompt(
        aTo.name,
        static_cast<std::uint32_t>(running.work.Prefill()),
        this->now);
    }
    const RequestId id{ 0, ++this->lastId };
    const Kind& kind = this->kinds[aKind];
    engine.model.Start(id,
                       kind.ownTokens + (isHeld ? 0 : kind.sharedTokens),
                       kind.answerTokens,
                       this->now,
                       aDemand.isLong ? 1 : 0);
    this->requests[this->lastId] = running;
    if (!engine.stepEnds) {
      engine.stepEnds = engine.model.Step(this->now);
    }
  }

  void StepEnginesUntil(TimePoint aTime)
  {
    while (true) {
      Engine* first = nullptr;
      for (Engine& engine : this->engines) {
        if (engine.stepEnds &&
            (first == nullptr || *engine.stepEnds < *first->stepEnds)) {
          first = &engine;
        }
      }
      if (first == nullptr || *first->stepEnds > aTime) {
        return;
      }
      this->now = *first->stepEnds;
      this->EndStep(*first);
    }
  }

  void EndStep(Engine& aEngine)
  {
    for (const EngineModel::Sequence& sequence : aEngine.model.Batch()) {
      if (sequence.advanced) {
        this->OnToken(aEngine, sequence);
      }
    }
    const TimePoint next = aEngine.model.Step(this->now);
    aEngine.stepEnds = aEngine.model.IsIdle() ? std::optional<TimePoint>()
                                              : std::optional<TimePoint>(next);
  }

  void OnToken(const Engine& aEngine, const EngineModel::Sequence& aSequence)
  {
    const std::uint64_t id = aSequence.id.sequence;
    Running& running = this->requests.at(id);
    PrefillFlow& flow = this->pool.FlowOf(this->service.name);
    if (!running.hasFirst) {
      running.hasFirst = true;
      const Duration latency = Between(running.arrived, this->now);
      Tally& tally = this->tallies[running.kind];
      const bool isCounted = running.arrived >= this->countedSince;
      const bool isOnTime = latency <= this->kinds[running.kind].target;
      tally.onTime += isCounted && isOnTime ? 1 : 0;
      flow.OnFirstToken(aEngine.name, running.ahead + running.prefill, latency);
      const BackendWork read{ 0, { running.prefill }, 0 };
      this->pool.OnDone(aEngine.name, read);
      running.work -= read;
    }
    if (aSequence.tokensLeft == 0) {
      flow.OnStay(Between(running.arrived, this->now));
      this->pool.OnDone(aEngine.name, running.work);
      this->requests.erase(id);
    }
  }

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  BackendPool pool{ *this->loop, BackendPool::Options{} };
  DirectService service{ .name = ServiceName("model"),
                         .maxConnections = 10'000,
                         .slots = kSlots };
  std::unique_ptr<DirectChooser> chooser =
    DirectChooser::Create("expected_delay");
  std::vector<Kind> kinds;
  std::vector<Tally> tallies;
  std::mt19937_64 random;
  std::vector<Engine> engines;
  std::map<std::uint64_t, Running> requests;
  std::uint64_t lastId = 0;
  TimePoint countedSince{};
  TimePoint now = TimePoint() + std::chrono::hours(1);
};

} // namespace

// Tellers' notes come nearly three times as often as a moment ago, beside
// scans. The notes keep to the few engines that read no scans and queue there
// for a slot, each turn some 50 ms, while engines that read scans have slots
// free: a third to a half of the notes begin late though the fleet is not full.
TEST_CASE("a burst of short requests does not queue beside free slots",
          "[placement]")
{
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  LoadPlay play({ Kind{ 18, 6300, 2890, 51, 300, kLongTarget },
                  Kind{ 40, 200, 630, 291, 300, kShortTarget } },
                seed);
  play.Run(seconds(15));
  play.SetRate(1, 110);
  const std::vector<Tally> got = play.Run(seconds(6));
  INFO("seed " << seed << ", on time: short " << got[1].Share() << ", long "
               << got[0].Share());
  CHECK(got[1].Share() > 0.7);
}
