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

/// Names one incarnation of a backend server that may start again under the
/// name that it had.
///
/// All that is known of a server is kept under this name: a restarted one has
/// an empty cache, nothing under way, and says nothing of leaving. Under the
/// server's own name, one that drained and came back would never be used again,
/// and prompts would be sent to a cache that is gone.
/// \param aStarted 0 where the server doesn't say; the name is its own then.
InstanceName
IncarnationName(std::string_view aServer, std::uint64_t aStarted);

/// A backend server that is spoken to directly.
struct DirectInstance
{
  /// One incarnation of it, see IncarnationName().
  InstanceName name;
  /// What it calls itself, before and after a restart.
  InstanceName server;
  /// Millisecond of its start by its own clock; 0 if it does not say.
  std::uint64_t started = 0;
  ServiceName service;
  SocketAddress address;
  DataCentreName dataCentre;
  /// Requests that it works on at once; 0 while unknown.
  std::uint32_t slots = 0;
  /// It takes no new work.
  bool leaving = false;

  bool operator==(const DirectInstance&) const = default;
};

/// Where the store keeps what a gateway needs to know, and in which form.
class DirectoryFormat
{
public:
  virtual ~DirectoryFormat() = default;
  /// Prefix of the one key that holds the routes.
  virtual std::string RoutesPrefix() const = 0;
  /// Prefix of the keys of backend servers, one key each.
  virtual std::string InstancesPrefix() const = 0;
  /// \return null for a version that is not above \p aInForce; the rest of it
  /// is not read then.
  virtual absl::StatusOr<std::shared_ptr<const RouteTable>> ParseRoutes(
    std::string_view aValue,
    Epoch aInForce) const = 0;
  /// \return an error for an entry that names no server to use, e.g. one that
  /// something else has written there.
  virtual absl::StatusOr<DirectInstance> ParseInstance(
    std::string_view aKey,
    std::string_view aValue) const = 0;
};

/// What a caller's request says beside its method, path and body.
struct CallerEnvelope
{
  /// Names one try of the caller; empty if it names none.
  std::string attemptId;
  /// How long the caller waits.
  std::optional<Duration> timeLimit;
  std::string key;
  std::uint32_t promptTokens = 0;
  std::uint32_t maxOutputTokens = 0;
  /// The model that is to answer; empty if it names none.
  std::string model;
  std::vector<PromptPart> prompt;
};

/// How callers speak.
class CallerDialect
{
public:
  virtual ~CallerDialect() = default;
  virtual CallerEnvelope Read(const HttpRequest& aRequest) const = 0;
  /// Headers of an answer that this process gives by itself.
  virtual std::vector<HeaderField> ErrorHeaders(
    const RequestError& aError) const = 0;
};

/// What a backend server is told beside the caller's request.
struct BackendOrder
{
  /// What the server calls itself, see DirectInstance::server.
  InstanceName server;
  /// Empty when the request needs no key.
  CustomerName customer;
  Duration timeLeft{ 0 };
  /// Place in the server's order of service, 0 first.
  std::uint32_t place = 0;
  /// The server copies what it lacks of the prompt from the cache of this one,
  /// as far as that holds it, and reads the rest.
  std::optional<SocketAddress> fetchFrom;
  /// A stream goes on after this event.
  std::optional<std::uint64_t> resumeAfter;
};

/// What the head of a backend server's answer says.
struct BackendAnswer
{
  int status = 0;
  std::string attemptId;
  /// Its word that it did not run the request and never will.
  bool notRun = false;
  /// Another instance has the address; it has not run the request.
  bool wrongInstance = false;
  /// It carries the mark that only a backend server can give.
  bool isGenuine = false;
  /// Empty, or the media type of the body.
  std::string mediaType;
  BackpressureNotice notice;
};

/// How backend servers speak.
class BackendDialect
{
public:
  virtual ~BackendDialect() = default;
  /// The caller's request as the backend server gets it.
  virtual HttpRequest Compose(const HttpRequest& aRequest,
                              const BackendOrder& aOrder) const = 0;
  virtual BackendAnswer ReadHead(
    int aStatus,
    std::span<const HeaderField> aHeaders) const = 0;
};

/// Everything that depends on the site a gateway runs at.
struct GatewayPorts
{
  std::unique_ptr<StoreClient> store;
  std::unique_ptr<DirectoryFormat> directory;
  std::unique_ptr<CallerDialect> callers;
  std::unique_ptr<BackendDialect> backends;
  /// Null where no usage is to be reported.
  std::unique_ptr<UsagePort> usage;
};

} // namespace dogwoodvale

#endif
