#ifndef DOGWOODVALE_TEST_SUPPORT_PLATFORMSITE_H
#define DOGWOODVALE_TEST_SUPPORT_PLATFORMSITE_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../RawSockets.h"
#include "PortReservation.h"
#include "platform/Adapters.h"
#include "standins/MetadataStore.h"
#include "standins/SealedEngine.h"

namespace dogwoodvale::test {

/// A site of the users' platform within the test process: the store, engines
/// and gateways, each on its own loopback port.
class PlatformSite
{
public:
  static constexpr std::uint64_t kBorn = 1'790'000'000'000;
  static constexpr const char* kSoftwareVersion = "v1";

  explicit PlatformSite(int aEngines = 2)
  {
    for (int i = 1; i <= aEngines; ++i) {
      this->AddEngine(fmt::format("e{}", i));
    }
    this->PutConfiguration(1);
  }

  standins::SealedEngine& AddEngine(
    const std::string& aName,
    standins::SealedEngineSettings aSettings = {})
  {
    aSettings.instance = aName;
    this->engines.push_back(*standins::SealedEngine::Create(
      *this->loop, { "127.0.0.1", 0 }, aSettings));
    this->Register(aName,
                   *this->engines.back(),
                   "ready",
                   kBorn,
                   aSettings.softwareVersion.empty()
                     ? kSoftwareVersion
                     : aSettings.softwareVersion);
    return *this->engines.back();
  }

  void Register(const std::string& aName,
                const standins::SealedEngine& aEngine,
                const std::string& aState,
                std::uint64_t aBorn = kBorn,
                const std::string& aSoftwareVersion = kSoftwareVersion) const
  {
    this->store->Put(
      "servers/" + aName,
      fmt::format(R"({{"service":"s","address":"{}","zone":"z","slots":4,)"
                  R"("state":"{}","sequence":1,"born":{},"version":"{}"}})",
                  aEngine.Address().ToString(),
                  aState,
                  aBorn,
                  aSoftwareVersion));
  }

