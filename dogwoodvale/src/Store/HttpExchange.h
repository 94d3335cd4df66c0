#ifndef DOGWOODVALE_STORE_HTTPEXCHANGE_H
#define DOGWOODVALE_STORE_HTTPEXCHANGE_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// What one HTTP request to a service of the platform came to.
struct HttpAnswer
{
  /// OK when a whole answer came, whatever its HTTP code.
  absl::Status status;
  int code = 0;
  std::string body;
  /// Whether the server may have seen the request.
  bool written = false;
  /// Bytes that came, of a failed exchange too; heads count.
  std::size_t received = 0;
};

struct HttpCall
{
  SocketAddress address;
  /// "GET" or "POST".
  std::string method = "GET";
  std::string path;
  std::string body;
  /// For each stretch of the exchange in which less than
  /// TransferLimit::kLeastBytes are sent and received; of a streamed answer,
  /// for the silence between its parts.
  Duration timeout = seconds(1);
  /// Asks for a compressed answer; one that comes is told decompressed.
  bool acceptsCompressed = false;
  std::size_t maxBodyBytes = 64U << 20U;
};

/// One request on a connection of its own, by evhttp; destroying it cancels.
///
/// One connection a call: calls are few, and a pooled connection that the
/// server closed meanwhile would make a refused write look like a lost one.
class HttpExchange
{
public:
  /// Called once from the loop; may destroy the exchange.
  using DoneHandler = std::function<void(const HttpAnswer&)>;
  /// Parts of a streamed answer with code 200, as they come; may destroy the
  /// exchange.
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
