#include "LinkTimeout.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace dogwoodvale::internal {

namespace {

/// Checks within the limit, so that it is extended in time on a busy loop.
constexpr int kChecksPerLimit = 4;
/// Segments in a row that a sound peer doesn't leave unanswered. Linux answers
/// two probes of its window a second at most, so that it may ignore one.
constexpr int kUnanswered = 2;

} // namespace

LinkTimeout::LinkTimeout(EventLoop& aLoop,
                         Duration aLimit,
                         std::function<void()> aOnGone)
  : limit(aLimit)
  , onGone(std::move(aOnGone))
  , timer(aLoop, [this] { this->Check(); })
{
}

void
LinkTimeout::Start(bufferevent* aStream)
{
  if (this->limit <= Duration::zero()) {
    return;
  }
  this->stream = aStream;
  const int descriptor = bufferevent_getfd(aStream);
  const auto set = [descriptor](int aLevel, int aOption, int aValue) {
    setsockopt(descriptor, aLevel, aOption, &aValue, sizeof(aValue));
  };
  // The system counts probes in whole seconds, one at least.
  const auto whole = std::max<Duration::rep>(
    1, std::chrono::duration_cast<seconds>(this->limit).count());
  this->SetSystemLimit(this->limit);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(whole));
  set(IPPROTO_TCP, TCP_KEEPINTVL, 1);
  set(IPPROTO_TCP, TCP_KEEPCNT, 1);
}

void
LinkTimeout::SetSystemLimit(Duration aLimit)
{
  if (aLimit == this->systemLimit) {
    return;
  }
  this->systemLimit = aLimit;
  const int millis = static_cast<int>(WholeMillis(aLimit));
  setsockopt(bufferevent_getfd(this->stream),
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &millis,
             sizeof(millis));
}

void
LinkTimeout::OnWritten()
{
  if (this->stream == nullptr || this->timer.IsPending()) {
    return;
  }
  this->writtenAt = Now();
  this->timer.StartOnce(this->limit / 2);
}

void
LinkTimeout::OnReceived()
{
  if (this->timer.IsPending()) {
    this->receivedAt = Now();
  }
}

void
LinkTimeout::OnAnswered()
{
  if (this->timer.IsPending() && this->Unacknowledged() == 0) {
    this->timer.Stop();
    this->SetSystemLimit(this->limit);
  }
}

std::size_t
LinkTimeout::Unacknowledged() const
{
  int queued = 0;
  ioctl(bufferevent_getfd(this->stream), SIOCOUTQ, &queued);
  return static_cast<std::size_t>(std::max(queued, 0)) +
         evbuffer_get_length(bufferevent_get_output(this->stream));
}

std::optional<LinkTimeout::Peer>
LinkTimeout::ReadPeer() const
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(
        bufferevent_getfd(this->stream), IPPROTO_TCP, TCP_INFO, &info, &size) !=
        0 ||
      size < sizeof(info) || info.tcpi_state != TCP_ESTABLISHED) {
    return std::nullopt;
  }
  // Some systems give the structure without keeping the times.
  const bool hasTimes = info.tcpi_last_data_sent != 0 ||
                        info.tcpi_last_ack_recv != 0 ||
                        info.tcpi_last_data_recv != 0;
  if (!hasTimes) {
    return std::nullopt;
  }
  return Peer{ milliseconds(
                 std::min(info.tcpi_last_ack_recv, info.tcpi_last_data_recv)),
               std::max(info.tcpi_probes, info.tcpi_retransmits),
               info.tcpi_unacked == 0 };
}

bool
LinkTimeout::IsGone(const Peer& aPeer) const
{
  const int limits = aPeer.isWindowClosed ? kClosedWindowLimits : 1;
  return aPeer.unanswered >= kUnanswered &&
         aPeer.sinceHeard > limits * this->limit;
}

void
LinkTimeout::Check()
{
  const TimePoint now = Now();
  if (this->Unacknowledged() == 0) {
    this->SetSystemLimit(this->limit);
    return;
  }
  const std::optional<Peer> peer = this->ReadPeer();
  if (peer && this->IsGone(*peer)) {
    this->onGone();
    return;
  }
  const TimePoint heardAt = peer ? now : this->receivedAt;
  if (heardAt > this->writtenAt) {
    this->SetSystemLimit(Between(this->writtenAt, heardAt) +
                         kClosedWindowLimits * this->limit);
  }
  this->timer.StartOnce(this->limit / kChecksPerLimit);
}

} // namespace dogwoodvale::internal
