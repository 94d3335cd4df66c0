#include "HttpStoreWatch.h"

#include <utility>

#include "StoreJson.h"

namespace dogwoodvale::internal {

namespace {

/// Of one line of the watch: an event with its values.
constexpr std::size_t kMaxLineBytes = 16U << 20U;

} // namespace

HttpStoreWatch::HttpStoreWatch(StoreClient& aClient,
                               StoreCalls& aCalls,
                               std::string aPrefix,
                               StoreWatchHandler& aHandler)
  : client(aClient)
  , calls(aCalls)
  , prefix(std::move(aPrefix))
  , handler(aHandler)
  , backoff(aCalls.NewBackoff())
  , timer(aCalls.Loop(), [this] { this->Read(); })
  , createdTimer(aCalls.Loop(), [this] {
    this->OnLoss(absl::DeadlineExceededError(
      "the store did not confirm the watch in time"));
  })
{
  this->Read();
}

void
HttpStoreWatch::Read()
{
  this->stream.reset();
  this->call = this->client.Range(
    { .key = this->prefix, .isPrefix = true },
    [this](const absl::StatusOr<RangeResult>& aResult) {
      if (!aResult.ok()) {
        this->OnLoss(aResult.status());
        return;
      }
      this->handler.OnContact();
      this->handler.OnSnapshot(aResult->revision, aResult->values);
      this->Arm(aResult->revision + 1);
    });
}

void
HttpStoreWatch::Arm(Revision aFrom)
{
  this->buffer.clear();
  this->armedAt = Now();
  this->calls.ChargeWatch();
  HttpCall request;
  request.address = this->calls.Endpoint();
  request.method = "POST";
  request.path = "/v3/watch";
  request.body = WriteJson(WatchToJson(this->prefix, aFrom));
  request.timeout = this->calls.Options().watchSilence;
  this->createdTimer.StartOnce(this->calls.Options().timeout);
  this->stream = HttpExchange::StartStream(
    this->calls.Loop(),
    request,
    [this](std::string_view aBytes) { this->OnBytes(aBytes); },
    [this](const HttpAnswer& aAnswer) {
      absl::Status reason = aAnswer.status;
      if (reason.ok()) {
        reason = aAnswer.code == 200
                   ? absl::UnavailableError("the store ended the watch")
                   : StatusOfCode(aAnswer);
      }
      this->OnLoss(reason);
    });
}

void
HttpStoreWatch::OnBytes(std::string_view aBytes)
{
  const std::size_t searched = this->buffer.size();
  this->buffer += aBytes;
  std::size_t begin = 0;
  for (std::size_t end = this->buffer.find('\n', searched);
       end != std::string::npos;
       end = this->buffer.find('\n', begin)) {
    const std::string_view line =
      std::string_view(this->buffer).substr(begin, end - begin);
    begin = end + 1;
    if (!line.empty() && !this->HandleLine(line)) {
      return;
    }
  }
  this->buffer.erase(0, begin);
  if (this->buffer.size() > kMaxLineBytes) {
    this->OnLoss(
      absl::ResourceExhaustedError("a line of the watch is too long"));
  }
}

bool
HttpStoreWatch::HandleLine(std::string_view aLine)
{
  const absl::StatusOr<WatchLine> line = WatchLineFromJson(aLine);
  if (!line.ok()) {
    this->OnLoss(line.status());
    return false;
  }
  if (line->isCanceled) {
    this->OnLoss(MakeError(
      absl::StatusCode::kOutOfRange, "watch cancelled: {}", line->reason));
    return false;
  }
  this->createdTimer.Stop();
  this->backoff.Reset();
  this->handler.OnContact();
  if (!line->changes.empty()) {
    this->handler.OnChanges(line->revision, line->changes);
  }
  return true;
}

void
HttpStoreWatch::OnLoss(const absl::Status& aReason)
{
  this->stream.reset();
  this->createdTimer.Stop();
  // A watch without data is not reported as lost: it is only re-armed, and the
  // read that goes with that shows whether the store is reachable.
  const bool isIdleTimeout =
    aReason.code() == absl::StatusCode::kDeadlineExceeded &&
    Now() - this->armedAt >= this->calls.Options().watchSilence;
  if (!isIdleTimeout) {
    this->calls.NextEndpoint();
    this->handler.OnLost(aReason);
  }
  this->timer.StartOnce(this->backoff.Next(this->calls.DrawUniform()));
}

} // namespace dogwoodvale::internal
