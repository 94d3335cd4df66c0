#ifndef DOGWOODVALE_PLACEMENT_DECODEMODEL_H
#define DOGWOODVALE_PLACEMENT_DECODEMODEL_H

#include <array>
#include <cstdint>
#include <map>
#include <optional>

#include "DecodeUpdate.h"
#include "MovingQuantile.h"

namespace dogwoodvale {

/// A complete stream of a service, as seen by the gateway.
struct StreamSample
{
  /// Number of intervals between events.
  std::uint64_t intervals = 0;
  /// From the first to the last event.
  Duration span{ 0 };
  Duration longestPause{ 0 };
  /// Of the server during the stream, see ServerActivity.
  double meanRequests = 0;
  double prefilledTokens = 0;
  double prompts = 0;
  /// Time factor that the server stated; 1 if it states none.
  double reportedFactor = 1.0;
  /// See PauseProfile.
  bool isInteractive = false;
  /// Tokens of the stream's own prompt that the server had to prefill.
  double ownPrefillTokens = 0;
};

/// Load of a server for which a pause is predicted.
struct DecodeLoad
{
  /// See DecodeModel::TimeFactorOf().
  double timeFactor = 1.0;
  double requests = 0;
  double tokensPerSecond = 0;
  double promptsPerSecond = 0;
};

/// Predicts the pauses between the events of a service's streams from the load
/// of the server. The time from the first to the last event of a stream is
///
///     span = f * (c0 * n + c1 * n * R + c2 * T + c3 * P)
///
/// with n intervals, R the mean number of requests at the server, T tokens and
/// P prompts prefilled there meanwhile, and f the server's time factor. c0 to
/// c3 are estimated by least squares of the relative error, with decaying sums
/// that the gateways exchange. For each server, the logarithm of actual /
/// predicted time is averaged, so that a false or missing time factor is
/// corrected.
class DecodeModel
{
public:
  static constexpr std::size_t kTerms = DecodeUpdate::kTerms;

  /// A stream is complete. Samples with invalid numbers or fewer than
  /// kMinIntervals intervals are ignored.
  void OnStream(const InstanceName& aInstance,
                const StreamSample& aSample,
                TimePoint aNow);

  /// Sums of another gateway; they replace its earlier ones. Invalid sums,
  /// and those not newer than the known ones of the same incarnation, are
  /// ignored.
  /// \param aSequence of the digest.
  void OnPeerUpdate(const InstanceName& aGateway,
                    Incarnation aIncarnation,
                    std::uint64_t aSequence,
                    const DecodeUpdate& aUpdate,
                    TimePoint aNow);
  /// This gateway's own sums for the other gateways, with the residuals that
  /// have changed since they were last taken; nothing if the last update is
  /// younger than kUpdatePeriod or there is nothing to report. The field
  /// service is left empty.
  std::optional<DecodeUpdate> TakeUpdate(TimePoint aNow);

  /// The sums of all gateways, for Seed() after a restart. The field service is
  /// left empty.
  DecodeUpdate Sums(TimePoint aNow) const;
  /// Takes sums from before a restart, unless the model is learned already.
  void Seed(const DecodeUpdate& aSums, TimePoint aNow);
  /// Removes a server that has left.
  void Forget(const InstanceName& aInstance);
  /// Drops gateways that are gone and computes the estimates anew if due; call
  /// a few times a second.
  void RunMaintenance(TimePoint aNow);

  bool IsLearned() const { return this->isLearned; }
  /// Nothing until learned.
  std::optional<Duration> MeanPause(const DecodeLoad& aLoad) const;
  /// The 90th percentile of a stream's longest pause; nothing until learned.
  std::optional<Duration> LongPause(const DecodeLoad& aLoad) const;
  /// The largest number of interactive requests, at least 0, that a server
  /// without long prompts holds with LongPause() within the bound; nothing
  /// until learned.
  std::optional<double> RequestsWithin(Duration aBound,
                                       double aTimeFactor) const;
  /// Reported factor (or 1) times the server's residual.
  double TimeFactorOf(const InstanceName& aInstance,
                      std::optional<double> aReported) const;

