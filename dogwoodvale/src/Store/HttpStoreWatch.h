#ifndef DOGWOODVALE_STORE_HTTPSTOREWATCH_H
#define DOGWOODVALE_STORE_HTTPSTOREWATCH_H

#include <memory>
#include <string>
#include <string_view>

#include "StoreCalls.h"

namespace dogwoodvale::internal {

/// Reads all keys under the prefix, then follows the changes from that revision
/// on; starts over with a read after each loss.
///
/// Resuming at the next revision would save the read, but would miss changes if
/// the store was restored from older data and its revisions have since passed
/// that one. The watched prefixes are small.
class HttpStoreWatch final : public StoreWatch
{
public:
  HttpStoreWatch(StoreClient& aClient,
                 StoreCalls& aCalls,
                 std::string aPrefix,
                 StoreWatchHandler& aHandler);

  void Rearm() override { this->Read(); }
  void Check() override { this->Read(); }

private:
  void Read();
  void Arm(Revision aFrom);
  void OnBytes(std::string_view aBytes);
  /// \return false if the line ended the watch.
  bool HandleLine(std::string_view aLine);
  void OnLoss(const absl::Status& aReason);

  StoreClient& client;
  StoreCalls& calls;
  std::string prefix;
  StoreWatchHandler& handler;
  Backoff backoff;
  Timer timer;
  Timer createdTimer;
  std::unique_ptr<StoreCall> call;
  std::unique_ptr<HttpExchange> stream;
  std::string buffer;
  TimePoint armedAt;
};

} // namespace dogwoodvale::internal

#endif
