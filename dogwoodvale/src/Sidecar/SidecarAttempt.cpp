#include "dogwoodvale/Sidecar"

#include <strings.h>

namespace dogwoodvale {

namespace {

/// Bytes held for a stream whose reader is slow, before the backend server's
/// socket is left unread.
constexpr std::size_t kHighWaterBytes = 256U << 10U;
constexpr int kHttpOk = 200;
constexpr std::string_view kRequestIdHeader = "X-Request-Id";

} // namespace

SidecarAttempt::SidecarAttempt(SidecarAttemptHost& aHost,
                               InstanceName aEntry,
                               std::unique_ptr<PeerStream> aStream)
  : host(aHost)
  , entry(std::move(aEntry))
  , stream(std::move(aStream))
  , arrived(Now())
{
  this->stream->SetHandler(this);
}

SidecarAttempt::~SidecarAttempt()
{
  this->stream->SetHandler(nullptr);
}

TimePoint
SidecarAttempt::Deadline() const
{
  return this->arrived + Duration(this->request.budgetMicros);
}

void
SidecarAttempt::OnMessage(Message aMessage)
{
  if (this->ended) {
    return;
  }
  if (this->offered) {
    if (auto* reply = std::get_if<ConfigurationReply>(&aMessage)) {
      this->EndOffer(std::move(*reply));
    }
    return;
  }
  if (this->opened) {
    return;
  }
  this->opened = true;
  if (auto* run = std::get_if<RunRequest>(&aMessage)) {
    this->request = std::move(*run);
    this->digest.emplace(this->request.id);
    this->host.OnRun(*this);
    return;
  }
  if (const auto* offer = std::get_if<ConfigurationOffer>(&aMessage)) {
    this->offered = true;
    this->host.OnOffer(*this, *offer);
    return;
  }
  if (const std::optional<Message> reply = this->host.OnQuery(aMessage)) {
    this->stream->Send(*reply);
  }
  this->stream->FinishSending();
  this->End(AttemptEnd::NotRun);
}

void
SidecarAttempt::Ask(const FetchConfiguration& aRequest)
{
  this->stream->Send(aRequest);
}

void
SidecarAttempt::EndOffer(absl::StatusOr<ConfigurationReply> aReply)
{
  this->stream->FinishSending();
  this->ended = true;
  this->host.OnOfferEnd(*this, std::move(aReply));
}

void
SidecarAttempt::Start(BackendClient& aBackend, TimePoint aNow)
{
  this->started = aNow;
  this->lastToken = aNow;
  const auto waited =
    static_cast<std::uint32_t>(Between(this->arrived, aNow).count());
  this->stream->Send(Started{ waited });
  HttpRequest http;
  http.method = this->request.method;
  http.path = this->request.path;
  http.headers = this->request.headers;
  http.headers.push_back(
    { std::string(kRequestIdHeader), ToString(this->request.id) });
  http.body = std::move(this->request.body);
  this->call = aBackend.Start(http, *this);
}

void
SidecarAttempt::Refuse(const RequestError& aError, bool aEarly)
{
  Failed failure;
  failure.code = aError.code;
  failure.early = aEarly;
  failure.disposition = aError.disposition;
  failure.detail = aError.detail;
  failure.retryAfterMillis =
    static_cast<std::uint32_t>(aError.retryAfter.count());
  this->Fail(std::move(failure), AttemptEnd::NotRun);
}

void
SidecarAttempt::Preempt()
{
  Failed failure;
  failure.code = ErrorCode::Evicted;
  failure.disposition = Disposition::MayHaveRun;
  failure.detail = "preempted for a higher tier";
  failure.resumable = true;
  this->Fail(std::move(failure), AttemptEnd::Preempted);
}

void
SidecarAttempt::OnLost(const absl::Status& aReason)
{
  if (this->offered && !this->ended) {
    this->EndOffer(aReason);
  } else if (!this->ended) {
    this->End(AttemptEnd::Withdrawn);
  }
}

void
SidecarAttempt::OnEnd()
{
  if (this->offered && !this->ended) {
    this->EndOffer(absl::UnavailableError("the offer was withdrawn"));
  }
}

void
SidecarAttempt::OnWritable()
{
  if (this->paused && this->call) {
    this->paused = false;
    this->call->SetReadingPaused(false);
  }
}

bool
SidecarAttempt::IsTokenAnswer() const
{
  return this->request.answerKind == AnswerKind::Tokens &&
         this->status == kHttpOk;
}

void
SidecarAttempt::OnHead(int aStatus, std::span<const HeaderField> aHeaders)
{
  this->status = aStatus;
  if (this->IsTokenAnswer()) {
    return;
  }
  this->host.OnFirstToken(*this, Between(this->started, Now()));
  Chunk head;
  head.status = static_cast<std::uint16_t>(aStatus);
  head.headers = WithoutHopByHop(aHeaders);
  // The entry's own HTTP frames the body anew.
  std::erase_if(head.headers, [](const HeaderField& aField) {
    return strcasecmp(aField.name.c_str(), "Content-Length") == 0;
  });
  this->SendChunk(std::move(head));
}

void
SidecarAttempt::OnBody(std::string_view aBytes)
{
  if (!this->IsTokenAnswer()) {
    Chunk part;
    part.text = std::string(aBytes);
    this->SendChunk(std::move(part));
    return;
  }
  TokenBatch batch;
  const absl::Status fed = this->tokenStream.Feed(aBytes, batch);
  if (batch.tokens > 0) {
    this->SendTokens(batch);
  }
  if (!fed.ok()) {
    this->OnFailed(fed, true);
  }
}

void
SidecarAttempt::SendTokens(const TokenBatch& aBatch)
{
  const TimePoint now = Now();
  if (this->tokens == 0) {
    this->host.OnFirstToken(*this, Between(this->started, now));
  } else {
    this->host.OnTokens(
      *this, aBatch.tokens, Between(this->lastToken, now) / aBatch.tokens);
  }
  this->lastToken = now;
  this->tokens += aBatch.tokens;
  Chunk chunk;
  chunk.tokens = aBatch.tokens;
  chunk.text = aBatch.text;
  this->SendChunk(std::move(chunk));
}

void
SidecarAttempt::SendChunk(Chunk aChunk)
{
  aChunk.sequence = this->nextSequence++;
  this->digest->Add(aChunk.text);
  this->stream->Send(aChunk);
  // Without this a caller that reads slowly would have its whole answer held
  // here; leaving the socket unread lets TCP slow the engine's stream instead.
  if (!this->paused && this->call &&
      this->stream->QueuedBytes() > kHighWaterBytes) {
    this->paused = true;
    this->call->SetReadingPaused(true);
  }
}

void
SidecarAttempt::OnComplete(AnswerEnd /*aEnd*/)
{
  // HTTP may end an answer cleanly that the engine itself did not finish.
  if (this->IsTokenAnswer() && !this->tokenStream.IsWhole()) {
    this->OnFailed(absl::DataLossError("the engine's answer was cut"), true);
    return;
  }
  this->Complete();
}

void
SidecarAttempt::Complete()
{
  Finished finished;
  finished.count = this->nextSequence;
  finished.checksum = this->digest->Value();
  finished.finishReason = std::string(this->tokenStream.FinishReason());
  finished.promptTokens = this->tokenStream.PromptTokens();
  finished.completionTokens = this->tokens;
  finished.load = this->host.CurrentLoad(this->entry);
  this->stream->Send(finished);
  this->stream->FinishSending();
  this->End(AttemptEnd::Completed);
}

void
SidecarAttempt::OnFailed(const absl::Status& aReason, bool aWritten)
{
  if (this->ended) {
    return;
  }
  this->unreached = !aWritten;
  Failed failure;
  failure.code = ErrorCode::BackendFailed;
  // Nothing was handed to the socket, so the backend server can't have seen
  // it; and this id is never started again, see StartRecord.
  failure.disposition =
    aWritten ? Disposition::MayHaveRun : Disposition::NotRun;
  failure.detail = std::string(MessageOf(aReason));
  failure.resumable = this->IsTokenAnswer();
  this->Fail(std::move(failure), AttemptEnd::BackendFailed);
}

void
SidecarAttempt::Fail(Failed aFailure, AttemptEnd aEnd)
{
  aFailure.load = this->host.CurrentLoad(this->entry);
  this->stream->Send(aFailure);
  this->stream->FinishSending();
  this->End(aEnd);
}

void
SidecarAttempt::End(AttemptEnd aEnd)
{
  this->ended = true;
  // Closes the connection to the backend server if it still answers.
  this->call.reset();
  this->host.OnEnded(*this, aEnd);
}

} // namespace dogwoodvale
