#ifndef DOGWOODVALE_QUARANTINE_INFLIGHTDUPLICATES_H
#define DOGWOODVALE_QUARANTINE_INFLIGHTDUPLICATES_H

#include <map>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Fingerprint.h"

namespace dogwoodvale {

/// Subjects in flight at backend servers: how many requests with each this
/// gateway has sent, and which suspects the other gateways report.
class InFlightDuplicates
{
public:
  void OnSent(Fingerprint aSubject);
  void OnDone(Fingerprint aSubject);
  /// Replaces what \p aGateway reported before.
  void SetPeerDuplicates(const InstanceName& aGateway,
                         std::span<const Fingerprint> aSubjects,
                         TimePoint aNow);

  bool HasOwn(Fingerprint aSubject) const
  {
    return this->own.contains(aSubject);
  }
  /// Whether this or another gateway has it in flight.
  bool HasAny(Fingerprint aSubject, TimePoint aNow) const;
  /// Whether a gateway whose name is less than \p aName has reported it.
  bool HasPeerBefore(const InstanceName& aName,
                     Fingerprint aSubject,
                     TimePoint aNow) const;
  /// Drops gateways whose last report is older than kReportTtl.
  void Expire(TimePoint aNow);

  /// Time to live of a gateway's report, several of its message periods.
  static constexpr Duration kReportTtl = seconds(1);

private:
  struct PeerReport
  {
    std::vector<Fingerprint> subjects;
    TimePoint receivedAt{};

    bool Has(Fingerprint aSubject, TimePoint aNow) const;
  };

  absl::flat_hash_map<Fingerprint, std::uint32_t> own;
  std::map<InstanceName, PeerReport> peerReports;
};

} // namespace dogwoodvale

#endif
