#ifndef DOGWOODVALE_MEMBERSHIP_BACKENDDIRECTORY_H
#define DOGWOODVALE_MEMBERSHIP_BACKENDDIRECTORY_H

#include <map>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Backoff.h"
#include "ListedInstance.h"

namespace dogwoodvale {

/// When a directory gives up on an instance and when it tries again.
struct DirectoryBounds
{
  /// An instance that a received list no longer names, and that can't be
  /// reached, is dropped after this long.
  Duration forgetAfter = seconds(60);
  Duration firstRetry = milliseconds(100);
  Duration longestRetry = seconds(5);
  /// From this many failures in a row an instance is no candidate until its
  /// next trial is due; one failure alone doesn't disturb the subset.
  int failuresToDrop = 2;
};

/// What is known of one sidecar.
struct BackendRecord
{
  InstanceName name;
  ServiceName service;
  DataCentreName dataCentre;
  RegionName region;
  SocketAddress address;
  /// The newest one seen in a hello; 0 before the first.
  Incarnation incarnation = 0;
  bool connected = false;
  bool leaving = false;
  int failures = 0;
  /// No connection attempt before this.
  TimePoint retryAt;
};

/// The sidecars that an entry knows, by service.
///
/// The platform's list only adds candidates and marks some as leaving; it is
/// late. What this process sees for itself (a hello, a refusal, a go-away, a
/// timeout) wins for failure and leaving.
class BackendDirectory
{
public:
  explicit BackendDirectory(const DirectoryBounds& aBounds);

  /// An instance from the settings; never forgotten.
  void AddStatic(const StaticInstance& aInstance);

  /// A list that was received whole. When the list is down, don't call: an
  /// empty list and no list are not the same.
  void OnList(std::span<const ListedInstance> aList, TimePoint aNow);

  /// A hello was checked. Clears leaving if the incarnation is one that never
  /// said go-away.
  void OnConnected(const InstanceName& aName, Incarnation aIncarnation);
  /// It refuses connections, or its connection was lost.
  void OnRefused(const InstanceName& aName, TimePoint aNow, double aUniform);
  /// It was silent for longer than the heartbeat timeout.
  void OnTimedOut(const InstanceName& aName, TimePoint aNow, double aUniform);
  /// Its incarnation \p aIncarnation takes no new work, for good.
  void OnGoAway(const InstanceName& aName, Incarnation aIncarnation);
  /// Its connection was closed on purpose by this side (left the subset).
  void OnDisconnected(const InstanceName& aName);

  /// Names for the subset choice, sorted: not leaving and, if they failed,
  /// due for a trial.
  std::vector<InstanceName> Candidates(const ServiceName& aService,
                                       TimePoint aNow) const;
  /// Those that new work may go to: connected and not leaving.
  std::vector<InstanceName> Usable(const ServiceName& aService) const;
  /// Not connected, and due for a connection attempt. Leaving ones are tried
  /// too, at their backoff, as only a hello shows a new incarnation.
  bool MayConnect(const InstanceName& aName, TimePoint aNow) const;
  /// Leaving instances with no connection whose trial is due; the caller
  /// connects to learn whether a new incarnation stands there.
  std::vector<InstanceName> DueForTrial(const ServiceName& aService,
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
    /// The incarnation that stood there when the list said leaving.
    Incarnation listLeavingIncarnation = 0;
    /// Incarnations that said go-away, newest last, bounded.
    std::vector<Incarnation> gone;
    /// When a list first failed to name it.
    std::optional<TimePoint> absentSince;
  };

  static constexpr std::size_t kMostGone = 8;

  Entry* FindEntry(const InstanceName& aName);
  void AddListed(const ListedInstance& aListed);
  void MarkLeaving(Entry& aEntry, ListedState aState);
  void DropForgotten(TimePoint aNow);
  void Fail(const InstanceName& aName, TimePoint aNow, double aUniform);
  static void UpdateLeaving(Entry& aEntry);
  bool IsCandidate(const Entry& aEntry, TimePoint aNow) const;

  DirectoryBounds bounds;
  std::map<InstanceName, Entry> entries;
};

} // namespace dogwoodvale

#endif
