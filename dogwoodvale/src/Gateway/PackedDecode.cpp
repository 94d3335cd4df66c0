#include "PackedDecode.h"

#include <utility>

namespace dogwoodvale {

PackedDecode
Pack(const DecodeUpdate& aUpdate)
{
  PackedDecode packed{ aUpdate.service.Value(),
                       aUpdate.matrix,
                       aUpdate.vector,
                       aUpdate.weight,
                       aUpdate.interactiveStreams,
                       aUpdate.interactiveTokens,
                       aUpdate.interactiveIntervals,
                       aUpdate.longestToMean,
                       {} };
  for (const ServerResidual& residual : aUpdate.residuals) {
    packed.residuals.push_back(
      { residual.instance.Value(), residual.logRatioSum, residual.weight });
  }
  return packed;
}

DecodeUpdate
Unpack(PackedDecode&& aPacked)
{
  DecodeUpdate update{ ServiceName(std::move(aPacked.service)),
                       aPacked.matrix,
                       aPacked.vector,
                       aPacked.weight,
                       aPacked.interactiveStreams,
                       aPacked.interactiveTokens,
                       aPacked.interactiveIntervals,
                       aPacked.longestToMean,
                       {} };
  for (PackedResidual& residual : aPacked.residuals) {
    update.residuals.push_back({ InstanceName(std::move(residual.instance)),
                                 residual.logRatioSum,
                                 residual.weight });
  }
  return update;
}

} // namespace dogwoodvale
