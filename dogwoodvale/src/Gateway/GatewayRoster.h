#ifndef DOGWOODVALE_GATEWAY_GATEWAYROSTER_H
#define DOGWOODVALE_GATEWAY_GATEWAYROSTER_H

#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "Ports.h"

namespace dogwoodvale {

/// Another gateway, as the store lists it.
struct GatewayMember
{
  InstanceName name;
  /// Where it talks with other gateways, by datagrams and by TCP.
  SocketAddress peers;

  bool operator==(const GatewayMember&) const = default;
};

/// The gateways of a site: each keeps one key in the store under a lease.
class GatewayRoster
{
public:
  using Handler = std::function<void(std::span<const GatewayMember>)>;

  /// \param aHandler is told of each change.
  GatewayRoster(EventLoop& aLoop,
                StoreClient& aStore,
                GatewayMember aSelf,
                Handler aHandler);

  void Start();
  /// Ends this gateway's own entry.
  void Leave();
  /// Gateways that were there a moment ago. When all start again together, each
  /// is read only once it has joined; until they had time to, these count too.
  void TakeHints(std::span<const GatewayMember> aHints, TimePoint aNow);

  std::span<const GatewayMember> Members() const { return this->members; }

  static constexpr Duration kLeaseTtl = seconds(6);
  static constexpr Duration kPeriod = seconds(2);
  /// The same until a start is over: others join in these seconds.
  static constexpr Duration kPeriodAtStart = milliseconds(400);
  static constexpr Duration kStartTakes = seconds(4);
  static constexpr std::string_view kPrefix = "dogwoodvale/gateways/";

private:
  void Tend();
  void Join();
  void PutSelf();
  void Renew();
  void Read();
  void OnRead(const RangeResult& aResult);
  void Announce(TimePoint aNow);

  StoreClient& store;
  GatewayMember self;
  Handler handler;
  std::unique_ptr<StoreCall> leaseCall;
  std::unique_ptr<StoreCall> readCall;
  std::vector<GatewayMember> read;
  std::vector<GatewayMember> hints;
  std::vector<GatewayMember> members;
  LeaseId lease = 0;
  StoreEra leaseEra = 0;
  TimePoint startedAt{};
  bool leaving = false;
  Timer timer;
};

} // namespace dogwoodvale

#endif
