#ifndef DOGWOODVALE_TOOLS_LOAD_BALANCER_H
#define DOGWOODVALE_TOOLS_LOAD_BALANCER_H

#include <memory>
#include <string>
#include <vector>

#include "tools/load/HttpClient.h"

namespace dogwoodvale::load {

struct BalancerOptions
{
  /// Asked of each target again and again; empty for no checks.
  std::string readyPath;
  /// Where to ask, one for each target in the same order; empty to ask the
  /// targets themselves.
  std::vector<SocketAddress> readyTargets;
  Duration period = milliseconds(200);
};

/// Stands in for the platform's balancer: takes the ready targets in turn.
class Balancer
{
public:
  /// \param aClient outlives this.
  Balancer(EventLoop& aLoop,
           HttpClient& aClient,
           std::vector<SocketAddress> aTargets,
           const BalancerOptions& aOptions);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /// The next ready target; the next of all if none is ready.
  const SocketAddress& Choose();
  std::size_t TargetCount() const { return this->targets.size(); }

private:
  class Check;
  void CheckAll();

  std::vector<SocketAddress> targets;
  BalancerOptions options;
  std::vector<std::unique_ptr<Check>> checks;
  std::size_t turn = 0;
  Timer timer;
};

} // namespace dogwoodvale::load

#endif
