#ifndef DOGWOODVALE_GATEWAY_ANSWERSTATUS_H
#define DOGWOODVALE_GATEWAY_ANSWERSTATUS_H

namespace dogwoodvale {

/// What the status of a backend server's answer says.

bool
IsServerError(int aStatus);

/// Statuses that promise that a request has not run.
bool
IsPromise(int aStatus);

bool
IsSuccess(int aStatus);

} // namespace dogwoodvale

#endif