  /// Stores a configuration with the routes /stream/ (resumable),
  /// /note/stream/ (not resumable), /once/ (non-idempotent), /again/
  /// (idempotent), /read/stream/ (with prompt metadata) and /scan/stream/ (the
  /// same, resumable).
  /// \param aMoreRoutes number of further routes /more-1/, /more-2/ ... that
  /// are like /again/.
  /// \param aMoreTenants JSON of further tenants, each preceded by a comma.
  void PutConfiguration(int aVersion,
                        int aTimeoutMillis = 2000,
                        int aMoreRoutes = 0,
                        const std::string& aMoreTenants = "") const
  {
    const auto route = [&](const char* aPrefix,
                           const char* aKind,
                           int aAttempts,
                           bool aResume,
                           bool aPrompts = false) {
      return fmt::format(
        R"({{"name":"r-{0}","host":"a.example","prefix":"{0}","kind":"{1}",)"
        R"("timeoutMs":{2},"targetLatencyMs":100,"targetGapMs":50,)"
        R"("priority":0,"service":"s","maxAttempts":{3},"public":false,)"
        R"("sessionAffinity":{5},"streamResume":{4}}})",
        aPrefix,
        aKind,
        aTimeoutMillis,
        aAttempts,
        aResume,
        aPrompts);
    };
    std::string more;
    for (int i = 1; i <= aMoreRoutes; ++i) {
      const std::string prefix = fmt::format("/more-{}/", i);
      more += "," + route(prefix.c_str(), "idempotent", 2, false);
    }
    this->PutConfigurationText(fmt::format(
      R"({{"version":{},"routes":[{},{},{},{},{},{}{}],"services":[{{"name":"s",)"
      R"("healthPath":"/health","maxConnections":16}}],)"
      R"("limits":{{"maxHeaderBytes":4096,"maxBodyBytes":{},)"
      R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}},)"
      R"("tenants":[{{"name":"t1","apiKeys":["key1"],"priority":1}}{}]}})",
      aVersion,
      route("/stream/", "streaming", 2, true),
      route("/note/stream/", "streaming", 1, false),
      route("/once/", "non_idempotent", 2, false),
      route("/again/", "idempotent", 2, false),
      route("/read/stream/", "streaming", 1, false, true),
      route("/scan/stream/", "streaming", 2, true, true),
      more,
      this->maxBodyBytes,
      aMoreTenants));
  }

  void PutConfigurationText(const std::string& aText) const
  {
    this->store->Put("op/config", aText);
  }

  Gateway& AddGateway(const std::string& aName)
  {
    DaemonSettings settings;
    settings.role = Role::Gateway;
    settings.instance = InstanceName(aName);
    settings.dataCentre = DataCentreName("z");
    this->peerPorts.push_back(PortReservation::Draw());
    settings.peers = { "127.0.0.1", this->peerPorts.back().Port() };
    settings.operators = { "127.0.0.1", 0 };
    settings.peerSecret = this->peerSecret;
    settings.platform.store = { this->storeRelay.value_or(
      this->store->Address()) };
    settings.platform.storeTimeout = milliseconds(300);
    settings.gateway.callers = { "127.0.0.1", 0 };
    settings.gateway.instanceDrain = this->instanceDrain;
    settings.gateway.retryRatio = 1.0;
    settings.gateway.stopGrace = seconds(2);
    settings.gateway.quarantine = this->quarantine;
    settings.gateway.decisions = this->decisions;
    settings.gateway.duties = this->duties;
    EventLoop& own =
      this->gatewayLoop == nullptr ? *this->loop : *this->gatewayLoop;
    GatewayPorts ports = *platform::CreatePorts(own, settings);
    if (this->wrapCallers) {
      ports.callers = this->wrapCallers(std::move(ports.callers));
    }
    this->gateways.push_back(*Gateway::Create(own, settings, std::move(ports)));
    return *this->gateways.back();
  }

  /// Adds a gateway and waits until it is ready.
  Gateway& ReadyGateway(const std::string& aName = "g1")
  {
    Gateway& gateway = this->AddGateway(aName);
    this->Until([&] { return gateway.Ready().ok(); });
    return gateway;
  }

  bool Until(const std::function<bool()>& aDone,
             Duration aLimit = seconds(5)) const
  {
    return this->loop->RunUntil(aDone, aLimit);
  }

  /// States the tokens of a request's prompt, and 10 tokens of the answer.
  static std::string TokenHeader(int aPromptTokens)
  {
    return fmt::format("Dogwoodvale-Token-Count: {},10\r\n", aPromptTokens);
  }

  /// States a prompt of 200 tokens by its parts, "ID:TOKENS,ID:TOKENS".
  static std::string PromptHeaders(const std::string& aParts)
  {
    return fmt::format("Dogwoodvale-Model: m\r\n"
                       "Dogwoodvale-Token-Count: 200,10\r\n"
                       "Dogwoodvale-Prompt-Prefix: {}\r\n",
                       aParts);
  }

  /// Head, without its end, of a server's answer to an attempt.
  static std::string AnswerHead(const std::string& aId)
  {
    return fmt::format("HTTP/1.1 200 OK\r\n"
                       "Dogwoodvale-Attempt-Id: {}\r\n"
                       "Dogwoodvale-Response-Seal: a seal\r\n",
                       aId);
  }

  /// A server's answer that it is full and has not run the attempt.
  static std::string Rejection(const std::string& aId)
  {
    return fmt::format("HTTP/1.1 503 Service Unavailable\r\n"
                       "Dogwoodvale-Attempt-Id: {}\r\n"
                       "Dogwoodvale-Not-Executed: 1\r\n"
                       "Content-Length: 0\r\n\r\n",
                       aId);
  }

  /// A customer with the key "key2", for PutConfiguration().
  static std::string SecondCustomer()
  {
    return R"(,{"name":"t2","apiKeys":["key2"],"priority":1})";
  }

  static std::string RequestText(const std::string& aPath,
                                 const std::string& aId,
                                 const std::string& aMore = "",
                                 std::string_view aBody = "body")
  {
    return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\n"
                       "Dogwoodvale-Attempt-Id: {}\r\n"
                       "Dogwoodvale-Credential: key1\r\n"
                       "Dogwoodvale-Deadline-Ms: 1500\r\n{}"
                       "Content-Length: {}\r\n\r\n{}",
                       aPath,
                       aId,
                       aMore,
                       aBody.size(),
                       aBody);
  }

  /// RequestText() of a caller that waits for another time.
  static std::string WithTimeLimit(std::string aRequest, milliseconds aLimit)
  {
    constexpr std::string_view kUsual = "Deadline-Ms: 1500";
    aRequest.replace(aRequest.find(kUsual),
                     kUsual.size(),
                     fmt::format("Deadline-Ms: {}", aLimit.count()));
    return aRequest;
  }

  /// Sends a request on a new connection and waits until the gateway closes it.
  /// \return the bytes received.
  std::string Ask(const Gateway& aGateway,
                  const std::string& aPath,
                  const std::string& aId,
                  const std::string& aMore = "Connection: close\r\n")
  {
    RawSocket caller = RawSocket::Connect(aGateway.CallerAddress());
    caller.Send(RequestText(aPath, aId, aMore));
    this->Until([&] {
      caller.Read();
      return caller.closed;
    });
    return caller.received;
  }

  /// Limit of a request's body in configurations that are stored later.
  std::size_t maxBodyBytes = 65536;
  /// Duration of a quarantine at gateways that are added later.
  Duration quarantine = seconds(600);
  /// Address at which gateways reach the store, if not the store's own.
  std::optional<SocketAddress> storeRelay;
  /// Replaces the callers' protocol of gateways that are added later, if set.
  std::function<std::unique_ptr<CallerProtocol>(
    std::unique_ptr<CallerProtocol>)>
    wrapCallers;
  GatewayDecisions decisions;
  DutySettings duties;
  /// Secret and drain time of gateways that are added later.
  std::string peerSecret = "a secret of the test's own";
  Duration instanceDrain = milliseconds(300);
  /// Loop of gateways that are added later, if not the site's; the gateways on
  /// it must be destroyed first.
  EventLoop* gatewayLoop = nullptr;
  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  std::unique_ptr<standins::MetadataStore> store =
    *standins::MetadataStore::Create(*this->loop, { "127.0.0.1", 0 });
  std::vector<std::unique_ptr<standins::SealedEngine>> engines;
  /// Reserved because gateways announce their peer port before they bind it.
  std::vector<PortReservation> peerPorts;
  std::vector<std::unique_ptr<Gateway>> gateways;
};

} // namespace dogwoodvale::test

#endif
