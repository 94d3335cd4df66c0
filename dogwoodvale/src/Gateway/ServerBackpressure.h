#ifndef DOGWOODVALE_GATEWAY_SERVERBACKPRESSURE_H
#define DOGWOODVALE_GATEWAY_SERVERBACKPRESSURE_H

#include <functional>
#include <set>

#include "PeerDigest.h"
#include "Ports.h"

namespace dogwoodvale {

/// Backpressure that backend servers have signalled in their answers, to this
/// or another gateway: rate limits, back-offs and departures. Decides whether a
/// request may be sent to a server.
class ServerBackpressure
{
public:
  explicit ServerBackpressure(InstanceName aSelf);

  void SetGateways(std::span<const InstanceName> aNames, TimePoint aNow);
  /// This process was suspended: its list of gateways may be outdated.
  void OnSuspended(TimePoint aNow);

  /// The headers of an answer of the server arrived.
  void OnNotice(const InstanceName& aServer,
                const BackpressureNotice& aNotice,
                TimePoint aNow);
  /// Adds the rate limits and departures that this gateway knows of.
  void AddToDigest(PeerDigest& aDigest, TimePoint aNow) const;
  /// \param aIsUsed whether this gateway may use the server. Rate limits of
  /// other servers are ignored, as the state of a server that is not listed
  /// would never be freed.
  void ApplyDigest(const PeerDigest& aDigest,
                   const std::function<bool(const InstanceName&)>& aIsUsed,
                   TimePoint aNow);
  /// Frees the state of a server that is no longer listed.
  void Forget(const InstanceName& aServer);

  ServerRates& Rates() { return this->rates; }
  const ServerRates& Rates() const { return this->rates; }
  const ServerBackoffs& Backoffs() const { return this->backoffs; }
  /// Whether the server's signals allow a request from this gateway now.
  /// \param aCells number of cells of the site; 1 for a server that gateways of
  /// all cells use.
  bool MaySend(const InstanceName& aServer, std::size_t aCells, TimePoint aNow);
  void OnSent(const InstanceName& aServer, std::size_t aCells, TimePoint aNow);
  /// Time until MaySend() allows a request; zero if it does now.
  Duration UntilFree(const InstanceName& aServer,
                     std::size_t aCells,
                     TimePoint aNow);
  /// Whether the server has announced its departure, in an answer to this or
  /// another gateway.
  bool IsLeaving(const InstanceName& aServer) const
  {
    return this->leaving.Contains(aServer);
  }

private:
  ServerRates rates;
  LeavingServers leaving;
  ServerBackoffs backoffs;
  /// Servers whose last notice was malformed.
  std::set<InstanceName> malformed;
};

} // namespace dogwoodvale

#endif
