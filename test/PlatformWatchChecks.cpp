#include <algorithm>

#include <catch2/catch.hpp>

#include "platform/Adapters.h"
#include "support/ScriptedServer.h"

using namespace dogwoodvale;
using test::ScriptedServer;

namespace {

class Watcher final : public StoreWatchHandler
{
public:
  void OnSnapshot(Revision /*aRevision*/,
                  std::span<const KeyValue> /*aValues*/) override
  {
    ++this->snapshots;
  }
  void OnChanges(Revision aRevision,
                 std::span<const StoreChange> aChanges) override
  {
    this->revision = aRevision;
    this->changes += aChanges.size();
  }
  void OnContact() override { ++this->contacts; }
  void OnLost(const absl::Status& /*aReason*/) override {}

  int snapshots = 0;
  int contacts = 0;
  std::size_t changes = 0;
  Revision revision = 0;
};

/// A store that never answers a poll that waits, and a check as the test says.
struct CheckedWatch
{
  CheckedWatch()
  {
    this->server.SetScript(
      [this](const std::string& aPath, const std::string& /*aBody*/) {
        if (Has(aPath, "kv-range")) {
          return ScriptedServer::Reply{ 200,
                                        R"({"storeRevision":5,"items":[]})" };
        }
        if (Has(aPath, "kv-watch") && !Has(aPath, "waitMs=1&") &&
            !aPath.ends_with("waitMs=1")) {
          ScriptedServer::Reply lost;
          lost.isLost = true;
          return lost;
        }
        return Has(aPath, "kv-watch") ? this->check
                                      : ScriptedServer::Reply{ 404, "{}" };
      });
    this->watch = this->client->Watch("w", this->watcher);
    REQUIRE(this->Until([this] { return this->PollsAfter(5) == 1; }));
  }

  static bool Has(const std::string& aText, std::string_view aPart)
  {
    return aText.find(aPart) != std::string::npos;
  }

  /// Polls that wait for what follows the revision.
  std::ptrdiff_t PollsAfter(int aRevision) const
  {
    return std::ranges::count_if(
      this->server.Paths(), [aRevision](const std::string& aPath) {
        return Has(aPath, fmt::format("after={}&", aRevision)) &&
               !aPath.ends_with("waitMs=1");
      });
  }

  bool Until(const std::function<bool()>& aDone) const
  {
    return this->loop->RunUntil(aDone, seconds(3));
  }

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  ScriptedServer server{ *this->loop };
  std::unique_ptr<StoreClient> client =
    *platform::CreateKvStore(*this->loop,
                             this->server.Address(),
                             milliseconds(500));
  ScriptedServer::Reply check;
  Watcher watcher;
  std::unique_ptr<StoreWatch> watch;
};

} // namespace

// Guards against a change whose news was lost with the answer to a poll.
TEST_CASE("a check delivers what a lost poll should have", "[kv]")
{
  CheckedWatch site;
  site.check.body = R"({"storeRevision":9,"events":[{"key":"w","value":"eA==",)"
                    R"("revision":7,"created":7,"lease":0}]})";
  site.watch->Check();
  REQUIRE(site.Until([&] { return site.watcher.changes == 1; }));
  CHECK(site.watcher.revision == 9);
  CHECK(site.Until([&] { return site.PollsAfter(9) == 1; }));
}

// Guards against going on behind a change that the store has not delivered yet.
TEST_CASE("a check without a change leaves the watch where it was", "[kv]")
{
  CheckedWatch site;
  site.check.body = R"({"storeRevision":9,"events":[]})";
  site.watch->Check();
  REQUIRE(site.Until([&] { return site.watcher.contacts == 1; }));
  site.watch->Rearm();
  CHECK(site.Until([&] { return site.PollsAfter(5) == 2; }));
  CHECK(site.PollsAfter(9) == 0);
}

// Guards against a watch that waits behind a history that was dropped.
TEST_CASE("a check that finds no history reads all anew", "[kv]")
{
  CheckedWatch site;
  site.check.code = 410;
  site.watch->Check();
  CHECK(site.Until([&] { return site.watcher.snapshots == 2; }));
}

// Guards against a watch given up for a check that the store refuses.
TEST_CASE("a check that is refused leaves the watch alone", "[kv]")
{
  CheckedWatch site;
  site.check.code = GENERATE(429, 503, 200);
  site.check.body = "no JSON";
  site.watch->Check();
  site.loop->RunUntil([] { return false; }, milliseconds(300));
  CHECK(site.watcher.snapshots == 1);
  CHECK(site.PollsAfter(5) == 1);
}
