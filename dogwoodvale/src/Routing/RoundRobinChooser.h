#ifndef DOGWOODVALE_ROUTING_ROUNDROBINCHOOSER_H
#define DOGWOODVALE_ROUTING_ROUNDROBINCHOOSER_H

#include "BackendChooser.h"

namespace dogwoodvale {

/// Picks the usable servers in turn, whatever their load; a baseline for
/// benchmarks.
class RoundRobinChooser final : public BackendChooser
{
public:
  std::optional<InstanceName> Choose(const BackendTable& aTable,
                                     const ChoiceRequest& aRequest,
                                     TimePoint aNow,
                                     std::mt19937_64& aRandom) override;

private:
  std::size_t next = 0;
};

} // namespace dogwoodvale

#endif
