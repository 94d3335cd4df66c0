#include <catch2/catch.hpp>

#include "support/NarrowLink.h"
#include "support/VersionedSite.h"

using namespace dogwoodvale;
using test::NarrowLink;
using test::VersionedSite;

namespace {

constexpr std::size_t kStreams = 24;
/// Longer than a stream of the route may be old at any gateway.
constexpr Duration kUniformTime = milliseconds(5200);
constexpr std::size_t kUnlimited = 100'000'000;

struct Outcome
{
  std::size_t atNew = 0;
  std::size_t mixed = 0;
  std::size_t refused = 0;
  std::size_t whole = 0;
};

/// Three gateways that know of each change at once, and a fourth one that may
/// be cut off or stand still; all have seen one version for long.
class OutOfStepSite : public VersionedSite
{
public:
  enum class Cut : std::uint8_t
  {
    None,
    /// Neither hears the others nor is heard.
    Peers,
  };

  explicit OutOfStepSite(Cut aCut, milliseconds aGap = milliseconds(50))
    : VersionedSite({ "v1", "v1" }, 3, aGap)
    , link(*this->loop, this->store->Address(), kUnlimited)
  {
    this->storeRelay = this->link.Address();
    // Gateways that read the list less often miss more.
    this->instanceDrain = seconds(2);
    this->gatewayLoop = this->ownLoop.get();
    if (aCut == Cut::Peers) {
      this->peerSecret = "another secret";
    }
    this->AddGateway("late");
    this->RunAll([&] { return this->Late().Ready().ok(); }, seconds(5));
    this->RunAll([] { return false; }, kUniformTime);
  }
  ~OutOfStepSite() { this->gateways.clear(); }
  OutOfStepSite(const OutOfStepSite&) = delete;
  OutOfStepSite& operator=(const OutOfStepSite&) = delete;

  static constexpr std::size_t kLate = 3;
  Gateway& Late() { return *this->gateways.back(); }

  /// Runs the fourth gateway too; the functions of the bases leave it standing.
  bool RunAll(const std::function<bool()>& aDone, Duration aLimit)
  {
    const TimePoint end = Now() + aLimit;
    while (!aDone()) {
      if (Now() >= end) {
        return false;
      }
      this->Run(milliseconds(1));
      this->ownLoop->RunUntil([] { return false; }, milliseconds(1));
    }
    return true;
  }
  void RunAll(Duration aTime)
  {
    this->RunAll([] { return false; }, aTime);
  }

  /// Waits until the fourth gateway has just read the list.
  void AwaitRead()
  {
    constexpr std::string_view kField = "\"list_age_ms\" : ";
    this->RunAll(
      [&] {
        const std::string status = this->Late().Statusz();
        const std::size_t at = status.find(kField);
        return at != std::string::npos &&
               std::stoi(status.substr(at + kField.size())) < 15;
      },
      seconds(2));
  }

  /// An engine of a new version joins, and streams begin at the gateways that
  /// know of it.
  void JoinAndBegin()
  {
    this->StartEngine("v2");
    // The list is read every 100 ms at the latest, and a digest sent every 50.
    this->RunAll(milliseconds(200));
    for (std::size_t i = 0; i < kStreams; ++i) {
      this->streams.push_back(this->Begin(i % 3));
    }
    this->RunAll(
      [&] {
        return std::ranges::all_of(this->streams, [](const Stream& aOne) {
          aOne.last->socket.Read();
          return aOne.LastEvent() > 0;
        });
      },
      seconds(1));
  }

  /// All callers come to the fourth gateway.
  void TakeUp()
  {
    for (Stream& stream : this->streams) {
      REQUIRE(stream.LastEvent() > 0);
      REQUIRE_FALSE(stream.IsWhole());
      this->Resume(stream, kLate);
    }
  }

  Outcome Settled()
  {
    this->RunAll(
      [&] {
        return std::ranges::all_of(this->sent, [](Try& aTry) {
          return aTry.socket.closed || aTry.socket.IsClosed();
        });
      },
      seconds(5));
    Outcome outcome;
    for (const Stream& stream : this->streams) {
      const auto found = stream.Versions();
      outcome.atNew += found.contains("v2") ? 1 : 0;
      outcome.mixed += found.size() > 1 ? 1 : 0;
      outcome.whole += stream.IsWhole() ? 1 : 0;
      if (stream.last->IsRefused()) {
        ++outcome.refused;
        CHECK(stream.last->RetryAfter() > 0);
      }
    }
    UNSCOPED_INFO("of " << kStreams << ": at the new version " << outcome.atNew
                        << ", joined from two " << outcome.mixed << ", refused "
                        << outcome.refused << ", whole " << outcome.whole);
    return outcome;
  }

  std::unique_ptr<EventLoop> ownLoop = *EventLoop::Create();
  NarrowLink link;
  std::vector<Stream> streams;
};

/// Fills what the system keeps of datagrams for a gateway that does not run.
void
FillQueue(const SocketAddress& aPeers)
{
  const int from = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = test::Loopback(aPeers.port);
  const std::string bytes(8000, 'x');
  for (int i = 0; i < 200; ++i) {
    sendto(from,
           bytes.data(),
           bytes.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&to),
           sizeof(to));
  }
  close(from);
}

} // namespace

