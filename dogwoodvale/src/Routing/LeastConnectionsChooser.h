#ifndef DOGWOODVALE_ROUTING_LEASTCONNECTIONSCHOOSER_H
#define DOGWOODVALE_ROUTING_LEASTCONNECTIONSCHOOSER_H

#include "BackendChooser.h"

namespace dogwoodvale {

/// Picks the server with the fewest requests of this entry in flight and
/// ignores load reports; a baseline for benchmarks. The scan starts at a random
/// position and the first of equal servers wins.
class LeastConnectionsChooser final : public BackendChooser
{
public:
  std::optional<InstanceName> Choose(const BackendTable& aTable,
                                     const ChoiceRequest& aRequest,
                                     TimePoint aNow,
                                     std::mt19937_64& aRandom) override;
};

} // namespace dogwoodvale

#endif
