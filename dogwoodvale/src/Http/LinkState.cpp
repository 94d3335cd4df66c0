#include "LinkState.h"

#include <cerrno>
#include <cstring>

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace dogwoodvale::internal {

void
LinkState::Record(int aError)
{
  const bool isTransient =
    aError == EAGAIN || aError == EWOULDBLOCK || aError == EINTR;
  if (this->error == 0 && !isTransient) {
    this->error = aError;
  }
}

absl::Status
LinkState::Status() const
{
  if (this->error == 0) {
    return absl::OkStatus();
  }
  const absl::StatusCode code = this->error == ETIMEDOUT
                                  ? absl::StatusCode::kDeadlineExceeded
                                  : absl::StatusCode::kUnavailable;
  return MakeError(code, "{}", std::strerror(this->error));
}

bool
HasInput(int aSocket)
{
  pollfd state{ aSocket, POLLIN, 0 };
  return poll(&state, 1, 0) != 0;
}

bool
IsAllAcknowledged(int aSocket)
{
  int bytes = 0;
  return ioctl(aSocket, SIOCOUTQ, &bytes) != 0 || bytes == 0;
}

} // namespace dogwoodvale::internal
