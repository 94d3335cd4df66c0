#ifndef DOGWOODVALE_STORE_HTTPSTORECLIENT_H
#define DOGWOODVALE_STORE_HTTPSTORECLIENT_H

#include <memory>
#include <vector>

#include "StoreCallBudget.h"
#include "StoreClient.h"

namespace dogwoodvale {

struct HttpStoreOptions
{
  /// Tried in turn.
  std::vector<SocketAddress> endpoints;
  /// Of one try.
  Duration timeout = milliseconds(1000);
  /// Silence on a watch after which it is armed anew; covers a connection that
  /// was cut without a word.
  Duration watchSilence = seconds(60);
  double callsPerSecond = 2;
  double callBurst = 20;
  int maxReadTries = 3;
  Duration firstBackoff = milliseconds(100);
  Duration longestBackoff = seconds(5);
  /// Calls waiting for the budget beyond which a call is refused.
  std::size_t maxWaiting = 1000;
};

/// Speaks etcd's published v3 JSON mapping by evhttp.
class HttpStoreClient : public StoreClient
{
public:
  /// \return InvalidArgument when there is no endpoint.
  static absl::StatusOr<std::unique_ptr<HttpStoreClient>> Create(
    EventLoop& aLoop,
    const HttpStoreOptions& aOptions);
};

} // namespace dogwoodvale

#endif
