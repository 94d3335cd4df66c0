#ifndef DOGWOODVALE_HTTP_OPERATORSERVER_H
#define DOGWOODVALE_HTTP_OPERATORSERVER_H

#include <functional>
#include <memory>

#include "HttpMessage.h"

namespace dogwoodvale {

struct OperatorResponse
{
  int status = 200;
  std::string contentType = "text/plain; charset=utf-8";
  std::string body;
  /// Of the body, as in HTTP; empty for none.
  std::string contentEncoding = {};
};

/// What operators may read (and order) over HTTP.
class OperatorHandler
{
public:
  virtual ~OperatorHandler() = default;
  /// /metrics, in Prometheus text form.
  virtual std::string Metrics() = 0;
  /// /readyz: OK when new work is welcome, else the reason.
  virtual absl::Status Ready() = 0;
  /// /statusz, JSON.
  virtual std::string Statusz() = 0;
  /// Any other path, e.g. POST /drain; 404 by default.
  virtual OperatorResponse Other(const HttpRequest& aRequest);
};

/// Serves /metrics, /healthz, /readyz and /statusz, before the traffic.
class OperatorServer
{
public:
  /// For requests, and for answers that are not read.
  static constexpr std::size_t kMemoryBytes = 16U << 20U;

  static absl::StatusOr<std::unique_ptr<OperatorServer>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    OperatorHandler& aHandler,
    std::size_t aMemoryBytes = kMemoryBytes);
  virtual ~OperatorServer() = default;
  virtual SocketAddress Address() const = 0;
};

} // namespace dogwoodvale

#endif
