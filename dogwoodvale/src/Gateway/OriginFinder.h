#ifndef DOGWOODVALE_GATEWAY_ORIGINFINDER_H
#define DOGWOODVALE_GATEWAY_ORIGINFINDER_H

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "OriginArchive.h"
#include "PeerDigest.h"
#include "Ports.h"
#include "WarmState.h"
#include "dogwoodvale/Resumption"

namespace dogwoodvale {

/// How a gateway knows the origin of a stream.
enum class OriginSource : std::uint8_t
{
  /// It sent the request itself.
  Own,
  /// Another gateway has reported it.
  Reported,
  /// The service has had one software version for longer than the stream.
  Uniform,
  /// Another gateway has answered a question.
  Asked,
  /// The store had kept it.
  Archived,
};

std::string_view
OriginSourceName(OriginSource aSource);

struct FoundOrigin
{
  StreamOrigin origin;
  OriginSource source = OriginSource::Own;
};

/// Finds what began a stream that a caller resumes, mostly at another gateway
/// than before.
///
/// While a service has one software version, gateways tell each other nothing.
/// Else each reports the origin of a stream when it sends the request, before
/// the first event can arrive. A gateway that has no report asks others, and
/// after its start the store.
class OriginFinder
{
public:
  /// Called once; nothing if no gateway knows the origin.
  using Handler = std::function<void(const std::optional<FoundOrigin>&)>;
  /// Requests a document from another gateway, see PeerExchange::Fetch().
  using Fetcher =
    std::function<bool(const SocketAddress& aFrom, const std::string& aPath)>;
  /// Reads the list of backend servers, see OnListRead().
  using ListReader = std::function<void()>;

  /// A question to other gateways; destroying it cancels it.
  class Query
  {
  public:
    Query(OriginFinder& aFinder, StreamKey aKey, Handler aHandler);
    ~Query();
    Query(const Query&) = delete;
    Query& operator=(const Query&) = delete;

  private:
    friend class OriginFinder;
    /// No gateway knows the origin, or none has answered in time.
    void OnUnanswered();
    /// Ends the query; the handler may destroy it.
    void End(const std::optional<FoundOrigin>& aFound);

    OriginFinder& finder;
    StreamKey key;
    Handler handler;
    HostRoute route;
    TimePoint askedAt = Now();
    /// Gateways that have not answered.
    std::size_t unanswered = 0;
    bool awaitsArchive = false;
    /// Waits for a list that is read after the question.
    bool awaitsList = false;
    Timer timeout;
  };

  /// \param aMaxOutdated a list that was out of date for longer may have missed
  /// servers that came and left. Longer than an outage of the store takes to be
  /// told from a lost path to it.
  OriginFinder(EventLoop& aLoop,
               Fetcher aFetcher,
               OriginArchive& aArchive,
               Duration aMaxOutdated);

  /// The list of backend servers in force.
  void OnInstances(std::span<const DirectInstance> aInstances, TimePoint aNow);
  /// Sets whether the list is up to date. Call before decisions that depend on
  /// it and a few times a second.
  void SetListCurrent(bool aIsCurrent, TimePoint aNow);
  /// Sets whether most gateways that report to this one have been heard
  /// lately, and none has told of a list that is not known here. Call as
  /// SetListCurrent().
  void SetHearing(bool aHearsMost, TimePoint aNow);
  /// Sets how a list is read that confirms a conclusion.
  void SetListReader(ListReader aReader)
  {
    this->readList = std::move(aReader);
  }
  /// A read of the list that began then has ended; OnInstances() has been
  /// called with what it brought.
  void OnListRead(TimePoint aBegun, TimePoint aNow);
  /// The process stood still for so long that it may have missed servers that
  /// came and left.
  void OnSuspended(TimePoint aNow) { this->history.OnGap(aNow); }
  /// Sets the other gateways that may be asked.
  /// \param aCells number of cells of the site, of which \p aOwnCell is this
  /// gateway's.
  void SetGateways(std::span<const GatewayMember> aOthers,
                   std::size_t aCells,
                   std::size_t aOwnCell);

