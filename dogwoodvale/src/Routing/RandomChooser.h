#ifndef DOGWOODVALE_ROUTING_RANDOMCHOOSER_H
#define DOGWOODVALE_ROUTING_RANDOMCHOOSER_H

#include "BackendChooser.h"

namespace dogwoodvale {

/// Picks a usable server at random, whatever its load; a baseline for
/// benchmarks.
class RandomChooser final : public BackendChooser
{
public:
  std::optional<InstanceName> Choose(const BackendTable& aTable,
                                     const ChoiceRequest& aRequest,
                                     TimePoint aNow,
                                     std::mt19937_64& aRandom) override;
};

} // namespace dogwoodvale

#endif
