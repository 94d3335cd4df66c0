#ifndef DOGWOODVALE_SETTINGS_MEMORYSHARES_H
#define DOGWOODVALE_SETTINGS_MEMORYSHARES_H

#include <cstddef>
#include <cstdint>

namespace dogwoodvale {

/// How the memory of a process is shared out among what grows with its callers
/// and servers; the table in docs/CONFIGURATION.md. All in bytes.
struct MemoryShares
{
  explicit MemoryShares(std::uint32_t aMegabytes);

  /// Requests that are received or answered, and answers that callers have not
  /// taken; see MemoryBudget. As much again is for the copies of requests that
  /// are being sent to servers.
  std::size_t requests;
  /// What lies unread in the sockets of callers.
  std::size_t sockets;
  /// The callers' connections themselves, kConnection for each.
  std::size_t connections;
  /// Answers that are held until they are complete.
  std::size_t answers;
  /// Requests and answers at the port for operators, and as much again at the
  /// port for other gateways.
  std::size_t operators;

  /// The largest body that fits while nothing else is held.
  std::size_t LargestBody() const;

  /// Of one connection: its smallest receive buffer, its objects and the
  /// library's.
  static constexpr std::size_t kConnection = 7U << 10U;
  /// The smallest memory of a process, in MiB: it holds what the process needs
  /// at rest, and the shares hold one body of the default size.
  static constexpr std::uint32_t kSmallest = 48;
};

} // namespace dogwoodvale

#endif
