#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <list>

#include "dogwoodvale/Store"
#include "support/FakeStore.h"

using namespace dogwoodvale;
using test::FakeStore;

namespace {

std::vector<ConfigurationSource>
Sources(int aValue, int aCustomers = 3)
{
  std::string text = R"({"services":[{"name":"read","kind":"model",
    "models":[{"model":"m"}],"classes":[{"name":"fast","tier":0,"idempotent":true}]}],
    "customers":[)";
  for (int i = 0; i < aCustomers; ++i) {
    text += fmt::format(
      R"({}{{"name":"c{}","key_hashes":["{}"],"weight":{},
      "grants":[{{"service":"read","classes":["fast"]}}]}})",
      i == 0 ? "" : ",",
      i,
      Sha256Hex(fmt::format("key{}", i)),
      i == 0 ? aValue : 1);
  }
  return { { "a.json", text + "]}" } };
}

struct Change
{
  std::string root;
  std::vector<Page> pages;
};

Change
MakeChange(Epoch aEpoch, const std::vector<ConfigurationSource>& aSources)
{
  Change change;
  change.pages = MakePages(aSources);
  ConfigurationRoot root;
  root.epoch = aEpoch;
  root.changeId = fmt::format("change-{}", aEpoch);
  for (const Page& page : change.pages) {
    root.pageHashes.push_back(page.hash);
  }
  change.root = EncodeRoot(root);
  return change;
}

Change
MakeChange(Epoch aEpoch)
{
  return MakeChange(aEpoch, Sources(static_cast<int>(aEpoch)));
}

void
WriteChange(FakeStore& aStore, const Change& aChange)
{
  for (const Page& page : aChange.pages) {
    aStore.Write(PageKey(page.hash), page.content);
  }
  aStore.Write(std::string(kRootKey), aChange.root);
}

/// Takes a change at once, as if from one peer.
absl::StatusOr<bool>
Take(ConfigurationState& aState, const Change& aChange)
{
  if (const absl::Status status = aState.Propose(aChange.root); !status.ok()) {
    return status;
  }
  aState.AddPages(aChange.pages);
  return aState.TryAccept();
}

double
WeightOf(const AcceptedConfiguration& aAccepted)
{
  return aAccepted.configuration.FindCustomer(CustomerName("c0"))->weight;
}

} // namespace

TEST_CASE("only a higher epoch that is whole and valid comes into force")
{
  ConfigurationState state;
  REQUIRE(*Take(state, MakeChange(5)));
  CHECK(WeightOf(*state.Current()) == 5);
  const std::string hash(state.CurrentHash());

  CHECK(absl::IsFailedPrecondition(Take(state, MakeChange(4)).status()));
  CHECK(absl::IsFailedPrecondition(
    Take(state, MakeChange(5, Sources(9))).status()));
  CHECK(state.Classify(5, "other") == EpochRelation::Conflict);

  Change partial = MakeChange(6, Sources(6, 200));
  REQUIRE(partial.pages.size() > 1);
  const std::vector<Page> all = std::exchange(partial.pages, {});
  CHECK_FALSE(*Take(state, partial));
  // Cut or crossed on its way; the good one that comes later must do.
  const Page forged{ state.MissingPages().front(), "{}" };
  CHECK(state.AddPages(std::span(&forged, 1)) == 0);
  CHECK(state.CurrentHash() == hash);
  // The page of the services is held already.
  CHECK(state.AddPages(all) == all.size() - 1);
  CHECK(*state.TryAccept());
  CHECK(state.CurrentEpoch() == 6);
}

// A change that this version can't read comes by the store and by all peers.
// What is in force stays, the change is reported, and it isn't asked for again
// and again.
TEST_CASE("a configuration with findings is refused for good")
{
  ConfigurationState state;
  REQUIRE(*Take(state, MakeChange(5)));
  const Change bad = MakeChange(6, { { "a.json", R"({"services":7})" } });
  CHECK(absl::IsInvalidArgument(Take(state, bad).status()));
  CHECK(state.CurrentEpoch() == 5);
  CHECK(state.Classify(6, Sha256Hex(bad.root)) == EpochRelation::Refused);
  CHECK(*Take(state, MakeChange(7)));
}

