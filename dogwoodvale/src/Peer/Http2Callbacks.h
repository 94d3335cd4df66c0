#ifndef DOGWOODVALE_PEER_HTTP2CALLBACKS_H
#define DOGWOODVALE_PEER_HTTP2CALLBACKS_H

#include <cstdint>
#include <string_view>

#include <nghttp2/nghttp2.h>

namespace dogwoodvale::internal {

/// The table by which nghttp2 calls an Http2Session, its user data.
const nghttp2_session_callbacks*
Http2Callbacks();

/// Opens a stream whose data are pulled from the session's Provide().
/// \return its id; negative when there are no more.
std::int32_t
SubmitRequest(nghttp2_session& aNghttp2, std::string_view aPath);

/// Answers the stream \p aId in the same way.
void
SubmitResponse(nghttp2_session& aNghttp2, std::int32_t aId);

} // namespace dogwoodvale::internal

#endif
