#ifndef DOGWOODVALE_STORE_HTTPSTOREWATCH_H
#define DOGWOODVALE_STORE_HTTPSTOREWATCH_H

#include <memory>
#include <string>
#include <string_view>

#include "StoreCalls.h"

namespace dogwoodvale::internal {

/// Reads all under the prefix, then follows the changes from there; after any
/// loss it starts over with a read.
///
/// Going on from the next revision would save the read, but a store that came
/// back with older data and has since counted past that revision would hide
/// its other history from us. The prefixes watched are small.
class HttpStoreWatch final : public StoreWatch
{
public:
  HttpStoreWatch(StoreClient& aClient,
                 StoreCalls& aCalls,
                 std::string aPrefix,
                 StoreWatchHandler& aHandler);

  void Rearm() override { this->Read(); }

private:
  void Read();
  void Arm(Revision aFrom);
  void OnBytes(std::string_view aBytes);
  /// \return false if the watch was lost by it.
  bool OnLine(std::string_view aLine);
  void Lose(const absl::Status& aReason);

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
