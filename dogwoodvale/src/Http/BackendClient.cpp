#include "BackendClient.h"

#include <algorithm>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/match.h>

#include "BackendConnection.h"
#include "Graveyard.h"

namespace dogwoodvale {

namespace {

using internal::BackendCallImpl;
using internal::BackendConnection;

bool
IsOwnHeader(std::string_view aName)
{
  for (const char* name : { "content-length", "expect" }) {
    if (absl::EqualsIgnoreCase(ToAbsl(aName), name)) {
      return true;
    }
  }
  return false;
}

bool
IsVisible(std::string_view aText)
{
  return !aText.empty() && std::ranges::all_of(aText, [](unsigned char aByte) {
    return aByte > ' ' && aByte != 0x7f;
  });
}

/// Bytes that the headers take at most, with those that are added.
std::size_t
HeadSize(const HttpRequest& aRequest)
{
  constexpr std::size_t kAdded = 256;
  constexpr std::size_t kBetween = 4;
  std::size_t size = kAdded;
  for (const HeaderField& field : aRequest.headers) {
    size += field.name.size() + field.value.size() + kBetween;
  }
  return size;
}

absl::StatusOr<std::string>
Serialize(const HttpRequest& aRequest, const std::string& aHost)
{
  if (!IsVisible(aRequest.method) || !IsVisible(aRequest.path)) {
    return absl::InvalidArgumentError("not a request line");
  }
  std::string text =
    fmt::format("{} {} HTTP/1.1\r\n", aRequest.method, aRequest.path);
  text.reserve(text.size() + HeadSize(aRequest) + aRequest.body.size());
  for (const HeaderField& field : WithoutHopByHop(aRequest.headers)) {
    if (!internal::IsSafeHeader(field)) {
      return absl::InvalidArgumentError("a header with control characters");
    }
    if (!IsOwnHeader(field.name)) {
      text += fmt::format("{}: {}\r\n", field.name, field.value);
    }
  }
  if (FindHeader(aRequest.headers, "host").empty()) {
    text += fmt::format("Host: {}\r\n", aHost);
  }
  if (!aRequest.body.empty() || aRequest.method == "POST" ||
      aRequest.method == "PUT" || aRequest.method == "PATCH") {
    text += fmt::format("Content-Length: {}\r\n", aRequest.body.size());
  }
  text += "\r\n";
  text += aRequest.body;
  return text;
}

class BackendClientImpl final
  : public BackendClient
  , public internal::BackendConnectionOwner
{
public:
  BackendClientImpl(EventLoop& aLoop,
                    const SocketAddress& aAddress,
                    const internal::RawAddress& aRaw,
                    const BackendClientOptions& aOptions)
    : loop(aLoop)
    , host(aAddress.ToString())
    , raw(aRaw)
    , options(aOptions)
    , graveyard(aLoop)
  {
  }

  std::unique_ptr<BackendCall> Start(const HttpRequest& aRequest,
                                     BackendCallHandler& aHandler) override
  {
    return this->StartFresh(aRequest, aHandler, Duration::max());
  }

  std::unique_ptr<BackendCall> StartFresh(const HttpRequest& aRequest,
                                          BackendCallHandler& aHandler,
                                          Duration aFreshness) override
  {
    auto call = std::make_unique<BackendCallImpl>(aHandler);
    auto text = Serialize(aRequest, this->host);
    if (!text.ok()) {
      call->failure = std::make_unique<Timer>(
        this->loop, [&handler = aHandler, status = text.status()] {
          handler.OnFailed(status, false);
        });
      call->failure->StartOnce(Duration::zero());
      return call;
    }
    this->Take(aFreshness).Begin(*call, aRequest.method == "HEAD", *text);
    return call;
  }

  void Probe(std::function<void(ProbeResult)> aHandler) override
  {
    this->Open().BeginProbe(std::move(aHandler));
  }

  std::size_t IdleConnections() const override { return this->idle.size(); }
  std::size_t OpenConnections() const override
  {
    return this->connections.size();
  }

  void CloseIdleConnections() override
  {
    while (!this->idle.empty()) {
      BackendConnection& last = *this->idle.back();
      last.Close();
      this->Retire(last);
    }
  }

private:
  BackendConnection& Take(Duration aFreshness)
  {
    const TimePoint now = Now();
    while (!this->idle.empty()) {
      BackendConnection& candidate = *this->idle.back();
      // The last is the most recently used: no other is fresher.
      if (Between(candidate.IdleSince(), now) > aFreshness) {
        break;
      }
      this->idle.pop_back();
      if (candidate.IsExpired(now)) {
        candidate.Close();
        this->Retire(candidate);
        continue;
      }
      // The server may have closed it and the loop not have told us yet; a
      // request written into it would be lost, and MayHaveRun for nothing.
      if (candidate.IsCleanNow()) {
        return candidate;
      }
      candidate.Close();
      this->Retire(candidate);
    }
    return this->Open();
  }

  BackendConnection& Open()
  {
    auto made =
      std::make_unique<BackendConnection>(this->loop, *this, this->raw);
    BackendConnection& connection = *made;
    this->connections.emplace(&connection, std::move(made));
    return connection;
  }

  const BackendClientOptions& Options() const override { return this->options; }

  void Pool(BackendConnection& aConnection) override
  {
    if (this->idle.size() < this->options.idleConnections) {
      this->idle.push_back(&aConnection);
    } else {
      aConnection.Close();
      this->Retire(aConnection);
    }
  }

  void Retire(BackendConnection& aConnection) override
  {
    std::erase(this->idle, &aConnection);
    const auto found = this->connections.find(&aConnection);
    if (found != this->connections.end()) {
      this->graveyard.Bury(std::move(found->second));
      this->connections.erase(found);
    }
  }

  EventLoop& loop;
  std::string host;
  internal::RawAddress raw;
  BackendClientOptions options;
  internal::Graveyard<BackendConnection> graveyard;
  absl::flat_hash_map<BackendConnection*, std::unique_ptr<BackendConnection>>
    connections;
  /// Clean connections, the most recently used last.
  std::vector<BackendConnection*> idle;
};

} // namespace

std::string_view
AnswerEndName(AnswerEnd aEnd)
{
  switch (aEnd) {
    case AnswerEnd::Head:
      return "head";
    case AnswerEnd::Length:
      return "length";
    case AnswerEnd::LastChunk:
      return "last_chunk";
    case AnswerEnd::Close:
      return "close";
  }
  return "close";
}

absl::StatusOr<std::unique_ptr<BackendClient>>
BackendClient::Create(EventLoop& aLoop,
                      const SocketAddress& aAddress,
                      const BackendClientOptions& aOptions)
{
  auto raw = internal::ToRawAddress(aAddress);
  if (!raw.ok()) {
    return raw.status();
  }
  return std::make_unique<BackendClientImpl>(aLoop, aAddress, *raw, aOptions);
}

} // namespace dogwoodvale
