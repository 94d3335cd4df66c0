#include <catch2/catch.hpp>

#include "dogwoodvale/Store"
#include "standins/Platform.h"

using namespace dogwoodvale;

namespace {

struct Listener final : InstanceListObserver
{
  void OnList(std::span<const ListedInstance> aList) override
  {
    ++this->lists;
    this->size = aList.size();
  }
  void OnListFailed(const absl::Status& /*aReason*/) override
  {
    ++this->failures;
  }
  int lists = 0;
  int failures = 0;
  std::size_t size = 0;
};

Json::Value
OneSidecar()
{
  Json::Value listed;
  listed["name"] = "sidecar-1";
  listed["role"] = "sidecar";
  listed["service"] = "cheque-reading";
  listed["data_centre"] = "dc1";
  listed["region"] = "nairobi";
  listed["address"] = "127.0.0.1:1";
  listed["state"] = "live";
  Json::Value list;
  list["instances"].append(listed);
  return list;
}

} // namespace

// An operator sees a daemon go on through an outage of the list: it reads the
// list, the list goes down, it comes back. The first whole answer used to end
// the process, since an OK status was made into an error.
TEST_CASE("the list is read, lost and read again")
{
  auto loop = EventLoop::Create();
  REQUIRE(loop.ok());
  auto platform = standins::Platform::Create(**loop, { "127.0.0.1", 0 }, {});
  REQUIRE(platform.ok());
  REQUIRE((*platform)->SetInstances(OneSidecar()).ok());
  Listener listener;
  InstanceListClient client(**loop,
                            (*platform)->Address(),
                            milliseconds(20),
                            milliseconds(200),
                            listener);
  client.Start();
  REQUIRE((*loop)->RunUntil([&] { return listener.lists > 0; }, seconds(5)));
  REQUIRE(listener.size == 1);

  Json::Value down;
  down["list_down"] = true;
  REQUIRE((*platform)->SetFault(down).ok());
  REQUIRE((*loop)->RunUntil([&] { return listener.failures > 0; }, seconds(5)));

  const int before = listener.lists;
  down["list_down"] = false;
  REQUIRE((*platform)->SetFault(down).ok());
  REQUIRE(
    (*loop)->RunUntil([&] { return listener.lists > before; }, seconds(5)));
}
