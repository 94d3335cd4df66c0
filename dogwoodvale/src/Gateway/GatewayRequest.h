#ifndef DOGWOODVALE_GATEWAY_GATEWAYREQUEST_H
#define DOGWOODVALE_GATEWAY_GATEWAYREQUEST_H

#include <memory>
#include <optional>
#include <vector>

#include "Admission.h"
#include "AttemptHealth.h"
#include "BackendPool.h"
#include "CrashGuard.h"
#include "DirectAttempt.h"
#include "OriginFinder.h"
#include "StreamObserver.h"

namespace dogwoodvale {

class GatewayRequest;

/// Why a stream that has begun was not continued, at its caller's request or
/// after a server broke off.
enum class ResumptionRefusal : std::uint8_t
{
  None,
  /// No gateway that answered knows what began it.
  OriginUnknown,
  /// Its route no longer leads to the service that began it.
  ServiceGone,
  /// No server of its software version takes it.
  NoServer,
};

/// For metrics.
std::string_view
ResumptionRefusalName(ResumptionRefusal aRefusal);

/// For callers and logs.
std::string_view
ResumptionRefusalText(ResumptionRefusal aRefusal);

/// How a request ended, for logs and metrics.
struct GatewayOutcome
{
  /// HTTP status that the caller got; 0 if none.
  int status = 0;
  bool complete = false;
  bool abandoned = false;
  std::optional<RequestError> error;
  /// The server of the last attempt, and the version of its software.
  InstanceName instance;
  std::string softwareVersion;
  /// The last placement decision, with the estimates behind it.
  Placement placement;
  /// Prompt tokens expected in the cache of the server placed last.
  std::uint32_t cachedTokens = 0;
  /// Requests at that server when it was chosen: according to the gateways, and
  /// to the server's own recent report if there is one.
  std::uint32_t believedRequests = 0;
  std::optional<std::uint32_t> reportedRequests;
  /// See DirectCandidate::timeFactor.
  double timeFactor = 1.0;
  /// The customer was over its share of the service, which was short of
  /// capacity, when the request was placed or refused.
  bool overShare = false;
  bool refusedForShare = false;
  /// From acceptance to the first part of an answer; 0 if none came.
  Duration firstResponse{ 0 };
  /// The longest time between two consecutive parts of a stream.
  Duration longestGap{ 0 };
  /// Mean time between two events of a stream; 0 if it has no two.
  Duration meanPause{ 0 };
  /// As predicted when the request was sent; 0 if it was not.
  Duration expectedPause{ 0 };
  /// From acceptance to the end.
  Duration total{ 0 };
  std::uint32_t attempts = 0;
  /// How often the stream was resumed on another server.
  std::uint32_t resumes = 0;
  /// How often another server was asked to take over from a silent one, and
  /// how often it did.
  std::uint32_t successors = 0;
  std::uint32_t takeOvers = 0;
  /// What began the stream that the caller resumes, if that is known.
  std::optional<FoundOrigin> origin;
  /// None unless a stream that has begun could not be continued.
  ResumptionRefusal refusedResumption = ResumptionRefusal::None;
  /// The part of the prompt for which the request was refused; 0 if it was not
  /// refused for one.
  Fingerprint quarantinedPart = 0;
  /// By what sign the server's answer was complete; nothing before that.
  std::optional<AnswerEnd> answerEnd;
  /// Bytes of its body that were passed on to the caller.
  std::uint64_t answerBytes = 0;
  /// Chunks of one or more whole events passed on to the caller.
  std::uint64_t events = 0;
};

/// What a request that has no whole answer yet waits for.
enum class RequestPhase : std::uint8_t
{
  /// Other gateways are asked what began its stream.
  FindingOrigin,
  /// Requests suspected of crashing servers take turns.
  AwaitingTurn,
  /// A server has it and has sent nothing of the answer.
  AwaitingAnswer,
  /// A server sends events.
  Streaming,
};

/// Name of the phase in log lines.
std::string_view
RequestPhaseName(RequestPhase aPhase);

/// How far a request is that has no whole answer yet, for logs.
struct RequestProgress
{
  RequestPhase phase = RequestPhase::AwaitingAnswer;
  /// Since it was accepted.
  Duration age{ 0 };
  /// Since the last event of its stream; since it was accepted if it has none.
  Duration sinceEvent{ 0 };
  /// Bytes of the answer that the caller's socket has not taken.
  std::size_t unsentBytes = 0;
};

/// The services of the gateway that a request uses.
class GatewayRequestHost
{
public:
  virtual ~GatewayRequestHost() = default;
  virtual EventLoop& Loop() = 0;
  virtual BackendPool& Backends() = 0;
  virtual const GatewayPorts& Ports() const = 0;
  virtual RetryWindow& RetriesOf(const ServiceName& aService) = 0;
  virtual Placer& RequestPlacer() = 0;
  virtual CrashGuard& Crashes() = 0;
  virtual OriginFinder& Origins() = 0;
  virtual AnswerBuffers& Answers() = 0;
  virtual std::mt19937_64& Random() = 0;
  /// Age of the list of backend servers, for logs.
  virtual Duration ListAge() const = 0;
  /// A request was sent; the host announces this to the other gateways.
  /// \param aLongTokens prompt tokens that the server has to prefill if the
  /// prompt is long; 0 for other prompts.
  virtual void OnSent(const InstanceName& aInstance,
                      std::span<const PromptStep> aSteps,
                      std::uint32_t aLongTokens) = 0;
  /// A server started to run the request; called once per request.
  virtual void OnExecutionStarted(const CustomerName& aCustomer,
                                  TimePoint aStarted) = 0;
  /// The request is done; the host destroys it later, not in this call.
  virtual void OnDone(GatewayRequest& aRequest) = 0;
};

/// One caller's request from its acceptance to its final answer.
///
/// DecideRetry() alone decides whether a request is sent again; this class
/// collects its inputs and carries out the verdict.
class GatewayRequest final
  : public CallerExchangeHandler
  , public AttemptListener
{
public:
  GatewayRequest(GatewayRequestHost& aHost,
                 std::unique_ptr<CallerExchange> aExchange,
                 AdmittedRequest aAdmitted);
  ~GatewayRequest() override;

  void Start();

  const AdmittedRequest& Admitted() const { return this->admitted; }
  const GatewayOutcome& Outcome() const { return this->outcome; }
  bool IsDone() const { return this->done; }
  RequestProgress Progress(TimePoint aNow) const;
  /// The process is about to exit: ends the request with an error, unless its
  /// answer has begun.
  void OnStopEnds();

  void OnCallerGone() override;
  void OnDrained() override;

  void OnAttemptConnected() override;
  void OnAttemptHead(const BackendAnswer& aHead) override;
  void OnAttemptEvents(std::string_view aBytes) override;
  void OnAttemptStreamEnd() override;
  void OnAttemptAnswer(std::string_view aBody) override;
  void OnAttemptFailed(AttemptFailure aFailure,
                       std::string_view aReason) override;
  void OnAttemptSilent() override;

  /// Bytes buffered for a slow caller above which reading from the server
  /// pauses.
  static constexpr std::size_t kCallerBufferBytes = 256U << 10U;

private:
  struct Sent
  {
    InstanceName instance;
    std::string softwareVersion;
    BackendWork work;
    TimePoint at{};
    /// Between two events of a stream, as predicted.
    Duration expectedPause{ 0 };
    /// The server had fewer known requests than slots when it was chosen.
    bool hadFreeSlot = false;
    bool hasResponded = false;
    /// When the first event of this attempt arrived.
    std::optional<TimePoint> begunAt{};
    /// CrashGuard::OnPassed() was called.
    bool hasPassed = false;
    /// It has been silent for too long at least once.
    bool wasSilent = false;
    /// Up to when the memory that it takes counts as the customer's use.
    TimePoint heldUntil{};
  };

  const HostRoute& GetRoute() const { return *this->admitted.route; }
  Duration TimeLeft(TimePoint aNow) const;
  bool MayRepeat() const { return this->GetRoute().MayRepeat(); }
  /// Finds what began the stream that the caller resumes, then sends the
  /// request to a server that may continue it.
  void StartResumption();
  void OnOrigin(const std::optional<FoundOrigin>& aFound);
  /// Records what may be about to begin the stream, in case the caller has to
  /// resume it.
  void RecordOrigin(TimePoint aNow);
  /// Before a retry: keeps it to the software version of the first attempt if
  /// another gateway may already take the stream for one of that version.
  void KeepReportedOrigin();
  void RefuseResumption(ResumptionRefusal aWhy);
  /// Places the request and sends it, unless it has to wait or is refused.
  void TryNext();
  /// Checks the request against those suspected of crashing servers.
  /// \return whether it may be sent now; if not, it waits for a timer or has
  /// been given up.
  bool PassesCrashGuard(TimePoint aNow);
  PlacementRequest MakePlacementRequest(TimePoint aNow) const;
  /// The customer's standing if the service is short of capacity and the
  /// request may still be refused.
  std::optional<ShareStanding> StandingWhileShort(TimePoint aNow) const;
  /// Records whether there was capacity for the request, and refuses it if its
  /// customer is over its share and there was not.
  /// \return whether it was refused.
  bool IsRefusedForShare(const CapacityFinding& aFinding,
                         const std::optional<ShareStanding>& aStanding,
                         TimePoint aNow);
  /// Counts the memory held since the last call as the customer's use.
  void RecordHeldMemory(Sent& aSent, TimePoint aNow);
  /// A server that another attempt could be sent to, with a connection.
  struct Destination
  {
    DirectCandidate server;
    Placement placement;
    BackendClient* client = nullptr;
  };
  void SendTo(const Destination& aTo);
  /// Accounts for a request that is being sent; RecordDone() ends that.
  Sent RecordSent(const Destination& aTo, TimePoint aNow);
  void RecordDone(Sent& aSent);
  std::unique_ptr<DirectAttempt> MakeAttempt(const InstanceName& aInstance,
                                             AttemptListener& aListener,
                                             TimePoint aNow);
  void StartAttempt(DirectAttempt& aAttempt,
                    const Destination& aTo,
                    TimePoint aNow);
  BackendRequestMetadata MetadataFor(const InstanceName& aInstance,
                                     const Placement& aPlacement,
                                     TimePoint aNow) const;
  DirectAttempt::Plan PlanFor(const InstanceName& aInstance,
                              TimePoint aNow) const;
  AttemptHealth HealthOf(const InstanceName& aInstance) const;
  /// Refuses a request that no server has been sent yet, see RankGuard.
  /// \return whether it was refused.
  bool RefuseForRanks(TimePoint aNow);
  /// The same for one that would not begin at the server before its caller
  /// disconnects.
  bool RefuseForQueue(const DirectCandidate& aServer, TimePoint aNow);
  void OnOverdue();
  /// Reports to RankGuard that the request waits no longer for its answer.
  void EndWait(bool aHasAnswer);
  void RecordFirstResponse(TimePoint aNow);
  /// Reports that the prompt has got through, once per attempt.
  void RecordPassed();
  void RecordExecutionStart(TimePoint aStarted);
  void RecordGap(TimePoint aNow);
  /// Events that have arrived in this attempt; those without an id count as one
  /// for each part of the answer.
  std::uint64_t EventsOfAttempt() const;
  /// Passes the measurements of the complete stream to the decode model.
  void RecordStream(TimePoint aNow);
  void EndAttempt();
  void EndAttempts();
  void RecordHead(const InstanceName& aInstance, const BackendAnswer& aHead);
  /// Accounts for an attempt that is over without an answer for the caller.
  void RecordFailure(const Sent& aSent,
                     const DirectAttempt& aAttempt,
                     AttemptFailure aFailure,
                     TimePoint aNow);
  /// Retries, resumes or gives up after a failed attempt or an answer that must
  /// not be forwarded.
  void HandleFailure(AttemptFailure aFailure, std::string_view aReason);
  RetryVerdict Decide(AttemptFailure aFailure, TimePoint aNow);
  /// What is known of the request after the attempts that have ended.
  AttemptOutcome OutcomeSoFar() const;
  RetryAllowance AllowanceAt(TimePoint aNow, bool aIsFree);
  /// The servers that may take the request, and where it was placed, if at all.
  struct Placing
  {
    std::vector<DirectCandidate> candidates;
    std::optional<Placement> placed;
  };
  Placing PlaceBeside(std::span<const InstanceName> aExcluded,
                      const PlacementRequest& aWanted);
  // GatewayHandOver.cpp: another server takes over from a silent one.

  /// Finds a server that would take over from the one that has the request.
  /// \return nothing if none would now.
  std::optional<Destination> FindSuccessor(TimePoint aNow);
  /// The same, if the request may be sent once more.
  std::optional<Destination> DecideSuccessor(bool aHasUnread, TimePoint aNow);
  class Successor;
  /// Sends the request to another server beside the silent one. The first
  /// attempt ends when the second has something for the caller, and goes on if
  /// its server speaks first.
  void StartSuccessor(Destination aTo, TimePoint aNow);
  /// Whether the successor's server has the software that the stream needs.
  bool MayContinueAtSuccessor() const;
  /// The successor has something for the caller. \return whether it has become
  /// the request's attempt; if not, it is gone.
  bool TakeOver();
  /// The successor becomes the request's attempt, whose former one is done.
  void ContinueAtSuccessor();
  void OnSuccessorFailed(AttemptFailure aFailure, std::string_view aReason);
  void OnSuccessorSilent();
  /// Ends the successor, if there is one, and counts it as an attempt.
  void DropSuccessor(std::string_view aReason);
  void EndSuccessor();
  void LogSuccessor(std::string_view aResult, std::string_view aReason) const;
  /// Records the placement of the next attempt, for logs and metrics.
  void RecordPlacement(const DirectCandidate& aServer,
                       const Placement& aPlacement);
  bool ShouldForward(const BackendAnswer& aAnswer) const;
  void ForwardAnswer(std::string_view aBody);
  /// Ends the request because it or a part of its prompt is quarantined.
  void GiveUpQuarantined(Fingerprint aSubject);
  /// Ends the request with an error.
  /// \param aWait estimated time until a server accepts such a request; the
  /// Retry-After of the error is drawn from it. The time that is left of a
  /// quarantine is exact and is passed on as it is.
  void GiveUp(ErrorCode aCode,
              std::string_view aReason,
              Duration aWait = Duration::zero());
  /// Ends the request because no server accepts it now.
  void GiveUpUnplaced();
  void OnDeadline();
  void Finish();
  void LogAttempt(std::string_view aResult,
                  std::string_view aReason,
                  std::string_view aNext) const;

  GatewayRequestHost& host;
  std::unique_ptr<CallerExchange> exchange;
  AdmittedRequest admitted;
  const TimePoint accepted;
  TimePoint deadlineAt;
  Timer deadline;
  std::unique_ptr<DirectAttempt> attempt;
  std::optional<Sent> sent;
  /// The attempt that is to take over from a silent one; null if there is none.
  std::unique_ptr<Successor> successor;
  /// Servers that failed or refused the request; not tried again.
  std::vector<InstanceName> excluded;
  /// Failed attempts in which the request may have reached a server.
  std::uint32_t timesSent = 0;
  /// A server may have run the request, or part of it.
  bool mayHaveRun = false;
  bool hasStarted = false;
  bool streamStarted = false;
  /// Id of the last event passed on to the caller.
  std::optional<std::uint64_t> lastDeliveredEvent;
  TimePoint lastEventsAt{};
  StreamObserver observer;
  std::unique_ptr<OriginFinder::Query> originQuery;
  SuspectWait suspectWait;
  Timer suspectTimer;
  /// Ends when the request has waited for its first token for longer than twice
  /// its target; not started for requests that RankGuard does not know.
  Timer overdueTimer;
  enum class Wait : std::uint8_t
  {
    /// It does not wait, or RankGuard does not know it.
    None,
    InTime,
    Overdue,
  };
  Wait waitState = Wait::None;
  GatewayOutcome outcome;
  bool done = false;
};

} // namespace dogwoodvale

#endif
