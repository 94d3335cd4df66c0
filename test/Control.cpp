#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include "dogwoodvale/Control"
#include "support/FakeStore.h"
#include "support/NarrowLink.h"
#include "support/ScriptedServer.h"

using namespace dogwoodvale;
using test::FakeStore;
using test::ScriptedServer;

namespace {

std::string
Text(int aWeight)
{
  return fmt::format(
    R"({{"services":[{{"name":"read","kind":"model","models":[{{"model":"m"}}],
      "classes":[{{"name":"fast","tier":0,"idempotent":true}}]}}],
      "customers":[{{"name":"c0","key_hashes":["{}"],"weight":{},
      "grants":[{{"service":"read","classes":["fast"]}}]}}]}})",
    Sha256Hex("key"),
    aWeight);
}

/// A store, a fleet of one process that the test scripts, and a directory.
struct Site
{
  Site()
  {
    std::filesystem::create_directories(this->directory);
    this->process.SetScript([this](const std::string& aPath, const auto&) {
      if (this->follows) {
        this->statusz = StatusOf(this->store.ValueOf(std::string(kRootKey)));
      }
      return ScriptedServer::Reply{ .body = aPath == "/statusz"
                                              ? this->statusz
                                              : this->configuration };
    });
  }
  ~Site() { std::filesystem::remove_all(this->directory); }

  static std::string StatusOf(const std::string& aRoot)
  {
    const auto root = DecodeRoot(aRoot);
    return fmt::format(
      R"({{"instance":"e1","epoch":{},"root_hash":"{}","ready":true}})",
      root.ok() ? root->epoch : 0,
      root.ok() ? Sha256Hex(aRoot) : "");
  }
  std::string File(const std::string& aText)
  {
    const auto path = this->directory / fmt::format("{}.json", this->files++);
    std::ofstream(path) << aText;
    return path.string();
  }
  CommandResult Apply(const std::string& aText,
                      const ApplyOptions& aOptions = {})
  {
    return ApplyConfiguration(
      this->File(aText), aOptions, this->configs, this->fleet, [](const auto&) {
      });
  }
  /// The process holds what the store holds now.
  void Follow()
  {
    const StoredRoot root = *this->configs.ReadRoot();
    this->statusz = StatusOf(root.text);
    this->configuration =
      EncodeBundle({ .epoch = root.root.epoch,
                     .root = root.text,
                     .pages = *this->configs.ReadPages(root.root.pageHashes) });
  }

  std::filesystem::path directory =
    std::filesystem::temp_directory_path() /
    fmt::format("dogwoodvale-test-{:x}", DrawIncarnation());
  int files = 0;
  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  FakeStore store{ *loop };
  ScriptedServer process{ *loop };
  std::string statusz = R"({"instance":"e1","epoch":0})";
  std::string configuration;
  /// The process takes what the store has at once.
  bool follows = false;
  StoreSession session{ *loop, store, seconds(1), milliseconds(1) };
  ConfigurationStore configs{ session };
  FleetView fleet{ *loop, { process.Address() }, milliseconds(500) };
};

} // namespace

TEST_CASE("all findings are told with their place, and nothing is applied")
{
  Site site;
  const CommandResult result =
    site.Apply(R"({"services":[{"name":"a"},{"name":"b","kind":"odd"}]})");
  CHECK(result.code == ExitCode::Invalid);
  CHECK(result.json["findings"].size() > 1);
  CHECK(result.json["findings"][0]["line"].asInt() == 1);
  CHECK(site.configs.ReadRoot()->modRevision == 0);
}

TEST_CASE("an accepted change raises the epoch and stands in the history")
{
  Site site;
  CHECK(site.Apply(Text(1)).code == ExitCode::Done);
  ApplyOptions options;
  options.comment = "more for c0";
  CHECK(site.Apply(Text(2), options).json["epoch"].asInt() == 2);
  const CommandResult history = ConfigurationHistory(site.configs);
  REQUIRE(history.json["changes"].size() == 2);
  CHECK(history.json["changes"][0]["comment"] == "more for c0");
  CHECK(ShowConfiguration(site.configs, 1).code == ExitCode::Done);
  const CommandResult diff =
    DiffConfiguration(site.File(Text(3)), site.configs);
  REQUIRE(diff.json["differences"].size() == 1);
  CHECK(diff.json["differences"][0]["path"] == "customers/c0/weight");
}

