#ifndef DOGWOODVALE_GATEWAY_USAGEACCOUNTING_H
#define DOGWOODVALE_GATEWAY_USAGEACCOUNTING_H

#include <map>
#include <memory>
#include <random>

#include "PeerExchange.h"
#include "UsageDocument.h"
#include "dogwoodvale/Duties"

namespace dogwoodvale {

/// A gateway's part in the reporting of usage: counts requests that begin to
/// run, exchanges counts with other gateways in digests, and reports the sum
/// while this gateway is the reporting one (the leader, see UsageReporter).
///
/// The reporting gateway is one of the first cell, whose gateways receive each
/// other's counts. For each other cell it requests the counts from one of its
/// gateways, which has received those of the whole cell.
class UsageAccounting final : public UsageView
{
public:
  /// \param aPort null if no usage is to be reported; then nothing is counted.
  UsageAccounting(EventLoop& aLoop,
                  StoreClient& aStore,
                  UsagePort* aPort,
                  const InstanceName& aSelf,
                  Incarnation aIncarnation,
                  const DutySettings& aSettings);

  bool IsOn() const { return this->reporter != nullptr; }
  /// Counts a request that began to run at a server.
  void Count(const CustomerName& aCustomer, TimePoint aBegan);

  void SetGateways(std::span<const GatewayMember> aGateways,
                   std::size_t aCells,
                   std::size_t aOwnCell);
  /// Adds this gateway's clock and counts.
  void AddToDigest(PeerDigest& aDigest);
  /// Takes in another gateway's counts; ignored if it is of another cell.
  void ApplyDigest(const PeerDigest& aDigest);
  /// Call a few times a second.
  void RunMaintenance(PeerExchange& aPeers, std::mt19937_64& aRandom);
  /// Hands the reporting over, for a planned stop. Counting goes on.
  void Stop();

  /// All counts that this gateway knows of, see UsageDocument.
  std::string Document() const;
  /// Merges the document of another gateway; logs and ignores a malformed one.
  /// \param aPath the requested path: kPath and the number of the cell.
  void ApplyDocument(std::string_view aPath,
                     std::string_view aDocument,
                     const SocketAddress& aFrom);

  UsageKnowledge KnowledgeOf(WindowId aWindow) const override;
  UsageCounts CountsOf(WindowId aWindow) const override;

  /// Null if no usage is to be reported.
  const UsageReporter* Reporter() const { return this->reporter.get(); }
  /// Number of windows that have ended and are neither reported nor left out.
  std::size_t Backlog() const;

  /// Path of the documents, without the number of the cell that follows.
  static constexpr std::string_view kPath = "/peer/usage/";

private:
  /// The time on which the gateways agree, since 1970; see TimeAgreement.
  milliseconds AgreedTime(TimePoint aNow) const;
  /// Requests counts that this gateway did not receive.
  void RequestMissingCounts(PeerExchange& aPeers, std::mt19937_64& aRandom);
  /// Requests the document of a random gateway of the cell, at most once per
  /// kRequestPeriod.
  void RequestFromCell(std::size_t aCell,
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
  /// The last digest of a gateway of the cell.
  struct LastReport
  {
    /// Agreed time at which it was sent.
    milliseconds sentAt{ 0 };
    TimePoint receivedAt{};
  };
  std::map<InstanceName, LastReport> lastReports;
  /// Agreed time up to which the counts of each other cell are known.
  std::map<std::size_t, milliseconds> cellsKnownTo;
  /// When the counts of each cell were last requested.
  std::map<std::size_t, TimePoint> requestedAt;
  /// Agreed time since which all counts of the cell are known; 0 until the
  /// first call of RunMaintenance().
  milliseconds since{ 0 };
  /// Whether another gateway's document has moved it to an earlier time.
  bool hasInherited = false;
  TimePoint startedAt;
};

} // namespace dogwoodvale

#endif