  /// c0 to c3 in milliseconds: per interval, per interval and request, per
  /// 1,000 prefilled tokens, per prompt. All zero until learned.
  const std::array<double, kTerms>& Coefficients() const
  {
    return this->coefficients;
  }
  /// 90th percentile of longest pause / mean pause.
  double LongestToMean() const { return this->longestToMean; }
  /// Median of |predicted / actual - 1| of this gateway's recent streams, with
  /// the load that they had; nothing before the first.
  std::optional<double> MedianError() const { return this->errors.Value(); }

  static constexpr std::uint64_t kMinIntervals = 8;
  /// Time constant with which the sums decay.
  static constexpr Duration kSumsTime = seconds(20);
  /// Time constant with which the residuals of servers decay.
  static constexpr Duration kResidualTime = seconds(10);
  static constexpr Duration kUpdatePeriod = seconds(1);
  /// A gateway that has not sent sums for this long is taken to be gone.
  static constexpr Duration kPeerTtl = seconds(60);
  static constexpr double kMinResidual = 0.25;
  static constexpr double kMaxResidual = 10.0;
  /// Bounds on what is kept, and on the residuals of one update.
  static constexpr std::size_t kMaxPeers = 128;
  static constexpr std::size_t kMaxServers = 512;
  static constexpr std::size_t kMaxResidualsPerUpdate = 128;

private:
  /// Weighted sum of log(actual / predicted), decayed to the time \c at.
  struct Residual
  {
    double logRatioSum = 0;
    double weight = 0;
    TimePoint at{};
    /// Whether it has changed since the last TakeUpdate().
    bool isUnsent = false;
    TimePoint sentAt{};
  };
  /// Ordered, as all maps here: sums added in another order differ in their
  /// last digits, and plays of the same load would differ.
  using Residuals = std::map<InstanceName, Residual>;

  /// This gateway's streams at one server.
  struct OwnServer
  {
    /// Normal equations without the server's residual, decayed to the time
    /// \c at. They are scaled by the residual only when they are used: the
    /// first residuals are far off, and sums made with them would have to decay
    /// before the coefficients are right.
    DecodeUpdate sums;
    TimePoint at{};
    Residual residual;
    /// Sum of the terms per interval, with the weights of the residual.
    std::array<double, kTerms> terms{};
  };
  struct Peer
  {
    /// Without residuals.
    DecodeUpdate sums;
    Residuals residuals;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint receivedAt{};
  };
  struct ServerFactor
  {
    /// Residual with which streams are predicted.
    double prediction = 1.0;
    /// Residual without the mean of all servers, with which the coefficients
    /// are fitted. With the mean, a bias of the fit would be corrected twice,
    /// and coefficients and residuals would drift apart.
    double fit = 1.0;
  };

  ServerFactor FactorOf(const InstanceName& aInstance) const;
  /// This gateway's sums, without residuals.
  DecodeUpdate OwnSums(TimePoint aNow) const;
  /// Sums of all gateways, without residuals.
  DecodeUpdate Total(TimePoint aNow) const;
  /// Sums of the residuals of all gateways.
  Residuals TotalResiduals(TimePoint aNow) const;
  /// Replaces the known sums of a gateway.
  void Take(Peer& aPeer, const DecodeUpdate& aUpdate, TimePoint aNow);
  /// Adds the sums of a server that is no longer kept to the others.
  void Fold(const OwnServer& aServer, double aFitFactor);
  void SetCoefficients(const std::array<double, kTerms>& aCoefficients);
  void UpdateFactors(TimePoint aNow);
  void SolveIfDue(TimePoint aNow);
  void Solve(TimePoint aNow);

  std::map<InstanceName, OwnServer> ownServers;
  /// Sums of this gateway that belong to no server in ownServers, decayed to
  /// the time ownAt.
  DecodeUpdate ownOther;
  TimePoint ownAt{};
  /// By name; the sums of Seed() are kept under the empty name.
  std::map<InstanceName, Peer> peers;
  MovingQuantile ratios{ 0.9, 256 };
  MovingQuantile errors{ 0.5, 256 };
  std::optional<TimePoint> sentAt;
  std::optional<TimePoint> solvedAt;

  bool isLearned = false;
  std::array<double, kTerms> coefficients{};
  double longestToMean = 3.0;
  /// Means of interactive streams; 0 until one is known.
  double interactiveIntervals = 0;
  double interactiveTokens = 0;
  std::map<InstanceName, ServerFactor> factors;
  /// Prediction for servers without an own residual.
  double meanFactor = 1.0;
};

} // namespace dogwoodvale

#endif
