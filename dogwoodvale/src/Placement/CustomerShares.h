#ifndef DOGWOODVALE_PLACEMENT_CUSTOMERSHARES_H
#define DOGWOODVALE_PLACEMENT_CUSTOMERSHARES_H

#include <optional>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "CustomerUseSketch.h"
#include "ShareUpdate.h"

namespace dogwoodvale {

/// Use of a service by \p count customers, each with this use and weight.
struct WeightedUse
{
  double use = 0;
  double weight = 1;
  double count = 1;
};

/// Max-min fairness: the level L at which the sum of min(use, weight * L)
/// equals \p aCapacity, so that capacity which customers below it leave goes to
/// the others. Infinite if the sum of all uses is at most the capacity.
/// \param aUses weights and counts are positive.
double
MaxMinLevel(std::vector<WeightedUse> aUses, double aCapacity);

/// A customer's recent use of a service beside its fair share of it.
struct ShareStanding
{
  /// Over all gateways, in token seconds, decayed.
  double use = 0;
  /// The use that is its fair share, in the same unit.
  double fairUse = 0;
  /// Whether its use exceeds its fair share. Only of interest while the service
  /// is short of capacity.
  bool isOver = false;
  /// Time in which its use decays to its fair share if nothing is added; zero
  /// if it is not over.
  Duration drain{ 0 };
};

/// Recent use of one service by customer over all gateways, and which customers
/// exceed their fair share.
///
/// A customer whose rate rises to many times its usual one fills the queues of
/// all servers, and the requests of all others are late with its own. Equal
/// rates per gateway do not help, as callers are spread unevenly over gateways;
/// so the use is summed over gateways. Reports are absolute and replaced by
/// newer ones, so a lost one costs at most kReportTtl of accuracy. Use decays,
/// so there is no account that errors could accumulate in.
class CustomerShares
{
public:
  /// Time constant with which use decays: the shortest time after which callers
  /// without an answer disconnect. What a customer used before that competes
  /// with no request that still waits.
  static constexpr Duration kDecay = seconds(2);
  /// Customers in a report; the others are reported as one sum.
  static constexpr std::size_t kReported = 32;
  /// Customers tracked by a gateway: any one with more than 1/256 of the
  /// gateway's use is among them. One with less could only exceed its fair
  /// share if more than 256 customers shared the service evenly, and then its
  /// excess delays nobody.
  static constexpr std::size_t kTracked = 256;
  /// Shortest time between two reports: a sixth of the time constant, in which
  /// use changes by at most that fraction of its steady value.
  static constexpr Duration kReportPeriod = milliseconds(300);
  /// Reports that are not replaced are dropped after this time: three periods,
  /// so that one lost digest leaves the figures in place.
  static constexpr Duration kReportTtl = seconds(1);
  /// The part of the recent use that is shared while there is a shortage. A
  /// shortage begins when a tenth of the requests finds no capacity in time, so
  /// at most the rest of the use can be served in time.
  static constexpr double kServedFraction = 0.9;
  /// Longest stated drain: use has decayed to 0.02 of its value.
  static constexpr Duration kMaxDrain = 4 * kDecay;
  /// The fair level is computed at most this often; reports change it a few
  /// times within kReportPeriod.
  static constexpr Duration kLevelPeriod = milliseconds(50);

  /// Customers without a weight have weight 1.
  /// \param aWeights positive.
  void SetWeights(absl::flat_hash_map<CustomerName, double> aWeights);
  /// \param aCount gateways among which the callers are spread, this one
  /// included.
  void SetGateways(std::size_t aCount);
  /// Adds to the use of the customer through this gateway.
  /// \param aTokenSeconds prefill tokens, or memory tokens times the seconds
  /// for which they were held.
  void OnUse(const CustomerName& aCustomer,
             double aTokenSeconds,
             TimePoint aNow);
  /// Replaces what the other gateway reported before. Values that are not
  /// finite or negative are ignored, and so is everything beyond kReported
  /// customers.
  void OnPeerUpdate(const InstanceName& aGateway,
                    const ShareUpdate& aUpdate,
                    TimePoint aNow);
  /// This gateway's report, if one is due and there is something to report.
  std::optional<ShareUpdate> TakeUpdate(const ServiceName& aService,
                                        TimePoint aNow);
  /// Never over its share is a customer without known use, or one alone at the
  /// service.
  ShareStanding StandingOf(const CustomerName& aCustomer, TimePoint aNow);
  /// Number of other gateways with a current report.
  std::size_t PeerCount(TimePoint aNow);

private:
  struct Report
  {
    ShareUpdate update;
    TimePoint receivedAt{};
  };

  double WeightOf(const CustomerName& aCustomer) const;
  void Expire(TimePoint aNow);
  /// Updates remoteUse and level.
  void Refresh(TimePoint aNow);
  /// Factor for the callers of gateways without a current report, which are
  /// assumed to be like those of the known ones.
  double GatewayScale() const;

  absl::flat_hash_map<CustomerName, double> weights;
  std::size_t gateways = 1;
  CustomerUseSketch own{ kTracked, kDecay };
  absl::flat_hash_map<InstanceName, Report> reports;
  std::optional<TimePoint> reportedAt;
  std::optional<TimePoint> refreshedAt;
  /// Use of the customers named in reports, summed over the other gateways.
  absl::flat_hash_map<CustomerName, double> remoteUse;
  /// Fair use of a customer of weight 1.
  double level = 0;
  /// Number of customers with recent use.
  double customers = 0;
};

} // namespace dogwoodvale

#endif
