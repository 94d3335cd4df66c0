#ifndef DOGWOODVALE_STANDINS_PLAINSERVICE_H
#define DOGWOODVALE_STANDINS_PLAINSERVICE_H

#include <map>
#include <memory>

#include "DelayLine.h"
#include "Journal.h"
#include "JsonServer.h"

namespace dogwoodvale::standins {

struct ServiceExecution : Execution
{
  std::uint64_t number = 0;
  std::string idempotencyKey;
  std::string method;
  std::string path;
  std::uint64_t bodyHash = 0;

  Json::Value ToJson() const;
};

/// A stand-in plain HTTP service: executes whatever it is asked, at once,
/// records it, and answers after a delay.
///
/// Any method and path but POST /standin/fault and GET /standin/record.
class PlainService : public RequestHandler
{
public:
  static absl::StatusOr<std::unique_ptr<PlainService>>
  Create(EventLoop& aLoop, const SocketAddress& aListen, Duration aDelay);

  const SocketAddress& Address() const { return this->server->Address(); }

  /// Sets faults: {"slow":5.0,"stall":true,"refuse":true,"crash":true,
  /// "clear":true}; clear goes first. Crash closes each connection after
  /// executing, before answering; refuse answers 503 without executing.
  void SetFault(const Json::Value& aFault);
  /// What was executed, from entry number \p aSince on.
  Json::Value Record(std::uint64_t aSince = 0) const;

  void OnRequest(Exchange& aExchange) override;
  void OnClosed(Exchange& aExchange) override;

private:
  struct Faults
  {
    double slow = 1.0;
    bool stall = false;
    bool refuse = false;
    bool crash = false;
  };
  PlainService(EventLoop& aLoop, Duration aDelay);
  void Control(Exchange& aExchange);
  void Execute(Exchange& aExchange);
  void Answer(Exchange& aExchange);
  void End(std::uint64_t aEntry, const char* aEnd);

  Duration delay;
  Faults faults;
  Journal<ServiceExecution> journal;
  /// Journal entries of the executions not answered yet.
  std::map<Exchange*, std::uint64_t> pending;
  DelayLine delayed;
  /// Last, so that it goes first: its end closes exchanges.
  std::unique_ptr<JsonServer> server;
};

} // namespace dogwoodvale::standins

#endif
