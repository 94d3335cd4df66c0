#ifndef DOGWOODVALE_GATEWAY_COPYWAIT_H
#define DOGWOODVALE_GATEWAY_COPYWAIT_H

#include <optional>
#include <random>

#include "CrashGuard.h"

namespace dogwoodvale {

/// How one request waits for its turn while it is suspected of crashing
/// servers, so that its copies run one after the other.
///
/// Without it, ten gateways that get the same crashing body at once run it 20
/// times before they have heard of each other's ends; with it 10, which is what
/// came before the first end (CrashingRequest). Nobody is refused for a
/// suspicion: after kLongestWait it goes on.
class CopyWait
{
public:
  /// \param aIsNew see CrashGuard::HasToWait().
  /// \return when to ask again; nothing if it may go.
  std::optional<Duration> Next(const CrashGuard& aGuard,
                               RequestFingerprint aRequest,
                               bool aIsNew,
                               TimePoint aNow,
                               std::mt19937_64& aRandom);

  /// One that crashes a server does so within half a second; one that does not
  /// may take long, and its copies need not wait for its end.
  static constexpr Duration kLongestWait = seconds(1);
  static constexpr Duration kCheckPeriod = milliseconds(20);
  /// Copies that wait at several gateways would all go in the same moment;
  /// drawn apart, the first is heard of before most others go.
  static constexpr Duration kLongestYield = milliseconds(200);

private:
  std::optional<TimePoint> since;
  /// It has waited, and others' copies may go first.
  bool yields = false;
};

} // namespace dogwoodvale

#endif
