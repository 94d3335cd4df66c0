#include "UsageAccounting.h"

#include <algorithm>
#include <charconv>

#include "dogwoodvale/Routing"

namespace dogwoodvale {

namespace {

/// Number of past windows that are kept, as one may still be reported.
constexpr WindowId kWindowsKept = 6;
/// How long after the start the counts of the own cell are requested until
/// another gateway has sent them.
constexpr Duration kStartDuration = seconds(4);
/// Least time between two requests to a cell.
constexpr Duration kRequestPeriod = milliseconds(500);
/// A gateway's counts of a window are complete if they were sent this much
/// after its end: a request is counted when its answer begins, shortly after it
/// began to run.
constexpr milliseconds kSettleDelay(150);
/// A gateway that has sent no digest for this long is not waited for.
constexpr Duration kPeerTimeout = seconds(1);

} // namespace

UsageAccounting::UsageAccounting(EventLoop& aLoop,
                                 StoreClient& aStore,
                                 UsagePort* aPort,
                                 const InstanceName& aSelf,
                                 Incarnation aIncarnation,
                                 const DutySettings& aSettings)
  : self(aSelf)
  , schedule({ aSettings.usageWindow, aSettings.usageDue })
  , ledger({ aSelf, aIncarnation })
  , startedAt(Now())
{
  if (aPort != nullptr) {
    this->reporter = std::make_unique<UsageReporter>(
      aLoop,
      aStore,
      *aPort,
      aSelf,
      aIncarnation,
      UsageReporter::Options{ this->schedule, aSettings.lease });
  }
}

milliseconds
UsageAccounting::AgreedTime(TimePoint aNow) const
{
  return this->clocks.AgreedTime(TimeOfDay(), aNow);
}

WindowId
UsageAccounting::LastEnded(TimePoint aNow) const
{
  return this->schedule.WindowAt(this->AgreedTime(aNow)) - 1;
}

void
UsageAccounting::Count(const CustomerName& aCustomer, TimePoint aBegan)
{
  if (!this->IsOn() || aCustomer.IsEmpty()) {
    return;
  }
  const TimePoint now = Now();
  const milliseconds began =
    this->AgreedTime(now) -
    std::chrono::duration_cast<milliseconds>(Between(aBegan, now));
  this->ledger.Count(this->schedule.WindowAt(began), aCustomer);
}

// Counts of the other gateways.

void
UsageAccounting::SetGateways(std::span<const GatewayMember> aGateways,
                             std::size_t aCells,
                             std::size_t aOwnCell)
{
  this->gateways.assign(aGateways.begin(), aGateways.end());
  this->cells = aCells;
  this->ownCell = aOwnCell;
}

void
UsageAccounting::AddToDigest(PeerDigest& aDigest)
{
  if (!this->IsOn()) {
    return;
  }
  const TimePoint now = Now();
  aDigest.usage.timeOfDay = TimeOfDay();
  aDigest.usage.agreedTime = this->AgreedTime(now);
  aDigest.usage.isReporter = this->reporter->IsActive(now);
  aDigest.usage.counts = this->ledger.OutgoingUpdates();
}

void
UsageAccounting::ApplyDigest(const PeerDigest& aDigest)
{
  // Gateways of another cell send a digest now and then.
  const bool isOfCell =
    this->cells == 1 || CellOf(aDigest.gateway, this->cells) == this->ownCell;
  if (!this->IsOn() || aDigest.usage.timeOfDay.count() == 0 || !isOfCell) {
    return;
  }
  const TimePoint now = Now();
  this->clocks.OnClockSample(aDigest.gateway, aDigest.usage.timeOfDay, now);
  this->ledger.OnUpdate({ aDigest.gateway, aDigest.incarnation },
                        aDigest.usage.counts);
  this->lastReports[aDigest.gateway] = { aDigest.usage.agreedTime, now };
  this->reporter->OnHeartbeat(aDigest.gateway, aDigest.usage.isReporter, now);
}

std::string
UsageAccounting::Document() const
{
  UsageDocument document;
  document.since = this->since;
  document.writtenAt = this->AgreedTime(Now());
  document.sources = this->ledger.All();
  return WriteUsageDocument(document);
}

void
UsageAccounting::ApplyDocument(std::string_view aPath,
                               std::string_view aDocument,
                               const SocketAddress& aFrom)
{
  const std::string_view number = aPath.substr(kPath.size());
  std::size_t cell = 0;
  std::from_chars(number.data(), number.data() + number.size(), cell);
  const auto document = ReadUsageDocument(aDocument);
  if (!document.ok()) {
    Log(LogLevel::Warning,
        "usage_document_rejected",
        "from",
        aFrom.ToString(),
        "reason",
        MessageOf(document.status()));
    return;
  }
  for (const auto& [source, updates] : document->sources) {
    this->ledger.OnUpdate(source, updates);
  }
  if (cell != this->ownCell) {
    milliseconds& knownTo = this->cellsKnownTo[cell];
    knownTo = std::max(knownTo, document->writtenAt);
  } else if (document->since.count() > 0 && document->since < this->since) {
    this->since = document->since;
    this->hasInherited = true;
    Log(LogLevel::Info,
        "usage_inherited",
        "from",
        aFrom.ToString(),
        "since_ms",
        this->since.count());
  }
}

// Reporting.

void
UsageAccounting::RunMaintenance(PeerExchange& aPeers, std::mt19937_64& aRandom)
{
  if (!this->IsOn()) {
    return;
  }
  const TimePoint now = Now();
  const milliseconds agreedTime = this->AgreedTime(now);
  if (this->since.count() == 0) {
    this->since = agreedTime;
  }
  std::erase_if(this->lastReports, [now](const auto& aItem) {
    return Between(aItem.second.receivedAt, now) > kPeerTimeout;
  });
  this->ledger.DropBefore(this->schedule.WindowAt(agreedTime) - kWindowsKept);
  this->RequestMissingCounts(aPeers, aRandom);
  this->reporter->RunMaintenance(now, agreedTime, this->ownCell == 0, *this);
}

void
UsageAccounting::RequestMissingCounts(PeerExchange& aPeers,
                                      std::mt19937_64& aRandom)
{
  const TimePoint now = Now();
  const bool isStarting = Between(this->startedAt, now) < kStartDuration;
  const bool hasMissed = !this->ledger.IsComplete(this->LastEnded(now));
  if ((isStarting && !this->hasInherited) || hasMissed) {
    this->RequestFromCell(this->ownCell, aPeers, aRandom);
  }
  if (!this->reporter->IsActive(now)) {
    return;
  }
  const milliseconds needed =
    this->schedule.EndOf(this->LastEnded(now)) + kSettleDelay;
  const bool isOver = this->AgreedTime(now) >= needed;
  for (std::size_t cell = 0; cell < this->cells && isOver; ++cell) {
    if (cell != this->ownCell && this->cellsKnownTo[cell] < needed) {
      this->RequestFromCell(cell, aPeers, aRandom);
    }
  }
}

void
UsageAccounting::RequestFromCell(std::size_t aCell,
                                 PeerExchange& aPeers,
                                 std::mt19937_64& aRandom)
{
  const TimePoint now = Now();
  if (Between(this->requestedAt[aCell], now) < kRequestPeriod) {
    return;
  }
  std::vector<SocketAddress> members;
  for (const GatewayMember& gateway : this->gateways) {
    if (gateway.name != this->self &&
        CellOf(gateway.name, this->cells) == aCell) {
      members.push_back(gateway.peers);
    }
  }
  if (members.empty()) {
    return;
  }
  this->requestedAt[aCell] = now;
  std::uniform_int_distribution<std::size_t> draw(0, members.size() - 1);
  aPeers.Fetch(members[draw(aRandom)], fmt::format("{}{}", kPath, aCell));
}

void
UsageAccounting::Stop()
{
  if (this->IsOn()) {
    this->reporter->Stop();
  }
}

UsageKnowledge
UsageAccounting::KnowledgeOf(WindowId aWindow) const
{
  if (this->since > this->schedule.BeginOf(aWindow)) {
    return UsageKnowledge::Unknown;
  }
  const milliseconds needed = this->schedule.EndOf(aWindow) + kSettleDelay;
  const bool allReported =
    std::ranges::all_of(this->lastReports, [needed](const auto& aItem) {
      return aItem.second.sentAt >= needed;
    });
  bool allCells = true;
  for (std::size_t cell = 0; cell < this->cells; ++cell) {
    const auto known = this->cellsKnownTo.find(cell);
    allCells = allCells &&
               (cell == this->ownCell ||
                (known != this->cellsKnownTo.end() && known->second >= needed));
  }
  return allReported && allCells && this->ledger.IsComplete(aWindow)
           ? UsageKnowledge::Settled
           : UsageKnowledge::Open;
}

UsageCounts
UsageAccounting::CountsOf(WindowId aWindow) const
{
  return this->ledger.CountsOf(aWindow);
}

std::size_t
UsageAccounting::Backlog() const
{
  return this->IsOn() ? this->reporter->Plan().Backlog(this->AgreedTime(Now()))
                      : 0;
}

} // namespace dogwoodvale
