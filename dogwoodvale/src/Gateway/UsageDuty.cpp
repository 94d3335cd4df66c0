#include "UsageDuty.h"

#include <algorithm>
#include <charconv>

#include "dogwoodvale/Routing"

namespace dogwoodvale {

namespace {

/// Windows that are kept: as long as one may still be reported.
constexpr WindowId kWindowsKept = 6;
/// What others have counted is asked for until this long after the start.
constexpr Duration kAsksAtStart = seconds(4);
/// From one question to a cell to the next.
constexpr Duration kAskPeriod = milliseconds(500);
/// A gateway's word counts for the end of a window if it was told this much
/// later: counts are noted when an answer begins, a moment after the fact.
constexpr milliseconds kAfterEnd(150);
/// A gateway that is not heard for so long is not waited for.
constexpr Duration kSilence = seconds(1);

} // namespace

UsageDuty::UsageDuty(EventLoop& aLoop,
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
UsageDuty::TrueTime(TimePoint aNow) const
{
  return this->clocks.TrueTime(TimeOfDay(), aNow);
}

WindowId
UsageDuty::LastEnded(TimePoint aNow) const
{
  return this->schedule.WindowAt(this->TrueTime(aNow)) - 1;
}

void
UsageDuty::Count(const CustomerName& aCustomer, TimePoint aBegan)
{
  if (!this->IsOn() || aCustomer.IsEmpty()) {
    return;
  }
  const TimePoint now = Now();
  const milliseconds began =
    this->TrueTime(now) -
    std::chrono::duration_cast<milliseconds>(Between(aBegan, now));
  this->ledger.Count(this->schedule.WindowAt(began), aCustomer);
}

// Others.

void
UsageDuty::SetGateways(std::span<const GatewayMember> aGateways,
                       std::size_t aCells,
                       std::size_t aOwnCell)
{
  this->gateways.assign(aGateways.begin(), aGateways.end());
  this->cells = aCells;
  this->ownCell = aOwnCell;
}

void
UsageDuty::Tell(PeerDigest& aDigest)
{
  if (!this->IsOn()) {
    return;
  }
  const TimePoint now = Now();
  aDigest.usage.timeOfDay = TimeOfDay();
  aDigest.usage.trueTime = this->TrueTime(now);
  aDigest.usage.holdsDuty = this->reporter->IsActive(now);
  aDigest.usage.counts = this->ledger.Tell();
}

void
UsageDuty::Hear(const PeerDigest& aDigest)
{
  // A gateway of another cell sends one now and then.
  const bool isOfCell =
    this->cells == 1 || CellOf(aDigest.gateway, this->cells) == this->ownCell;
  if (!this->IsOn() || aDigest.usage.timeOfDay.count() == 0 || !isOfCell) {
    return;
  }
  const TimePoint now = Now();
  this->clocks.OnHeard(aDigest.gateway, aDigest.usage.timeOfDay, now);
  this->ledger.Hear({ aDigest.gateway, aDigest.incarnation },
                    aDigest.usage.counts);
  this->told[aDigest.gateway] = { aDigest.usage.trueTime, now };
  this->reporter->OnHeard(aDigest.gateway, aDigest.usage.holdsDuty, now);
}

std::string
UsageDuty::Document() const
{
  UsageDocument document;
  document.since = this->since;
  document.writtenAt = this->TrueTime(Now());
  document.sources = this->ledger.All();
  return WriteUsageDocument(document);
}

void
UsageDuty::TakeDocument(std::string_view aPath,
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
  for (const auto& [source, news] : document->sources) {
    this->ledger.Hear(source, news);
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

// The duty.

void
UsageDuty::Tend(PeerExchange& aPeers, std::mt19937_64& aRandom)
{
  if (!this->IsOn()) {
    return;
  }
  const TimePoint now = Now();
  const milliseconds trueTime = this->TrueTime(now);
  if (this->since.count() == 0) {
    this->since = trueTime;
  }
  std::erase_if(this->told, [now](const auto& aItem) {
    return Between(aItem.second.heard, now) > kSilence;
  });
  this->ledger.DropBefore(this->schedule.WindowAt(trueTime) - kWindowsKept);
  this->AskForMissed(aPeers, aRandom);
  this->reporter->Tend(now, trueTime, this->ownCell == 0, *this);
}

void
UsageDuty::AskForMissed(PeerExchange& aPeers, std::mt19937_64& aRandom)
{
  const TimePoint now = Now();
  const bool isStarting = Between(this->startedAt, now) < kAsksAtStart;
  const bool hasMissed = !this->ledger.IsWhole(this->LastEnded(now));
  if ((isStarting && !this->hasInherited) || hasMissed) {
    this->AskCell(this->ownCell, aPeers, aRandom);
  }
  if (!this->reporter->IsActive(now)) {
    return;
  }
  const milliseconds needed =
    this->schedule.EndOf(this->LastEnded(now)) + kAfterEnd;
  const bool isOver = this->TrueTime(now) >= needed;
  for (std::size_t cell = 0; cell < this->cells && isOver; ++cell) {
    if (cell != this->ownCell && this->cellsKnownTo[cell] < needed) {
      this->AskCell(cell, aPeers, aRandom);
    }
  }
}

void
UsageDuty::AskCell(std::size_t aCell,
                   PeerExchange& aPeers,
                   std::mt19937_64& aRandom)
{
  const TimePoint now = Now();
  if (Between(this->askedAt[aCell], now) < kAskPeriod) {
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
  this->askedAt[aCell] = now;
  std::uniform_int_distribution<std::size_t> draw(0, members.size() - 1);
  aPeers.Fetch(members[draw(aRandom)], fmt::format("{}{}", kPath, aCell));
}

void
UsageDuty::Stop()
{
  if (this->IsOn()) {
    this->reporter->Stop();
  }
}

UsageKnowledge
UsageDuty::KnowledgeOf(WindowId aWindow) const
{
  if (this->since > this->schedule.BeginOf(aWindow)) {
    return UsageKnowledge::Unknown;
  }
  const milliseconds needed = this->schedule.EndOf(aWindow) + kAfterEnd;
  const bool allTold =
    std::ranges::all_of(this->told, [needed](const auto& aItem) {
      return aItem.second.at >= needed;
    });
  bool allCells = true;
  for (std::size_t cell = 0; cell < this->cells; ++cell) {
    const auto known = this->cellsKnownTo.find(cell);
    allCells = allCells &&
               (cell == this->ownCell ||
                (known != this->cellsKnownTo.end() && known->second >= needed));
  }
  return allTold && allCells && this->ledger.IsWhole(aWindow)
           ? UsageKnowledge::Settled
           : UsageKnowledge::Open;
}

UsageCounts
UsageDuty::CountsOf(WindowId aWindow) const
{
  return this->ledger.CountsOf(aWindow);
}

std::size_t
UsageDuty::Backlog() const
{
  return this->IsOn() ? this->reporter->Plan().Backlog(this->TrueTime(Now()))
                      : 0;
}

} // namespace dogwoodvale
