#ifndef DOGWOODVALE_MEMBERSHIP_WATCHERELECTION_H
#define DOGWOODVALE_MEMBERSHIP_WATCHERELECTION_H

#include <optional>
#include <span>
#include <vector>

#include "ListedInstance.h"

namespace dogwoodvale {

/// How many processes watch the store, and when others step in.
struct WatcherBounds
{
  /// Watchers in each data centre.
  std::size_t watchers = 2;
  /// When nobody is known to have reached the store for this long, some
  /// volunteer.
  Duration staleAfter = seconds(10);
  /// Share of the volunteers that step down on a tick, once others are known
  /// to reach the store.
  double stepDown = 0.25;
  /// Bound on the chance to volunteer on one tick.
  double mostVolunteer = 0.2;
};

/// Decides whether this process watches the store.
///
/// Every process ranks the live instances of its data centre by a hash of
/// their names; the first few watch. A late list may name only dead ones, so
/// processes also pass on the age of the newest contact with the store; when
/// it grows too old, each volunteers by chance (as many in all as the rank
/// would have given), and steps down again once others reach the store.
class WatcherElection
{
public:
  WatcherElection(const InstanceName& aSelf,
                  const DataCentreName& aDataCentre,
                  const WatcherBounds& aBounds,
                  TimePoint aNow);

  /// Peers tell their contacts this often; a contact counts as stale only
  /// after several of these periods.
  void SetContactPeriod(Duration aPeriod) { this->contactPeriod = aPeriod; }
  /// There is no list to come: a small site, where every process watches.
  void SetNoList();
  void OnList(std::span<const ListedInstance> aList);
  /// A peer knows of a contact with the store that is \p aAge old; nothing
  /// happens if that is kUnknownContact.
  void OnPeerContact(Duration aAge, TimePoint aNow);
  /// This process got an answer from the store.
  void OnOwnContact(TimePoint aNow);
  /// This process tried and got none. A volunteer steps down at once, so that
  /// an outage does not turn the whole fleet into callers.
  void OnOwnFailure();

  /// Call about once a second. \param aUniform random, in [0, 1).
  void Tick(TimePoint aNow, double aUniform);

  bool ShouldWatch() const { return this->ranked || this->volunteer; }
  bool IsVolunteer() const { return this->volunteer; }
  /// For notices: the age of the newest contact known here; kUnknownContact if
  /// none is. A fresh process must not pass its own start off as a contact.
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
