#ifndef DOGWOODVALE_PLACEMENT_DECODEUPDATE_H
#define DOGWOODVALE_PLACEMENT_DECODEUPDATE_H

#include <array>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// How much longer a server's streams take than the decode model predicts, as
/// sums of one gateway's streams.
struct ServerResidual
{
  InstanceName instance;
  /// Weighted sum of the logarithms of actual time / predicted time.
  double logRatioSum = 0;
  double weight = 0;

  bool operator==(const ServerResidual&) const = default;
};

/// Sums from which the decode model of a service is computed, of the streams of
/// one gateway. Sums of several gateways can be added.
struct DecodeUpdate
{
  static constexpr std::size_t kTerms = 4;
  /// Entries of a symmetric kTerms x kTerms matrix on and above its diagonal.
  static constexpr std::size_t kMatrixEntries = kTerms * (kTerms + 1) / 2;

  ServiceName service;
  /// Normal equations of the least-squares fit, row by row.
  std::array<double, kMatrixEntries> matrix{};
  std::array<double, kTerms> vector{};
  /// Number of streams, decayed.
  double weight = 0;
  /// Of interactive streams, decayed: their number, their prompts' prefilled
  /// tokens and their intervals between events.
  double interactiveStreams = 0;
  double interactiveTokens = 0;
  double interactiveIntervals = 0;
  /// 90th percentile of longest pause / mean pause; 0 if not known.
  double longestToMean = 0;
  std::vector<ServerResidual> residuals;

  bool operator==(const DecodeUpdate&) const = default;
};

} // namespace dogwoodvale

#endif
