#ifndef DOGWOODVALE_QUARANTINE_COPIESUNDERWAY_H
#define DOGWOODVALE_QUARANTINE_COPIESUNDERWAY_H

#include <map>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "RequestFingerprint.h"

namespace dogwoodvale {

/// Copies of each request at backend servers: this gateway's own, and those of
/// suspects that other gateways tell of.
class CopiesUnderWay
{
public:
  void OnSent(RequestFingerprint aRequest);
  void OnDone(RequestFingerprint aRequest);
  /// Replaces what a gateway told before.
  void SetOthers(const InstanceName& aGateway,
                 std::span<const RequestFingerprint> aRequests,
                 TimePoint aNow);

  bool HasOwn(RequestFingerprint aRequest) const
  {
    return this->own.contains(aRequest);
  }
  bool HasAny(RequestFingerprint aRequest, TimePoint aNow) const;
  /// Forgets gateways that have fallen silent.
  void Expire(TimePoint aNow);

  /// What a gateway told counts for this long: several of its messages.
  static constexpr Duration kWordLife = seconds(1);

private:
  struct Others
  {
    std::vector<RequestFingerprint> requests;
    TimePoint heard{};
  };

  absl::flat_hash_map<RequestFingerprint, std::uint32_t> own;
  std::map<InstanceName, Others> others;
};

} // namespace dogwoodvale

#endif
