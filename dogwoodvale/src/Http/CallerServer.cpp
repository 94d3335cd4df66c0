#include "CallerServer.h"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>

#include <absl/container/flat_hash_map.h>

#include <event2/listener.h>

#include <sys/socket.h>

#include "CallerConnection.h"
#include "Graveyard.h"
#include "LoopShare.h"
#include "SocketBuffers.h"
#include "Sockets.h"

namespace dogwoodvale {

namespace {

using internal::CallerConnection;

/// How long accepting pauses when the process has no descriptor left.
constexpr Duration kAcceptPause = milliseconds(50);
/// Connections that go on together after a pause, and the time between these.
constexpr std::size_t kResumedTogether = 16;
constexpr Duration kResumePeriod = milliseconds(5);
/// A connection has this long to send a request, or more of one, before it may
/// be closed for a new one. Without it a flood of connections would close each
/// before its request can come.
constexpr Duration kLeastSilence = CallerConnection::kLeastSilence;
/// How often refusals for lack of memory or connections are logged.
constexpr Duration kShortageLogPeriod = seconds(1);

class CallerServerImpl final
  : public CallerServer
  , public internal::CallerConnectionOwner
{
public:
  CallerServerImpl(EventLoop& aLoop,
                   const CallerBounds& aBounds,
                   CallerHandler& aHandler)
    : loop(aLoop)
    , bounds(aBounds)
    , handler(aHandler)
    , memory(aBounds.memoryBytes)
    , sockets(aBounds.socketBytes)
    , share(aBounds.loopShare)
    , graveyard(aLoop)
    , resume(aLoop,
             [this] {
               if (this->listener != nullptr) {
                 evconnlistener_enable(this->listener.get());
               }
             })
    , resumeReading(aLoop, [this] { this->ResumePaused(); })
  {
  }

  absl::Status Listen(const SocketAddress& aAddress)
  {
    auto made = internal::Listen(
      this->loop,
      aAddress,
      [](
        evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
        static_cast<CallerServerImpl*>(aSelf)->OnAccept(aSocket);
      },
      this,
      this->Backlog());
    if (!made.ok()) {
      return made.status();
    }
    this->listener = std::move(*made);
    internal::SetReceiveBuffer(evconnlistener_get_fd(this->listener.get()),
                               internal::SocketBuffers::kLargest);
    this->address =
      internal::LocalAddress(evconnlistener_get_fd(this->listener.get()));
    // Out of descriptors: the listener stays readable, and without a pause the
    // loop would spin on it.
    evconnlistener_set_error_cb(
      this->listener.get(), [](evconnlistener* aListener, void* aSelf) {
        evconnlistener_disable(aListener);
        static_cast<CallerServerImpl*>(aSelf)->resume.StartOnce(kAcceptPause);
      });
    return absl::OkStatus();
  }

  SocketAddress Address() const override { return this->address; }
  const CallerServerCounters& Counters() const override
  {
    return this->counters;
  }

  void WriteMetrics(PrometheusWriter& aWriter) const override
  {
    const auto count = [&](std::string_view aName,
                           std::string_view aHelp,
                           std::uint64_t aValue) {
      aWriter.Family(aName, aHelp, MetricType::Counter);
      aWriter.Sample({}, aValue);
    };
    count("caller_connections_total",
          "Connections accepted from callers.",
          this->counters.connections);
    count("caller_requests_total",
          "Whole requests read from callers.",
          this->counters.requests);
    count("caller_too_large_total",
          "Requests refused for their size.",
          this->counters.tooLarge);
    count("caller_malformed_total",
          "Requests refused as malformed.",
          this->counters.malformed);
    count("caller_read_timeouts_total",
          "Requests that came too slowly.",
          this->counters.readTimeouts);
    count("caller_refused_connections_total",
          "Connections over the bound.",
          this->counters.refusedConnections);
    count("caller_refused_for_memory_total",
          "Requests refused as others take the memory for them.",
          this->counters.refusedForMemory);
    count("caller_unread_answers_total",
          "Answers given up as their callers did not read them.",
          this->counters.unreadAnswers);
    count("caller_closed_for_new_total",
          "Connections without a request that were closed for new ones.",
          this->counters.closedForNew);
    const auto gauge =
      [&](std::string_view aName, std::string_view aHelp, std::size_t aValue) {
        aWriter.Family(aName, aHelp, MetricType::Gauge);
        aWriter.Sample({}, std::uint64_t(aValue));
      };
    this->WriteMemory(aWriter);
    gauge("caller_memory_limit_bytes",
          "Limit of caller_memory_bytes.",
          this->memory.Limit());
    gauge("caller_socket_buffer_bytes",
          "Receive buffers of the callers' sockets.",
          this->sockets.Granted());
    gauge("caller_connections_open",
          "Connections of callers now.",
          this->connections.size());
  }

  void WriteMemory(PrometheusWriter& aWriter) const
  {
    internal::CallerMemory sum;
    for (const auto& [key, connection] : this->connections) {
      sum += connection->Memory();
    }
    aWriter.Family("caller_memory_bytes",
                   "Memory of requests and of answers that callers have not "
                   "taken, by what it is for.",
                   MetricType::Gauge);
    const std::array<std::pair<std::string_view, std::size_t>, 5> parts{
      { { "heads", sum.heads },
        { "bodies", sum.bodies },
        { "requests", sum.requests },
        { "input", sum.input },
        { "answers", sum.answers } }
    };
    for (const auto& [part, bytes] : parts) {
      const Label label{ "reason", part };
      aWriter.Sample({ &label, 1 }, std::uint64_t(bytes));
    }
  }

  void SetBounds(const CallerBounds& aBounds) override
  {
    this->bounds = aBounds;
    this->memory.SetLimit(aBounds.memoryBytes);
    this->sockets.SetLimit(aBounds.socketBytes);
  }

  void AnnounceClosing() override { this->stopping = true; }

  void StopAccepting() override
  {
    this->stopping = true;
    this->AcceptWaiting();
    this->listener.reset();
  }

  std::size_t OpenConnections() const override
  {
    return this->connections.size();
  }

  std::size_t BusyConnections() const override
  {
    std::size_t busy = 0;
    for (const auto& [key, connection] : this->connections) {
      busy += connection->IsBusy() ? 1 : 0;
    }
    return busy;
  }

  std::size_t UnsentBytes() const override
  {
    std::size_t bytes = 0;
    for (const auto& [key, connection] : this->connections) {
      bytes += connection->PendingBytes();
    }
    return bytes;
  }

  std::size_t HeldBytes() const override { return this->memory.Held(); }

  void CloseIdleConnections() override
  {
    std::vector<CallerConnection*> idle;
    for (const auto& [key, connection] : this->connections) {
      if (!connection->IsBusy()) {
        idle.push_back(connection.get());
      }
    }
    for (CallerConnection* connection : idle) {
      connection->CloseIdle();
    }
  }

  void RefuseIncomplete(int aStatus,
                        std::span<const HeaderField> aHeaders,
                        std::string_view aBody) override
  {
    // One answer may make another connection yield its memory.
    std::vector<CallerConnection*> open;
    for (const auto& [key, connection] : this->connections) {
      open.push_back(connection.get());
    }
    for (CallerConnection* connection : open) {
      connection->RefuseIncomplete(aStatus, aHeaders, aBody);
    }
  }

private:
  /// Connections wait to be accepted with receive buffers of their own.
  int Backlog() const
  {
    constexpr std::size_t kShortest = 128;
    return static_cast<int>(
      std::clamp(this->bounds.socketBytes / internal::SocketBuffers::kLargest,
                 kShortest,
                 std::size_t(internal::kLongestBacklog)));
  }

  void OnAccept(int aSocket)
  {
    const TimePoint begin = Now();
    this->LogShortage();
    this->Accept(aSocket);
    if (this->share.IsBounded()) {
      this->share.OnTurn(begin, Now());
      this->PauseAccepting(this->share.UntilNextTurn(Now()));
    }
  }

  /// Connections that are not accepted are reset with the listening socket.
  void AcceptWaiting()
  {
    if (this->listener == nullptr) {
      return;
    }
    const int from = evconnlistener_get_fd(this->listener.get());
    int accepted = 0;
    while ((accepted = accept4(
              from, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
      this->Accept(accepted);
    }
  }

  void PauseAccepting(Duration aTime)
  {
    if (aTime > Duration(0) && this->listener != nullptr) {
      evconnlistener_disable(this->listener.get());
      this->resume.StartOnce(aTime);
    }
  }

  void Accept(int aSocket)
  {
    if (this->connections.size() >= this->bounds.connections &&
        !this->CloseForNew()) {
      ++this->counters.refusedConnections;
      constexpr std::string_view kFull =
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
        "Content-Length: 0\r\nConnection: close\r\n\r\n";
      send(aSocket, kFull.data(), kFull.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      evutil_closesocket(aSocket);
      return;
    }
    ++this->counters.connections;
    const std::size_t granted = this->sockets.Grant();
    if (granted < internal::SocketBuffers::kLargest) {
      internal::SetReceiveBuffer(aSocket, granted);
    }
    auto made =
      std::make_unique<CallerConnection>(this->loop, *this, aSocket, granted);
    CallerConnection* key = made.get();
    this->connections.emplace(key, std::move(made));
  }

  const CallerBounds& Bounds() const override { return this->bounds; }
  CallerServerCounters& MutableCounters() override { return this->counters; }
  CallerHandler& Handler() override { return this->handler; }
  bool IsStopping() const override { return this->stopping; }
  MemoryBudget& Memory() override { return this->memory; }

  bool BeginTurn(CallerConnection& aConnection) override
  {
    if (!this->share.IsBounded()) {
      return true;
    }
    if (aConnection.IsReadingPaused()) {
      return false;
    }
    this->turnBegan = Now();
    const Duration wait = this->share.UntilNextTurn(this->turnBegan);
    if (wait <= Duration(0)) {
      return true;
    }
    aConnection.PauseReading();
    this->paused.push_back(&aConnection);
    if (!this->resumeReading.IsPending()) {
      this->resumeReading.StartOnce(std::max(wait, kResumePeriod));
    }
    return false;
  }

  void EndTurn() override
  {
    if (this->share.IsBounded()) {
      this->share.OnTurn(this->turnBegan, Now());
    }
  }

  void ResumePaused()
  {
    for (std::size_t i = 0; i < kResumedTogether && !this->paused.empty();
         ++i) {
      CallerConnection* next = this->paused.front();
      this->paused.pop_front();
      next->ResumeReading();
    }
    if (!this->paused.empty()) {
      this->resumeReading.StartOnce(kResumePeriod);
    }
  }

  /// Closes the connection without a request to answer on which nothing has
  /// come for the longest time, kLeastSilence at least.
  /// \return whether there was one.
  bool CloseForNew()
  {
    CallerConnection* oldest = nullptr;
    Duration longest = kLeastSilence;
    for (const auto& [key, connection] : this->connections) {
      const std::optional<Duration> since = connection->SinceReceived();
      if (since && *since > longest) {
        longest = *since;
        oldest = key;
      }
    }
    if (oldest == nullptr) {
      return false;
    }
    ++this->counters.closedForNew;
    oldest->MakeWay();
    return true;
  }

  /// Logs, at most once in kShortageLogPeriod, what was refused meanwhile.
  void LogShortage()
  {
    const TimePoint now = Now();
    const std::array<std::uint64_t, 4> refused{
      this->counters.refusedForMemory,
      this->counters.unreadAnswers,
      this->counters.closedForNew,
      this->counters.refusedConnections
    };
    if (refused == this->loggedRefusals ||
        Between(this->shortageLoggedAt, now) < kShortageLogPeriod) {
      return;
    }
    this->shortageLoggedAt = now;
    const auto since = [&](std::size_t aIndex) {
      return refused[aIndex] - this->loggedRefusals[aIndex];
    };
    Log(LogLevel::Warning,
        "callers_short_of_room",
        "address",
        this->address.ToString(),
        "refused_for_memory",
        since(0),
        "unread_answers",
        since(1),
        "closed_for_new",
        since(2),
        "refused_connections",
        since(3),
        "memory_bytes",
        this->memory.Held(),
        "memory_limit",
        this->memory.Limit(),
        "connections",
        this->connections.size());
    this->loggedRefusals = refused;
  }

  void Retire(CallerConnection& aConnection) override
  {
    const auto found = this->connections.find(&aConnection);
    if (found != this->connections.end()) {
      this->sockets.Return(aConnection.SocketBytes());
      std::erase(this->paused, &aConnection);
      this->graveyard.Bury(std::move(found->second));
      this->connections.erase(found);
    }
  }

  EventLoop& loop;
  CallerBounds bounds;
  CallerHandler& handler;
  CallerServerCounters counters;
  SocketAddress address;
  bool stopping = false;
  MemoryBudget memory;
  internal::SocketBuffers sockets;
  internal::LoopShare share;
  TimePoint turnBegan{};
  /// Connections that wait for the server's share of the loop, oldest first.
  std::deque<CallerConnection*> paused;
  std::array<std::uint64_t, 4> loggedRefusals{};
  TimePoint shortageLoggedAt{};
  internal::ListenerPointer listener{ nullptr, &evconnlistener_free };
  internal::Graveyard<CallerConnection> graveyard;
  absl::flat_hash_map<CallerConnection*, std::unique_ptr<CallerConnection>>
    connections;
  Timer resume;
  Timer resumeReading;
};

} // namespace

void
ApplyMemory(const MemoryShares& aMemory, CallerBounds& aBounds)
{
  aBounds.memoryBytes = aMemory.requests;
  aBounds.socketBytes = aMemory.sockets;
  aBounds.connections = std::min(
    aBounds.connections, aMemory.connections / MemoryShares::kConnection);
}

absl::StatusOr<std::unique_ptr<CallerServer>>
CallerServer::Create(EventLoop& aLoop,
                     const SocketAddress& aAddress,
                     const CallerBounds& aBounds,
                     CallerHandler& aHandler)
{
  auto server = std::make_unique<CallerServerImpl>(aLoop, aBounds, aHandler);
  if (absl::Status status = server->Listen(aAddress); !status.ok()) {
    return status;
  }
  return server;
}

} // namespace dogwoodvale
