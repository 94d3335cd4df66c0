#ifndef DOGWOODVALE_GATEWAY_USAGEDUTY_H
#define DOGWOODVALE_GATEWAY_USAGEDUTY_H

#include <map>
#include <memory>
#include <random>

#include "PeerExchange.h"
#include "UsageDocument.h"
#include "dogwoodvale/Duties"

namespace dogwoodvale {

/// A gateway's part in the usage duty: counts what begins to run, tells and
/// hears counts by digests, and holds the duty when it is this one's turn.
///
/// The duty is held in the first cell, whose gateways hear each other's counts.
/// Of each other cell the holder asks one gateway, which has heard all of it.
class UsageDuty final : public UsageView
{
public:
  /// \param aPort null where no usage is to be reported: nothing is counted.
  UsageDuty(EventLoop& aLoop,
            StoreClient& aStore,
            UsagePort* aPort,
            const InstanceName& aSelf,
            Incarnation aIncarnation,
            const DutySettings& aSettings);

  bool IsOn() const { return this->reporter != nullptr; }
  /// A request began to run at a server.
  void Count(const CustomerName& aCustomer, TimePoint aBegan);

  void SetGateways(std::span<const GatewayMember> aGateways,
                   std::size_t aCells,
                   std::size_t aOwnCell);
  void Tell(PeerDigest& aDigest);
  void Hear(const PeerDigest& aDigest);
  /// Call a few times a second.
  void Tend(PeerExchange& aPeers, std::mt19937_64& aRandom);
  /// Hands over, for a planned stop. Counting goes on.
  void Stop();

  std::string Document() const;
  /// \param aPath under kPath, as it was asked for.
  void TakeDocument(std::string_view aPath,
                    std::string_view aDocument,
                    const SocketAddress& aFrom);

  UsageKnowledge KnowledgeOf(WindowId aWindow) const override;
  UsageCounts CountsOf(WindowId aWindow) const override;

  /// Null where no usage is to be reported.
  const UsageReporter* Reporter() const { return this->reporter.get(); }
  std::size_t Backlog() const;

  /// The documents' path; a cell's number follows.
  static constexpr std::string_view kPath = "/peer/usage/";

private:
  milliseconds TrueTime(TimePoint aNow) const;
  void AskForMissed(PeerExchange& aPeers, std::mt19937_64& aRandom);
  void AskCell(std::size_t aCell,
               PeerExchange& aPeers,
               std::mt19937_64& aRandom);
  /// The window that ended last.
  WindowId LastEnded(TimePoint aNow) const;

  InstanceName self;
  UsageSchedule schedule;
  UsageLedger ledger;
  TimeAgreement clocks;
  std::unique_ptr<UsageReporter> reporter;
  std::vector<GatewayMember> gateways;
  std::size_t cells = 1;
  std::size_t ownCell = 0;
  /// True time of each gateway of the cell when it last told its counts, and
  /// when that was heard.
  struct Told
  {
    milliseconds at{ 0 };
    TimePoint heard{};
  };
  std::map<InstanceName, Told> told;
  /// True time up to which the counts of each other cell are known.
  std::map<std::size_t, milliseconds> cellsKnownTo;
  /// When a gateway of each cell was last asked.
  std::map<std::size_t, TimePoint> askedAt;
  /// Since when all that the cell counted was heard, in true time; 0 until the
  /// first word of another gateway or a moment after the start.
  milliseconds since{ 0 };
  bool hasInherited = false;
  TimePoint startedAt;
};

} // namespace dogwoodvale

#endif
