#ifndef DOGWOODVALE_PLACEMENT_RANKUPDATE_H
#define DOGWOODVALE_PLACEMENT_RANKUPDATE_H

#include <cstdint>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Requests of one rank of a service that go without an answer at one gateway.
struct RankUpdate
{
  ServiceName service;
  /// See RouteTable::RankOf().
  std::uint32_t rank = 0;
  /// Requests in flight that have waited for their first token for longer than
  /// twice their target.
  std::uint32_t overdue = 0;
  /// Requests that ended without an answer within the last second.
  std::uint32_t lost = 0;
  /// Requests that got their first token within the last second.
  std::uint32_t begun = 0;

  bool operator==(const RankUpdate&) const = default;
};

} // namespace dogwoodvale

#endif
