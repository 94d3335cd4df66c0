#ifndef DOGWOODVALE_GATEWAY_DIRECTATTEMPT_H
#define DOGWOODVALE_GATEWAY_DIRECTATTEMPT_H

#include <memory>

#include "AnswerBuffers.h"
#include "AttemptTimeouts.h"
#include "EventSplitter.h"
#include "Ports.h"
#include "dogwoodvale/Quarantine"

namespace dogwoodvale {

/// How an attempt ended without an answer for the caller.
enum class AttemptFailure : std::uint8_t
{
  /// No byte was written.
  NotSent,
  /// The server states that it did not run the request.
  Refused,
  /// Another instance answers at the address.
  WrongInstance,
  /// The connection was lost after the request was sent.
  Lost,
  /// The server sent nothing for longer than AttemptTimeouts allows.
  Silent,
  /// The answer is malformed, truncated or not proven to be a backend server's.
  Garbled,
};

/// Name of the failure in log lines.
std::string_view
AttemptFailureName(AttemptFailure aFailure);

/// Whether the failure guarantees that the request has not run.
bool
IsNotRun(AttemptFailure aFailure);

/// Receives the events of an attempt. Callbacks may destroy the attempt.
class AttemptListener
{
public:
  virtual ~AttemptListener() = default;
  /// The attempt had to wait for a connection; the request is written after
  /// this, unless the attempt has been destroyed.
  virtual void OnAttemptConnected() = 0;
  /// The head of an answer arrived, also of one that fails later.
  virtual void OnAttemptHead(const BackendAnswer& aHead) = 0;
  /// One or more whole events of a stream.
  virtual void OnAttemptEvents(std::string_view aBytes) = 0;
  /// The stream is complete.
  virtual void OnAttemptStreamEnd() = 0;
  /// A complete answer that is not a stream.
  virtual void OnAttemptAnswer(std::string_view aBody) = 0;
  virtual void OnAttemptFailed(AttemptFailure aFailure,
                               std::string_view aReason) = 0;
  /// The server has sent nothing for longer than AttemptTimeouts allows. The
  /// attempt goes on, and this is called again while the silence lasts.
  virtual void OnAttemptSilent() = 0;
};

/// One request sent to one backend server, until its answer is complete or has
/// failed. Destroying it cancels the request by closing the connection.
class DirectAttempt final
  : public BackendCallHandler
  , public AnswerBuffers::Holder
{
public:
  struct Plan
  {
    InstanceName instance;
    std::string attemptId;
    bool expectsStream = false;
    /// Id of the last event that the caller has, if a stream is resumed.
    std::optional<std::uint64_t> resumeAfter;
    AttemptTimeouts timeouts;
    /// A pooled connection that has been idle for longer is not used.
    Duration maxConnectionIdle = Duration::max();
  };

  /// \param aBuffers must outlive the attempt.
  DirectAttempt(EventLoop& aLoop,
                const BackendProtocol& aProtocol,
                AnswerBuffers& aBuffers,
                Plan aPlan,
                AttemptListener& aListener);
  ~DirectAttempt() override;
  DirectAttempt(const DirectAttempt&) = delete;
  DirectAttempt& operator=(const DirectAttempt&) = delete;

  void Start(BackendClient& aClient, const HttpRequest& aRequest);
  /// Events go to another listener from now on.
  void SetListener(AttemptListener& aListener) { this->listener = &aListener; }

  const InstanceName& Instance() const { return this->plan.instance; }
  const BackendAnswer& Answer() const { return this->answer; }
  std::span<const HeaderField> Headers() const { return this->headers; }
  const std::optional<std::uint64_t>& LastEvent() const
  {
    return this->splitter.LastId();
  }
  /// Number of whole events with an id that have arrived.
  std::uint64_t EventCount() const { return this->splitter.EventCount(); }
  /// By what sign the answer was complete; nothing before that.
  const std::optional<AnswerEnd>& End() const { return this->end; }
  /// While reading is paused no silence is reported.
  void SetReadingPaused(bool aPaused);
  /// See BackendCall::HasUnread().
  bool HasUnread() const;
  /// How the connection broke after the request was sent, or the stream ended
  /// inside an event; nothing if neither.
  std::optional<BrokenAttempt> ConnectionBreak(TimePoint aNow) const;

  void OnConnected() override { this->listener->OnAttemptConnected(); }
  bool IsOwnAnswer(std::span<const HeaderField> aHeaders,
                   bool aIsFirst) override;
  void OnHead(int aStatus, std::span<const HeaderField> aHeaders) override;
  void OnBody(std::string_view aBytes) override;
  void OnComplete(AnswerEnd aEnd) override;
  void OnBytesBehind(std::string_view aBytes) override;
  void OnFailed(const absl::Status& aReason, bool aWritten) override;
  void OnEvicted() override;

  /// Bound on an answer that is not a stream; it is buffered until complete.
  static constexpr std::size_t kMaxBufferedBytes = 8U << 20U;

private:
  /// Whether another answer begins inside \p aBytes of the body. \param aBehind
  /// what came behind them.
  bool HasOtherAnswer(std::string_view aBytes, std::string_view aBehind) const;
  void Fail(AttemptFailure aFailure, std::string_view aReason);
  /// Restarts the time-out for the next part of the answer; 0 disables it.
  void RestartTimeout(Duration aTimeout);
  void OnSilence();

  const BackendProtocol& protocol;
  AnswerBuffers& buffers;
  Plan plan;
  AttemptListener* listener;
  EventSplitter splitter;
  Timer silenceTimer;
  std::unique_ptr<BackendCall> call;
  BackendAnswer answer;
  std::vector<HeaderField> headers;
  std::string body;
  /// What came behind the answer on its connection.
  std::string behind;
  bool isStream = false;
  /// Whether the answer is known to be of this request.
  bool isAttributed = true;
  std::optional<AnswerEnd> end;
  TimePoint startedAt{};
  /// Why the connection broke after the request was sent, or the stream ended
  /// inside an event; OK if neither.
  absl::Status breakReason;
};

} // namespace dogwoodvale

#endif
