#ifndef DOGWOODVALE_QUARANTINE_BROKENRUNS_H
#define DOGWOODVALE_QUARANTINE_BROKENRUNS_H

#include <map>
#include <span>
#include <vector>

#include "CrashEvidence.h"

namespace dogwoodvale {

/// Requests whose attempts broke off, until it is known whether their server
/// ended: one that lost a single answer, or whose link was cut, lives on, and
/// blames nobody.
class BrokenRuns
{
public:
  /// \return whether this is the server's first that waits for the verdict.
  bool Add(const InstanceName& aInstance,
           RequestFingerprint aRequest,
           CrashWeight aWeight,
           TimePoint aNow);
  /// The server has ended. \return what that says of the requests it ran.
  std::vector<CrashEvidence> OnEnded(const InstanceName& aInstance);
  /// The server takes connections.
  void OnAlive(const InstanceName& aInstance);
  /// Whether an attempt of it broke off a moment ago, so that the verdict on
  /// its server is still to come.
  bool HasJustBroken(RequestFingerprint aRequest, TimePoint aNow) const;
  /// Servers on which the verdict is open.
  std::vector<InstanceName> Open() const;
  void Expire(TimePoint aNow);

  /// Servers send heartbeats every second or two and are taken off the list
  /// after a few; by then it is known whether this one ended.
  static constexpr Duration kOpenFor = seconds(10);
  /// A probe is sent after a twentieth of a second and answered within a round
  /// trip. A server that says nothing must not hold requests up for longer.
  static constexpr Duration kVerdictComes = milliseconds(150);
  /// Requests of one server; more are under way at none.
  static constexpr std::size_t kMostRuns = 512;

private:
  struct Broken
  {
    std::vector<CrashEvidence> runs;
    TimePoint since{};
  };

  std::map<InstanceName, Broken> servers;
};

} // namespace dogwoodvale

#endif
