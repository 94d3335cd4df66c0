#include "PeerExchange.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dogwoodvale {

namespace {

/// In bytes; a larger digest is not sent.
constexpr std::size_t kMaxDatagram = 60'000;
constexpr Duration kFetchTimeout = milliseconds(800);
constexpr int kHttpOk = 200;
constexpr std::string_view kProofField = "?proof=";

/// Gateways use IPv4 only, as their settings give IPv4 addresses.
bool
ToSystem(const SocketAddress& aAddress, sockaddr_in& aSystem)
{
  aSystem = {};
  aSystem.sin_family = AF_INET;
  aSystem.sin_port = htons(aAddress.port);
  return inet_pton(AF_INET, aAddress.ip.c_str(), &aSystem.sin_addr) == 1;
}

SocketAddress
FromSystem(const sockaddr_in& aSystem)
{
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &aSystem.sin_addr, text.data(), text.size());
  return { text.data(), ntohs(aSystem.sin_port) };
}

} // namespace

absl::StatusOr<std::unique_ptr<PeerExchange>>
PeerExchange::Create(EventLoop& aLoop,
                     Options aOptions,
                     PeerExchangeHost& aHost)
{
  std::unique_ptr<PeerExchange> made(
    new PeerExchange(aLoop, std::move(aOptions), aHost));
  if (absl::Status status = made->Open(); !status.ok()) {
    return status;
  }
  return made;
}

PeerExchange::PeerExchange(EventLoop& aLoop,
                           Options aOptions,
                           PeerExchangeHost& aHost)
  : loop(aLoop)
  , options(std::move(aOptions))
  , host(aHost)
  , random(DrawIncarnation())
  , sendTimer(aLoop, [this] { this->Send(); })
{
}

PeerExchange::~PeerExchange()
{
  if (this->readable != nullptr) {
    event_free(this->readable);
  }
  if (this->socket >= 0) {
    ::close(this->socket);
  }
}

absl::Status
PeerExchange::Open()
{
  sockaddr_in address{};
  if (!ToSystem(this->options.self, address)) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "\"{}\" is not an IPv4 address",
                     this->options.self.ToString());
  }
  this->socket =
    ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (this->socket < 0 || ::bind(this->socket,
                                 reinterpret_cast<const sockaddr*>(&address),
                                 sizeof(address)) != 0) {
    return MakeError(absl::StatusCode::kUnavailable,
                     "cannot bind {}: {}",
                     this->options.self.ToString(),
                     std::strerror(errno));
  }
  this->readable = event_new(
    this->loop.Base(),
    this->socket,
    EV_READ | EV_PERSIST,
    [](int, short, void* aSelf) {
      static_cast<PeerExchange*>(aSelf)->OnReadable();
    },
    this);
  event_priority_set(this->readable, static_cast<int>(EventPriority::Traffic));
  event_add(this->readable, nullptr);
  this->sendTimer.StartOnce(kMinDigestPeriod);
  return absl::OkStatus();
}

void
PeerExchange::SetPeers(std::span<const GatewayMember> aInCell,
                       std::span<const GatewayMember> aAll,
                       const InstanceName& aSelf)
{
  const auto addressesOf = [&](std::span<const GatewayMember> aGateways) {
    std::vector<SocketAddress> addresses;
    for (const GatewayMember& gateway : aGateways) {
      if (gateway.name != aSelf && gateway.peers != this->options.self) {
        addresses.push_back(gateway.peers);
      }
    }
    return addresses;
  };
  this->peers = addressesOf(aInCell);
  this->sitePeers = addressesOf(aAll);
}

void
PeerExchange::SetSeeds(std::vector<SocketAddress> aSeeds)
{
  this->options.seeds = std::move(aSeeds);
}

std::vector<SocketAddress>
PeerExchange::Reachable() const
{
  std::vector<SocketAddress> targets = this->sitePeers;
  for (const SocketAddress& seed : this->options.seeds) {
    if (seed != this->options.self &&
        std::ranges::find(targets, seed) == targets.end()) {
      targets.push_back(seed);
    }
  }
  return targets;
}

std::vector<SocketAddress>
PeerExchange::DigestTargets()
{
  if (this->peers.size() == this->sitePeers.size()) {
    return this->Reachable();
  }
  std::vector<SocketAddress> targets = this->peers;
  // One random gateway of the site as well, so that a new configuration reaches
  // a cell all of whose gateways the store rejects.
  std::uniform_int_distribution<std::size_t> draw(0,
                                                  this->sitePeers.size() - 1);
  targets.push_back(this->sitePeers[draw(this->random)]);
  return targets;
}

