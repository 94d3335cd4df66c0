#ifndef DOGWOODVALE_GATEWAY_ANSWERSTATUS_H
#define DOGWOODVALE_GATEWAY_ANSWERSTATUS_H

namespace dogwoodvale {

/// Classification of HTTP statuses in answers of backend servers.

bool
IsServerError(int aStatus);

/// Whether callers take the status to mean that the request has not run.
bool
ImpliesNotRun(int aStatus);

bool
IsSuccess(int aStatus);

} // namespace dogwoodvale

#endif
