#ifndef DOGWOODVALE_MEMBERSHIP_WATCHERELECTION_H
#define DOGWOODVALE_MEMBERSHIP_WATCHERELECTION_H

#include <optional>
#include <span>
#include <vector>

#include "ListedInstance.h"

namespace dogwoodvale {

/// Number of processes that watch the store, and when others volunteer.
struct WatcherBounds
{
  /// Watchers per data centre.
  std::size_t watchers = 2;
  /// Processes volunteer if no contact with the store is known for this long.
  Duration staleAfter = seconds(10);
  /// Probability per tick that a volunteer steps down, once others are known to
  /// reach the store.
  double stepDownChance = 0.25;
  /// Upper bound of the probability to volunteer on one tick.
  double maxVolunteerChance = 0.2;
};

/// Decides whether this process watches the store.
///
/// Every process ranks the live instances of its data centre by a hash of
/// their names; the first WatcherBounds::watchers of them watch. An outdated
/// list may name only dead instances, so processes also exchange the age of the
/// latest contact with the store. When that is too old, each process volunteers
/// at random (on average as many as would watch by rank), and steps down again
/// once others reach the store.
class WatcherElection
{
public:
  WatcherElection(const InstanceName& aSelf,
                  const DataCentreName& aDataCentre,
                  const WatcherBounds& aBounds,
                  TimePoint aNow);

  /// Period at which peers exchange contact ages; a contact is stale no earlier
  /// than after four periods.
  void SetContactPeriod(Duration aPeriod) { this->contactPeriod = aPeriod; }
  /// No list will be received (a small site): every process watches.
  void SetNoList();
  void OnList(std::span<const ListedInstance> aList);
  /// A peer knows of a contact with the store that is \p aAge old; ignored if
  /// kUnknownContact or older than 24 h.
  void OnPeerContact(Duration aAge, TimePoint aNow);
  /// This process got an answer from the store.
  void OnOwnContact(TimePoint aNow);
  /// The store did not answer this process. A volunteer steps down at once, so
  /// that in an outage the number of processes that call the store stays small.
  void OnOwnFailure();

  /// Call about once a second. \param aUniform random, in [0, 1).
  void Tick(TimePoint aNow, double aUniform);

  bool ShouldWatch() const { return this->ranked || this->volunteer; }
  bool IsVolunteer() const { return this->volunteer; }
  /// Age of the latest known contact, to send to peers; kUnknownContact if
  /// there is none. A process that just started must not report its start as a
  /// contact.
  Duration ContactAge(TimePoint aNow) const;

  static constexpr Duration kUnknownContact = Duration::max();

private:
  bool IsStale(TimePoint aNow) const;

  InstanceName self;
  DataCentreName dataCentre;
  WatcherBounds bounds;
  Duration contactPeriod{ 0 };
  bool ranked = false;
  bool volunteer = false;
  std::size_t instances = 1;
  TimePoint startedAt;
  std::optional<TimePoint> ownContact;
  std::optional<TimePoint> peerContact;
};

} // namespace dogwoodvale

#endif
