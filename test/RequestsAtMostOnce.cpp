#include <map>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/Requests"

using namespace dogwoodvale;

namespace {

constexpr std::uint32_t kMaxAttempts = 3;
constexpr std::size_t kSidecars = 2;
const StartRecordSettings kSmallRecord{ .window = seconds(10),
                                        .maxIds = 4,
                                        .maxEntries = 8 };

/// One entry, two sidecars and a network that loses, delays, duplicates and
/// reorders messages. All requests are non-idempotent.
class World
{
public:
  World()
  {
    for (Sidecar& sidecar : this->sidecars) {
      this->Restart(sidecar);
    }
  }

  void NewRequest()
  {
    this->requests.emplace_back();
    this->StartAttempt(this->requests.size() - 1);
  }

  /// Delivers message \p aPick; with \p aKeepsCopy it is delivered again later.
  void Deliver(std::size_t aPick, bool aKeepsCopy)
  {
    if (this->network.empty()) {
      return;
    }
    const std::size_t index = aPick % this->network.size();
    const Message message = this->network[index];
    if (!aKeepsCopy) {
      this->Lose(index);
    }
    if (message.toEntry) {
      this->OnReply(message);
    } else {
      this->OnCall(message);
    }
  }

  void Lose(std::size_t aPick)
  {
    if (!this->network.empty()) {
      this->network.erase(
        this->network.begin() +
        static_cast<std::ptrdiff_t>(aPick % this->network.size()));
    }
  }

  /// A sidecar dequeues a request and sends it to the engine, or sheds it.
  void Dispatch(std::size_t aPick, bool aSheds)
  {
    Sidecar& sidecar = this->sidecars[aPick % kSidecars];
    if (sidecar.queue.empty()) {
      return;
    }
    const std::size_t index = aPick / kSidecars % sidecar.queue.size();
    const Message message = sidecar.queue[index];
    sidecar.queue.erase(sidecar.queue.begin() +
                        static_cast<std::ptrdiff_t>(index));
    if (!aSheds && sidecar.record.Begin(message.id, seconds(5), this->now)) {
      ++this->requests[message.request].executions;
      return;
    }
    this->Report(sidecar, message);
  }

  /// The entry's connection to a sidecar breaks; it probes the outcome of its
  /// attempts there.
  void LoseConnection(std::size_t aPick)
  {
    const std::size_t target = aPick % kSidecars;
    for (std::size_t index = 0; index < this->requests.size(); ++index) {
      Request& request = this->requests[index];
      if (request.isFinal || request.sidecar != target) {
        continue;
      }
      if (request.attempt->NeedsProbe()) {
        this->network.push_back({ .isProbe = true,
                                  .id = request.attempt->Id(),
                                  .request = index,
                                  .sidecar = target });
      } else {
        this->OnAttemptOver(index);
      }
    }
  }

  void RestartSidecar(std::size_t aPick)
  {
    this->Restart(this->sidecars[aPick % kSidecars]);
  }

  void GiveUpProbe(std::size_t aPick)
  {
    if (this->requests.empty()) {
      return;
    }
    const std::size_t index = aPick % this->requests.size();
    if (!this->requests[index].isFinal) {
      this->requests[index].attempt->OnProbeFailed();
      this->OnAttemptOver(index);
    }
  }

  void Wait(std::size_t aPick) { this->now += seconds(aPick % 15); }

  /// Delivers all messages in flight and dispatches all queued requests.
  void Drain()
  {
    while (!this->network.empty()) {
      this->Deliver(0, false);
    }
    for (std::size_t sidecar = 0; sidecar < kSidecars; ++sidecar) {
      while (!this->sidecars[sidecar].queue.empty()) {
        this->Dispatch(sidecar, false);
      }
    }
  }

