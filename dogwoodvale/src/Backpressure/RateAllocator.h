#ifndef DOGWOODVALE_BACKPRESSURE_RATEALLOCATOR_H
#define DOGWOODVALE_BACKPRESSURE_RATEALLOCATOR_H

#include <cstdint>
#include <span>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// One gateway's share of a server's rate limit.
struct RateShare
{
  /// Requests per second; 0 for a gateway without a share.
  double perSecond = 0;
  /// Token bucket size in requests.
  double burst = 0;

  bool operator==(const RateShare&) const = default;
};

/// Divides the rate limits of servers among the gateways without communication:
/// the gateways that hold a share of a server's rate are chosen by rendezvous
/// hashing.
///
/// A holder must be able to save up one whole request, since a smaller share
/// could never be used. The number of holders is therefore bounded by the rate,
/// not by the size of the fleet. All holders together send a server at most
/// T * rate + rate + kExtraBurst requests in any T seconds.
///
/// Gateways learn of a membership change at different times. A gateway gives up
/// a share as soon as it learns of the change, and takes one only after the
/// settle time, when all others have learnt of it, so that no share is held
/// twice.
class RateAllocator
{
public:
  /// \param aSettle time within which all gateways learn of a change of
  /// membership.
  RateAllocator(InstanceName aSelf, Duration aSettle);

  /// Sets the gateways of the site, including this one.
  void SetGateways(std::span<const InstanceName> aNames, TimePoint aNow);
  /// The known membership may be out of date, e.g. after the process was
  /// suspended: this gateway holds no shares until the settle time has passed.
  void SuspendShares(TimePoint aNow);

  /// A number that changes whenever a share may have changed. Must be called
  /// before ShareOf() for shares to follow the time.
  std::uint64_t Version(TimePoint aNow);
  /// This gateway's share of the server's rate; zero if it holds none.
  /// \param aPerSecond the server's rate in requests per second.
  /// \param aCells number of cells that the server's service is divided into; 1
  /// if gateways of all cells use the server, see CellOf().
  RateShare ShareOf(const InstanceName& aServer,
                    double aPerSecond,
                    std::size_t aCells) const;

  /// Requests that all holders together may save up, in addition to those of
  /// one second.
  static constexpr double kExtraBurst = 4;

  /// Number of gateways, out of \p aGateways, that hold a share of a rate of
  /// \p aPerSecond requests per second.
  static std::size_t HolderCount(double aPerSecond, std::size_t aGateways);

private:
  struct Membership
  {
    std::vector<InstanceName> gateways;
    /// When it was replaced; TimePoint{} for the current one.
    TimePoint replacedAt{};
  };

  /// The gateways that may use the server: those of its cell, or all.
  std::vector<InstanceName> EligibleGateways(const Membership& aMembership,
                                             const InstanceName& aServer,
                                             std::size_t aCells) const;

  InstanceName self;
  Duration settle;
  /// The current membership last, preceded by those replaced within the last
  /// settle time.
  std::vector<Membership> memberships;
  TimePoint suspendedUntil = TimePoint::max();
  bool isActive = false;
  std::uint64_t version = 0;
};

} // namespace dogwoodvale

#endif
