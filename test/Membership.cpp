#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>

#include "dogwoodvale/Membership"

using namespace dogwoodvale;

namespace {

const ServiceName kService("cheques");
const InstanceName kName("s1");
constexpr double kMiddle = 0.5;

ListedInstance
Listed(const char* aName, ListedState aState = ListedState::Live)
{
  ListedInstance listed;
  listed.name = InstanceName(aName);
  listed.service = kService;
  listed.dataCentre = DataCentreName("dc1");
  listed.address = { "127.0.0.1", 7 };
  listed.state = aState;
  return listed;
}

struct Setup
{
  BackendDirectory directory{ DirectoryBounds{} };
  TimePoint now{ seconds(1000) };

  void List(std::vector<ListedInstance> aList)
  {
    this->directory.OnList(aList, this->now);
  }
  bool IsUsable() const { return !this->directory.Usable(kService).empty(); }
  bool IsCandidate() const
  {
    return !this->directory.Candidates(kService, this->now).empty();
  }
};

} // namespace

// A sidecar is replaced under the same name: it sends a go-away and stops,
// while the list still shows it as live for 30 s. It must get no new work until
// the new process sends a hello, and must get work again from then on.
TEST_CASE("a go-away holds until a hello with a new incarnation")
{
  Setup setup;
  setup.List({ Listed("s1") });
  setup.directory.OnConnected(kName, 11);
  REQUIRE(setup.IsUsable());

  setup.directory.OnGoAway(kName, 11);
  CHECK_FALSE(setup.IsUsable());
  setup.List({ Listed("s1") });
  CHECK_FALSE(setup.IsUsable());
  CHECK_FALSE(setup.IsCandidate());

  setup.directory.OnRefused(kName, setup.now, kMiddle);
  setup.now += seconds(1);
  CHECK(setup.directory.DueForProbe(kService, setup.now).size() == 1);
  setup.directory.OnConnected(kName, 11);
  CHECK_FALSE(setup.IsUsable());
  setup.directory.OnConnected(kName, 12);
  CHECK(setup.IsUsable());
  // A late go-away of the previous incarnation.
  setup.directory.OnGoAway(kName, 11);
  CHECK(setup.IsUsable());
}

// The list is out of date: it shows an instance as leaving that has been
// replaced. Once the new incarnation has sent a hello, it must get work.
TEST_CASE("an outdated leaving state in the list does not apply to the next "
          "incarnation")
{
  Setup setup;
  setup.List({ Listed("s1") });
  setup.directory.OnConnected(kName, 11);
  setup.List({ Listed("s1", ListedState::Leaving) });
  CHECK_FALSE(setup.IsUsable());
  setup.directory.OnConnected(kName, 12);
  CHECK(setup.IsUsable());
  setup.List({ Listed("s1", ListedState::Leaving) });
  CHECK(setup.IsUsable());
}

TEST_CASE("an instance first connected while listed as leaving gets no work")
{
  Setup setup;
  setup.List({ Listed("s1", ListedState::Leaving) });
  CHECK_FALSE(setup.IsCandidate());
  setup.directory.OnConnected(kName, 11);
  CHECK_FALSE(setup.IsUsable());
  setup.List({ Listed("s1") });
  CHECK(setup.IsUsable());
}

TEST_CASE("a failing instance is no candidate until its probe is due")
{
  Setup setup;
  setup.List({ Listed("s1") });
  setup.directory.OnRefused(kName, setup.now, kMiddle);
  CHECK(setup.IsCandidate());
  CHECK_FALSE(setup.directory.MayConnect(kName, setup.now));
  setup.directory.OnTimedOut(kName, setup.now, kMiddle);
  CHECK_FALSE(setup.IsCandidate());
  setup.now += seconds(1);
  CHECK(setup.IsCandidate());
  CHECK(setup.directory.MayConnect(kName, setup.now));
}

// The list is unavailable or briefly empty: connected instances stay in use.
TEST_CASE(
  "an instance is evicted only after being absent and unreachable for long")
{
  Setup setup;
  setup.List({ Listed("s1"), Listed("s2") });
  setup.directory.OnConnected(kName, 11);
  setup.List({});
  setup.now += seconds(100);
  setup.List({});
  CHECK(setup.directory.Find(kName) != nullptr);
  CHECK(setup.directory.Find(InstanceName("s2")) == nullptr);
  setup.directory.OnRefused(kName, setup.now, kMiddle);
  setup.List({});
  CHECK(setup.directory.Find(kName) == nullptr);
}