  void Check() const
  {
    for (const Request& request : this->requests) {
      RC_ASSERT(request.executions <= 1);
      const bool reportedNotRun =
        request.isFinal && request.reported == Disposition::NotRun;
      RC_ASSERT(!reportedNotRun || request.executions == 0);
    }
  }

private:
  struct Message
  {
    bool toEntry = false;
    bool isProbe = false;
    RequestId id{};
    std::size_t request = 0;
    std::size_t sidecar = 0;
    /// In a start message: the sidecar's incarnation it was sent to, which the
    /// connection does not outlive. In a reply: the sender's incarnation.
    Incarnation incarnation = 0;
    Disposition disposition = Disposition::MayHaveRun;
  };

  struct Sidecar
  {
    Incarnation incarnation = 0;
    StartRecord record{ kSmallRecord };
    std::vector<Message> queue;
  };

  struct Request
  {
    std::optional<Attempt> attempt;
    std::size_t sidecar = 0;
    std::uint32_t attempts = 0;
    bool isFinal = false;
    Disposition reported = Disposition::MayHaveRun;
    int executions = 0;
  };

  void Restart(Sidecar& aSidecar)
  {
    aSidecar.incarnation = ++this->lastIncarnation;
    aSidecar.record = StartRecord(kSmallRecord);
    aSidecar.queue.clear();
  }

  void StartAttempt(std::size_t aRequest)
  {
    Request& request = this->requests[aRequest];
    request.sidecar = (aRequest + request.attempts) % kSidecars;
    ++request.attempts;
    const Incarnation target = this->sidecars[request.sidecar].incarnation;
    request.attempt.emplace(RequestId{ 7, ++this->lastSequence }, target);
    request.attempt->OnWriting();
    this->network.push_back({ .id = request.attempt->Id(),
                              .request = aRequest,
                              .sidecar = request.sidecar,
                              .incarnation = target });
  }

  void OnCall(const Message& aMessage)
  {
    Sidecar& sidecar = this->sidecars[aMessage.sidecar];
    if (aMessage.isProbe) {
      this->Report(sidecar, aMessage);
    } else if (aMessage.incarnation == sidecar.incarnation) {
      sidecar.queue.push_back(aMessage);
    }
  }

  /// Reports a request's disposition, which bars the request if not started.
  void Report(Sidecar& aSidecar, const Message& aMessage)
  {
    Message reply = aMessage;
    reply.toEntry = true;
    reply.incarnation = aSidecar.incarnation;
    reply.disposition = aSidecar.record.Bar(aMessage.id, this->now);
    this->network.push_back(reply);
  }

  void OnReply(const Message& aMessage)
  {
    Request& request = this->requests[aMessage.request];
    if (request.isFinal || aMessage.id != request.attempt->Id()) {
      return;
    }
    request.attempt->OnDispositionReported(aMessage.incarnation,
                                           aMessage.disposition);
    this->OnAttemptOver(aMessage.request);
  }

  void OnAttemptOver(std::size_t aRequest)
  {
    Request& request = this->requests[aRequest];
    const Disposition disposition = request.attempt->CurrentDisposition();
    const RetryAllowance allowance{ .hasBudget = true,
                                    .deadlineLeft = seconds(1),
                                    .attempts = request.attempts,
                                    .maxAttempts = kMaxAttempts };
    const AttemptOutcome outcome{ .disposition = disposition };
    if (DecideRetry(outcome, allowance) == RetryVerdict::Retry) {
      this->StartAttempt(aRequest);
      return;
    }
    request.isFinal = true;
    request.reported = disposition;
  }

