#ifndef DOGWOODVALE_REQUESTS_ATTEMPT_H
#define DOGWOODVALE_REQUESTS_ATTEMPT_H

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// The entry's state of one attempt; determines the Disposition of a failure.
///
/// A failure is NotRun only if nothing was written to the sidecar, or if the
/// incarnation that the attempt was sent to reports NotRun, which has then
/// barred the id permanently. A restarted sidecar has lost its StartRecord, so
/// its reports are ignored.
class Attempt
{
public:
  /// \param aTarget the sidecar's incarnation, as received in its hello.
  Attempt(const RequestId& aId, Incarnation aTarget);

  const RequestId& Id() const { return this->id; }
  Incarnation Target() const { return this->target; }

  /// Call before the first byte is written to the connection.
  void OnWriting() { this->written = true; }

  /// Whether, after a lost connection or a heartbeat time-out, a probe can
  /// still determine the outcome. A probe bars the id if it was not started.
  bool NeedsProbe() const { return this->written && !this->settled; }

  /// The disposition to report if the attempt fails now.
  Disposition CurrentDisposition() const;

  /// The sidecar reported a disposition, in a refusal or in the reply to a
  /// probe. Only the first call has an effect.
  /// \param aReporter the incarnation that reported it.
  void OnDispositionReported(Incarnation aReporter, Disposition aDisposition);

  /// The probe reached a restarted sidecar, or got no answer in time.
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
