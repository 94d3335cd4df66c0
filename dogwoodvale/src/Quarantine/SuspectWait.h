#ifndef DOGWOODVALE_QUARANTINE_SUSPECTWAIT_H
#define DOGWOODVALE_QUARANTINE_SUSPECTWAIT_H

#include <memory>
#include <optional>
#include <random>

#include "SuspectGate.h"

namespace dogwoodvale {

/// Delays a request that is suspected of crashing servers, itself or by a part
/// of its prompt, while another one of these is in flight, so that they run one
/// after another.
///
/// When ten gateways get the same crashing request at once, they run it 20
/// times before the digests have told them of the crashes; with the delay it is
/// 10, the number that arrives before the first crash (test CrashingRequest). A
/// suspected request is sent after kMaxWait.
///
/// A request with a disputed part waits for its turn and is refused after
/// kMaxTurnWait: if it were sent, a crashing part that comes often would keep
/// all servers from completing any answer, and nothing would ever tell it from
/// the parts that all requests share. One sound request that runs by itself
/// clears those.
class SuspectWait
{
public:
  enum class Action : std::uint8_t
  {
    Send,
    /// Next() is to be called again after Step::wait.
    Wait,
    Refuse,
  };
  struct Step
  {
    Action action = Action::Send;
    Duration wait{ 0 };
  };

  /// \param aIsNew see SuspectGate::HasToWait().
  Step Next(const SuspectGate& aGate,
            const CrashSubjects& aSubjects,
            bool aIsNew,
            TimePoint aNow,
            std::mt19937_64& aRandom);
  /// The request has been sent, or will not be: the next one may have its turn.
  void EndTurn() { this->claim.reset(); }

  /// A request that crashes a server does so within half a second. One that
  /// does not may run for long, and its duplicates need not wait for its end.
  static constexpr Duration kMaxWait = seconds(1);
  /// Three turns, each of which may end a server and take until its evidence
  /// has settled.
  static constexpr Duration kMaxTurnWait = seconds(3);
  static constexpr Duration kCheckPeriod = milliseconds(20);
  /// Upper bound of a random delay before a request that has waited is sent:
  /// duplicates waiting at several gateways would otherwise be sent in the same
  /// moment, before the digests tell of the first.
  static constexpr Duration kMaxRandomDelay = milliseconds(200);

private:
  Step WaitForTurn(const SuspectGate& aGate,
                   std::span<const Fingerprint> aDisputed,
                   TimePoint aNow);

  /// Claims the parts, or gives the claim up if another gateway goes first or a
  /// verdict is due.
  TrialTurns::Turn AdvanceTurn(const SuspectGate& aGate,
                               std::span<const Fingerprint> aDisputed,
                               TimePoint aNow);

  /// Start of the wait.
  std::optional<TimePoint> since;
  /// The request has waited and takes the random delay before it is sent.
  bool needsRandomDelay = false;
  std::unique_ptr<TrialTurns::Claim> claim;
};

} // namespace dogwoodvale

#endif
