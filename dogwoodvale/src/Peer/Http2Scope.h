#ifndef DOGWOODVALE_PEER_HTTP2SCOPE_H
#define DOGWOODVALE_PEER_HTTP2SCOPE_H

#include "Http2Session.h"

namespace dogwoodvale::internal {

/// While one lives, its session is not freed; the outermost one frees what
/// was given up meanwhile.
class Http2Session::Scope
{
public:
  explicit Scope(Http2Session& aSession);
  ~Scope();
  Scope(const Scope&) = delete;
  Scope& operator=(const Scope&) = delete;

private:
  Http2Session& session;
};

} // namespace dogwoodvale::internal

#endif
