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

/// Thresholds of outlier detection.
struct HealthSettings
{
  /// A server slower than the service's median by more than this factor is an
  /// outlier.
  double slowFactor = 3.0;
  /// A server of which at least this share of the recent requests failed is an
  /// outlier.
  double failureThreshold = 0.5;
  /// Recent samples needed to judge a server.
  std::uint32_t minSamples = 5;
  /// Maximum share of a service's servers that are ejected or being probed at
  /// once; one server may be ejected from any service that has two.
  double maxEjectedShare = 0.3;
  /// A slow server is not ejected if the load of the remaining servers, in
  /// requests per slot, would rise above this: it is better than none.
  double maxLoadAfterEjection = 0.85;
  /// Slow servers return to service when the load, in requests per slot,
  /// reaches this.
  double returnLoad = 0.97;
  /// Duration of the first ejection; doubles with each failed probe, up to
  /// maxEjectionTime.
  Duration baseEjectionTime = seconds(5);
  Duration maxEjectionTime = seconds(120);
};

/// A change of a server's health state.
struct HealthChange
{
  InstanceName name;
  HealthState healthState = HealthState::InService;
  /// Cause, for logs: "slow", "failing", "crashed", "trial" (probing begins),
  /// "recovered" or "needed" (returned because of the load).
  const char* reason = "";
};

/// Outlier detection for one service: ejects slow and failing servers from load
/// balancing.
///
/// A server's speed is compared with the median of the service, so that an
/// overload of the whole service ejects no server. The ejected share is bounded
/// and the last server is never ejected, so that a wrong measurement can't
/// leave a service without servers. After its ejection a server is probed with
/// one request at a time. A slow server, which still does useful work, is
/// ejected only while the others can carry the load without it.
class HealthTracker
{
public:
  explicit HealthTracker(HealthSettings aSettings = {});

  void Add(const InstanceName& aName);
  void Remove(const InstanceName& aName);

  /// \param aStep duration of one engine step; 0 (unknown) is ignored.
  void OnStepTime(const InstanceName& aName, Duration aStep);
  void OnFirstToken(const InstanceName& aName, Duration aLatency);
  void OnSuccess(const InstanceName& aName);
  void OnFailure(const InstanceName& aName);
  /// The engine or its sidecar crashed: the next Evaluate() ejects the server
  /// without further samples, within the bound on the ejected share.
  void OnCrash(const InstanceName& aName);

  /// Updates the health states; to be called a few times a second.
  /// \param aLoad requests per slot, from BackendTable::MeanLoad().
  /// \return the changes, which the caller passes to
  /// BackendTable::SetHealthState and logs.
  std::vector<HealthChange> Evaluate(TimePoint aNow, double aLoad = 0.0);

  /// InService for an unknown server.
  HealthState HealthStateOf(const InstanceName& aName) const;
  /// Number of servers that are ejected or being probed.
  std::size_t UnhealthyCount() const;

private:
  struct Server
  {
    HealthState state = HealthState::InService;
    /// Moving averages; 0 before the first sample.
    double stepMicros = 0.0;
    double firstTokenMicros = 0.0;
    std::uint32_t latencySamples = 0;
    /// Numbers of results, older ones with exponentially decaying weight.
    double successes = 0.0;
    double failures = 0.0;
    bool crashed = false;
    /// Ejected or being probed for being slow, so still of some use.
    bool isSlow = false;
    /// Ejections in a row; sets the duration of the next one.
    std::uint32_t ejections = 0;
    /// When the current state began.
    TimePoint since{};
    /// When the ejection ends and probing begins.
    TimePoint ejectedUntil{};
  };

  /// Medians over the servers with samples, in microseconds; 0 without any.
  struct Medians
  {
    double step = 0.0;
    double firstToken = 0.0;
  };

  /// A server that should be ejected.
  struct Outlier
  {
    InstanceName name;
    Server* server;
    const char* reason;
    bool isSlow;
    /// Outliers are ejected in descending order of this.
    double severity;
  };

  using Changes = std::vector<HealthChange>;

  Server* Find(const InstanceName& aName);
  Medians MeasureMedians() const;
  std::optional<Outlier> DetectOutlier(const InstanceName& aName,
                                       Server& aServer,
                                       const Medians& aMedians) const;
  /// The server's latency over the service's median; 0 when not known.
  double Slowness(const Server& aServer, const Medians& aMedians) const;
  bool MayEject(const Outlier& aOutlier, double aLoad) const;
  void Eject(const Outlier& aOutlier, TimePoint aNow, Changes& aChanges);
  /// Returns slow servers to service under high load, and starts probing where
  /// an ejection has expired.
  void ReinstateServers(TimePoint aNow, double aLoad, Changes& aChanges);
  /// Ends the probing, or the back-off of ejections, of a server that is no
  /// outlier.
  void UpdateHealthy(const InstanceName& aName,
                     Server& aServer,
                     TimePoint aNow,
                     Changes& aChanges) const;
  static void SetState(const InstanceName& aName,
                       Server& aServer,
                       HealthState aState,
                       const char* aReason,
                       TimePoint aNow,
                       Changes& aChanges);

  HealthSettings settings;
  /// Ordered by name, so that the decisions are deterministic.
  std::map<InstanceName, Server> servers;
};

} // namespace dogwoodvale

#endif
