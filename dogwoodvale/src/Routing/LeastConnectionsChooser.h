#ifndef DOGWOODVALE_ROUTING_LEASTCONNECTIONSCHOOSER_H
#define DOGWOODVALE_ROUTING_LEASTCONNECTIONSCHOOSER_H

#include "BackendChooser.h"

namespace dogwoodvale {

/// Takes the server with the fewest own requests in flight; does not look at
/// load reports. For comparison. Ties go to the first after a random start.
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
