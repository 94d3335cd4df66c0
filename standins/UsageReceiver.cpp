#include "UsageReceiver.h"

#include <cstdlib>

namespace dogwoodvale::standins {

absl::StatusOr<std::unique_ptr<UsageReceiver>>
UsageReceiver::Create(EventLoop& aLoop, const SocketAddress& aListen)
{
  std::unique_ptr<UsageReceiver> made(new UsageReceiver(aLoop));
  auto server = JsonServer::Create(aLoop, aListen, *made);
  if (!server.ok()) {
    return server.status();
  }
  made->server = *std::move(server);
  return made;
}

UsageReceiver::UsageReceiver(EventLoop& aLoop)
  : loop(aLoop)
{
}

int
UsageReceiver::CarryOut(const Call& aCall)
{
  constexpr int kOk = 200;
  constexpr int kConflict = 409;
  const auto [holder, isNewToken] =
    this->holders.try_emplace(aCall.token, aCall.holder);
  if (!isNewToken && holder->second != aCall.holder) {
    this->violations.push_back(
      fmt::format("token {} of two holders", aCall.token));
  }
  if (aCall.token < this->highestToken) {
    return kConflict;
  }
  this->highestToken = aCall.token;
  const std::int64_t window = aCall.body["windowId"].asInt64();
  const auto [report, isNew] =
    this->reports.try_emplace(window, aCall.body["counts"]);
  if (!isNew && report->second != aCall.body["counts"]) {
    this->violations.push_back(
      fmt::format("two different reports of window {}", window));
  }
  return kOk;
}

void
UsageReceiver::OnRequest(Exchange& aExchange)
{
  constexpr int kUnavailable = 503;
  Call call;
  call.holder = aExchange.Header("Dogwoodvale-Duty-Holder");
  call.token = std::strtoll(
    aExchange.Header("Dogwoodvale-Fencing-Token").c_str(), nullptr, 10);
  call.body = aExchange.JsonBody().value_or(Json::Value(Json::objectValue));
  switch (this->mode) {
    case Mode::Up: {
      const int status = this->CarryOut(call);
      aExchange.ReplyJson(status, Json::Value(Json::objectValue));
      return;
    }
    case Mode::Busy:
      aExchange.ReplyJson(kUnavailable, Json::Value(Json::objectValue));
      return;
    case Mode::Silent:
      return;
    case Mode::Late:
      this->late.push_back(std::move(call));
      this->timers.push_back(std::make_unique<Timer>(this->loop, [this] {
        this->CarryOut(this->late.front());
        this->late.pop_front();
      }));
      this->timers.back()->StartOnce(kLate);
      return;
  }
}

void
UsageReceiver::OnClosed(Exchange& /*aExchange*/)
{
}

} // namespace dogwoodvale::standins
