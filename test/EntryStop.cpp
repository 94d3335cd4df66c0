#include <catch2/catch.hpp>

#include <thread>

#include "RawSockets.h"
#include "dogwoodvale/Entry"
#include "dogwoodvale/Sidecar"
#include "standins/Engine.h"
#include "support/InProcessSite.h"

using namespace dogwoodvale;
using dogwoodvale::test::ChatRequest;
using dogwoodvale::test::RawSocket;

namespace {

constexpr Duration kDrainGrace = milliseconds(200);
constexpr Duration kStopTimeout = milliseconds(1500);

/// Entry, sidecar and engine on one loop; the entry is to be stopped.
class StoppingSite
{
public:
  StoppingSite()
  {
    DaemonSettings settings =
      test::EntryFor(this->file, this->sidecar->PeerAddress());
    settings.entry.drainGrace = kDrainGrace;
    settings.stopTimeout = kStopTimeout;
    this->entry = *Entry::Create(*this->loop, settings);
    REQUIRE(this->Until([&] { return this->entry->Ready().ok(); }));
  }

  bool Until(const std::function<bool()>& aDone,
             Duration aLimit = seconds(5)) const
  {
    return this->loop->RunUntil(aDone, aLimit);
  }

  RawSocket Call(std::string_view aRequest) const
  {
    RawSocket caller = RawSocket::Connect(this->entry->CallerAddress());
    caller.Send(aRequest);
    return caller;
  }

  std::size_t Executions() const
  {
    return this->engine->Record()["executions"].size();
  }

  /// Stops the entry and runs the loop to its end, as the daemon does.
  Duration StopToExit()
  {
    const TimePoint ordered = Now();
    this->entry->BeginStop();
    this->loop->Run();
    return Between(ordered, Now());
  }

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  test::ConfigurationFile file;
  std::unique_ptr<standins::Engine> engine =
    *standins::Engine::Create(*this->loop, test::kAnyPort, {});
  std::unique_ptr<Sidecar> sidecar =
    *Sidecar::Create(*this->loop, SidecarSettings(this->engine->Address()));
  std::unique_ptr<Entry> entry;

private:
  static DaemonSettings SidecarSettings(const SocketAddress& aEngine)
  {
    DaemonSettings made = test::CommonSettings(Role::Sidecar, "sidecar-1");
    made.sidecar.backend = aEngine;
    made.sidecar.service = "chat";
    // One at a time, so that a second request waits in the queue.
    made.sidecar.maxConcurrency = 1;
    made.sidecar.adaptiveConcurrency = false;
    return made;
  }
};

} // namespace

// Guards against passing on, after accepting has ended, what the end of the
// stop then cuts.
TEST_CASE("an entry refuses unrun what it reads after its drain grace",
          "[stop]")
{
  StoppingSite site;
  const std::string request = ChatRequest("nonce=one len=5", true);
  RawSocket caller = site.Call(request.substr(0, 40));
  site.Until([] { return false; }, milliseconds(20));
  site.entry->BeginStop();
  site.Until([] { return false; }, kDrainGrace + milliseconds(200));
  caller.Send(request.substr(40));
  CHECK(site.Until([&] { return caller.Has("HTTP/1.1 503"); }, seconds(1)));
  CHECK(caller.Has("Connection: close"));
  CHECK(site.Executions() == 0);
}

// Guards against closed connections where a true refusal can be given: what
// has come in part, or lies unread when accepting ends, is never passed on.
TEST_CASE("an entry refuses unrun what it has not read at its end", "[stop]")
{
  StoppingSite site;
  const std::string request = ChatRequest("nonce=one len=5", true);
  RawSocket part = site.Call(request.substr(0, request.size() - 2));
  site.Until([] { return false; }, milliseconds(20));
  site.entry->BeginStop();
  site.Until([] { return false; }, kDrainGrace - milliseconds(30));
  RawSocket unread = site.Call(request);
  std::this_thread::sleep_for(milliseconds(60));
  site.loop->Run();
  CHECK(part.Has("HTTP/1.1 503"));
  CHECK_FALSE(part.wasReset);
  CHECK(unread.Has("HTTP/1.1 503"));
  CHECK_FALSE(unread.wasReset);
  CHECK(site.Executions() == 0);
}

// Guards against a stop that waits for connections without a request.
TEST_CASE("an entry's stop ends when only idle connections are left", "[stop]")
{
  StoppingSite site;
  RawSocket caller = site.Call(ChatRequest("nonce=one len=5", true));
  REQUIRE(site.Until([&] { return caller.Has("\r\n0\r\n\r\n"); }));
  CHECK(site.StopToExit() < kDrainGrace + milliseconds(300));
}

// Guards against a reset where a true answer can be given.
TEST_CASE("callers without a whole answer at an entry's end are told so",
          "[stop]")
{
  StoppingSite site;
  RawSocket streams = site.Call(ChatRequest("nonce=one len=5000", true));
  REQUIRE(site.Until([&] { return streams.Has("one.1 "); }));
  RawSocket waits = site.Call(ChatRequest("nonce=two len=5", true));
  REQUIRE(site.Until([&] { return site.sidecar->Work().Queued() == 1; }));
  CHECK(site.StopToExit() < kStopTimeout + milliseconds(300));
  CHECK(streams.Has("\"error\""));
  CHECK_FALSE(streams.Has("[DONE]"));
  CHECK_FALSE(streams.wasReset);
  CHECK(waits.Has("HTTP/1.1 50"));
  CHECK_FALSE(waits.wasReset);
}
