#include <catch2/catch.hpp>

#include "RawSockets.h"
#include "dogwoodvale/Entry"
#include "dogwoodvale/Sidecar"
#include "standins/Engine.h"
#include "support/InProcessSite.h"

using namespace dogwoodvale;
using dogwoodvale::test::ChatRequest;
using dogwoodvale::test::RawSocket;

namespace {

/// What a caller that leaves, or a spent budget, may cost in time at the
/// engine.
constexpr Duration kCancelLimit = milliseconds(100);
constexpr Duration kPatience = seconds(10);

DaemonSettings
SidecarFor(const SocketAddress& aEngine)
{
  DaemonSettings made = test::CommonSettings(Role::Sidecar, "sidecar-1");
  made.sidecar.backend = aEngine;
  made.sidecar.service = "chat";
  // One at a time, so that the second waits in the queue.
  made.sidecar.maxConcurrency = 1;
  made.sidecar.adaptiveConcurrency = false;
  return made;
}

/// Entry, sidecar and engine on one loop.
struct Site
{
  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  test::ConfigurationFile file;
  std::unique_ptr<standins::Engine> engine =
    *standins::Engine::Create(*this->loop, test::kAnyPort, {});
  std::unique_ptr<Sidecar> sidecar =
    *Sidecar::Create(*this->loop, SidecarFor(this->engine->Address()));
  std::unique_ptr<Entry> entry =
    *Entry::Create(*this->loop,
                   test::EntryFor(this->file, this->sidecar->PeerAddress()));

  Site()
  {
    REQUIRE(this->Until([&] { return this->entry->Ready().ok(); }));
  }

  bool Until(const std::function<bool()>& aDone)
  {
    return this->loop->RunUntil(aDone, kPatience);
  }

  RawSocket Call(std::string_view aRequest)
  {
    RawSocket caller = RawSocket::Connect(this->entry->CallerAddress());
    caller.Send(aRequest);
    return caller;
  }

  std::size_t Executions() const
  {
    return this->engine->Record()["executions"].size();
  }

  /// How the engine's execution number \p aIndex ended; "running" if not.
  std::string EndOf(Json::ArrayIndex aIndex) const
  {
    return this->engine->Record()["executions"][aIndex]["end"].asString();
  }
};

} // namespace

// The caller closes its connection while its answer streams. Entry, sidecar and
// engine each have to notice it: what the engine goes on to generate for nobody
// takes the place of somebody's answer.
TEST_CASE("A caller that leaves mid-stream is cancelled down to the engine")
{
  Site site;
  RawSocket caller = site.Call(ChatRequest("nonce=one len=5000", true));
  REQUIRE(site.Until([&] { return caller.Has("one.5 "); }));
  const TimePoint left = Now();
  caller.Close();
  REQUIRE(site.Until([&] { return site.EndOf(0) == "cancelled"; }));
  CHECK(Between(left, Now()) < kCancelLimit);
  CHECK(site.sidecar->Work().Running() == 0);
}

// The engine is busy with another's answer, so the caller's request waits in
// the sidecar's queue when it leaves. If it stayed there, the engine would
// later run it for nobody.
TEST_CASE("A caller that leaves while queued never reaches the engine")
{
  Site site;
  RawSocket first = site.Call(ChatRequest("nonce=one len=200", true));
  REQUIRE(site.Until([&] { return first.Has("one.1 "); }));
  RawSocket second = site.Call(ChatRequest("nonce=two len=5", true));
  REQUIRE(site.Until([&] { return site.sidecar->Work().Queued() == 1; }));
  const TimePoint left = Now();
  second.Close();
  REQUIRE(site.Until([&] { return site.sidecar->Work().Queued() == 0; }));
  CHECK(Between(left, Now()) < kCancelLimit);
  REQUIRE(site.Until([&] { return first.Has("[DONE]"); }));
  CHECK(site.Executions() == 1);
}

// The class's budget ends while its answer streams: the caller is told at once,
// and the engine stops too.
TEST_CASE("A spent budget is cancelled down to the engine")
{
  Site site;
  const TimePoint sent = Now();
  RawSocket caller =
    site.Call(ChatRequest("nonce=one len=5000", true, "brief"));
  REQUIRE(site.Until([&] { return site.EndOf(0) == "cancelled"; }));
  CHECK(Between(sent, Now()) < milliseconds(300) + kCancelLimit);
  REQUIRE(site.Until([&] { return caller.Has("deadline_exceeded"); }));
  CHECK_FALSE(caller.Has("[DONE]"));
}
