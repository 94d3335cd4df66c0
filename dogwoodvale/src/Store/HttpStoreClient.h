#ifndef DOGWOODVALE_STORE_HTTPSTORECLIENT_H
#define DOGWOODVALE_STORE_HTTPSTORECLIENT_H

#include <memory>
#include <vector>

#include "StoreCallBudget.h"
#include "StoreClient.h"

namespace dogwoodvale {

struct HttpStoreOptions
{
  /// Used round robin: the next one after each failure.
  std::vector<SocketAddress> endpoints;
  /// Of one attempt.
  Duration timeout = milliseconds(1000);
  /// Time without data on a watch after which it is re-armed; covers a
  /// connection that was lost without being closed.
  Duration watchSilence = seconds(60);
  double callsPerSecond = 2;
  double callBurst = 20;
  /// Including the first.
  int maxReadAttempts = 3;
  Duration initialBackoff = milliseconds(100);
  Duration maxBackoff = seconds(5);
  /// Calls queued for the budget beyond which new ones fail with
  /// ResourceExhausted.
  std::size_t maxQueuedCalls = 1000;
};

/// A client of etcd's published v3 JSON mapping over HTTP.
class HttpStoreClient : public StoreClient
{
public:
  /// \return InvalidArgument when there is no endpoint or the rate of calls is
  /// not positive.
  static absl::StatusOr<std::unique_ptr<HttpStoreClient>> Create(
    EventLoop& aLoop,
    const HttpStoreOptions& aOptions);
};

} // namespace dogwoodvale

#endif
