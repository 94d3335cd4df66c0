#ifndef DOGWOODVALE_GATEWAY_DIRECTATTEMPT_H
#define DOGWOODVALE_GATEWAY_DIRECTATTEMPT_H

#include <memory>

#include "AttemptPatience.h"
#include "EventSplitter.h"
#include "Ports.h"
#include "dogwoodvale/Quarantine"

namespace dogwoodvale {

/// How an attempt ended without an answer for the caller.
enum class AttemptFailure : std::uint8_t
{
  /// No byte was written.
  NotSent,
  /// The server says that it did not run the request.
  Refused,
  /// Another instance has the address.
  WrongInstance,
  /// The connection was lost after the request was sent.
  Lost,
  /// Nothing came for longer than patience lasts.
  Silent,
  /// What came is no answer, or not a whole one.
  Garbled,
};

std::string_view
AttemptFailureName(AttemptFailure aFailure);

/// Whether the request has surely not run.
bool
IsNotRun(AttemptFailure aFailure);

/// Is told how an attempt goes. Callbacks may destroy the attempt.
class AttemptListener
{
public:
  virtual ~AttemptListener() = default;
  /// The head of an answer, whatever comes of the answer.
  virtual void OnAttemptHead(const BackendAnswer& aHead) = 0;
  /// Whole events of a stream; the first call is the first sign of the answer.
  virtual void OnAttemptEvents(std::string_view aBytes) = 0;
  /// The stream is whole.
  virtual void OnAttemptStreamEnd() = 0;
  /// A whole answer that is not a stream.
  virtual void OnAttemptAnswer(std::string_view aBody) = 0;
  virtual void OnAttemptFailed(AttemptFailure aFailure,
                               std::string_view aReason) = 0;
};

/// One request sent to one backend server, until its answer is whole or will
/// not be. Destroying it cancels by closing the connection.
class DirectAttempt final : public BackendCallHandler
{
public:
  struct Plan
  {
    InstanceName instance;
    std::string attemptId;
    bool expectsStream = false;
    /// The last event that the caller has.
    std::optional<std::uint64_t> resumeAfter;
    AttemptPatience patience;
    /// Oldest kept connection that may be used.
    Duration freshness = Duration::max();
  };

  DirectAttempt(EventLoop& aLoop,
                const BackendDialect& aDialect,
                Plan aPlan,
                AttemptListener& aListener);

  void Start(BackendClient& aClient, const HttpRequest& aRequest);

  const InstanceName& Instance() const { return this->plan.instance; }
  const BackendAnswer& Answer() const { return this->answer; }
  std::span<const HeaderField> Headers() const { return this->headers; }
  const std::optional<std::uint64_t>& LastEvent() const
  {
    return this->splitter.LastId();
  }
  void SetReadingPaused(bool aPaused);
  /// How its connection broke after the request was sent, if it did.
  std::optional<BrokenAttempt> Break(TimePoint aNow) const;

  bool IsOwnAnswer(std::span<const HeaderField> aHeaders) override;
  void OnHead(int aStatus, std::span<const HeaderField> aHeaders) override;
  void OnBody(std::string_view aBytes) override;
  void OnComplete() override;
  void OnFailed(const absl::Status& aReason, bool aWritten) override;

  /// Most bytes of an answer that is held until it is whole.
  static constexpr std::size_t kMaxHeldBytes = 8U << 20U;

private:
  void Fail(AttemptFailure aFailure, std::string_view aReason);
  void Wait(Duration aPatience);

  const BackendDialect& dialect;
  Plan plan;
  AttemptListener& listener;
  EventSplitter splitter;
  Timer silence;
  std::unique_ptr<BackendCall> call;
  BackendAnswer answer;
  std::vector<HeaderField> headers;
  std::string body;
  bool isStream = false;
  TimePoint startedAt{};
  /// Why the connection broke after the request was sent; OK if it did not.
  absl::Status breakReason;
};

} // namespace dogwoodvale

#endif
