#ifndef DOGWOODVALE_GATEWAY_PACKEDDECODE_H
#define DOGWOODVALE_GATEWAY_PACKEDDECODE_H

#include <array>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "dogwoodvale/Placement"

namespace dogwoodvale {

/// ServerResidual in digests and in the warm state.
struct PackedResidual
{
  std::string instance;
  double logRatioSum = 0;
  double weight = 0;

  MSGPACK_DEFINE_ARRAY(instance, logRatioSum, weight);
};

/// DecodeUpdate in digests and in the warm state. Readers of older versions
/// ignore trailing fields that they don't know.
struct PackedDecode
{
  std::string service;
  std::array<double, DecodeUpdate::kMatrixEntries> matrix{};
  std::array<double, DecodeUpdate::kTerms> vector{};
  double weight = 0;
  double interactiveStreams = 0;
  double interactiveTokens = 0;
  double interactiveIntervals = 0;
  double longestToMean = 0;
  std::vector<PackedResidual> residuals;

  MSGPACK_DEFINE_ARRAY(service,
                       matrix,
                       vector,
                       weight,
                       interactiveStreams,
                       interactiveTokens,
                       interactiveIntervals,
                       longestToMean,
                       residuals);
};

PackedDecode
Pack(const DecodeUpdate& aUpdate);

DecodeUpdate
Unpack(PackedDecode&& aPacked);

} // namespace dogwoodvale

#endif
