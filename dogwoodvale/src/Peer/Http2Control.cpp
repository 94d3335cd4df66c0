#include "Http2Session.h"

#include <algorithm>

#include <openssl/crypto.h>

#include "Http2Callbacks.h"
#include "Http2Scope.h"

namespace dogwoodvale::internal {

namespace {

/// SETTINGS, PING and the like within one second; a peer of ours sends a few
/// in its life.
constexpr std::uint32_t kMaxControlFrames = 200;

/// Takes as long for a near miss as for a wild guess.
bool
IsSameSecret(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace

void
Http2Session::OpenControlStream()
{
  this->control.id = SubmitRequest(*this->session, "/control");
  this->SendControl(this->self);
}

void
Http2Session::SendControl(const Message& aMessage)
{
  AppendMessage(aMessage, this->control.out);
  this->OnQueued(this->control);
}

bool
Http2Session::OnControlData(std::string_view aBytes)
{
  this->control.unacknowledged += aBytes.size();
  this->Acknowledge(this->control);
  std::vector<Message> messages;
  const absl::Status status = this->control.reader.Feed(aBytes, messages);
  for (const Message& message : messages) {
    if (!this->OnControlMessage(message)) {
      return false;
    }
  }
  if (!status.ok()) {
    this->Close(status);
  }
  return !this->closed;
}

bool
Http2Session::OnControlMessage(const Message& aMessage)
{
  if (const auto* hello = std::get_if<Hello>(&aMessage);
      hello != nullptr && !this->ready) {
    return this->OnHello(*hello);
  }
  if (const auto* news = std::get_if<Notice>(&aMessage);
      news != nullptr && this->ready) {
    this->peerIdlePeriod = milliseconds(news->idlePeriodMillis);
    this->handler->OnNotice(*news);
    return !this->closed;
  }
  this->Close(absl::InvalidArgumentError(
    "the peer sent what does not belong on the control stream"));
  return false;
}

bool
Http2Session::OnHello(const Hello& aHello)
{
  if (aHello.protocolVersion != this->self.protocolVersion) {
    this->Close(MakeError(absl::StatusCode::kFailedPrecondition,
                          "the peer speaks version {}, this process {}",
                          aHello.protocolVersion,
                          this->self.protocolVersion));
    return false;
  }
  if (!IsSameSecret(aHello.secret, this->self.secret)) {
    this->Close(
      absl::PermissionDeniedError("the peer does not know the secret"));
    return false;
  }
  this->peer = aHello;
  this->peer.secret.clear();
  this->ready = true;
  if (this->side == Side::Listening) {
    this->SendControl(this->self);
  }
  this->ArmTimer();
  this->handler->OnReady(this->peer);
  return !this->closed;
}

void
Http2Session::SetNotice(const Notice& aNotice, bool aSendNow)
{
  this->notice = aNotice;
  if (aSendNow && this->IsReady()) {
    this->SendControl(this->notice);
  }
}

Duration
Http2Session::HeartbeatPeriod() const
{
  const Duration idle = milliseconds(this->notice.idlePeriodMillis);
  return this->streams.empty() ? std::max(this->options.heartbeatPeriod, idle)
                               : this->options.heartbeatPeriod;
}

Duration
Http2Session::SilenceBound() const
{
  return this->streams.empty()
           ? std::max(this->options.heartbeatTimeout, 3 * this->peerIdlePeriod)
           : this->options.heartbeatTimeout;
}

void
Http2Session::OnStreamOpened()
{
  if (this->streams.size() != 1) {
    return;
  }
  // Up to now the peer was allowed a longer silence, and it may not have seen
  // the stream yet: counted from its last byte, a healthy connection would be
  // closed on the spot.
  this->lastReceived = Now();
  this->ArmTimer();
}

/// Sleeps until something can be due; traffic does not move the timer.
void
Http2Session::ArmTimer()
{
  this->timerDue = this->ready
                     ? std::min(this->lastSent + this->HeartbeatPeriod(),
                                this->lastReceived + this->SilenceBound())
                     : this->opened + this->options.connectTimeout;
  this->timer.StartOnce(std::max(Between(Now(), this->timerDue), Duration(0)) +
                        milliseconds(1));
}

void
Http2Session::OnTimer()
{
  const Scope scope(*this);
  if (!this->failure.ok()) {
    this->Close(this->failure);
    return;
  }
  const TimePoint now = Now();
  if (!this->ready) {
    this->Close(absl::DeadlineExceededError("no hello came in time"));
    return;
  }
  // A process that was stopped itself finds old stamps when it goes on, with
  // the peer's heartbeats still unread in the kernel. Taking that for the
  // peer's silence would cut every stream of a healthy connection.
  if (now - this->timerDue > this->options.heartbeatTimeout / 2) {
    this->lastReceived = now;
  }
  if (now - this->lastReceived >= this->SilenceBound()) {
    this->Close(MakeError(absl::StatusCode::kDeadlineExceeded,
                          "the peer was silent for {} ms",
                          WholeMillis(Between(this->lastReceived, now))));
    return;
  }
  if (now - this->lastSent >= this->HeartbeatPeriod()) {
    // Stamped here as well: what waits behind a full socket is not sent.
    this->lastSent = now;
    this->SendControl(this->notice);
  }
  this->ArmTimer();
}

/// A planned stop is told by a Notice; a go-away of HTTP/2 comes only from a
/// session that has ended, while its socket may stay open.
bool
Http2Session::OnGoAway()
{
  this->Close(absl::UnavailableError("the peer gave the connection up"));
  return false;
}

bool
Http2Session::OnControlFrame()
{
  const TimePoint now = Now();
  if (now - this->floodWindowStart > seconds(1)) {
    this->floodWindowStart = now;
    this->controlFrames = 0;
  }
  if (++this->controlFrames > kMaxControlFrames) {
    this->Close(absl::ResourceExhaustedError(
      "the peer floods this process with control frames"));
    return false;
  }
  return true;
}

} // namespace dogwoodvale::internal
