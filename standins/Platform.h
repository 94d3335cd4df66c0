#ifndef DOGWOODVALE_STANDINS_PLATFORM_H
#define DOGWOODVALE_STANDINS_PLATFORM_H

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "DelayLine.h"
#include "JsonServer.h"
#include "Lagged.h"
#include "StoreApi.h"

namespace dogwoodvale::standins {

struct PlatformSettings
{
  /// By which GET /instances is late.
  Duration listLag = milliseconds(0);
  double readsPerSecond = 2000; ///< 0 for no limit
  double writesPerSecond = 500; ///< 0 for no limit
  /// The list at the start, visible at once; null for an empty one.
  Json::Value instances;
};

/// At most so many a second, and a second's worth at once.
class RateLimit
{
public:
  explicit RateLimit(double aPerSecond)
    : perSecond(aPerSecond)
    , tokens(aPerSecond)
  {
  }
  bool Take(TimePoint aNow);

private:
  double perSecond;
  double tokens;
  TimePoint last{};
};

/// A stand-in for the platform: the key-value service by the etcd v3 JSON
/// mapping, and the list of instances.
///
/// Routes: POST /v3/kv/{range,put,deleterange,txn,compaction},
/// /v3/lease/{grant,revoke,keepalive,timetolive}, /v3/watch,
/// /standin/fault, /standin/instances; GET /instances, /standin/calls.
class Platform : public RequestHandler
{
public:
  static absl::StatusOr<std::unique_ptr<Platform>> Create(
    EventLoop& aLoop,
    const SocketAddress& aListen,
    const PlatformSettings& aSettings);

  const SocketAddress& Address() const { return this->server->Address(); }

  /// Replaces the list, {"instances":[{"name","role","service",
  /// "data_centre","region","address","state"}]}; InvalidArgument if one has
  /// no name, role or address, or another state than live or leaving.
  absl::Status SetInstances(const Json::Value& aList);
  /// Sets faults: {"down":bool, "slow_ms":n, "lose_replies":n,
  /// "restart":true, "roll_back_to_revision":r, "list_down":bool,
  /// "clear":true}; clear goes first.
  /// \param aSpared its connection survives a restart.
  absl::Status SetFault(const Json::Value& aFault,
                        const Exchange* aSpared = nullptr);
  /// Counters by kind of call, and the watches that wait.
  Json::Value Calls() const;

  void OnRequest(Exchange& aExchange) override;
  void OnClosed(Exchange& aExchange) override;

private:
  struct Watch
  {
    KeyRange range;
    std::int64_t next; ///< the first revision not yet sent
    bool wantsPrevious;
    std::string id;
  };
  struct Faults
  {
    bool down = false;
    bool listDown = false;
    Duration slow{ 0 };
    std::uint64_t loseReplies = 0;
  };

  Platform(EventLoop& aLoop, const PlatformSettings& aSettings);
  void Control(Exchange& aExchange);
  void ListInstances(Exchange& aExchange);
  void Admit(Exchange& aExchange);
  void Serve(Exchange& aExchange);

  void StartWatch(Exchange& aExchange, const Json::Value& aRequest);
  /// \return false if the watcher is gone.
  bool SendToWatch(Exchange& aExchange, Watch& aWatch);
  void SendToWatches();
  void Restart(const Exchange* aSpared);

  StoreApi api;
  Faults faults;
  RateLimit reads;
  RateLimit writes;
  DelayLine delayed;
  std::map<Exchange*, Watch> watches;
  std::uint64_t nextWatch = 0;
  std::map<std::string, std::uint64_t> calls;
  Lagged<Json::Value> instances;
  Timer expiry;
  /// Last, so that it goes first: its end closes exchanges.
  std::unique_ptr<JsonServer> server;
};

} // namespace dogwoodvale::standins

#endif