  /// A caller of the route states how long it waits. It may resume a stream
  /// until then, whatever the route's timeout is.
  void OnTimeLimit(const HostRoute& aRoute, Duration aLimit);
  /// How long after their begin streams of each service may be resumed, where
  /// callers wait for longer than the routes' timeouts imply: what a gateway
  /// that starts after all were killed has to know.
  std::map<ServiceName, Duration> LifetimesToSave(TimePoint aNow) const;
  /// Takes in what gateways knew before this one started.
  void ApplySavedLifetimes(const std::map<ServiceName, Duration>& aLifetimes);
  /// A request whose answer may be resumed is sent to a server.
  /// \param aLifetime how long its caller may resume it.
  void OnSent(StreamKey aKey,
              const StreamOrigin& aOrigin,
              const HostRoute& aRoute,
              Duration aLifetime,
              TimePoint aNow);
  /// The origin of a stream of the route, as far as this gateway knows it.
  std::optional<FoundOrigin> Find(StreamKey aKey,
                                  const HostRoute& aRoute,
                                  TimePoint aNow) const;
  /// Asks other gateways. The handler is not called before this returns.
  std::unique_ptr<Query> Ask(StreamKey aKey,
                             const HostRoute& aRoute,
                             std::mt19937_64& aRandom,
                             Handler aHandler);

  void AddToDigest(PeerDigest& aDigest, TimePoint aNow);
  void ApplyDigest(const PeerDigest& aDigest, TimePoint aNow);
  /// The answer to another gateway's question; nothing if it is not known here.
  std::optional<std::string> DocumentAt(std::string_view aPath,
                                        TimePoint aNow) const;
  void OnDocument(std::string_view aPath,
                  std::string_view aDocument,
                  TimePoint aNow);
  void OnFetchFailed(std::string_view aPath);
  void RunMaintenance(TimePoint aNow);
  /// See StreamOrigins::IsKnownElsewhere().
  bool IsKnownElsewhere(StreamKey aKey) const
  {
    return this->origins.IsKnownElsewhere(aKey);
  }
  std::size_t RecordCount() const { return this->origins.Count(); }

  static constexpr std::string_view kPath = "/peer/origin/";
  /// How long other gateways have to answer, and the store after them.
  static constexpr Duration kAskTimeout = milliseconds(300);
  /// Gateways asked in the own cell, and in each other one.
  static constexpr std::size_t kAskedInOwnCell = 3;
  static constexpr std::size_t kAskedInOtherCell = 1;
  /// Lifetime of the streams of callers that state no time limit: a stream
  /// lasts for at most its route's timeout; a caller may resume it at the very
  /// end, and that attempt lasts as long again.
  static constexpr int kLifetimeInTimeouts = 2;

private:
  /// How long before now a stream of the route that is resumed now may have
  /// begun.
  Duration LifetimeOf(const HostRoute& aRoute) const;
  /// \return nothing if the service of the route may have had servers of
  /// several versions while a stream lasts.
  std::optional<StreamOrigin> UniformOriginOf(const HostRoute& aRoute,
                                              TimePoint aNow) const;
  /// UniformOriginOf(), also if no other gateway would tell of a version that
  /// the list does not show yet.
  std::optional<StreamOrigin> HeardOriginOf(const HostRoute& aRoute,
                                            TimePoint aNow) const;
  std::vector<SocketAddress> Targets(std::mt19937_64& aRandom) const;
  std::vector<Query*> QueriesOf(StreamKey aKey) const;
  /// Asks the store, as no gateway knows the origin of a stream of the route.
  /// \return whether an answer is awaited.
  bool ReadArchive(const HostRoute& aRoute);
  void OnArchive(std::span<const OriginUpdate> aOrigins);
  /// Whether streams of the service may be of different versions, so that their
  /// origins are kept in the store.
  bool IsMixed(const ServiceName& aService, TimePoint aNow) const;
  void Save(TimePoint aNow);

  EventLoop& loop;
  Fetcher fetcher;
  ListReader readList;
  OriginArchive& archive;
  TimePoint startedAt = Now();
  StreamOrigins origins;
  SoftwareHistory history;
  Duration maxOutdated;
  bool isListCurrent = false;
  bool hearsMost = true;
  /// Since when, and whether the list was read since: what was reported before
  /// is unknown.
  TimePoint heardSince{};
  bool hasReadSinceHeard = true;
  /// Whether most gateways were not heard for some of the time in which the
  /// list is not current.
  bool wasUnheard = false;
  /// Since when it is not.
  TimePoint outdatedSince{};
  /// Never shortened: streams that began under a longer bound may come back.
  std::map<ServiceName, Duration> lifetimes;
  /// Those that follow from the time limits of callers: of this gateway, of
  /// others, and as they were saved before the start.
  std::map<ServiceName, Duration> ownLimits;
  std::map<ServiceName, Duration> otherLimits;
  std::map<ServiceName, Duration> savedLimits;
  /// Addresses of the other gateways by cell, the own one first.
  std::vector<std::vector<SocketAddress>> gatewaysByCell;
  std::vector<Query*> queries;
  /// StreamOrigins::SharedRevision() of what the archive has from here.
  std::uint64_t savedRevision = 0;
  bool hasSaved = false;
};

} // namespace dogwoodvale

#endif
