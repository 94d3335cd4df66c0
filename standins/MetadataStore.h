#ifndef DOGWOODVALE_STANDINS_METADATASTORE_H
#define DOGWOODVALE_STANDINS_METADATASTORE_H

#include <list>
#include <memory>

#include "JsonServer.h"
#include "KvStore.h"

namespace dogwoodvale::standins {

/// A stand-in of the users' platform's metadata store: keys, watches,
/// transactions and leases in its own protocol, with faults on demand.
///
/// Routes: the store's own, and POST /standin/put {"key","value"} for what the
/// operator and the engines write, POST /standin/remove {"key"}, POST
/// /standin/fault {"busy":true,"silent":true,"forget":true,"clear":true,
/// "lose_polls":true,"lose_changes":N}.
class MetadataStore : public RequestHandler
{
public:
  static absl::StatusOr<std::unique_ptr<MetadataStore>> Create(
    EventLoop& aLoop,
    const SocketAddress& aListen);

  const SocketAddress& Address() const { return this->server->Address(); }

  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  std::size_t CountKeys(const std::string& aPrefix) const;
  std::int64_t Revision() const { return this->store.Revision(); }
  /// Comes back as the copy of that revision: what was written since is gone,
  /// leases too, and its era rises.
  void GoBackTo(std::int64_t aRevision);
  /// Sets the era that answers tell; it begins at 1.
  void SetEra(std::int64_t aEra) { this->era = aEra; }
  /// busy: 503 to all; silent: no answer; forget: drops the history and cuts
  /// the watches, once; lose_polls: never answers the watches that wait now;
  /// lose_changes: goes back by so many revisions, once.
  void SetFault(const Json::Value& aFault);

  void OnRequest(Exchange& aExchange) override;
  void OnClosed(Exchange& aExchange) override;

private:
  struct Watch
  {
    Exchange* exchange;
    std::string prefix;
    std::int64_t after;
    TimePoint until;
  };

  explicit MetadataStore(EventLoop& aLoop);
  void Control(Exchange& aExchange);
  void Serve(Exchange& aExchange);
  void ServeKey(Exchange& aExchange);
  void ServeRange(Exchange& aExchange);
  void ServeWatch(Exchange& aExchange);
  void ServeTransaction(Exchange& aExchange);
  void ServeLease(Exchange& aExchange);
  void TellWatches();
  bool TryTell(const Watch& aWatch);
  std::vector<KeyValue> Read(const KeyRange& aRange) const;

  /// All answers tell the era.
  void Reply(Exchange& aExchange, int aCode, const Json::Value& aBody) const;

  KvStore store;
  std::int64_t era = 1;
  std::list<Watch> watches;
  bool busy = false;
  bool silent = false;
  Timer tick;
  /// Last, so that it goes first: its end closes exchanges.
  std::unique_ptr<JsonServer> server;
};

} // namespace dogwoodvale::standins

#endif
