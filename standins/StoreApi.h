#ifndef DOGWOODVALE_STANDINS_STOREAPI_H
#define DOGWOODVALE_STANDINS_STOREAPI_H

#include <map>
#include <string>

#include <json/json.h>

#include "KvStore.h"

namespace dogwoodvale::standins {

/// The store's calls by the etcd v3 JSON mapping, all but watch; no I/O.
class StoreApi
{
public:
  /// \param aPath as "/v3/kv/range".
  static bool Has(const std::string& aPath);
  /// Whether a call that exists counts against the limit of writes.
  static bool IsWrite(const std::string& aPath);

  /// Serves a call that exists. \return the body of the reply, or the
  /// published error.
  absl::StatusOr<Json::Value> Serve(const std::string& aPath,
                                    const Json::Value& aRequest,
                                    TimePoint aNow);

  KvStore& Store() { return this->store; }
  const KvStore& Store() const { return this->store; }

private:
  using Reply = absl::StatusOr<Json::Value>;
  struct Route
  {
    bool isWrite;
    Reply (StoreApi::*serve)(const Json::Value&, TimePoint);
  };
  static const std::map<std::string, Route>& Routes();

  Reply ApplyOne(Operation::Kind aKind, const Json::Value& aRequest);
  Reply Range(const Json::Value& aRequest, TimePoint aNow);
  Reply Put(const Json::Value& aRequest, TimePoint aNow);
  Reply DeleteRange(const Json::Value& aRequest, TimePoint aNow);
  Reply Txn(const Json::Value& aRequest, TimePoint aNow);
  Reply Compaction(const Json::Value& aRequest, TimePoint aNow);
  Reply Grant(const Json::Value& aRequest, TimePoint aNow);
  Reply Revoke(const Json::Value& aRequest, TimePoint aNow);
  Reply KeepAlive(const Json::Value& aRequest, TimePoint aNow);
  Reply TimeToLive(const Json::Value& aRequest, TimePoint aNow);

  KvStore store;
};

} // namespace dogwoodvale::standins

#endif
