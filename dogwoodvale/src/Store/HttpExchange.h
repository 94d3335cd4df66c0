#ifndef DOGWOODVALE_STORE_HTTPEXCHANGE_H
#define DOGWOODVALE_STORE_HTTPEXCHANGE_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// The result of one HTTP request to a service of the platform.
struct HttpAnswer
{
  /// OK if a complete response came, whatever its HTTP code.
  absl::Status status;
  /// The HTTP code; 0 if there was no response.
  int code = 0;
  std::string body;
  /// Whether the server may have seen the request.
  bool written = false;
  /// Bytes received, including headers, also of a failed exchange.
  std::size_t received = 0;
};

struct HttpCall
{
  SocketAddress address;
  /// "GET" or "POST".
  std::string method = "GET";
  std::string path;
  std::string body;
  /// The exchange fails if fewer than TransferLimit::kLeastBytes are sent and
  /// received during a period of this length; a streamed response, if this much
  /// time passes without data.
  Duration timeout = seconds(1);
  /// Accepts a compressed response; it is decompressed before it is returned.
  bool acceptsCompressed = false;
  std::size_t maxBodyBytes = 64U << 20U;
};

/// One request on its own connection; destroying it cancels it.
///
/// Connections are not pooled: calls are few, and on a pooled connection that
/// the server has closed, a write that never arrived could not be told from one
/// whose response was lost.
class HttpExchange
{
public:
  /// Called once, from the event loop; may destroy the exchange.
  using DoneHandler = std::function<void(const HttpAnswer&)>;
  /// Receives the parts of a streamed response with code 200 as they arrive;
  /// may destroy the exchange.
  using PartHandler = std::function<void(std::string_view)>;

  static std::unique_ptr<HttpExchange> Start(EventLoop& aLoop,
                                             const HttpCall& aCall,
                                             DoneHandler aOnDone);
  static std::unique_ptr<HttpExchange> StartStream(EventLoop& aLoop,
                                                   const HttpCall& aCall,
                                                   PartHandler aOnPart,
                                                   DoneHandler aOnDone);
  virtual ~HttpExchange() = default;
};

} // namespace dogwoodvale

#endif