// Guards against joining streams at a gateway that the store does not answer,
// while the others report streams of a new version.
TEST_CASE("a gateway that is cut off from the store joins no two versions",
          "[versions]")
{
  OutOfStepSite site(OutOfStepSite::Cut::None);
  site.link.SetSilent(true);
  site.RunAll(milliseconds(GENERATE(0, 1500)));
  site.JoinAndBegin();
  site.TakeUp();
  const Outcome outcome = site.Settled();
  CHECK(outcome.atNew > 0);
  CHECK(outcome.mixed == 0);
}

// Guards against taking the list of the last read for that of all servers, at
// a gateway that is told nothing by the others.
TEST_CASE("a gateway that hears no other joins no two versions", "[versions]")
{
  OutOfStepSite site(OutOfStepSite::Cut::Peers);
  const bool isStoreCut = GENERATE(false, true);
  site.AwaitRead();
  site.link.SetSilent(isStoreCut);
  site.JoinAndBegin();
  site.TakeUp();
  const Outcome outcome = site.Settled();
  CHECK(outcome.atNew > 0);
  CHECK(outcome.mixed == 0);
}

// Guards against refusing the streams of a service of one version at a gateway
// that hears no other, e.g. as the only other one was killed.
TEST_CASE("a gateway that hears no other resumes streams of the only version",
          "[versions]")
{
  OutOfStepSite site(OutOfStepSite::Cut::Peers);
  for (std::size_t i = 0; i < kStreams; ++i) {
    site.streams.push_back(site.Begin(i % 3));
  }
  site.RunAll(
    [&] {
      return std::ranges::all_of(site.streams,
                                 [](const VersionedSite::Stream& aOne) {
                                   aOne.last->socket.Read();
                                   return aOne.LastEvent() > 0;
                                 });
    },
    seconds(1));
  site.TakeUp();
  const Outcome outcome = site.Settled();
  CHECK(outcome.whole == kStreams);
}

// Guards against a version that joined and left while a gateway was cut off
// from the store and from the others.
TEST_CASE("a version that was there during a cut is not overlooked",
          "[versions]")
{
  OutOfStepSite site(OutOfStepSite::Cut::Peers, milliseconds(200));
  site.link.SetSilent(true);
  site.RunAll(milliseconds(1200));
  site.JoinAndBegin();
  site.RemoveEngines("v2");
  site.RunAll(milliseconds(500));
  site.link.SetSilent(false);
  site.RunAll(milliseconds(700));
  site.TakeUp();
  const Outcome outcome = site.Settled();
  CHECK(outcome.atNew > 0);
  CHECK(outcome.mixed == 0);
}

// Guards against digests that came before a version joined and are read after
// the process stood still: they made an outdated list look newly read.
TEST_CASE("a gateway that stood still joins no two versions", "[versions]")
{
  OutOfStepSite site(OutOfStepSite::Cut::None, milliseconds(200));
  std::vector<test::RawSocket> opened;
  for (std::size_t i = 0; i < kStreams; ++i) {
    opened.push_back(test::RawSocket::Connect(site.Late().CallerAddress()));
  }
  site.RunAll(milliseconds(50));
  const bool isQueueFull = GENERATE(true, false);
  // The version leaves before the gateway runs again.
  const bool leaves = isQueueFull && GENERATE(false, true);
  // From here on the gateway does not run.
  site.Run(milliseconds(200));
  if (isQueueFull) {
    FillQueue({ "127.0.0.1", site.peerPorts.back().Port() });
  }
  site.StartEngine("v2");
  site.Run(milliseconds(200));
  for (std::size_t i = 0; i < kStreams; ++i) {
    site.streams.push_back(site.Begin(i % 3));
  }
  for (const VersionedSite::Stream& stream : site.streams) {
    REQUIRE(site.HasBegun(stream));
  }
  // A suspension of up to 1.3 s alone does not start the time anew.
  site.Run(milliseconds(leaves ? 1000 : 500));
  if (leaves) {
    site.RemoveEngines("v2");
    site.Run(milliseconds(300));
    // The list is read before the callers come.
    site.RunAll(milliseconds(50));
  }
  site.opened = std::move(opened);
  site.TakeUp();
  const Outcome outcome = site.Settled();
  CHECK(outcome.atNew > 0);
  CHECK(outcome.mixed == 0);
}

// Guards against another version after a break within one answer, at a gateway
// that learns of that version during the answer.
TEST_CASE("a gateway out of step resumes a broken stream at its version",
          "[versions]")
{
  OutOfStepSite site(OutOfStepSite::Cut::Peers);
  site.link.SetSilent(true);
  site.SetFaultOfAll(VersionedSite::Fault("crash_after", 7));
  site.StartEngine("v2");
  for (std::size_t i = 0; i < kStreams; ++i) {
    site.streams.push_back(site.Begin(OutOfStepSite::kLate));
  }
  site.RunAll(milliseconds(150));
  site.link.SetSilent(false);
  site.engines[0]->SetFault(VersionedSite::Fault("refuse"));
  const Outcome outcome = site.Settled();
  CHECK(outcome.mixed == 0);
}
