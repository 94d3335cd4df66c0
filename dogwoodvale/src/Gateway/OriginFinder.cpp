#include "OriginFinder.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <absl/strings/escaping.h>

namespace dogwoodvale {

namespace {

constexpr int kHex = 16;

/// The service is empty if the answer may only come from a record.
std::string
PathOf(StreamKey aKey, const ServiceName& aService, std::size_t aTarget)
{
  return fmt::format("{}{:016x}/{}/{}",
                     OriginFinder::kPath,
                     aKey,
                     absl::BytesToHexString(aService.Value()),
                     aTarget);
}

struct Question
{
  StreamKey key = 0;
  ServiceName service;
};

std::optional<Question>
ParsePath(std::string_view aPath)
{
  if (!aPath.starts_with(OriginFinder::kPath)) {
    return std::nullopt;
  }
  aPath.remove_prefix(OriginFinder::kPath.size());
  const std::size_t slash = aPath.find('/');
  const std::size_t second = aPath.find('/', slash + 1);
  if (slash == std::string_view::npos || second == std::string_view::npos) {
    return std::nullopt;
  }
  Question question;
  const std::string_view key = aPath.substr(0, slash);
  if (std::from_chars(key.data(), key.data() + key.size(), question.key, kHex)
        .ec != std::errc()) {
    return std::nullopt;
  }
  const std::string_view service = aPath.substr(slash + 1, second - slash - 1);
  const bool isHex = service.size() % 2 == 0 &&
                     std::ranges::all_of(service, [](unsigned char aChar) {
                       return std::isxdigit(aChar) != 0;
                     });
  if (!isHex) {
    return std::nullopt;
  }
  question.service = ServiceName(absl::HexStringToBytes(ToAbsl(service)));
  return question;
}

void
RaiseTo(Duration& aValue, Duration aLeast)
{
  aValue = std::max(aValue, aLeast);
}

void
RaiseAll(std::map<ServiceName, Duration>& aValues,
         const std::map<ServiceName, Duration>& aLeast)
{
  for (const auto& [service, least] : aLeast) {
    RaiseTo(aValues[service], least);
  }
}

bool
IsSplit(const HostRoute& aRoute)
{
  return aRoute.services.size() != 1;
}

} // namespace

std::string_view
OriginSourceName(OriginSource aSource)
{
  switch (aSource) {
    case OriginSource::Own:
      return "own";
    case OriginSource::Reported:
      return "reported";
    case OriginSource::Uniform:
      return "uniform";
    case OriginSource::Asked:
      return "asked";
    case OriginSource::Archived:
      return "archived";
  }
  return "unknown";
}

// Queries.

OriginFinder::Query::Query(OriginFinder& aFinder,
                           StreamKey aKey,
                           Handler aHandler)
  : finder(aFinder)
  , key(aKey)
  , handler(std::move(aHandler))
  , timeout(aFinder.loop, [this] { this->OnUnanswered(); })
{
  this->finder.queries.push_back(this);
}

OriginFinder::Query::~Query()
{
  std::erase(this->finder.queries, this);
}

void
OriginFinder::Query::OnUnanswered()
{
  if (!this->awaitsArchive && this->finder.ReadArchive(this->route)) {
    this->awaitsArchive = true;
    this->timeout.StartOnce(kAskTimeout);
    return;
  }
  this->End(std::nullopt);
}

void
OriginFinder::Query::End(const std::optional<FoundOrigin>& aFound)
{
  this->timeout.Stop();
  std::erase(this->finder.queries, this);
  const Handler ended = std::exchange(this->handler, nullptr);
  if (ended) {
    ended(aFound);
  }
}

std::vector<OriginFinder::Query*>
OriginFinder::QueriesOf(StreamKey aKey) const
{
  std::vector<Query*> found;
  std::ranges::copy_if(
    this->queries, std::back_inserter(found), [aKey](const Query* aQuery) {
      return aQuery->key == aKey;
    });
  return found;
}

// The finder.

OriginFinder::OriginFinder(EventLoop& aLoop,
                           Fetcher aFetcher,
                           OriginArchive& aArchive,
                           Duration aMaxOutdated)
  : loop(aLoop)
  , fetcher(std::move(aFetcher))
  , archive(aArchive)
  , maxOutdated(aMaxOutdated)
{
}

void
OriginFinder::OnInstances(std::span<const DirectInstance> aInstances,
                          TimePoint aNow)
{
  std::vector<StreamOrigin> servers;
  servers.reserve(aInstances.size());
  for (const DirectInstance& instance : aInstances) {
    servers.push_back({ instance.service, instance.softwareVersion });
  }
  this->history.OnList(servers, aNow);
}

void
OriginFinder::SetListCurrent(bool aIsCurrent, TimePoint aNow)
{
  if (aIsCurrent == this->isListCurrent) {
    return;
  }
  this->isListCurrent = aIsCurrent;
  if (!aIsCurrent) {
    this->outdatedSince = aNow;
    this->wasUnheard = false;
  } else if (this->wasUnheard ||
             Between(this->outdatedSince, aNow) > this->maxOutdated) {
    // A version that came and left was neither listed nor reported here.
    this->history.OnGap(aNow);
  }
}

void
OriginFinder::SetHearing(bool aHearsMost, TimePoint aNow)
{
  if (!aHearsMost) {
    this->hasReadSinceHeard = false;
  } else if (!this->hearsMost) {
    this->heardSince = aNow;
  }
  this->hearsMost = aHearsMost;
}

void
OriginFinder::OnListRead(TimePoint aBegun, TimePoint aNow)
{
  this->hasReadSinceHeard =
    this->hasReadSinceHeard || (this->hearsMost && aBegun >= this->heardSince);
  std::vector<Query*> waiting;
  std::ranges::copy_if(
    this->queries, std::back_inserter(waiting), [aBegun](const Query* aQuery) {
      return aQuery->awaitsList && aQuery->askedAt <= aBegun;
    });
  for (Query* query : waiting) {
    query->awaitsList = false;
    if (auto uniform = this->UniformOriginOf(query->route, aNow)) {
      query->End(FoundOrigin{ *std::move(uniform), OriginSource::Uniform });
    }
  }
}

void
OriginFinder::SetGateways(std::span<const GatewayMember> aOthers,
                          std::size_t aCells,
                          std::size_t aOwnCell)
{
  this->gatewaysByCell.assign(std::max<std::size_t>(aCells, 1), {});
  for (const GatewayMember& gateway : aOthers) {
    const std::size_t cell = CellOf(gateway.name, aCells);
    this->gatewaysByCell[cell].push_back(gateway.peers);
  }
  std::swap(this->gatewaysByCell.front(), this->gatewaysByCell[aOwnCell]);
}

Duration
OriginFinder::LifetimeOf(const HostRoute& aRoute) const
{
  Duration longest = kLifetimeInTimeouts * aRoute.timeout;
  for (const WeightedService& one : aRoute.services) {
    const auto found = this->lifetimes.find(one.service);
    if (found != this->lifetimes.end()) {
      longest = std::max(longest, found->second);
    }
  }
  return longest;
}

void
OriginFinder::OnTimeLimit(const HostRoute& aRoute, Duration aLimit)
{
  // A gateway whose list is out of date sends to servers that have left the
  // list here.
  const Duration untilLast =
    std::min(aLimit, StreamOrigins::kMaxLifetime) + this->maxOutdated;
  if (untilLast <= kLifetimeInTimeouts * aRoute.timeout) {
    return;
  }
  for (const WeightedService& one : aRoute.services) {
    RaiseTo(this->lifetimes[one.service], untilLast);
    RaiseTo(this->ownLimits[one.service], untilLast);
  }
}

std::map<ServiceName, Duration>
OriginFinder::LifetimesToSave(TimePoint aNow) const
{
  std::map<ServiceName, Duration> longest = this->ownLimits;
  RaiseAll(longest, this->otherLimits);
  for (const auto& [service, lifetime] : this->savedLimits) {
    // What was saved is saved again only while a stream of then may come back.
    if (Between(this->startedAt, aNow) < lifetime) {
      RaiseTo(longest[service], lifetime);
    }
  }
  return longest;
}

void
OriginFinder::ApplySavedLifetimes(
  const std::map<ServiceName, Duration>& aLifetimes)
{
  RaiseAll(this->savedLimits, aLifetimes);
  RaiseAll(this->lifetimes, aLifetimes);
}

std::optional<StreamOrigin>
OriginFinder::UniformOriginOf(const HostRoute& aRoute, TimePoint aNow) const
{
  if (!this->isListCurrent || IsSplit(aRoute)) {
    return std::nullopt;
  }
  const ServiceName& service = aRoute.services.front().service;
  const auto uniform = this->history.UniformOf(service, aNow);
  if (!uniform || uniform->length < this->LifetimeOf(aRoute)) {
    return std::nullopt;
  }
  return StreamOrigin{ service, uniform->version };
}

std::optional<StreamOrigin>
OriginFinder::HeardOriginOf(const HostRoute& aRoute, TimePoint aNow) const
{
  return this->hasReadSinceHeard ? this->UniformOriginOf(aRoute, aNow)
                                 : std::nullopt;
}

void
OriginFinder::OnSent(StreamKey aKey,
                     const StreamOrigin& aOrigin,
                     const HostRoute& aRoute,
                     Duration aLifetime,
                     TimePoint aNow)
{
  RaiseTo(this->lifetimes[aOrigin.service], this->LifetimeOf(aRoute));
  const auto uniform = this->UniformOriginOf(aRoute, aNow);
  const bool isImplied = uniform && *uniform == aOrigin;
  this->origins.OnSent(aKey, aOrigin, aLifetime, !isImplied, aNow);
}

std::optional<FoundOrigin>
OriginFinder::Find(StreamKey aKey,
                   const HostRoute& aRoute,
                   TimePoint aNow) const
{
  if (const auto found = this->origins.Find(aKey, aNow)) {
    return FoundOrigin{ found->origin,
                        found->isOwn ? OriginSource::Own
                                     : OriginSource::Reported };
  }
  if (auto uniform = this->HeardOriginOf(aRoute, aNow)) {
    return FoundOrigin{ *std::move(uniform), OriginSource::Uniform };
  }
  return std::nullopt;
}

std::vector<SocketAddress>
OriginFinder::Targets(std::mt19937_64& aRandom) const
{
  std::vector<SocketAddress> targets;
  std::size_t wanted = kAskedInOwnCell;
  for (const std::vector<SocketAddress>& cell : this->gatewaysByCell) {
    std::ranges::sample(cell,
                        std::back_inserter(targets),
                        static_cast<std::ptrdiff_t>(wanted),
                        aRandom);
    wanted = kAskedInOtherCell;
  }
  return targets;
}

std::unique_ptr<OriginFinder::Query>
OriginFinder::Ask(StreamKey aKey,
                  const HostRoute& aRoute,
                  std::mt19937_64& aRandom,
                  Handler aHandler)
{
  auto query = std::make_unique<Query>(*this, aKey, std::move(aHandler));
  query->route = aRoute;
  const ServiceName service =
    IsSplit(aRoute) ? ServiceName() : aRoute.services.front().service;
  std::size_t target = 0;
  for (const SocketAddress& gateway : this->Targets(aRandom)) {
    query->unanswered +=
      this->fetcher(gateway, PathOf(aKey, service, target++)) ? 1 : 0;
  }
  const auto uniform = this->history.UniformOf(service, query->askedAt);
  if (this->readList && uniform &&
      uniform->length >= this->LifetimeOf(aRoute)) {
    query->awaitsList = true;
    this->readList();
  }
  // Also ends a query that no gateway was sent, e.g. as another one with the
  // same key is in flight: its answers count for both.
  query->timeout.StartOnce(kAskTimeout);
  return query;
}

void
OriginFinder::AddToDigest(PeerDigest& aDigest, TimePoint aNow)
{
  aDigest.origins = this->origins.TakeUpdates(aNow);
  aDigest.streamLifetimes = this->ownLimits;
}

void
OriginFinder::ApplyDigest(const PeerDigest& aDigest, TimePoint aNow)
{
  this->origins.Apply(aDigest.origins, aNow);
  RaiseAll(this->otherLimits, aDigest.streamLifetimes);
  RaiseAll(this->lifetimes, aDigest.streamLifetimes);
}

std::optional<std::string>
OriginFinder::DocumentAt(std::string_view aPath, TimePoint aNow) const
{
  const auto question = ParsePath(aPath);
  if (!question) {
    return std::nullopt;
  }
  Json::Value document;
  if (const auto found = this->origins.Find(question->key, aNow)) {
    document["service"] = found->origin.service.Value();
    document["software_version"] = found->origin.softwareVersion;
    return WriteJson(document);
  }
  const auto uniform = this->history.UniformOf(question->service, aNow);
  if (!this->isListCurrent || !this->hasReadSinceHeard || !uniform) {
    return std::nullopt;
  }
  document["service"] = question->service.Value();
  document["software_version"] = uniform->version;
  document["uniform_ms"] = Json::Int64(WholeMillis(uniform->length));
  return WriteJson(document);
}

void
OriginFinder::OnDocument(std::string_view aPath,
                         std::string_view aDocument,
                         TimePoint aNow)
{
  const auto question = ParsePath(aPath);
  const auto document = ParseJson(aDocument);
  if (!question || !document.ok()) {
    this->OnFetchFailed(aPath);
    return;
  }
  JsonFields fields(*document);
  FoundOrigin found;
  found.source = OriginSource::Asked;
  found.origin.service = ServiceName(fields.Text("service"));
  found.origin.softwareVersion = fields.Text("software_version");
  const bool isRecord =
    document->isObject() && !document->isMember("uniform_ms");
  const Duration uniformFor =
    isRecord ? Duration(0) : milliseconds(fields.Whole("uniform_ms"));
  if (!fields.Status().ok()) {
    this->OnFetchFailed(aPath);
    return;
  }
  if (!isRecord) {
    this->history.Adopt(
      found.origin.service, { found.origin.softwareVersion, uniformFor }, aNow);
  }
  // The other gateway's list may be older than the one here.
  const auto own = this->history.UniformOf(found.origin.service, aNow);
  const bool isConfirmed =
    own && IsSameSoftware(own->version, found.origin.softwareVersion);
  for (Query* query : this->QueriesOf(question->key)) {
    const bool isImplied =
      isConfirmed && !IsSplit(query->route) &&
      query->route.services.front().service == found.origin.service &&
      uniformFor >= this->LifetimeOf(query->route);
    if (isRecord || isImplied) {
      query->End(found);
    }
  }
  this->OnFetchFailed(aPath);
}

void
OriginFinder::OnFetchFailed(std::string_view aPath)
{
  const auto question = ParsePath(aPath);
  if (!question) {
    return;
  }
  for (Query* query : this->QueriesOf(question->key)) {
    if (query->unanswered > 0 && --query->unanswered == 0 &&
        !query->awaitsArchive && !query->awaitsList) {
      query->OnUnanswered();
    }
  }
}

void
OriginFinder::RunMaintenance(TimePoint aNow)
{
  this->origins.Expire(aNow);
  this->wasUnheard =
    this->wasUnheard || !(this->isListCurrent || this->hearsMost);
  // Streams that began while the service was uniform were not reported.
  for (const auto& [service, lifetime] : this->lifetimes) {
    const auto uniform = this->history.UniformOf(service, aNow);
    if (!this->isListCurrent || !uniform || uniform->length < lifetime) {
      this->origins.ReportAll(service);
    }
  }
  this->Save(aNow);
}

// The archive.

bool
OriginFinder::ReadArchive(const HostRoute& aRoute)
{
  const TimePoint now = Now();
  // A gateway that has run for longer was told of the streams by reports.
  return Between(this->startedAt, now) < this->LifetimeOf(aRoute) &&
         this->archive.Read(now,
                            [this](std::span<const OriginUpdate> aOrigins) {
                              this->OnArchive(aOrigins);
                            });
}

void
OriginFinder::OnArchive(std::span<const OriginUpdate> aOrigins)
{
  const TimePoint now = Now();
  this->origins.Apply(aOrigins, now);
  for (const OriginUpdate& update : aOrigins) {
    this->history.OnOrigin(update.origin, now);
  }
  std::vector<Query*> waiting;
  std::ranges::copy_if(
    this->queries, std::back_inserter(waiting), &Query::awaitsArchive);
  for (Query* query : waiting) {
    const auto found = this->origins.Find(query->key, now);
    query->End(found ? std::optional(
                         FoundOrigin{ found->origin, OriginSource::Archived })
                     : std::nullopt);
  }
}

bool
OriginFinder::IsMixed(const ServiceName& aService, TimePoint aNow) const
{
  const auto found = this->lifetimes.find(aService);
  return this->history.WasMixed(aService,
                                found == this->lifetimes.end() ? Duration(0)
                                                               : found->second,
                                aNow);
}

void
OriginFinder::Save(TimePoint aNow)
{
  const bool isAlone = std::ranges::all_of(this->gatewaysByCell,
                                           &std::vector<SocketAddress>::empty);
  if (isAlone) {
    // Nobody is told, so that the archive is all that shares them.
    this->origins.TakeUpdates(aNow);
  }
  const std::uint64_t revision = this->origins.SharedRevision();
  if ((revision == this->savedRevision && !this->hasSaved) ||
      !this->archive.MayWrite(aNow)) {
    return;
  }
  std::vector<OriginUpdate> shared =
    this->origins.Shared(OriginArchive::kMaxOrigins, aNow);
  std::erase_if(shared, [&](const OriginUpdate& aOne) {
    return !this->IsMixed(aOne.origin.service, aNow);
  });
  const bool isEmpty = shared.empty();
  if (isEmpty ? !this->hasSaved : revision == this->savedRevision) {
    return;
  }
  this->archive.Write(shared, [this, revision, isEmpty](bool aIsKept) {
    if (aIsKept) {
      this->savedRevision = revision;
      this->hasSaved = !isEmpty;
    }
  });
}

} // namespace dogwoodvale
