#ifndef DOGWOODVALE_HTTP_HTTPMESSAGE_H
#define DOGWOODVALE_HTTP_HTTPMESSAGE_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodvale/Peer"

namespace dogwoodvale {

/// A request as a caller sent it, whole. The path keeps its query.
struct HttpRequest
{
  std::string method;
  std::string path;
  std::vector<HeaderField> headers;
  std::string body;
};

/// The first value of a header, names compared without case; empty if absent.
std::string_view
FindHeader(std::span<const HeaderField> aHeaders, std::string_view aName);

/// Drops hop-by-hop headers (RFC 9110, 7.6.1), also those Connection names.
/// \param aEndToEnd names that stay even if Connection names them.
std::vector<HeaderField>
WithoutHopByHop(std::span<const HeaderField> aHeaders,
                std::span<const std::string_view> aEndToEnd = {});

/// The HTTP status that callers see for an error: NotRun and MayHaveRun never
/// share one for the same code; see docs/OPERATING.md.
int
HttpStatusOf(const RequestError& aError);

/// {"error":{"code","disposition","message","retry_after_ms"}}.
std::string
ErrorBody(const RequestError& aError);

} // namespace dogwoodvale

#endif
