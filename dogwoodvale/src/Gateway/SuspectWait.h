#ifndef DOGWOODVALE_GATEWAY_SUSPECTWAIT_H
#define DOGWOODVALE_GATEWAY_SUSPECTWAIT_H

#include <optional>
#include <random>

#include "CrashGuard.h"

namespace dogwoodvale {

/// Delays a request that is suspected of crashing servers, itself or by a part
/// of its prompt, while another one of these is in flight, so that they run one
/// after another.
///
/// When ten gateways get the same crashing request at once, they run it 20
/// times before the digests have told them of the crashes; with the delay it is
/// 10, the number that arrives before the first crash (test CrashingRequest). A
/// suspected request is never refused: after kMaxWait it is sent.
class SuspectWait
{
public:
  /// \param aIsNew see CrashGuard::HasToWait().
  /// \return time until the next call; nothing if the request may be sent.
  std::optional<Duration> Next(const CrashGuard& aGuard,
                               const CrashSubjects& aSubjects,
                               bool aIsNew,
                               TimePoint aNow,
                               std::mt19937_64& aRandom);

  /// A request that crashes a server does so within half a second. One that
  /// does not may run for long, and its duplicates need not wait for its end.
  static constexpr Duration kMaxWait = seconds(1);
  static constexpr Duration kCheckPeriod = milliseconds(20);
  /// Upper bound of a random delay before a request that has waited is sent:
  /// duplicates waiting at several gateways would otherwise be sent in the same
  /// moment, before the digests tell of the first.
  static constexpr Duration kMaxRandomDelay = milliseconds(200);

private:
  /// Start of the wait.
  std::optional<TimePoint> since;
  /// The request has waited and takes the random delay before it is sent.
  bool needsRandomDelay = false;
};

} // namespace dogwoodvale

#endif
