#ifndef DOGWOODVALE_ENTRY_CALLERREQUEST_H
#define DOGWOODVALE_ENTRY_CALLERREQUEST_H

#include <memory>
#include <optional>
#include <vector>

#include "AnswerWriter.h"
#include "ClaimStore.h"
#include "Fleet.h"
#include "RequestResolver.h"
#include "dogwoodvale/Http"
#include "dogwoodvale/Requests"

namespace dogwoodvale {

class CallerRequest;

/// How a caller's request ended, for counting.
struct CallerOutcome
{
  bool complete = false;
  /// The caller left before the end.
  bool abandoned = false;
  /// Set when neither.
  std::optional<RequestError> error;
  Duration firstToken{ 0 };
  /// Mean over the answer; zero with fewer than two tokens.
  Duration betweenTokens{ 0 };
  Duration total{ 0 };
  Duration queueWait{ 0 };
  std::uint64_t tokens = 0;
  /// Tokens received that did not become part of a complete answer.
  std::uint64_t wastedTokens = 0;
  int attempts = 0;
  /// Early refusals, which cost the engines nothing.
  int hops = 0;
  int resumes = 0;
  int preemptions = 0;
};

/// What a request needs of its entry.
class CallerRequestHost
{
public:
  virtual ~CallerRequestHost() = default;
  virtual EventLoop& Loop() = 0;
  virtual Fleet& Servers() = 0;
  virtual ClaimStore& Claims() = 0;
  virtual RequestId NextId() = 0;
  virtual Epoch CurrentEpoch() const = 0;
  virtual RetryBudget& BudgetOf(const ResolvedRequest& aRequest) = 0;
  virtual std::mt19937_64& Random() = 0;
  virtual const EntrySettings& Bounds() const = 0;
  /// The request is done; the host destroys it later, not in this call.
  virtual void OnDone(CallerRequest& aRequest) = 0;
};

/// One caller's request from its acceptance to its final answer: attempts,
/// probes, resumes, and the answer's way back.
class CallerRequest final
  : public CallerExchangeHandler
  , public PeerStreamHandler
{
public:
  CallerRequest(CallerRequestHost& aHost,
                std::unique_ptr<CallerExchange> aExchange,
                ResolvedRequest aResolved,
                const RequestId& aId);
  ~CallerRequest() override;

  /// Makes the first attempt.
  void Start();
  /// Ends it before any attempt.
  void Refuse(const RequestError& aError);
  /// The process is about to exit: tells the caller what has become of it.
  void OnStopEnds();

  const RequestId& Id() const { return this->id; }
  const ResolvedRequest& Resolved() const { return this->resolved; }
  const HttpRequest& Http() const { return this->exchange->Request(); }
  const CallerOutcome& Outcome() const { return this->outcome; }
  bool IsDone() const { return this->done; }
  /// Whether it was started, and so counts against its customer's limits.
  bool WasAdmitted() const { return this->admitted; }

  void OnCallerGone() override;
  void OnDrained() override;

  void OnMessage(Message aMessage) override;
  void OnEnd() override;
  void OnLost(const absl::Status& aReason) override;

private:
  /// One attempt on one server.
  struct Running
  {
    InstanceName server;
    Attempt attempt;
    std::unique_ptr<PeerStream> stream;
    TimePoint sent;
    bool started = false;
    bool firstToken = false;
    std::uint64_t tokensBefore = 0;
  };
  /// Waits for the word on an attempt whose outcome is unclear.
  class ProbeStream;

  void CreateWriter();
  /// Whether a repeat of it must be recognised by its key.
  bool IsKeyed() const;
  void OpenClaim();
  void OnClaim(ClaimStep aStep);
  void TryNext();
  bool SendTo(const InstanceName& aServer);
  RunRequest MakeRun(const RequestId& aAttemptId) const;
  std::uint64_t EstimatedTokens() const;
  bool IsTokens() const;

  void OnStarted(const Started& aStarted);
  void OnChunk(const Chunk& aChunk);
  void OnFinished(const Finished& aFinished);
  void OnFailed(const Failed& aFailed);
  void NoteTokens(std::uint32_t aTokens);

  /// Another server may be free: goes there at once.
  void Hop();
  /// The attempt is over without a whole answer; what next.
  void Conclude(const RequestError& aError, SendResult aResult, bool aSettle);
  void StopAttempt(SendResult aResult);
  /// \param aCost what a further attempt takes from the retry budget.
  void Decide(const RequestError& aError, double aCost);
  /// Asks the sidecar about \p aLast; false if it can't be asked.
  bool AskAbout(const Running& aLast, const RequestError& aError);
  void OnProbeEnd(std::optional<Disposition> aWord);
  /// Drops what was received, to try again from the beginning.
  void StartOver();
  void OnDeadline();
  /// What is known of whether it ran, without asking.
  Disposition CurrentDisposition();
  void GiveUp(const RequestError& aError);
  void Finish();
  Duration BudgetLeft(TimePoint aNow) const;

  CallerRequestHost& host;
  std::unique_ptr<CallerExchange> exchange;
  ResolvedRequest resolved;
  const RequestId id;
  const TimePoint accepted;
  std::unique_ptr<AnswerWriter> writer;
  AnswerAssembler assembler;
  std::optional<Running> running;
  /// The last attempt, while its outcome is being asked for.
  std::optional<Attempt> unclear;
  RequestError pendingError;
  std::unique_ptr<ClaimRun> claim;
  std::unique_ptr<ProbeStream> probe;
  std::unique_ptr<ProbeStream> endedProbe;
  /// Servers that failed it, or refused it.
  std::vector<InstanceName> excluded;
  /// Those that failed it, which are not chosen again.
  std::vector<InstanceName> failed;
  std::uint32_t refusalsLeft = 0;
  /// Streams that ended inside their own callback.
  std::unique_ptr<PeerStream> endedStream;
  Timer deadline;
  Timer pause;
  CallerOutcome outcome;
  TimePoint firstTokenAt;
  TimePoint lastTokenAt;
  std::uint64_t promptTokens = 0;
  bool admitted = false;
  bool passedOn = false;
  /// Whether any attempt so far may have run.
  bool mayHaveRun = false;
  bool done = false;
};

/// The answer to a request that a stopping entry does not pass on.
RequestError
StoppingEntryError();

} // namespace dogwoodvale

#endif
