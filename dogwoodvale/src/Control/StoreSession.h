#ifndef DOGWOODVALE_CONTROL_STORESESSION_H
#define DOGWOODVALE_CONTROL_STORESESSION_H

#include <span>
#include <string>

#include "dogwoodvale/Store"

namespace dogwoodvale {

/// The store for a tool that does one thing after the other: each call runs
/// the loop until its answer is there.
class StoreSession
{
public:
  /// \param aPause before a write is sent again; doubles each time.
  StoreSession(EventLoop& aLoop,
               StoreClient& aStore,
               Duration aTimeout,
               Duration aPause = milliseconds(50))
    : loop(aLoop)
    , store(aStore)
    , timeout(aTimeout)
    , pause(aPause)
  {
  }

  absl::StatusOr<RangeResult> Range(const RangeQuery& aQuery);
  absl::StatusOr<RangeResult> ReadKeys(std::span<const std::string> aKeys);
  /// Unknown if there is no answer within the timeout.
  WriteResult Commit(const Transaction& aTransaction);
  /// Sleeps before try number \p aTry (from 0) is repeated.
  void Pause(int aTry);

private:
  EventLoop& loop;
  StoreClient& store;
  Duration timeout;
  Duration pause;
};

} // namespace dogwoodvale

#endif
