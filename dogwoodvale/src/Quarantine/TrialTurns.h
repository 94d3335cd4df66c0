#ifndef DOGWOODVALE_QUARANTINE_TRIALTURNS_H
#define DOGWOODVALE_QUARANTINE_TRIALTURNS_H

#include <memory>
#include <span>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "InFlightDuplicates.h"

namespace dogwoodvale {

/// Grants requests with disputed subjects their turn, so that over all gateways
/// one request with each is in flight at a time.
///
/// A gateway claims the subjects of a request, reports them as if they were in
/// flight, and sends the request once the claim is old enough for it to have
/// heard of one made at the same moment elsewhere. Of two gateways with a claim
/// the one whose name is less goes on.
class TrialTurns
{
public:
  /// Holds the subjects of one request until it is destroyed.
  class Claim
  {
  public:
    Claim(TrialTurns& aTurns,
          std::span<const Fingerprint> aSubjects,
          TimePoint aNow);
    ~Claim();
    Claim(const Claim&) = delete;
    Claim& operator=(const Claim&) = delete;

  private:
    friend class TrialTurns;

    TrialTurns& turns;
    std::vector<Fingerprint> subjects;
    TimePoint since;
  };

  enum class Turn : std::uint8_t
  {
    Mine,
    /// It is not known yet whether another gateway claims one of the subjects.
    Pending,
    /// Another gateway goes first.
    Lost,
  };

  /// \param aInFlight outlives this object.
  TrialTurns(InstanceName aSelf, const InFlightDuplicates& aInFlight);

  /// \param aPeriod time between two reports from the same gateway.
  void SetReportPeriod(Duration aPeriod);
  /// \return nothing if a request with one of the subjects is in flight or
  /// holds a claim, here or at a gateway that reported so.
  std::unique_ptr<Claim> TryClaim(std::span<const Fingerprint> aSubjects,
                                  TimePoint aNow);
  Turn TurnOf(const Claim& aClaim, TimePoint aNow) const;
  /// Whether a request of this gateway holds a claim on the subject.
  bool IsClaimed(Fingerprint aSubject) const
  {
    return this->claimed.contains(aSubject);
  }

  /// Reports of a claim of which one at least arrives, in most cases; if none
  /// does, two requests run at once and end two servers at most.
  static constexpr int kReportsOfClaim = 3;
  static constexpr Duration kMinClaimTime = milliseconds(200);

private:
  InstanceName self;
  const InFlightDuplicates& inFlight;
  Duration claimTime = kMinClaimTime;
  absl::flat_hash_set<Fingerprint> claimed;
};

} // namespace dogwoodvale

#endif
