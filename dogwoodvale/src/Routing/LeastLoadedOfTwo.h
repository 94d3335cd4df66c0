#ifndef DOGWOODVALE_ROUTING_LEASTLOADEDOFTWO_H
#define DOGWOODVALE_ROUTING_LEASTLOADEDOFTWO_H

#include "BackendChooser.h"

namespace dogwoodvale {

/// Draws two servers, and takes the one with the shorter expected wait.
///
/// Looking at two only, out of a random draw, keeps many entries with the same
/// old reports from all running to the same server. The expected wait is made
/// of the last report, which counts less the older it is, and of the own work
/// that the report cannot have counted. A server that probably holds the
/// prefix comes into the comparison as a third.
class LeastLoadedOfTwo final : public BackendChooser
{
public:
  std::optional<InstanceName> Choose(const BackendTable& aTable,
                                     const ChoiceRequest& aRequest,
                                     TimePoint aNow,
                                     std::mt19937_64& aRandom) override;
};

} // namespace dogwoodvale

#endif
