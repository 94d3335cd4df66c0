#ifndef DOGWOODVALE_STANDINS_USAGERECEIVER_H
#define DOGWOODVALE_STANDINS_USAGERECEIVER_H

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "JsonServer.h"

namespace dogwoodvale::standins {

/// A stand-in of the users' platform's receiver of usage reports: checks
/// fencing tokens, and that no window has two different reports and no token
/// two holders.
class UsageReceiver : public RequestHandler
{
public:
  enum class Mode : std::uint8_t
  {
    Up,
    /// Refuses all calls for now.
    Busy,
    /// Answers nothing and does nothing.
    Silent,
    /// Answers nothing and carries calls out a second later.
    Late,
  };

  static absl::StatusOr<std::unique_ptr<UsageReceiver>> Create(
    EventLoop& aLoop,
    const SocketAddress& aListen);

  const SocketAddress& Address() const { return this->server->Address(); }
  void SetMode(Mode aMode) { this->mode = aMode; }

  /// Accepted counts of each window.
  const std::map<std::int64_t, Json::Value>& Reports() const
  {
    return this->reports;
  }
  /// The holder that each token came from.
  const std::map<std::int64_t, std::string>& Holders() const
  {
    return this->holders;
  }
  /// What no client may do, in words.
  const std::vector<std::string>& Violations() const
  {
    return this->violations;
  }

  void OnRequest(Exchange& aExchange) override;
  void OnClosed(Exchange& aExchange) override;

  static constexpr Duration kLate = seconds(1);

private:
  struct Call
  {
    std::string holder;
    std::int64_t token = 0;
    Json::Value body;
  };

  explicit UsageReceiver(EventLoop& aLoop);
  /// \return the status of the answer.
  int CarryOut(const Call& aCall);

  Mode mode = Mode::Up;
  std::map<std::int64_t, Json::Value> reports;
  std::map<std::int64_t, std::string> holders;
  std::vector<std::string> violations;
  std::int64_t highestToken = 0;
  std::deque<Call> late;
  std::deque<std::unique_ptr<Timer>> timers;
  EventLoop& loop;
  std::unique_ptr<JsonServer> server;
};

} // namespace dogwoodvale::standins

#endif
