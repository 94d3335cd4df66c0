#ifndef DOGWOODVALE_GATEWAY_PEEREXCHANGE_H
#define DOGWOODVALE_GATEWAY_PEEREXCHANGE_H

#include <memory>
#include <vector>

#include "DirectoryCache.h"
#include "PeerDigest.h"

struct event;

namespace dogwoodvale {

/// Receives the messages of the other gateways.
class PeerExchangeHost
{
public:
  virtual ~PeerExchangeHost() = default;
  /// The next digest to send; consumes the prompts routed since the last one.
  virtual PeerDigest MakeDigest() = 0;
  virtual void OnDigest(const PeerDigest& aDigest,
                        const SocketAddress& aFrom) = 0;
  /// A document requested by PeerExchange::Fetch() has arrived.
  virtual void OnDocument(std::string_view aPath,
                          std::string_view aDocument,
                          const SocketAddress& aFrom) = 0;
  /// A request by PeerExchange::Fetch() failed.
  virtual void OnFetchFailed(std::string_view aPath,
                             const SocketAddress& aFrom) = 0;
};

/// Communication among gateways: digests of their state by UDP, a few times a
/// second, and documents (routes, backend servers) by HTTP on request.
///
/// A lost digest only makes load balancing slightly worse until the next one,
/// so datagrams suffice; a stream would deliver outdated digests late instead.
class PeerExchange
{
public:
  struct Options
  {
    /// Address that the UDP socket is bound to.
    SocketAddress self;
    /// Authenticates digests and document requests; shared by all gateways.
    std::string secret;
    /// Gateways that are contacted whether or not the store lists them.
    std::vector<SocketAddress> seeds;
  };

  /// \return InvalidArgument if the own address is not IPv4, Unavailable if it
  /// can't be bound.
  static absl::StatusOr<std::unique_ptr<PeerExchange>>
  Create(EventLoop& aLoop, Options aOptions, PeerExchangeHost& aHost);
  ~PeerExchange();
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /// Sets the gateways that the store lists: those of this gateway's cell,
  /// which receive its digests, and all of the site.
  void SetPeers(std::span<const GatewayMember> aInCell,
                std::span<const GatewayMember> aAll,
                const InstanceName& aSelf);
  void SetSeeds(std::vector<SocketAddress> aSeeds);
  /// Requests a document from one gateway; at most one request per path is in
  /// flight.
  /// \return whether a request was sent.
  bool Fetch(const SocketAddress& aFrom, const std::string& aPath);
  /// Requests a document from a random gateway. \return whether a request was
  /// sent.
  bool FetchFromAny(const std::string& aPath, std::mt19937_64& aRandom);
  /// Whether the path of a document request carries a valid proof that it comes
  /// from a gateway, see ProofOf().
  bool HasValidProof(std::string_view aPath) const;

  /// Number of datagrams that were malformed or made with another secret.
  std::uint64_t DigestsRejected() const { return this->refused; }

  /// Common prefix of the paths of all documents.
  static constexpr std::string_view kPathPrefix = "/peer/";
  static constexpr std::string_view kRoutesPath = "/peer/routes";
  static constexpr std::string_view kInstancesPath = "/peer/instances";
  /// Target number of digests that a gateway receives per second. Each gateway
  /// sends to all others of its cell, so the sending rate of each falls as
  /// their number grows.
  static constexpr int kDigestsPerSecond = 200;
  static constexpr Duration kMinDigestPeriod = milliseconds(50);
  /// Time between two digests of a gateway that sends to so many others.
  static Duration DigestPeriod(std::size_t aTargets);

private:
  struct PendingFetch
  {
    std::string path;
    TimePoint startedAt;
    std::unique_ptr<class HttpExchange> exchange;
  };

  PeerExchange(EventLoop& aLoop, Options aOptions, PeerExchangeHost& aHost);
  absl::Status Open();
  void Send();
  void OnReadable();
  /// All gateways of the site, seeds included, without this one.
  std::vector<SocketAddress> Reachable() const;
  /// Where the next digest goes.
  std::vector<SocketAddress> DigestTargets();

  EventLoop& loop;
  Options options;
  PeerExchangeHost& host;
  int socket = -1;
  event* readable = nullptr;
  std::mt19937_64 random;
  Timer sendTimer;
  /// Gateways of this gateway's cell.
  std::vector<SocketAddress> peers;
  /// Gateways of the site.
  std::vector<SocketAddress> sitePeers;
  std::vector<std::unique_ptr<PendingFetch>> fetches;
  std::uint64_t refused = 0;
};

} // namespace dogwoodvale

#endif