TEST_CASE("a peer is sent only the pages that it lacks")
{
  ConfigurationState ahead;
  ConfigurationState behind;
  const Change first = MakeChange(1, Sources(1, 300));
  const Change second = MakeChange(2, Sources(2, 300));
  REQUIRE(first.pages.size() > 4);
  REQUIRE(*Take(ahead, first));
  REQUIRE(*Take(ahead, second));
  constexpr std::size_t kMuch = 1U << 20U;

  SECTION("it holds a root that is known: the difference goes out")
  {
    REQUIRE(*Take(behind, first));
    const auto bundle = ahead.Answer(behind.MakeRequest(false), kMuch);
    CHECK(bundle.pages.size() == 1);
    CHECK(*Take(behind, { bundle.root, bundle.pages }));
  }
  SECTION("it holds one that isn't known: the root alone goes out first")
  {
    REQUIRE(*Take(behind, MakeChange(1, Sources(9, 300))));
    const auto bundle = ahead.Answer(behind.MakeRequest(false), kMuch);
    CHECK(bundle.pages.empty());
    REQUIRE(behind.Propose(bundle.root).ok());
    const auto rest = ahead.Answer(behind.MakeRequest(true), kMuch);
    CHECK(rest.pages.size() == 1);
  }
  SECTION("it holds nothing: parts of bounded size until it has all")
  {
    int parts = 0;
    while (behind.CurrentEpoch() == 0) {
      REQUIRE(++parts < 100);
      const auto part = ahead.Answer(behind.MakeRequest(true), 20000);
      REQUIRE(behind.Propose(part.root).ok());
      REQUIRE(behind.AddPages(part.pages) > 0);
      REQUIRE(behind.TryAccept().ok());
    }
    CHECK(parts > 1);
    CHECK(behind.CurrentHash() == ahead.CurrentHash());
  }
}

namespace {

/// A keeper and the highest epoch that it ever had in force.
struct Process : ConfigurationObserver
{
  Process(EventLoop& aLoop,
          const ConfigurationOptions& aOptions,
          StoreClient* aStore,
          PeerFetch& aPeers)
    : keeper(aLoop, aOptions, aStore, aPeers, *this)
  {
    this->keeper.Start();
  }
  void OnConfiguration(const AcceptedConfiguration& aAccepted) override
  {
    this->wentBack |= aAccepted.epoch <= this->highest;
    this->highest = aAccepted.epoch;
  }
  Epoch highest = 0;
  bool wentBack = false;
  ConfigurationManager keeper;
};

/// Processes in one loop, on a network that delays, drops, repeats and
/// reorders what they send.
class Cluster
{
public:
  Cluster(EventLoop& aLoop, FakeStore* aStore, std::size_t aSize)
    : loop(aLoop)
    , store(aStore)
    , fetchers(aSize)
    , processes(aSize)
    , gossip(aLoop, [this] { this->Gossip(); })
  {
    for (std::size_t i = 0; i < aSize; ++i) {
      this->fetchers[i].cluster = this;
      this->fetchers[i].self = i;
      this->Restart(i);
    }
    this->gossip.StartRepeating(milliseconds(1));
  }

  static InstanceName NameOf(std::size_t aIndex)
  {
    return InstanceName(fmt::format("p{}", aIndex));
  }
  Process& At(std::size_t aIndex) { return *this->processes[aIndex]; }
  std::size_t Size() const { return this->processes.size(); }

  void Restart(std::size_t aIndex)
  {
    ConfigurationOptions options;
    options.instance = NameOf(aIndex);
    options.dataCentre = DataCentreName("dc1");
    options.confirmPeriod = milliseconds(10);
    options.fetchTimeout = milliseconds(8);
    options.retryInterval = milliseconds(4);
    options.bootstrapDelay = milliseconds(2);
    options.tickPeriod = milliseconds(4);
    options.watchers.staleAfter = milliseconds(40);
    this->processes[aIndex].reset();
    this->processes[aIndex] = std::make_unique<Process>(
      this->loop, options, this->store, this->fetchers[aIndex]);
    this->processes[aIndex]->keeper.OnList(this->list);
  }
  void SetList(std::size_t aNamed)
  {
    this->list.clear();
    for (std::size_t i = 0; i < aNamed; ++i) {
      ListedInstance listed;
      listed.name = NameOf(i);
      listed.dataCentre = DataCentreName("dc1");
      this->list.push_back(listed);
    }
    for (auto& process : this->processes) {
      process->keeper.OnList(this->list);
    }
  }

