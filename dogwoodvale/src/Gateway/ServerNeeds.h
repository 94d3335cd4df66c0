#ifndef DOGWOODVALE_GATEWAY_SERVERNEEDS_H
#define DOGWOODVALE_GATEWAY_SERVERNEEDS_H

#include <functional>
#include <set>

#include "PeerDigest.h"
#include "Ports.h"

namespace dogwoodvale {

/// What the backend servers have stated of their needs, here and at other
/// gateways, and what may be sent to them then.
class ServerNeeds
{
public:
  explicit ServerNeeds(InstanceName aSelf);

  void SetGateways(std::span<const InstanceName> aNames, TimePoint aNow);
  /// This process was suspended: what it knows of the fleet may be old.
  void OnSuspended(TimePoint aNow);

  /// The head of an answer of the server came.
  void OnNotice(const InstanceName& aServer,
                const BackpressureNotice& aNotice,
                TimePoint aNow);
  void Tell(PeerDigest& aDigest, TimePoint aNow) const;
  /// \param aIsUsed whether this gateway may use the server: nothing would ever
  /// forget one that it does not list.
  void Hear(const PeerDigest& aDigest,
            const std::function<bool(const InstanceName&)>& aIsUsed,
            TimePoint aNow);
  void Forget(const InstanceName& aServer);

  ServerRates& Rates() { return this->rates; }
  const ServerRates& Rates() const { return this->rates; }
  const ServerRests& Rests() const { return this->rests; }
  /// Whether the server, as far as it has said, takes a request of this
  /// gateway. \param aCells 1 for a server that gateways of all cells use.
  bool MaySend(const InstanceName& aServer, std::size_t aCells, TimePoint aNow);
  void OnSent(const InstanceName& aServer, std::size_t aCells, TimePoint aNow);
  /// Until it does; zero if it does now.
  Duration UntilFree(const InstanceName& aServer,
                     std::size_t aCells,
                     TimePoint aNow);
  /// The server has said that it leaves, in an answer here or elsewhere.
  bool IsLeaving(const InstanceName& aServer) const
  {
    return this->leaving.Contains(aServer);
  }

private:
  ServerRates rates;
  LeavingServers leaving;
  ServerRests rests;
  /// Servers whose last notice could not be read.
  std::set<InstanceName> malformed;
};

} // namespace dogwoodvale

#endif
