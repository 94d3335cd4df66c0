#include "tools/load/Balancer.h"

namespace dogwoodvale::load {

namespace {

constexpr int kOkStatus = 200;

} // namespace

/// Asks one target whether it is ready; an answer that is late counts as no.
class Balancer::Check : public AnswerSink
{
public:
  Check(HttpClient& aClient, SocketAddress aTarget, std::string aPath)
    : client(aClient)
    , target(std::move(aTarget))
    , request{ "GET", std::move(aPath), {}, "" }
  {
  }

  bool IsReady() const { return this->isReady; }

  void Ask()
  {
    if (this->exchange) {
      this->isReady = false;
      this->exchange.reset();
    }
    this->status = 0;
    this->exchange = this->client.Send(this->target, this->request, *this);
  }

  void OnHead(const AnswerHead& aHead) override { this->status = aHead.status; }
  void OnBody(std::string_view /*aBytes*/) override {}
  void OnEnd(ExchangeEnd aEnd) override
  {
    this->isReady = aEnd == ExchangeEnd::Whole && this->status == kOkStatus;
    this->exchange.reset();
  }

private:
  HttpClient& client;
  SocketAddress target;
  HttpRequest request;
  std::unique_ptr<Exchange> exchange;
  int status = 0;
  bool isReady = true;
};

Balancer::Balancer(EventLoop& aLoop,
                   HttpClient& aClient,
                   std::vector<SocketAddress> aTargets,
                   const BalancerOptions& aOptions)
  : targets(std::move(aTargets))
  , options(aOptions)
  , timer(aLoop, [this] { this->CheckAll(); })
{
  if (this->options.readyPath.empty()) {
    return;
  }
  const std::vector<SocketAddress>& asked = this->options.readyTargets.empty()
                                              ? this->targets
                                              : this->options.readyTargets;
  for (const SocketAddress& target : asked) {
    this->checks.push_back(
      std::make_unique<Check>(aClient, target, this->options.readyPath));
  }
  this->timer.StartRepeating(this->options.period);
}

Balancer::~Balancer() = default;

void
Balancer::CheckAll()
{
  for (const auto& check : this->checks) {
    check->Ask();
  }
}

const SocketAddress&
Balancer::Choose()
{
  for (std::size_t tried = 0; tried < this->checks.size(); ++tried) {
    this->turn = (this->turn + 1) % this->targets.size();
    if (this->checks[this->turn]->IsReady()) {
      return this->targets[this->turn];
    }
  }
  this->turn = (this->turn + 1) % this->targets.size();
  return this->targets[this->turn];
}

} // namespace dogwoodvale::load