  bool AllAt(Epoch aEpoch) const
  {
    return std::all_of(
      this->processes.begin(), this->processes.end(), [&](const auto& aOne) {
        return aOne->keeper.CurrentEpoch() == aEpoch;
      });
  }
  template<class Predicate>
  bool Any(Predicate aPredicate) const
  {
    return std::any_of(
      this->processes.begin(), this->processes.end(), [&](const auto& aOne) {
        return aPredicate(aOne->keeper);
      });
  }
  bool NoneWentBack() const
  {
    return std::none_of(this->processes.begin(),
                        this->processes.end(),
                        [](const auto& aOne) { return aOne->wentBack; });
  }

  double loss = 0;
  double repeats = 0;
  std::mt19937_64 random{ 1 };

private:
  struct Fetcher : PeerFetch
  {
    bool Fetch(const InstanceName& aPeer,
               const ConfigurationRequest& aRequest) override
    {
      const std::size_t peer = std::stoul(aPeer.Value().substr(1));
      const std::size_t asker = this->self;
      Cluster* all = this->cluster;
      all->Send([all, asker, peer, aPeer, aRequest] {
        const auto bundle = all->At(peer).keeper.Answer(aRequest);
        all->Send([all, asker, aPeer, bundle] {
          all->At(asker).keeper.OnFetched(aPeer, bundle);
        });
      });
      return true;
    }
    Cluster* cluster = nullptr;
    std::size_t self = 0;
  };

  bool Draw(double aChance)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < aChance;
  }

  void Send(const std::function<void()>& aDeliver)
  {
    const int copies = Draw(this->loss) ? 0 : (Draw(this->repeats) ? 2 : 1);
    for (int i = 0; i < copies; ++i) {
      this->InFlight();
      auto& slot = this->messages.emplace_back();
      slot.isDone = std::make_unique<bool>(false);
      bool* done = slot.isDone.get();
      slot.timer = std::make_unique<Timer>(this->loop, [aDeliver, done] {
        *done = true;
        aDeliver();
      });
      slot.timer->StartOnce(Duration(this->random() % 3000));
    }
  }
  void InFlight()
  {
    this->messages.remove_if([](const auto& aOne) { return *aOne.isDone; });
  }

  /// Each process tells one other its epoch, as notices do.
  void Gossip()
  {
    for (std::size_t i = 0; i < this->processes.size(); ++i) {
      const std::size_t to = this->random() % this->processes.size();
      const Epoch epoch = this->At(i).keeper.CurrentEpoch();
      const std::string hash = this->At(i).keeper.CurrentHash();
      const Duration age = this->At(i).keeper.StoreContactAge();
      this->Send([this, i, to, epoch, hash, age] {
        this->At(to).keeper.OnPeerEpoch(NameOf(i), epoch, hash, age);
      });
    }
  }

  struct InFlightMessage
  {
    std::unique_ptr<bool> isDone;
    std::unique_ptr<Timer> timer;
  };

  EventLoop& loop;
  FakeStore* store;
  std::vector<Fetcher> fetchers;
  std::vector<ListedInstance> list;
  std::vector<std::unique_ptr<Process>> processes;
  std::list<InFlightMessage> messages;
  Timer gossip;
};

struct Site
{
  explicit Site(std::size_t aSize)
    : cluster(*loop, &store, aSize)
  {
  }
  bool Until(const std::function<bool()>& aDone)
  {
    return this->loop->RunUntil(aDone, seconds(5));
  }
  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  FakeStore store{ *loop };
  Cluster cluster;
};

} // namespace

// An operator's change is accepted by the store. Two processes watch it; the
// others hear of the epoch from whom they talk to anyway, and fetch.
TEST_CASE("a change is in force everywhere though only two watch the store")
{
  Site site(30);
  site.cluster.SetList(30);
  WriteChange(site.store, MakeChange(1));
  REQUIRE(site.Until([&] { return site.cluster.AllAt(1); }));
  const std::uint64_t before = site.store.CallsSent();
  WriteChange(site.store, MakeChange(2));
  REQUIRE(site.Until([&] { return site.cluster.AllAt(2); }));
  CHECK(site.store.Watchers() == 2);
  // The two watchers' reads of pages, and their confirming reads meanwhile.
  CHECK(site.store.CallsSent() - before < 20);
  CHECK(WeightOf(*site.cluster.At(7).keeper.Current()) == 2);
}

