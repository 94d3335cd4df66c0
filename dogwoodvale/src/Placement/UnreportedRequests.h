#ifndef DOGWOODVALE_PLACEMENT_UNREPORTEDREQUESTS_H
#define DOGWOODVALE_PLACEMENT_UNREPORTEDREQUESTS_H

#include <deque>

#include <absl/container/flat_hash_map.h>

#include "DirectChoice.h"

namespace dogwoodvale {

/// Estimates the requests that other gateways have sent to a backend server and
/// not reported yet.
///
/// Load: an overload at many gateways. All see the same few free slots and fill
/// them within one period of their digests: thirty gateways with 1,200 requests
/// a second send 170 in that time, which then queue behind each other at few
/// servers. Callers are spread over the gateways, so each gateway takes it that
/// the others choose as it does: half of them, on average, have sent what they
/// sent there since their last digest.
class UnreportedRequests
{
public:
  /// \param aPeriod time between two digests of a gateway.
  /// \param aPeers number of other gateways that use the same servers.
  void SetPeers(Duration aPeriod, std::size_t aPeers);
  /// This gateway has sent a request to the instance.
  void OnSent(const InstanceName& aInstance, TimePoint aNow);
  /// Adds the estimated requests to the work of a candidate. They count as
  /// requests of the first rank, hence as ahead of any. Also where there seem
  /// to be free slots: an idle server may get more requests than it has slots
  /// within one period.
  void AddTo(DirectCandidate& aCandidate, TimePoint aNow) const;
  void Forget(const InstanceName& aInstance);

private:
  Duration period{ 0 };
  std::size_t peers = 0;
  /// Times of the requests sent within the last period, the oldest first.
  absl::flat_hash_map<InstanceName, std::deque<TimePoint>> sent;
};

} // namespace dogwoodvale

#endif
