#ifndef DOGWOODVALE_REQUESTS_ATTEMPT_H
#define DOGWOODVALE_REQUESTS_ATTEMPT_H

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// The entry's side of one attempt: what a failure of it may be called.
///
/// A failure is NotRun only while nothing was written to the sidecar, or when
/// the same incarnation of it says so, which has then barred the id for good.
/// A restarted sidecar has lost its record, so its word counts for nothing.
class Attempt
{
public:
  /// \param aTarget the sidecar's incarnation, from its hello.
  Attempt(const RequestId& aId, Incarnation aTarget);

  const RequestId& Id() const { return this->id; }
  Incarnation Target() const { return this->target; }

  /// Call before the first byte goes to the connection.
  void OnWriting() { this->written = true; }

  /// After the connection was lost or the sidecar fell silent: whether asking
  /// it (a probe, which bars the id if it was not started) can still help.
  bool NeedsProbe() const { return this->written && !this->settled; }

  /// What to call a failure as things stand.
  Disposition CurrentDisposition() const;

  /// The sidecar's word, in a refusal or the answer to a probe.
  /// \param aSpeaker the incarnation that says it.
  void OnSidecarSays(Incarnation aSpeaker, Disposition aDisposition);

  /// The probe found a restarted sidecar, or got no answer in time.
  void OnProbeFailed() { this->settled = true; }

private:
  RequestId id;
  Incarnation target;
  bool written = false;
  bool barred = false;
  bool settled = false;
};

} // namespace dogwoodvale

#endif
