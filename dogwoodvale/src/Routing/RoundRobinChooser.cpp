#include "RoundRobinChooser.h"

namespace dogwoodvale {

std::optional<InstanceName>
RoundRobinChooser::Choose(const BackendTable& aTable,
                          const ChoiceRequest& aRequest,
                          TimePoint /*aNow*/,
                          std::mt19937_64& /*aRandom*/)
{
  const std::span<const Backend> all = aTable.All();
  for (std::size_t tried = 0; tried < all.size(); ++tried) {
    const Backend& backend = all[this->next++ % all.size()];
    if (internal::IsCandidate(backend, aRequest)) {
      return backend.name;
    }
  }
  return std::nullopt;
}

} // namespace dogwoodvale