  TimePoint now{ seconds(100) };
  Incarnation lastIncarnation = 0;
  std::uint64_t lastSequence = 0;
  std::array<Sidecar, kSidecars> sidecars;
  std::vector<Message> network;
  std::vector<Request> requests;
};

void
Step(World& aWorld, int aAction, std::size_t aPick)
{
  switch (aAction) {
    case 0:
      return aWorld.NewRequest();
    case 1:
    case 2:
    case 3:
    case 4:
      return aWorld.Deliver(aPick, false);
    case 5:
    case 6:
      return aWorld.Deliver(aPick, true);
    case 7:
      return aWorld.Lose(aPick);
    case 8:
    case 9:
    case 10:
      return aWorld.Dispatch(aPick, false);
    case 11:
      return aWorld.Dispatch(aPick, true);
    case 12:
      return aWorld.LoseConnection(aPick);
    case 13:
      return aWorld.RestartSidecar(aPick);
    case 14:
      return aWorld.GiveUpProbe(aPick);
    default:
      return aWorld.Wait(aPick);
  }
}

} // namespace

TEST_CASE("A request runs at most once, and never if NotRun is reported")
{
  // Start messages, probes after a lost connection and replies are lost,
  // delayed, duplicated and reordered; sidecars restart and lose their record;
  // records expire. In any order a non-idempotent request runs at most once,
  // and never if the caller is reported NotRun.
  rc::prop("over any order of events", [] {
    const auto steps = *rc::gen::resize(
      150,
      rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 16), rc::gen::inRange(0, 1000))));
    World world;
    world.NewRequest();
    for (const auto& [action, pick] : steps) {
      Step(world, action, static_cast<std::size_t>(pick));
      world.Check();
    }
    world.Drain();
    world.Check();
  });
}

TEST_CASE(
  "A start message that arrives after its id was evicted starts nothing")
{
  // The sidecar is suspended between the probe, which bars the id, and the
  // start message, which waits in a socket buffer. When it resumes, the bar is
  // older than the window, and the entry was reported NotRun.
  StartRecord record(kSmallRecord);
  const TimePoint start{ seconds(100) };
  CHECK(record.Bar({ 1, 5 }, start) == Disposition::NotRun);
  CHECK_FALSE(record.Begin({ 1, 5 }, seconds(5), start + seconds(3600)));
  CHECK(record.IdCount() == 0);
  // An evicted id can't be reported as NotRun any more either.
  CHECK(record.Bar({ 1, 5 }, start + seconds(3600)) == Disposition::MayHaveRun);
}

TEST_CASE("A request that could outlive the window does not start")
{
  StartRecord record(kSmallRecord);
  const TimePoint start{ seconds(100) };
  CHECK_FALSE(record.Begin({ 1, 1 }, seconds(11), start));
  CHECK(record.Bar({ 1, 1 }, start) == Disposition::NotRun);
  CHECK(record.Begin({ 1, 2 }, seconds(10), start));
  CHECK(record.Bar({ 1, 2 }, start) == Disposition::MayHaveRun);
}

TEST_CASE("The record is bounded, and evicted ids are never started again")
{
  rc::prop("no id starts twice or after a bar, within the bounds", [] {
    StartRecord record(kSmallRecord);
    TimePoint now{ seconds(100) };
    std::set<RequestId> started;
    std::set<RequestId> barred;
    const auto steps = *rc::gen::container<std::vector<std::array<int, 3>>>(
      rc::gen::container<std::array<int, 3>>(rc::gen::inRange(0, 20)));
    for (const auto& [action, entry, sequence] : steps) {
      const RequestId id{ static_cast<Incarnation>(entry + 1),
                          static_cast<std::uint64_t>(sequence + 1) };
      if (action < 8) {
        if (record.Begin(id, seconds(1), now)) {
          RC_ASSERT(started.insert(id).second);
          RC_ASSERT(!barred.contains(id));
        }
      } else if (action < 16) {
        if (record.Bar(id, now) == Disposition::NotRun) {
          RC_ASSERT(!started.contains(id));
          barred.insert(id);
        }
      } else {
        now += seconds(action - 12);
      }
      RC_ASSERT(record.IdCount() <= kSmallRecord.maxIds);
      RC_ASSERT(record.EntryCount() <= kSmallRecord.maxEntries);
    }
  });
}
