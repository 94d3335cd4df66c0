#ifndef DOGWOODVALE_HTTP_SOCKETBUFFERS_H
#define DOGWOODVALE_HTTP_SOCKETBUFFERS_H

#include <algorithm>
#include <cstddef>

namespace dogwoodvale::internal {

/// Shares out receive buffers to connections, so that what lies unread in all
/// their sockets has a bound, however slowly the loop comes to read it.
///
/// A new connection gets a fixed part of what is left (dynamic thresholds): few
/// connections have large buffers, many have small ones, and the sum stays
/// below the limit and kSmallest for each connection.
class SocketBuffers
{
public:
  explicit SocketBuffers(std::size_t aLimit)
    : limit(aLimit)
  {
  }

  void SetLimit(std::size_t aLimit) { this->limit = aLimit; }

  /// \return bytes of the new connection's receive buffer.
  std::size_t Grant()
  {
    const std::size_t left =
      this->limit > this->granted ? this->limit - this->granted : 0;
    const std::size_t bytes = std::clamp(left / kPart, kSmallest, kLargest);
    this->granted += bytes;
    return bytes;
  }
  void Return(std::size_t aBytes) { this->granted -= aBytes; }

  std::size_t Granted() const { return this->granted; }

  static constexpr std::size_t kSmallest = 4U << 10U;
  /// Of connections that are not accepted yet, too.
  static constexpr std::size_t kLargest = 32U << 10U;

private:
  static constexpr std::size_t kPart = 128;

  std::size_t limit;
  std::size_t granted = 0;
};

} // namespace dogwoodvale::internal

#endif