// The store goes down right after it accepted a change, a new instance starts
// while it is down. It gets the configuration from peers and can serve.
TEST_CASE("a process that starts while the store is down gets it from peers")
{
  Site site(8);
  site.cluster.SetList(8);
  WriteChange(site.store, MakeChange(3));
  REQUIRE(site.Until([&] { return site.cluster.AllAt(3); }));
  site.store.mode = FakeStore::Mode::Down;
  site.cluster.Restart(5);
  CHECK(site.cluster.At(5).keeper.CurrentEpoch() == 0);
  REQUIRE(site.Until([&] { return site.cluster.AllAt(3); }));
}

// The store is restored from an old backup: epoch 4 again. Nothing reverts,
// not even in a process that restarts and reads the old root before it hears
// of peers; operators see it in the status.
TEST_CASE("a store that comes back with older data is not followed")
{
  Site site(8);
  site.cluster.SetList(8);
  WriteChange(site.store, MakeChange(4));
  const auto backup = site.store.Backup();
  WriteChange(site.store, MakeChange(5));
  REQUIRE(site.Until([&] { return site.cluster.AllAt(5); }));
  site.store.Restore(backup);
  const auto seen = [&] {
    return site.cluster.Any([](const ConfigurationManager& aKeeper) {
      return aKeeper.Store().state == StoreView::State::Older;
    });
  };
  REQUIRE(site.Until(seen));
  site.cluster.Restart(2);
  REQUIRE(site.Until([&] { return site.cluster.AllAt(5); }));
  CHECK(site.cluster.NoneWentBack());
}

// The two processes that the late list ranks first are dead. Others notice
// that nobody reaches the store any more, and step in.
TEST_CASE("a change is seen though the elected watchers are gone")
{
  Site site(10);
  site.cluster.SetList(10);
  WriteChange(site.store, MakeChange(1));
  REQUIRE(site.Until([&] { return site.cluster.AllAt(1); }));
  // A list of strangers alone: nobody here ranks.
  std::vector<ListedInstance> strangers;
  for (int i = 0; i < 400; ++i) {
    ListedInstance listed;
    listed.name = InstanceName(fmt::format("dead{}", i));
    listed.dataCentre = DataCentreName("dc1");
    strangers.push_back(listed);
  }
  for (std::size_t i = 0; i < 10; ++i) {
    site.cluster.At(i).keeper.OnList(strangers);
  }
  WriteChange(site.store, MakeChange(2));
  REQUIRE(site.Until([&] { return site.cluster.AllAt(2); }));
}

// A sidecar opens no streams: it can fetch only over what the entry opens for
// it a moment later. Counted as a failed try, that moment cost every change a
// second.
TEST_CASE("a peer that can't be asked yet is asked as soon as it speaks again")
{
  const auto loop = *EventLoop::Create();
  struct Peers : PeerFetch
  {
    bool Fetch(const InstanceName&, const ConfigurationRequest&) override
    {
      ++this->tries;
      return this->isOpen;
    }
    bool isOpen = false;
    int tries = 0;
  } peers;
  ConfigurationOptions options;
  options.retryInterval = seconds(10);
  Process process(*loop, options, nullptr, peers);
  const InstanceName peer("e1");
  process.keeper.OnPeerEpoch(peer, 3, "hash", std::nullopt);
  CHECK(peers.tries == 1);
  peers.isOpen = true;
  process.keeper.OnPeerEpoch(peer, 3, "hash", std::nullopt);
  CHECK(peers.tries == 2);
  process.keeper.OnPeerEpoch(peer, 3, "hash", std::nullopt);
  CHECK(peers.tries == 2);
}

