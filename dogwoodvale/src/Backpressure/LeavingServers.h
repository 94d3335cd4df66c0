#ifndef DOGWOODVALE_BACKPRESSURE_LEAVINGSERVERS_H
#define DOGWOODVALE_BACKPRESSURE_LEAVINGSERVERS_H

#include <map>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Sent to other gateways about a server that is shutting down.
struct LeavingUpdate
{
  InstanceName server;
  /// Time since the first gateway got the server's announcement.
  milliseconds age{ 0 };

  bool operator==(const LeavingUpdate&) const = default;
};

/// Servers that have announced in a response, to this or another gateway, that
/// they are shutting down.
///
/// A leaving server does not return: if it is started again, that is another
/// incarnation. The announcement is therefore kept after the server is removed
/// from this gateway's list, and an older server list, from the store or
/// another gateway, does not revoke it.
class LeavingServers
{
public:
  /// A response announced that the server is leaving.
  /// \return whether this was not known yet.
  bool OnAnswer(const InstanceName& aServer, TimePoint aNow);
  /// Handles an announcement from another gateway, unless older than
  /// kAnnouncePeriod. \return whether this was not known yet.
  bool OnUpdate(const LeavingUpdate& aUpdate, TimePoint aNow);
  /// The announcements to send to other gateways: those younger than
  /// kAnnouncePeriod, at most kMaxUpdates.
  std::vector<LeavingUpdate> OutgoingUpdates(TimePoint aNow) const;
  bool Contains(const InstanceName& aServer) const;

  /// How long a leaving server is remembered. An older copy of a server list
  /// may name it again during this time.
  static constexpr Duration kRetention = std::chrono::minutes(10);
  /// How long the announcement is sent to other gateways, so that one that
  /// starts in the meantime gets it too.
  static constexpr Duration kAnnouncePeriod = seconds(60);
  /// Maximum number of servers remembered; the oldest announcement is evicted
  /// first.
  static constexpr std::size_t kMaxServers = 4096;
  /// Maximum number of updates returned by OutgoingUpdates().
  static constexpr std::size_t kMaxUpdates = 512;

private:
  bool Add(const InstanceName& aServer, TimePoint aAnnouncedAt, TimePoint aNow);

  /// Time of the first announcement by server.
  std::map<InstanceName, TimePoint> announcedAt;
};

} // namespace dogwoodvale

#endif
