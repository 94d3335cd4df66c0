#ifndef DOGWOODVALE_STORE_HTTPENGINEORDERS_H
#define DOGWOODVALE_STORE_HTTPENGINEORDERS_H

#include <memory>

#include "EngineOrders.h"
#include "HttpExchange.h"

namespace dogwoodvale {

/// Orders by POST /orders, state by GET /orders/state.
class HttpEngineOrders final : public EngineOrders
{
public:
  /// \param aTimeout the longest that an order may be under way; a new holder
  /// of the slot waits it out.
  HttpEngineOrders(EventLoop& aLoop,
                   const SocketAddress& aEngine,
                   Duration aTimeout);

  void SetHandler(EngineOrdersHandler* aHandler) override;
  void ReadState() override;
  void Send(const EngineOrder& aOrder, Revision aFencing) override;

private:
  EventLoop& loop;
  SocketAddress engine;
  Duration timeout;
  EngineOrdersHandler* handler = nullptr;
  std::unique_ptr<HttpExchange> stateExchange;
  std::unique_ptr<HttpExchange> orderExchange;
};

/// Parses {"models":[{"name","version","state"}],"adapters":[{..,"model"}]}.
absl::StatusOr<EngineState>
ParseEngineState(std::string_view aText);

} // namespace dogwoodvale

#endif