Duration
PeerExchange::DigestPeriod(std::size_t aTargets)
{
  const Duration fair =
    Duration(seconds(aTargets)) / Duration::rep(kDigestsPerSecond);
  return std::max(kMinDigestPeriod, fair);
}

void
PeerExchange::Send()
{
  const std::vector<SocketAddress> targets = this->DigestTargets();
  this->sendTimer.StartOnce(DigestPeriod(targets.size()));
  if (targets.empty()) {
    return;
  }
  const std::string bytes =
    WriteDigest(this->host.MakeDigest(), this->options.secret);
  if (bytes.size() > kMaxDatagram) {
    return;
  }
  for (const SocketAddress& target : targets) {
    sockaddr_in address{};
    if (ToSystem(target, address)) {
      // A send failure is handled like packet loss: the next digest replaces
      // this one.
      static_cast<void>(::sendto(this->socket,
                                 bytes.data(),
                                 bytes.size(),
                                 MSG_DONTWAIT | MSG_NOSIGNAL,
                                 reinterpret_cast<const sockaddr*>(&address),
                                 sizeof(address)));
    }
  }
}

void
PeerExchange::OnReadable()
{
  static std::array<char, kMaxDatagram> buffer;
  while (true) {
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    const ssize_t count = ::recvfrom(this->socket,
                                     buffer.data(),
                                     buffer.size(),
                                     MSG_DONTWAIT,
                                     reinterpret_cast<sockaddr*>(&from),
                                     &size);
    if (count <= 0) {
      return;
    }
    auto digest = ReadDigest({ buffer.data(), static_cast<std::size_t>(count) },
                             this->options.secret);
    if (digest.ok()) {
      this->host.OnDigest(*digest, FromSystem(from));
    } else {
      ++this->refused;
    }
  }
}

bool
PeerExchange::Fetch(const SocketAddress& aFrom, const std::string& aPath)
{
  const bool isBusy = std::ranges::any_of(
    this->fetches, [&](const std::unique_ptr<PendingFetch>& aFetch) {
      return aFetch->path == aPath;
    });
  if (isBusy) {
    return false;
  }
  HttpCall call;
  call.address = aFrom;
  call.path = fmt::format(
    "{}{}{}", aPath, kProofField, ProofOf(aPath, this->options.secret));
  call.timeout = kFetchTimeout;
  call.acceptsCompressed = true;
  auto fetch = std::make_unique<PendingFetch>();
  PendingFetch* key = fetch.get();
  fetch->path = aPath;
  fetch->startedAt = Now();
  fetch->exchange = HttpExchange::Start(
    this->loop, call, [this, key, aFrom, aPath](const HttpAnswer& aAnswer) {
      const auto found = std::ranges::find_if(
        this->fetches, [key](const std::unique_ptr<PendingFetch>& aOne) {
          return aOne.get() == key;
        });
      // Kept alive until this callback, which it owns, returns.
      const std::unique_ptr<PendingFetch> ended = std::move(*found);
      this->fetches.erase(found);
      const bool isReceived = aAnswer.status.ok() && aAnswer.code == kHttpOk;
      if (!isReceived || aPath == kRoutesPath) {
        Log(LogLevel::Info,
            isReceived ? "fetched" : "fetch_failed",
            "path",
            aPath,
            "from",
            aFrom.ToString(),
            "reason",
            MessageOf(aAnswer.status),
            "code",
            aAnswer.code,
            "bytes",
            aAnswer.received,
            "took_ms",
            WholeMillis(Between(ended->startedAt, Now())));
      }
      if (isReceived) {
        this->host.OnDocument(aPath, aAnswer.body, aFrom);
        return;
      }
      this->host.OnFetchFailed(aPath, aFrom);
    });
  this->fetches.push_back(std::move(fetch));
  return true;
}

bool
PeerExchange::FetchFromAny(const std::string& aPath, std::mt19937_64& aRandom)
{
  const std::vector<SocketAddress> targets = this->Reachable();
  if (targets.empty()) {
    return false;
  }
  std::uniform_int_distribution<std::size_t> draw(0, targets.size() - 1);
  return this->Fetch(targets[draw(aRandom)], aPath);
}

bool
PeerExchange::HasValidProof(std::string_view aPath) const
{
  const std::size_t at = aPath.find(kProofField);
  return at != std::string_view::npos &&
         aPath.substr(at + kProofField.size()) ==
           ProofOf(aPath.substr(0, at), this->options.secret);
}

} // namespace dogwoodvale
