#ifndef DOGWOODVALE_GATEWAY_PORTS_H
#define DOGWOODVALE_GATEWAY_PORTS_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodvale/Backpressure"
#include "dogwoodvale/Configuration"
#include "dogwoodvale/Duties"
#include "dogwoodvale/Http"
#include "dogwoodvale/Placement"
#include "dogwoodvale/Routing"
#include "dogwoodvale/Store"

namespace dogwoodvale {

/// Names one incarnation of a backend server, which may restart under the same
/// name.
///
/// All state about a server is kept under this name, because a restarted server
/// has an empty cache, no requests in flight and is not leaving. Under the
/// server's own name, a server that drained and restarted would never be used
/// again, and prompts would be placed by a cache that no longer exists.
/// \param aStarted 0 if the server does not report it; the result is then
/// \p aServer itself.
InstanceName
IncarnationName(std::string_view aServer, std::uint64_t aStarted);

/// A backend server that gateways connect to directly.
struct DirectInstance
{
  /// Name of this incarnation, see IncarnationName().
  InstanceName name;
  /// The server's own name, the same before and after a restart.
  InstanceName server;
  /// Start time in milliseconds by the server's own clock; 0 if not reported.
  std::uint64_t started = 0;
  ServiceName service;
  SocketAddress address;
  DataCentreName dataCentre;
  /// Version of the server's software; empty if it states none.
  std::string softwareVersion;
  /// Number of requests that it processes at once; 0 while unknown.
  std::uint32_t slots = 0;
  /// It accepts no new work.
  bool leaving = false;

  bool operator==(const DirectInstance&) const = default;
};

/// Keys and format of the store's entries that a gateway reads.
class DirectoryFormat
{
public:
  virtual ~DirectoryFormat() = default;
  /// Prefix of the one key that holds the routes.
  virtual std::string RoutesPrefix() const = 0;
  /// Prefix of the keys of the backend servers, one key per server.
  virtual std::string InstancesPrefix() const = 0;
  /// \return null if the version is not above \p aInForce, without parsing the
  /// rest; an error for a malformed value.
  virtual absl::StatusOr<std::shared_ptr<const RouteTable>> ParseRoutes(
    std::string_view aValue,
    Epoch aInForce) const = 0;
  /// \return an error for an entry that describes no usable server, e.g. one
  /// that another program has written there.
  virtual absl::StatusOr<DirectInstance> ParseInstance(
    std::string_view aKey,
    std::string_view aValue) const = 0;
};

/// The metadata in the headers of a caller's request.
struct CallerRequestMetadata
{
  /// Id of one attempt of the caller; empty if it sent none.
  std::string attemptId;
  /// How long the caller waits for the answer.
  std::optional<Duration> timeLimit;
  /// API key.
  std::string key;
  std::uint32_t promptTokens = 0;
  std::uint32_t maxOutputTokens = 0;
  /// The requested model; empty if none is named.
  std::string model;
  std::vector<PromptPart> prompt;
  /// Id of the last event that the caller has, if the request resumes a stream;
  /// else empty.
  std::string lastEventId;
  /// The attempt that brought the caller the first event of that stream; empty
  /// if the caller does not name it.
  std::string resumes;
};

/// Reads callers' requests and writes the headers of errors for them.
class CallerProtocol
{
public:
  virtual ~CallerProtocol() = default;
  virtual CallerRequestMetadata Read(const HttpRequest& aRequest) const = 0;
  /// Headers of an error answer that originates in this process.
  virtual std::vector<HeaderField> ErrorHeaders(
    const RequestError& aError) const = 0;
};

/// What a backend server is told in addition to the caller's request.
struct BackendRequestMetadata
{
  /// The server's own name, see DirectInstance::server.
  InstanceName server;
  /// Empty when the request needs no key.
  CustomerName customer;
  Duration timeLeft{ 0 };
  /// Priority in the server's queue; 0 is served first.
  std::uint32_t priority = 0;
  /// A server whose cache holds a prefix of the prompt; the addressed server
  /// copies what it lacks from there and prefills the rest.
  std::optional<SocketAddress> fetchFrom;
  /// Id of the event after which the stream is to be resumed.
  std::optional<std::uint64_t> resumeAfter;
};

/// The head of a backend server's answer.
struct BackendAnswer
{
  int status = 0;
  std::string attemptId;
  /// The server states that it did not run the request and never will.
  bool notRun = false;
  /// Another instance answers at the address; it has not run the request.
  bool wrongInstance = false;
  /// The answer carries the proof that only a backend server can create.
  bool isGenuine = false;
  /// Media type of the body; empty if not stated.
  std::string mediaType;
  BackpressureNotice notice;
  /// The load that the server states; nothing if it states none.
  std::optional<ServerLoad> load;
  /// It states a load that cannot be parsed.
  bool isLoadMalformed = false;
};

/// Writes requests to backend servers and reads the heads of their answers.
class BackendProtocol
{
public:
  virtual ~BackendProtocol() = default;
  /// The request to the backend server, made from the caller's.
  virtual HttpRequest Compose(const HttpRequest& aRequest,
                              const BackendRequestMetadata& aOrder) const = 0;
  virtual BackendAnswer ReadHead(
    int aStatus,
    std::span<const HeaderField> aHeaders) const = 0;
  /// The headers of an answer that its caller gets.
  virtual std::vector<HeaderField> ForwardedHeaders(
    std::span<const HeaderField> aHeaders) const = 0;
};

/// Implementations of the interfaces through which a gateway uses what is
/// specific to its site: the store, formats and protocols (ports in the sense
/// of ports and adapters).
struct GatewayPorts
{
  std::unique_ptr<StoreClient> store;
  std::unique_ptr<DirectoryFormat> directory;
  std::unique_ptr<CallerProtocol> callers;
  std::unique_ptr<BackendProtocol> backends;
  /// Null if no usage is reported.
  std::unique_ptr<UsagePort> usage;
};

} // namespace dogwoodvale

#endif
