#include "LeastConnectionsChooser.h"

namespace dogwoodvale {

std::optional<InstanceName>
LeastConnectionsChooser::Choose(const BackendTable& aTable,
                                const ChoiceRequest& aRequest,
                                TimePoint /*aNow*/,
                                std::mt19937_64& aRandom)
{
  const std::span<const Backend> all = aTable.All();
  if (all.empty()) {
    return std::nullopt;
  }
  const Backend* best = nullptr;
  const std::size_t start = aRandom() % all.size();
  for (std::size_t offset = 0; offset < all.size(); ++offset) {
    const Backend& backend = all[(start + offset) % all.size()];
    const bool isFewer = best == nullptr || backend.inFlight < best->inFlight;
    if (isFewer && internal::IsCandidate(backend, aRequest)) {
      best = &backend;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->name;
}

} // namespace dogwoodvale
