#ifndef DOGWOODVALE_GATEWAY_PEEREXCHANGE_H
#define DOGWOODVALE_GATEWAY_PEEREXCHANGE_H

#include <memory>
#include <vector>

#include "DirectoryKeeper.h"
#include "PeerDigest.h"

struct event;

namespace dogwoodvale {

/// Is told what the other gateways say.
class PeerExchangeHost
{
public:
  virtual ~PeerExchangeHost() = default;
  /// The next digest to send; gives out what was routed since the last.
  virtual PeerDigest MakeDigest() = 0;
  virtual void OnDigest(const PeerDigest& aDigest,
                        const SocketAddress& aFrom) = 0;
  /// A document that was asked for, see PeerExchange::Fetch().
  virtual void OnDocument(std::string_view aPath,
                          std::string_view aDocument,
                          const SocketAddress& aFrom) = 0;
  /// What was asked for did not come.
  virtual void OnFetchFailed(std::string_view aPath,
                             const SocketAddress& aFrom) = 0;
};

/// How gateways talk: a digest of their work by datagram, a few times a second,
/// and documents (routes, backend servers) by HTTP, only when asked for.
///
/// A digest that is lost costs a little of the choice's quality, so datagrams
/// do; a stream would deliver old news late instead.
class PeerExchange
{
public:
  struct Options
  {
    SocketAddress self;
    std::string secret;
    std::vector<SocketAddress> seeds;
  };

  static absl::StatusOr<std::unique_ptr<PeerExchange>>
  Create(EventLoop& aLoop, Options aOptions, PeerExchangeHost& aHost);
  ~PeerExchange();
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /// The gateways that the store names: those of this one's cell, to which its
  /// digests go, and all of the site.
  void SetPeers(std::span<const GatewayMember> aInCell,
                std::span<const GatewayMember> aAll,
                const InstanceName& aSelf);
  void SetSeeds(std::vector<SocketAddress> aSeeds);
  /// Asks one gateway for a document; one at a time for each path.
  /// \return whether it was asked.
  bool Fetch(const SocketAddress& aFrom, const std::string& aPath);
  /// Asks a gateway drawn at random. \return whether one was asked.
  bool FetchFromAny(const std::string& aPath, std::mt19937_64& aRandom);
  /// Whether a request for a document proves to come from a gateway.
  bool IsProven(std::string_view aPath) const;

  /// Datagrams that were no digest, or made with another secret.
  std::uint64_t DigestsRefused() const { return this->refused; }

  /// Of all documents.
  static constexpr std::string_view kPathPrefix = "/peer/";
  static constexpr std::string_view kRoutesPath = "/peer/routes";
  static constexpr std::string_view kInstancesPath = "/peer/instances";
  /// Digests that a gateway may receive in a second: each gateway sends to all
  /// others of its cell, so the pace of each falls as their number grows.
  static constexpr int kDigestsPerSecond = 200;
  static constexpr Duration kLeastDigestPeriod = milliseconds(50);

private:
  struct Fetching
  {
    std::string path;
    TimePoint startedAt;
    std::unique_ptr<class HttpExchange> exchange;
  };

  PeerExchange(EventLoop& aLoop, Options aOptions, PeerExchangeHost& aHost);
  absl::Status Open();
  void Send();
  void OnReadable();
  /// All gateways that may be asked, seeds included.
  std::vector<SocketAddress> Reachable() const;
  std::vector<SocketAddress> DigestTargets();

  EventLoop& loop;
  Options options;
  PeerExchangeHost& host;
  int socket = -1;
  event* readable = nullptr;
  std::mt19937_64 random;
  Timer sendTimer;
  std::vector<SocketAddress> peers;
  std::vector<SocketAddress> everyone;
  std::vector<std::unique_ptr<Fetching>> fetches;
  std::uint64_t refused = 0;
};

} // namespace dogwoodvale

#endif