TEST_CASE(
  "in any order of events an incarnation that sent a go-away gets no work")
{
  rc::prop("a go-away is permanent", [] {
    Setup setup;
    setup.List({ Listed("s1") });
    std::vector<Incarnation> gone;
    const auto steps =
      *rc::gen::container<std::vector<std::pair<int, Incarnation>>>(
        rc::gen::pair(rc::gen::inRange(0, 6),
                      rc::gen::inRange<Incarnation>(1, 5)));
    for (const auto& [what, incarnation] : steps) {
      setup.now += milliseconds(700);
      switch (what) {
        case 0:
          setup.directory.OnConnected(kName, incarnation);
          break;
        case 1:
          setup.directory.OnGoAway(kName, incarnation);
          gone.push_back(incarnation);
          break;
        case 2:
          setup.directory.OnRefused(kName, setup.now, kMiddle);
          break;
        case 3:
          setup.List({ Listed("s1") });
          break;
        case 4:
          setup.List({ Listed("s1", ListedState::Leaving) });
          break;
        default:
          setup.directory.OnTimedOut(kName, setup.now, kMiddle);
          break;
      }
      const BackendRecord* record = setup.directory.Find(kName);
      const bool isGone =
        std::find(gone.begin(), gone.end(), record->incarnation) != gone.end();
      RC_ASSERT(!(setup.IsUsable() && isGone));
    }
    // A new incarnation gets work again.
    setup.directory.OnConnected(kName, 99);
    RC_ASSERT(setup.IsUsable() || setup.directory.Find(kName)->leaving);
    setup.List({ Listed("s1") });
    RC_ASSERT(setup.IsUsable());
  });
}

namespace {

/// Processes with different lists that exchange contact ages.
struct Fleet
{
  Fleet(std::size_t aSize, std::uint64_t aSeed)
    : random(aSeed)
  {
    for (std::size_t i = 0; i < aSize; ++i) {
      this->all.push_back(Listed(fmt::format("s{}", i).c_str()));
      this->elections.emplace_back(this->all.back().name,
                                   DataCentreName("dc1"),
                                   WatcherBounds{},
                                   this->now);
    }
  }

  double Uniform()
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  /// Simulates one second: each watcher calls the store, and each process
  /// receives the contact ages of three random ones.
  void Second(bool aStoreIsUp)
  {
    this->now += seconds(1);
    for (WatcherElection& election : this->elections) {
      election.Tick(this->now, this->Uniform());
      if (election.ShouldWatch()) {
        ++this->attempts;
        if (aStoreIsUp) {
          election.OnOwnContact(this->now);
        } else {
          election.OnOwnFailure();
        }
      }
    }
    for (WatcherElection& election : this->elections) {
      for (int i = 0; i < 3; ++i) {
        const std::size_t peer = this->random() % this->elections.size();
        election.OnPeerContact(this->elections[peer].ContactAge(this->now),
                               this->now);
      }
    }
  }

  std::size_t Watchers() const
  {
    return static_cast<std::size_t>(std::count_if(
      this->elections.begin(), this->elections.end(), [](const auto& aOne) {
        return aOne.ShouldWatch();
      }));
  }

  std::mt19937_64 random;
  TimePoint now{ seconds(1000) };
  std::vector<ListedInstance> all;
  std::vector<WatcherElection> elections;
  std::size_t attempts = 0;
};

} // namespace

// All instances were replaced and the lists are out of date: each process has a
// different one, possibly with only dead instances at the first ranks. Some
// process must still watch the store soon, so that it sees configuration
// changes.
TEST_CASE("with outdated lists some process watches, and only few do")
{
  rc::prop("at least one watches soon, and a bounded number later", [] {
    const auto size = *rc::gen::inRange<std::size_t>(2, 120);
    const auto dead = *rc::gen::inRange<std::size_t>(0, 60);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    Fleet fleet(size, seed);
    for (WatcherElection& election : fleet.elections) {
      std::vector<ListedInstance> list;
      for (const ListedInstance& listed : fleet.all) {
        if (fleet.Uniform() < 0.7) {
          list.push_back(listed);
        }
      }
      for (std::size_t i = 0; i < dead; ++i) {
        list.push_back(Listed(fmt::format("dead{}", i).c_str()));
      }
      election.OnList(list);
    }
    std::size_t unwatched = 0;
    for (int second = 0; second < 120; ++second) {
      fleet.Second(true);
      unwatched = fleet.Watchers() == 0 ? unwatched + 1 : 0;
      RC_ASSERT(unwatched < 60U);
      RC_ASSERT(fleet.Watchers() <= 24U);
    }
  });
}

// The store is down for ten minutes. If all processes volunteered, their calls
// would keep it from recovering.
TEST_CASE("in an outage of the store only few processes call it")
{
  Fleet fleet(200, 1);
  for (WatcherElection& election : fleet.elections) {
    election.OnList(fleet.all);
  }
  constexpr int kSeconds = 600;
  for (int second = 0; second < kSeconds; ++second) {
    fleet.Second(false);
  }
  // Two by rank and about two volunteers.
  CHECK(fleet.attempts < 6 * kSeconds);
}

TEST_CASE("a process that will receive no list watches")
{
  WatcherElection election(
    kName, DataCentreName("dc1"), WatcherBounds{}, TimePoint{});
  CHECK_FALSE(election.ShouldWatch());
  election.SetNoList();
  CHECK(election.ShouldWatch());
}
