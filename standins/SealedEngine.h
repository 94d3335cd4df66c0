#ifndef DOGWOODVALE_STANDINS_SEALEDENGINE_H
#define DOGWOODVALE_STANDINS_SEALEDENGINE_H

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>

#include "JsonServer.h"

namespace dogwoodvale::standins {

struct SealedEngineSettings
{
  /// Its id; a request that expects another gets 421.
  std::string instance = "e1";
  /// Appended to the text of each event; empty for none.
  std::string softwareVersion;
  /// Events of each stream, and the pause between them.
  std::uint64_t events = 5;
  Duration gap = milliseconds(2);
  /// Time from a request to a whole answer or a stream's first event.
  Duration work = milliseconds(2);
  /// A request whose body contains this crashes the engine; empty for none.
  std::string crashBody;
  /// Ids of parts of prompts; a request with one of them before its last part
  /// crashes the engine.
  std::vector<std::string> crashParts;
  /// From the begin of such a run, which has its head and no event, to the
  /// crash.
  Duration crashDelay = milliseconds(50);
  /// Called once at the crash, after which the engine does no more work. Has to
  /// destroy it, in a later turn of the loop, or end the process.
  std::function<void()> onCrash;
};

/// What an engine has run.
struct SealedRun
{
  std::string id;
  TimePoint at{};
  std::string path;
  std::string body;
  std::string customer;
  std::string priority;
  std::int64_t deadlineMillis = 0;
  std::uint64_t resumedAfter = 0;
  /// Address of the engine from which it was to copy cached parts.
  std::string fetchFrom;
  /// The parts of its prompt, as stated.
  std::string prompt;
  /// Headers that no caller may set, as the engine got them.
  std::string forbidden;
  /// "running", "complete", "cancelled", "crashed".
  std::string end = "running";
};

/// A request that reached an engine, run or not.
struct SealedArrival
{
  std::string id;
  TimePoint at{};
  bool turnedAway = false;
};

/// A stand-in of a backend server on the users' platform, model engine or plain
/// service: proves its answers, streams events with ids, resumes after an
/// event, and says when it has not run a request.
///
/// A path that contains "/stream/" is answered by events, as many as a query
/// "events=N" says; other answers carry as many more bytes as "bytes=N" says.
/// POST /standin/fault {"crash_after":N,"refuse":true,
/// "error":true,"hang":true,"skip":true,"no_proof":true,"rate_limit":"2.5",
/// "leaving":true,"retry_after":"1.5","load":"3,0,64,120","pause_ms":M,
/// "pause_every":N,"work_ms":M,"clear":true}; GET /standin/record.
class SealedEngine : public RequestHandler
{
public:
  static absl::StatusOr<std::unique_ptr<SealedEngine>> Create(
    EventLoop& aLoop,
    const SocketAddress& aListen,
    const SealedEngineSettings& aSettings);

  const SocketAddress& Address() const { return this->server->Address(); }
  const std::vector<SealedRun>& Runs() const { return this->runs; }
  const std::vector<SealedArrival>& Arrivals() const { return this->arrivals; }
  Json::Value Record() const;
  /// refuse: 503 that says it has not run; error: 500 after running; hang: runs
  /// and never answers; crash_after: cuts each stream after so many events;
  /// skip: leaves out an event; no_proof: answers without its mark; rate_limit:
  /// the text in which all answers name the requests a second that it takes;
  /// leaving: all answers say that it leaves; retry_after: the
  /// text in which a refusal names the seconds of rest that it asks for; load:
  /// the text in which all answers state its load; pause_ms: one run in
  /// pause_every (each, if not given) sends nothing for so long, once in the
  /// middle of its stream or before its whole answer.
  void SetFault(const Json::Value& aFault);
  bool HasCrashed() const { return this->crashed; }

  void OnRequest(Exchange& aExchange) override;
  void OnClosed(Exchange& aExchange) override;

private:
  struct Faults
  {
    bool refuse = false;
    bool error = false;
    bool hang = false;
    bool skip = false;
    bool noProof = false;
    std::uint64_t crashAfter = 0;
    std::string rateLimit;
    bool leaving = false;
    std::string retryAfter;
    std::string load;
    Duration pause{ 0 };
    std::uint64_t pauseEvery = 1;
    /// In place of the settings' own, if not negative.
    Duration work{ -1 };
  };
  struct Work
  {
    std::size_t run = 0;
    bool streams = false;
    bool begun = false;
    bool crashes = false;
    std::uint64_t next = 1;
    std::uint64_t last = 0;
    /// Of a pause that is still to come; 0 if none is.
    Duration pause{ 0 };
    TimePoint due{};
  };

  SealedEngine(EventLoop& aLoop, const SealedEngineSettings& aSettings);
  void Control(Exchange& aExchange);
  /// Whether the run ends the engine.
  bool IsCrashing(const SealedRun& aRun) const;
  void Begin(Exchange& aExchange);
  Duration WorkTime() const;
  std::uint64_t LastEventOf(const SealedRun& aRun) const;
  void End(SealedRun& aRun, const char* aHow);
  void AddLoad(Exchange& aExchange) const;
  void AddNeeds(Exchange& aExchange) const;
  void OnTick();
  /// \return whether the exchange is over.
  bool Step(Exchange& aExchange, Work& aWork, TimePoint aNow);
  void Crash();
  void AddMarks(Exchange& aExchange, const SealedRun& aRun) const;

  SealedEngineSettings settings;
  Faults faults;
  std::vector<SealedRun> runs;
  std::vector<SealedArrival> arrivals;
  std::map<Exchange*, Work> working;
  bool crashed = false;
  Timer tick;
  /// Last, so that it goes first: its end closes exchanges.
  std::unique_ptr<JsonServer> server;
};

} // namespace dogwoodvale::standins

#endif
