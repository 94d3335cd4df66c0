#ifndef DOGWOODVALE_MEMBERSHIP_BACKENDDIRECTORY_H
#define DOGWOODVALE_MEMBERSHIP_BACKENDDIRECTORY_H

#include <map>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Backoff.h"
#include "ListedInstance.h"

namespace dogwoodvale {

/// Retry and eviction settings of a BackendDirectory.
struct DirectoryBounds
{
  /// An instance that is absent from the received lists and not connected is
  /// evicted after this long.
  Duration evictAfter = seconds(60);
  /// Bounds of the back-off between connection attempts.
  Duration initialRetryDelay = milliseconds(100);
  Duration maxRetryDelay = seconds(5);
  /// After this many consecutive failures an instance is no candidate until its
  /// next probe is due; a single failure doesn't change the subset.
  int failuresToDrop = 2;
};

/// State of one sidecar as known to this process.
struct BackendRecord
{
  InstanceName name;
  ServiceName service;
  DataCentreName dataCentre;
  RegionName region;
  SocketAddress address;
  /// From the latest hello; 0 before the first.
  Incarnation incarnation = 0;
  bool connected = false;
  bool leaving = false;
  /// Consecutive failures to connect or keep the connection.
  int failures = 0;
  /// Earliest time of the next connection attempt.
  TimePoint retryAt;
};

/// The sidecars known to an entry, by service.
///
/// The platform's list adds candidates and marks instances as leaving, but may
/// be out of date. For failures and leaving, this process's own observations
/// (hello, refusal, go-away, time-out) take precedence over it.
class BackendDirectory
{
public:
  explicit BackendDirectory(const DirectoryBounds& aBounds);

  /// Adds an instance from the settings; it is never evicted.
  void AddStatic(const StaticInstance& aInstance);

  /// A complete list was received. Don't call while the list is unavailable: an
  /// empty list marks all instances as absent.
  void OnList(std::span<const ListedInstance> aList, TimePoint aNow);

  /// A valid hello was received. Clears `leaving` unless this incarnation sent
  /// a go-away or is the one that the list marked as leaving.
  void OnConnected(const InstanceName& aName, Incarnation aIncarnation);
  /// The instance refused a connection, or its connection was lost.
  /// \param aUniform random, in [0, 1), for the back-off's jitter.
  void OnRefused(const InstanceName& aName, TimePoint aNow, double aUniform);
  /// Nothing was received for longer than the heartbeat time-out.
  void OnTimedOut(const InstanceName& aName, TimePoint aNow, double aUniform);
  /// Incarnation \p aIncarnation accepts no more work, permanently.
  void OnGoAway(const InstanceName& aName, Incarnation aIncarnation);
  /// This side closed the connection since the instance left the subset.
  void OnDisconnected(const InstanceName& aName);

  /// Instances eligible for the subset, sorted by name: not leaving and, after
  /// repeated failures, due for a probe.
  std::vector<InstanceName> Candidates(const ServiceName& aService,
                                       TimePoint aNow) const;
  /// Instances that accept new work: connected and not leaving.
  std::vector<InstanceName> Usable(const ServiceName& aService) const;
  /// Whether the instance is not connected and its back-off has elapsed. Also
  /// true for leaving instances, as only a hello reveals a new incarnation.
  bool MayConnect(const InstanceName& aName, TimePoint aNow) const;
  /// Leaving, unconnected instances whose probe is due. The caller connects to
  /// find out whether a new incarnation is running there.
  std::vector<InstanceName> DueForProbe(const ServiceName& aService,
                                        TimePoint aNow) const;

  /// \return nullptr if unknown.
  const BackendRecord* Find(const InstanceName& aName) const;
  std::vector<ServiceName> Services() const;
  std::size_t Size() const { return this->entries.size(); }

private:
  struct Entry
  {
    BackendRecord record;
    Backoff backoff;
    bool isStatic = false;
    bool listLeaving = false;
    /// The known incarnation when the list first marked it as leaving.
    Incarnation listLeavingIncarnation = 0;
    /// Incarnations that sent a go-away, newest last; at most kMaxGoAways.
    std::vector<Incarnation> goAways;
    /// When the instance was first absent from a list.
    std::optional<TimePoint> absentSince;
  };

  static constexpr std::size_t kMaxGoAways = 8;

  Entry* FindEntry(const InstanceName& aName);
  void AddListed(const ListedInstance& aListed);
  void MarkLeaving(Entry& aEntry, ListedState aState);
  void EvictAbsent(TimePoint aNow);
  void OnFailure(const InstanceName& aName, TimePoint aNow, double aUniform);
  static void UpdateLeaving(Entry& aEntry);
  bool IsCandidate(const Entry& aEntry, TimePoint aNow) const;

  DirectoryBounds bounds;
  std::map<InstanceName, Entry> entries;
};

} // namespace dogwoodvale

#endif