// Over a narrow link each peer is given up shortly before its answer is whole,
// and a configuration never comes into force.
TEST_CASE("an answer that comes after its peer was given up counts")
{
  const auto loop = *EventLoop::Create();
  struct Peers : PeerFetch
  {
    bool Fetch(const InstanceName& aPeer, const ConfigurationRequest&) override
    {
      this->asked.push_back(aPeer);
      return true;
    }
    std::vector<InstanceName> asked;
  } peers;
  ConfigurationOptions options;
  options.fetchTimeout = milliseconds(20);
  options.retryInterval = seconds(10);
  Process process(*loop, options, nullptr, peers);
  const Change change = MakeChange(3);
  const std::string hash = Sha256Hex(change.root);
  process.keeper.OnPeerEpoch(InstanceName("e1"), 3, hash, std::nullopt);
  process.keeper.OnPeerEpoch(InstanceName("e2"), 3, hash, std::nullopt);
  REQUIRE(loop->RunUntil([&] { return peers.asked.size() == 2; }, seconds(2)));
  ConfigurationBundle bundle;
  bundle.root = change.root;
  bundle.pages = change.pages;
  process.keeper.OnFetched(peers.asked.front(), bundle);
  CHECK(process.highest == 3);
}

TEST_CASE("a bad change is reported, and the next good one taken")
{
  Site site(4);
  site.cluster.SetList(4);
  WriteChange(site.store, MakeChange(1));
  REQUIRE(site.Until([&] { return site.cluster.AllAt(1); }));
  WriteChange(site.store, MakeChange(2, { { "a.json", R"({"services":7})" } }));
  REQUIRE(site.Until([&] {
    return site.cluster.Any([](const ConfigurationManager& aKeeper) {
      return !aKeeper.Refusal().empty();
    });
  }));
  CHECK(site.cluster.AllAt(1));
  WriteChange(site.store, MakeChange(3));
  REQUIRE(site.Until([&] { return site.cluster.AllAt(3); }));
}

// Whatever the network and the store do while changes go on, and whoever is
// restarted: once messages get through again, all are at the highest accepted
// epoch, and no process ever went back.
TEST_CASE("any loss, order, repeat and restart ends at the highest epoch")
{
  rc::prop("highest epoch everywhere, never back", [] {
    const auto size = *rc::gen::inRange<std::size_t>(2, 9);
    const auto steps = *rc::gen::container<std::vector<int>>(
      *rc::gen::inRange<std::size_t>(1, 12), rc::gen::inRange(0, 7));
    Site site(size);
    site.cluster.random.seed(*rc::gen::arbitrary<std::uint64_t>());
    site.cluster.loss = *rc::gen::inRange(0, 8) / 10.0;
    site.cluster.repeats = *rc::gen::inRange(0, 8) / 10.0;
    site.cluster.SetList(*rc::gen::inRange<std::size_t>(0, size + 1));
    Epoch highest = 1;
    WriteChange(site.store, MakeChange(highest));
    auto backup = site.store.Backup();
    for (const int step : steps) {
      switch (step) {
        case 0:
        case 1: {
          // As the tool does: above all that the fleet holds.
          Epoch held = 0;
          for (std::size_t i = 0; i < size; ++i) {
            held = std::max(held, site.cluster.At(i).keeper.CurrentEpoch());
          }
          site.store.mode = FakeStore::Mode::Up;
          highest = std::max(highest, held) + 1;
          WriteChange(site.store, MakeChange(highest));
          break;
        }
        case 2:
          site.store.mode = FakeStore::Mode::Down;
          break;
        case 3:
          site.store.mode = FakeStore::Mode::Up;
          break;
        case 4:
          backup = site.store.Backup();
          break;
        case 5:
          // Older data, unless the lost change may be nowhere else.
          if (site.cluster.AllAt(highest)) {
            site.store.Restore(backup);
          }
          break;
        default:
          // One of them, so that the others still hold what was accepted.
          if (site.cluster.AllAt(highest)) {
            site.cluster.Restart(site.cluster.random() % size);
          }
          break;
      }
      site.loop->RunUntil([] { return false; }, milliseconds(5));
      RC_ASSERT(site.cluster.NoneWentBack());
    }
    site.store.mode = FakeStore::Mode::Up;
    site.cluster.loss = 0;
    RC_ASSERT(site.Until([&] { return site.cluster.AllAt(highest); }));
    RC_ASSERT(site.cluster.NoneWentBack());
  });
}
