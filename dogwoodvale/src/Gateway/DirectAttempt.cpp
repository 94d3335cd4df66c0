#include "DirectAttempt.h"

#include <utility>

namespace dogwoodvale {

namespace {

constexpr int kMisdirected = 421;
constexpr std::string_view kEventStream = "text/event-stream";
/// How often a silence that lasts is reported.
constexpr Duration kSilencePeriod = milliseconds(100);

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

std::string_view
AttemptFailureName(AttemptFailure aFailure)
{
  switch (aFailure) {
    case AttemptFailure::NotSent:
      return "not_sent";
    case AttemptFailure::Refused:
      return "refused";
    case AttemptFailure::WrongInstance:
      return "wrong_instance";
    case AttemptFailure::Lost:
      return "lost";
    case AttemptFailure::Silent:
      return "silent";
    case AttemptFailure::Garbled:
      return "garbled";
  }
  return "garbled";
}

bool
IsNotRun(AttemptFailure aFailure)
{
  return aFailure == AttemptFailure::NotSent ||
         aFailure == AttemptFailure::Refused ||
         aFailure == AttemptFailure::WrongInstance;
}

DirectAttempt::DirectAttempt(EventLoop& aLoop,
                             const BackendProtocol& aProtocol,
                             AnswerBuffers& aBuffers,
                             Plan aPlan,
                             AttemptListener& aListener)
  : protocol(aProtocol)
  , buffers(aBuffers)
  , plan(std::move(aPlan))
  , listener(&aListener)
  , splitter(this->plan.resumeAfter)
  , silenceTimer(aLoop, [this] { this->OnSilence(); })
{
}

DirectAttempt::~DirectAttempt()
{
  this->buffers.Remove(*this);
}

void
DirectAttempt::Start(BackendClient& aClient, const HttpRequest& aRequest)
{
  this->startedAt = Now();
  this->RestartTimeout(this->plan.timeouts.firstResponse);
  // On a kept connection an answer to a request without an id can't be told
  // from a late one to another request.
  this->call = aClient.StartFresh(aRequest,
                                  *this,
                                  this->plan.attemptId.empty()
                                    ? Duration::min()
                                    : this->plan.maxConnectionIdle);
}

std::optional<BrokenAttempt>
DirectAttempt::ConnectionBreak(TimePoint aNow) const
{
  if (this->breakReason.ok()) {
    return std::nullopt;
  }
  BrokenAttempt broken;
  broken.hasHead = this->answer.status != 0;
  broken.hasPart = this->splitter.EventCount() > 0;
  broken.timedOut = absl::IsDeadlineExceeded(this->breakReason);
  broken.after = Between(this->startedAt, aNow);
  return broken;
}

void
DirectAttempt::RestartTimeout(Duration aTimeout)
{
  if (aTimeout > Duration::zero()) {
    this->silenceTimer.StartOnce(aTimeout);
  } else {
    this->silenceTimer.Stop();
  }
}

void
DirectAttempt::OnSilence()
{
  this->silenceTimer.StartOnce(kSilencePeriod);
  this->listener->OnAttemptSilent();
}

void
DirectAttempt::SetReadingPaused(bool aPaused)
{
  if (this->call == nullptr) {
    return;
  }
  this->call->SetReadingPaused(aPaused);
  this->RestartTimeout(aPaused ? Duration::zero()
                               : this->plan.timeouts.betweenEvents);
}

bool
DirectAttempt::HasUnread() const
{
  return this->call != nullptr && this->call->HasUnread();
}

bool
DirectAttempt::IsOwnAnswer(std::span<const HeaderField> aHeaders, bool aIsFirst)
{
  const BackendAnswer head = this->protocol.ReadHead(0, aHeaders);
  this->isAttributed = !head.attemptId.empty() || aIsFirst;
  if (this->isAttributed) {
    return head.attemptId.empty() || head.attemptId == this->plan.attemptId;
  }
  // Without an id it may be of any request that the connection has carried.
  // Only what a run has produced is worth waiting for another answer.
  return !head.isGenuine || head.notRun;
}

void
DirectAttempt::OnHead(int aStatus, std::span<const HeaderField> aHeaders)
{
  this->answer = this->protocol.ReadHead(aStatus, aHeaders);
  this->headers = this->protocol.ForwardedHeaders(aHeaders);
  this->isStream = this->plan.expectsStream && IsSuccess(aStatus) &&
                   this->answer.mediaType.starts_with(kEventStream);
  this->listener->OnAttemptHead(this->answer);
}

void
DirectAttempt::OnBody(std::string_view aBytes)
{
  if (!this->isStream) {
    if (this->body.size() + aBytes.size() > kMaxBufferedBytes) {
      this->Fail(AttemptFailure::Garbled, "the answer is too long");
      return;
    }
    if (!this->buffers.Grow(*this, aBytes.size())) {
      this->OnEvicted();
      return;
    }
    this->body += aBytes;
    return;
  }
  if (!this->answer.isGenuine) {
    this->Fail(AttemptFailure::Garbled, "a stream with no proof of its server");
    return;
  }
  const absl::StatusOr<std::string_view> events = this->splitter.Feed(aBytes);
  if (!events.ok()) {
    this->Fail(AttemptFailure::Garbled, MessageOf(events.status()));
    return;
  }
  if (this->HasOtherAnswer(*events, {})) {
    this->Fail(AttemptFailure::Garbled, "another answer inside an event");
    return;
  }
  if (!events->empty()) {
    this->RestartTimeout(this->plan.timeouts.betweenEvents);
    this->listener->OnAttemptEvents(*events);
  }
}

void
DirectAttempt::OnComplete(AnswerEnd aEnd)
{
  this->end = aEnd;
  this->silenceTimer.Stop();
  if (!this->isAttributed) {
    this->Fail(AttemptFailure::Garbled,
               "an answer without an id on a kept connection");
    return;
  }
  if (this->answer.notRun) {
    this->Fail(this->answer.wrongInstance ? AttemptFailure::WrongInstance
                                          : AttemptFailure::Refused,
               "the server did not run it");
    return;
  }
  if (this->answer.wrongInstance || this->answer.status == kMisdirected) {
    this->Fail(AttemptFailure::WrongInstance, "another instance is there");
    return;
  }
  if (!this->isStream) {
    if (this->HasOtherAnswer(this->body, this->behind)) {
      this->Fail(AttemptFailure::Garbled, "another answer inside the body");
      return;
    }
    this->listener->OnAttemptAnswer(this->body);
    return;
  }
  if (this->splitter.HasPartialEvent() || this->splitter.EventCount() == 0) {
    // An answer without a length ends in order even if its server crashes.
    this->breakReason = absl::DataLossError("the stream ended inside an event");
    this->Fail(AttemptFailure::Garbled, "the stream ended inside an event");
    return;
  }
  this->listener->OnAttemptStreamEnd();
}

void
DirectAttempt::OnBytesBehind(std::string_view aBytes)
{
  this->behind = aBytes;
}

bool
DirectAttempt::HasOtherAnswer(std::string_view aBytes,
                              std::string_view aBehind) const
{
  return HasEmbeddedAnswer(
    aBytes, aBehind, [this](std::span<const HeaderField> aFields) {
      return !this->protocol.ReadHead(0, aFields).attemptId.empty();
    });
}

void
DirectAttempt::OnFailed(const absl::Status& aReason, bool aWritten)
{
  if (!aWritten) {
    this->Fail(AttemptFailure::NotSent, MessageOf(aReason));
    return;
  }
  this->breakReason = aReason;
  const bool isGarbled = absl::IsDataLoss(aReason) && this->answer.status != 0;
  this->Fail(isGarbled ? AttemptFailure::Garbled : AttemptFailure::Lost,
             MessageOf(aReason));
}

void
DirectAttempt::OnEvicted()
{
  this->Fail(AttemptFailure::Garbled,
             "the answer is the longest while memory for answers is short");
}

void
DirectAttempt::Fail(AttemptFailure aFailure, std::string_view aReason)
{
  this->silenceTimer.Stop();
  // Destroying the call closes the connection, so that the server stops working
  // on the request. The call and a copy of the reason outlive the callback,
  // which may destroy this attempt.
  const std::unique_ptr<BackendCall> ended = std::move(this->call);
  const std::string reason(aReason);
  this->listener->OnAttemptFailed(aFailure, reason);
}

} // namespace dogwoodvale
