#include "RandomChooser.h"

namespace dogwoodvale {

std::optional<InstanceName>
RandomChooser::Choose(const BackendTable& aTable,
                      const ChoiceRequest& aRequest,
                      TimePoint /*aNow*/,
                      std::mt19937_64& aRandom)
{
  const Backend* drawn =
    internal::DrawCandidate(aTable, aRequest, nullptr, aRandom);
  if (drawn == nullptr) {
    return std::nullopt;
  }
  return drawn->name;
}

} // namespace dogwoodvale