// Two operators start from the same epoch. The first change is accepted; the
// second must not overwrite it unseen: its operator is told, sees what each
// changed, and can start over.
TEST_CASE("of two operators at once one is refused and shown both changes")
{
  Site site;
  REQUIRE(site.Apply(Text(1)).code == ExitCode::Done);
  const StoredRoot base = *site.configs.ReadRoot();
  REQUIRE(site.Apply(Text(2)).code == ExitCode::Done);

  SECTION("both had read before either wrote")
  {
    const std::vector<ConfigurationSource> mine{ { "a.json", Text(3) } };
    ChangeRequest request;
    request.changeId = "late";
    request.pages = MakePages(mine);
    const ChangeResult result = site.configs.Apply(base, request);
    CHECK(result.verdict == ChangeResult::Verdict::Conflict);
    CHECK(result.theirs.root.epoch == 2);
  }
  SECTION("the second says which epoch it was made from")
  {
    ApplyOptions options;
    options.expectEpoch = 1;
    const CommandResult result = site.Apply(Text(3), options);
    CHECK(result.code == ExitCode::Conflict);
    REQUIRE(result.json["their_changes"].size() == 1);
    CHECK(result.json["their_changes"][0]["after"] == "2");
    REQUIRE(result.json["my_changes"].size() == 1);
    CHECK(result.json["my_changes"][0]["after"] == "3");
  }
  CHECK(site.configs.ReadRoot()->root.epoch == 2);
}

namespace {

/// Loses the replies of the first swaps of the root, whether applied or not.
class LossyStore : public FakeStore
{
public:
  using FakeStore::FakeStore;
  std::unique_ptr<StoreCall> Commit(const Transaction& aTransaction,
                                    WriteHandler aHandler) override
  {
    const bool isSwap = !aTransaction.when.empty();
    if (!isSwap || this->lost == 0) {
      return FakeStore::Commit(aTransaction, aHandler);
    }
    --this->lost;
    Transaction sent = aTransaction;
    if (!this->takesEffect) {
      // It never reached the store.
      sent.then.clear();
      sent.otherwise.clear();
    }
    return FakeStore::Commit(sent, [this, aHandler](const WriteResult&) {
      if (this->onLost) {
        std::exchange(this->onLost, nullptr)();
      }
      aHandler({ .outcome = WriteOutcome::Unknown,
                 .status = absl::DeadlineExceededError("no answer in time"),
                 .reads = {} });
    });
  }
  int lost = 0;
  bool takesEffect = true;
  /// Runs once, after the first lost write.
  std::function<void()> onLost;
};

struct LossySite
{
  ChangeResult Apply(const std::string& aChangeId)
  {
    const std::vector<ConfigurationSource> mine{ { "a.json", Text(3) } };
    ChangeRequest request;
    request.changeId = aChangeId;
    request.pages = MakePages(mine);
    return this->configs.Apply(*this->configs.ReadRoot(), request);
  }
  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  LossyStore store{ *loop };
  StoreSession session{ *loop, store, seconds(1), milliseconds(1) };
  ConfigurationStore configs{ session };
};

} // namespace

// The store makes the change and the reply is lost. Saying "refused" would
// have the operator apply it twice; the tool finds out and says accepted.
TEST_CASE("a lost reply is settled: what took effect is accepted, once")
{
  LossySite site;
  site.store.lost = 2;
  const ChangeResult result = site.Apply("mine");
  CHECK(result.verdict == ChangeResult::Verdict::Accepted);
  CHECK(result.wasSettled);
  CHECK(site.configs.ReadRoot()->root.epoch == 1);
}

TEST_CASE("a lost request that never arrived is applied by its second copy")
{
  LossySite site;
  site.store.lost = 1;
  site.store.takesEffect = false;
  CHECK(site.Apply("mine").verdict == ChangeResult::Verdict::Accepted);
  CHECK(site.configs.ReadRoot()->root.changeId == "mine");
}

// The first copy takes effect, its reply is lost, and another operator applies
// on top of it before the second copy. The change did happen: it stands in the
// history, though the store's root is another's.
TEST_CASE("a lost reply is settled also when another change has followed")
{
  LossySite site;
  site.store.lost = 1;
  site.store.onLost = [&] {
    ConfigurationRoot next =
      DecodeRoot(site.store.ValueOf(std::string(kRootKey))).value();
    next.history.insert(next.history.begin(),
                        { next.epoch, next.changeId, "", "", 0 });
    ++next.epoch;
    next.changeId = "theirs";
    site.store.Write(std::string(kRootKey), EncodeRoot(next));
  };
  const ChangeResult result = site.Apply("mine");
  CHECK(result.verdict == ChangeResult::Verdict::Accepted);
  CHECK(result.wasSettled);
  CHECK(site.configs.ReadRoot()->root.changeId == "theirs");
}

TEST_CASE("a store that stays silent leaves the change unknown, and says so")
{
  LossySite site;
  site.store.lost = 100;
  CHECK(site.Apply("mine").verdict == ChangeResult::Verdict::Unknown);
}

