#ifndef DOGWOODVALE_HTTP_LINKSTATE_H
#define DOGWOODVALE_HTTP_LINKSTATE_H

#include "dogwoodvale/Core"

namespace dogwoodvale::internal {

/// The errors that a socket has reported. The system reports one once, to the
/// call that comes first; later reads return an end of file, as after an
/// orderly close. So the error of every call on the socket belongs here.
class LinkState
{
public:
  /// \param aError an errno value; those of a call that would have had to wait
  /// are ignored.
  void Record(int aError);
  /// Why the connection broke, by the first error; OK if there was none.
  absl::Status Status() const;

private:
  int error = 0;
};

/// Whether a read would return at once: bytes, an end of file or an error.
/// Leaves all of these to the read.
bool
HasInput(int aSocket);

/// Whether the other end has acknowledged all that was written. What it sent
/// last acknowledges all that it had received by then.
bool
IsAllAcknowledged(int aSocket);

} // namespace dogwoodvale::internal

#endif
