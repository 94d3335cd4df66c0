#ifndef DOGWOODVALE_ROUTING_HEALTHTRACKER_H
#define DOGWOODVALE_ROUTING_HEALTHTRACKER_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "BackendTable.h"
#include "dogwoodvale/Core"

namespace dogwoodvale {

/// When a server counts as an outlier, and how it comes back.
struct HealthSettings
{
  /// Slower than the service's median by this factor: an outlier.
  double slowFactor = 3.0;
  /// Failed share of recent requests from which a server is an outlier.
  double failureShare = 0.5;
  /// No verdict on fewer recent samples.
  std::uint32_t leastSamples = 5;
  /// Never more than this share of a service is out at once, trials included.
  double largestShare = 0.3;
  /// A slow server is not taken out where the others' requests per slot would
  /// rise above this: it is better than none.
  double mostLoadAfter = 0.85;
  /// Slow servers come back when the requests per slot reach this.
  double neededLoad = 0.97;
  /// Out for this long at first; doubles with each trial that fails.
  Duration firstEjection = seconds(5);
  Duration longestEjection = seconds(120);
};

/// A server whose standing has changed.
struct HealthChange
{
  InstanceName name;
  Standing standing = Standing::InService;
  /// For logs: "slow", "failing", "crashed", "trial", "recovered",
  /// "needed".
  const char* reason = "";
};

/// Takes stragglers and failing servers of one service out of the choice.
///
/// A server is judged against the median of its peers, so that an overload of
/// the whole service ejects nobody. The ejected share is bounded and the last
/// server is never ejected, so that a bad measure can't empty a service. A
/// server comes back by trial, one request at a time. A slow one, which still
/// does useful work, is out only while the others can do without it.
class HealthTracker
{
public:
  explicit HealthTracker(HealthSettings aSettings = {});

  void Add(const InstanceName& aName);
  void Remove(const InstanceName& aName);

  /// \param aStep 0 when unknown.
  void OnStepTime(const InstanceName& aName, Duration aStep);
  void OnFirstToken(const InstanceName& aName, Duration aLatency);
  void OnSuccess(const InstanceName& aName);
  void OnFailure(const InstanceName& aName);
  /// The engine or its sidecar died: out at once, on no samples; within the
  /// bounds all the same.
  void OnCrash(const InstanceName& aName);

  /// Judges all servers; call a few times a second.
  /// \param aLoad requests per slot, BackendTable::MeanLoad().
  /// \return what changed, to be told to BackendTable::SetStanding and logged.
  std::vector<HealthChange> Evaluate(TimePoint aNow, double aLoad = 0.0);

  Standing StandingOf(const InstanceName& aName) const;
  std::size_t OutCount() const;

private:
  struct Server
  {
    Standing standing = Standing::InService;
    double stepMicros = 0.0;
    double firstTokenMicros = 0.0;
    std::uint32_t latencySamples = 0;
    double successes = 0.0;
    double failures = 0.0;
    bool crashed = false;
    /// Ejected for being slow, so still of some use.
    bool isSlow = false;
    std::uint32_t ejections = 0;
    /// When it entered its standing.
    TimePoint since{};
    TimePoint returnsAt{};
  };

  struct Medians
  {
    double step = 0.0;
    double firstToken = 0.0;
  };

  /// A server that ought to be out.
  struct Outlier
  {
    InstanceName name;
    Server* server;
    const char* reason;
    bool isSlow;
    /// The worst is ejected first.
    double severity;
  };

  using Changes = std::vector<HealthChange>;

  Server* Find(const InstanceName& aName);
  Medians MeasureMedians() const;
  std::optional<Outlier> Judge(const InstanceName& aName,
                               Server& aServer,
                               const Medians& aMedians) const;
  double Slowness(const Server& aServer, const Medians& aMedians) const;
  bool MayEject(const Outlier& aOutlier, double aLoad) const;
  void Eject(const Outlier& aOutlier, TimePoint aNow, Changes& aChanges);
  void ReturnWhereDue(TimePoint aNow, double aLoad, Changes& aChanges);
  void Confirm(const InstanceName& aName,
               Server& aServer,
               TimePoint aNow,
               Changes& aChanges) const;
  static void Enter(const InstanceName& aName,
                    Server& aServer,
                    Standing aStanding,
                    const char* aReason,
                    TimePoint aNow,
                    Changes& aChanges);

  HealthSettings settings;
  /// Ordered, so that equal inputs give equal verdicts.
  std::map<InstanceName, Server> servers;
};

} // namespace dogwoodvale

#endif