// The store comes back from a backup at epoch 1 while the fleet has epoch 2.
// An apply on top of that would give epoch 2 a second meaning, which no process
// takes: accepted, and never in force. First the fleet's epoch is put back.
TEST_CASE("a store behind the fleet is brought up to it, not followed")
{
  Site site;
  REQUIRE(site.Apply(Text(1)).code == ExitCode::Done);
  const auto backup = site.store.Backup();
  REQUIRE(site.Apply(Text(2)).code == ExitCode::Done);
  site.Follow();
  const std::string held = site.configs.ReadRoot()->text;
  site.store.Restore(backup);
  CHECK(ConfigurationStatus(&site.configs, site.fleet).code ==
        ExitCode::StoreBehind);

  SECTION("by repair: the same root, to the byte")
  {
    CHECK(RepairStore(site.configs, site.fleet).code == ExitCode::Done);
    CHECK(site.configs.ReadRoot()->text == held);
  }
  SECTION("by the next apply, which goes on above it")
  {
    const CommandResult result = site.Apply(Text(3));
    CHECK(result.code == ExitCode::Done);
    CHECK(result.json["epoch"].asInt() == 3);
    CHECK(result.json["restored_epoch"].asInt() == 2);
  }
}

TEST_CASE("a store that went another way than the fleet is not built upon")
{
  Site site;
  REQUIRE(site.Apply(Text(1)).code == ExitCode::Done);
  site.statusz = R"({"instance":"e1","epoch":1,"root_hash":"other"})";
  CHECK(site.Apply(Text(2)).code == ExitCode::StoreBehind);
  CHECK(site.configs.ReadRoot()->root.epoch == 1);
}

TEST_CASE("a wait ends when all have it, or names those that lag")
{
  Site site;
  ApplyOptions options;
  options.wait = true;
  options.waitTimeout = milliseconds(300);
  const CommandResult late = site.Apply(Text(1), options);
  CHECK(late.code == ExitCode::NotEverywhere);
  REQUIRE(late.json["lagging"].size() == 1);
  CHECK(late.json["lagging"][0]["instance"] == "e1");
  site.follows = true;
  CHECK(site.Apply(Text(2), options).code == ExitCode::Done);
}

TEST_CASE("pruning keeps what the kept epochs name")
{
  Site site;
  for (int weight = 1; weight <= 4; ++weight) {
    REQUIRE(site.Apply(Text(weight)).code == ExitCode::Done);
  }
  CHECK(PruneConfiguration(site.configs, 2).json["pages_removed"].asInt() == 2);
  CHECK(ShowConfiguration(site.configs, 3).code == ExitCode::Done);
  CHECK(ShowConfiguration(site.configs, 1).code == ExitCode::Invalid);
  CHECK(ShowConfiguration(site.configs, std::nullopt).code == ExitCode::Done);
}

TEST_CASE("wrong usage and a store that is down have exit codes of their own")
{
  const std::string dead = test::DeadAddress().ToString();
  const auto run = [](const std::vector<std::string>& aArguments) {
    return static_cast<ExitCode>(RunControl(aArguments));
  };
  CHECK(run({ "config", "nonsense" }) == ExitCode::Usage);
  CHECK(run({ "config", "history" }) == ExitCode::Usage);
  CHECK(run({ "status", "--processes", "nowhere" }) == ExitCode::Usage);
  CHECK(run({ "status" }) == ExitCode::Usage);
  CHECK(run({ "config", "history", "--store", dead, "--json" }) ==
        ExitCode::Unreachable);
  CHECK(run({ "status", "--processes", dead }) == ExitCode::Unreachable);
}

// The tool can't repair a store from a fleet behind a narrow link: it gives up
// each large configuration that comes in.
TEST_CASE("a process's configuration is read whole over a narrow link")
{
  Site site;
  constexpr std::size_t kBytesPerSecond = 200'000;
  constexpr std::size_t kPageBytes = 500'000;
  const std::string content(kPageBytes, 'x');
  site.configuration =
    EncodeBundle({ .epoch = 3,
                   .root = "root",
                   .pages = { { Sha256Hex(content), content } } });
  test::NarrowLink link(*site.loop, site.process.Address(), kBytesPerSecond);
  FleetView fleet(*site.loop, { link.Address() }, milliseconds(300));
  const auto read = fleet.ReadConfiguration(link.Address());
  REQUIRE(read.ok());
  CHECK(read->epoch == 3);
  CHECK(read->pages.size() == 1);
  // An answer that stands still ends the wait all the same.
  link.SetSilent(true);
  const TimePoint begun = Now();
  CHECK_FALSE(fleet.ReadConfiguration(link.Address()).ok());
  CHECK(Between(begun, Now()) < seconds(3));
}
