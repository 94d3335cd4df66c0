#include "BackendChooser.h"

#include <algorithm>

#include "LeastConnectionsChooser.h"
#include "LeastLoadedChooser.h"
#include "RandomChooser.h"
#include "RoundRobinChooser.h"

namespace dogwoodvale {

absl::StatusOr<std::unique_ptr<BackendChooser>>
CreateChooser(std::string_view aName)
{
  if (aName == "least_loaded") {
    return std::make_unique<LeastLoadedChooser>();
  }
  if (aName == "least_loaded_of_two") {
    return std::make_unique<LeastLoadedChooser>(
      LeastLoadedSettings{ .draws = 2 });
  }
  if (aName == "least_connections") {
    return std::make_unique<LeastConnectionsChooser>();
  }
  if (aName == "round_robin") {
    return std::make_unique<RoundRobinChooser>();
  }
  if (aName == "random") {
    return std::make_unique<RandomChooser>();
  }
  return MakeError(absl::StatusCode::kInvalidArgument,
                   "no routing policy is called \"{}\"",
                   aName);
}

namespace internal {

namespace {

/// If 10% of servers are unusable, four draws fail with probability 1e-4.
constexpr int kMaxDraws = 4;

} // namespace

bool
IsCandidate(const Backend& aBackend, const ChoiceRequest& aRequest)
{
  return aBackend.IsUsable() &&
         std::find(aRequest.excluded.begin(),
                   aRequest.excluded.end(),
                   aBackend.name) == aRequest.excluded.end();
}

std::size_t
DrawPosition(std::size_t aCount, std::mt19937_64& aRandom)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(aRandom);
}

const Backend*
DrawCandidate(const BackendTable& aTable,
              const ChoiceRequest& aRequest,
              const Backend* aOther,
              std::mt19937_64& aRandom)
{
  const std::span<const Backend> all = aTable.All();
  if (all.empty()) {
    return nullptr;
  }
  std::uniform_int_distribution<std::size_t> position(0, all.size() - 1);
  for (int draw = 0; draw < kMaxDraws; ++draw) {
    const Backend& drawn = all[position(aRandom)];
    if (&drawn != aOther && IsCandidate(drawn, aRequest)) {
      return &drawn;
    }
  }
  const std::size_t start = position(aRandom);
  for (std::size_t offset = 0; offset < all.size(); ++offset) {
    const Backend& next = all[(start + offset) % all.size()];
    if (&next != aOther && IsCandidate(next, aRequest)) {
      return &next;
    }
  }
  return nullptr;
}

} // namespace internal

} // namespace dogwoodvale
