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
  /// Where it communicates with other gateways, by UDP and TCP.
  SocketAddress peers;

  bool operator==(const GatewayMember&) const = default;
};

/// The gateways of a site: registers this one as a key in the store under a
/// lease, and polls the keys of all.
class GatewayRoster
{
public:
  using Handler = std::function<void(std::span<const GatewayMember>)>;

  /// \param aHandler is called with the whole list at each change.
  GatewayRoster(EventLoop& aLoop,
                StoreClient& aStore,
                GatewayMember aSelf,
                Handler aHandler);

  void Start();
  /// Stops the polling and revokes this gateway's lease, which removes its
  /// entry.
  void Leave();
  /// Gateways that were present before this process started. If all gateways
  /// restart together, each is listed only once it has joined; for the first
  /// kStartDuration these are listed too.
  void ApplyHints(std::span<const GatewayMember> aHints, TimePoint aNow);

  std::span<const GatewayMember> Members() const { return this->members; }

  static constexpr Duration kLeaseTtl = seconds(6);
  /// Period of the renewals and reads.
  static constexpr Duration kPeriod = seconds(2);
  /// The same during the first kStartDuration, when other gateways may join.
  static constexpr Duration kStartPeriod = milliseconds(400);
  static constexpr Duration kStartDuration = seconds(4);
  static constexpr std::string_view kPrefix = "dogwoodvale/gateways/";

private:
  void OnTimer();
  void Join();
  void PutSelf();
  void Renew();
  void Read();
  void OnRead(const RangeResult& aResult);
  /// Reports the list to the handler if it has changed.
  void Announce(TimePoint aNow);

  StoreClient& store;
  GatewayMember self;
  Handler handler;
  std::unique_ptr<StoreCall> leaseCall;
  std::unique_ptr<StoreCall> readCall;
  /// As last read from the store.
  std::vector<GatewayMember> read;
  std::vector<GatewayMember> hints;
  std::vector<GatewayMember> members;
  /// 0 while there is none.
  LeaseId lease = 0;
  StoreEra leaseEra = 0;
  TimePoint startedAt{};
  bool leaving = false;
  Timer timer;
};

} // namespace dogwoodvale

#endif
