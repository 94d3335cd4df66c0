#ifndef DOGWOODVALE_QUARANTINE_UNRESOLVEDATTEMPTS_H
#define DOGWOODVALE_QUARANTINE_UNRESOLVEDATTEMPTS_H

#include <map>
#include <span>
#include <vector>

#include "CrashEvidence.h"
#include "CrashSubjects.h"

namespace dogwoodvale {

/// Attempts whose connection broke, kept until it is known whether their server
/// has exited. A server that lost a single answer or its network link is still
/// alive, and its broken attempts are no evidence against a request.
class UnresolvedAttempts
{
public:
  /// Adds an attempt whose connection broke.
  /// \param aHasPassed it got through, see CrashLedger::OnPassed(), so that it
  /// is no evidence against the parts of its prompt.
  /// \return whether it is the first unresolved one of its server.
  bool Add(const InstanceName& aInstance,
           const CrashSubjects& aSubjects,
           CrashWeight aWeight,
           bool aHasPassed,
           TimePoint aNow);
  /// The server has exited: removes its attempts.
  /// \return them as evidence; empty if there are none.
  std::vector<CrashEvidence> OnServerExited(const InstanceName& aInstance);
  /// The server accepts connections: its attempts are discarded.
  void OnServerAlive(const InstanceName& aInstance);
  /// Whether an attempt of the subject is at a server whose first unresolved
  /// break was less than kProbeWait ago, so that the result of the probe of
  /// this server may still come.
  bool HasRecentBreak(Fingerprint aSubject, TimePoint aNow) const;
  /// Servers with unresolved attempts.
  std::vector<InstanceName> UnresolvedServers() const;
  /// Discards the attempts of servers that are unresolved after
  /// kResolveTimeout.
  void Expire(TimePoint aNow);

  /// Servers send heartbeats every second or two and are removed from the list
  /// after missing a few, so by then it is known whether this one has exited.
  static constexpr Duration kResolveTimeout = seconds(10);
  /// A probe is sent after 50 ms and answered within a round trip. A server
  /// that does not answer must not delay requests for longer.
  static constexpr Duration kProbeWait = milliseconds(150);
  /// Maximum requests and parts per server: some 512 attempts, the most that a
  /// server has in flight, with three parts each.
  static constexpr std::size_t kMaxEntries = 2048;

private:
  struct ServerAttempts
  {
    std::vector<CrashEvidence> attempts;
    TimePoint since{};

    /// Adds it once per subject.
    void Add(const CrashEvidence& aEvidence);
  };

  std::map<InstanceName, ServerAttempts> servers;
};

} // namespace dogwoodvale

#endif
