#ifndef DOGWOODVALE_ROUTING_BACKENDCHOOSER_H
#define DOGWOODVALE_ROUTING_BACKENDCHOOSER_H

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string_view>

#include "BackendTable.h"

namespace dogwoodvale {

/// What a choice depends on, beside the table.
struct ChoiceRequest
{
  Tier tier = 0;
  std::uint32_t promptTokens = 0;
  /// 0 when the request has no prefix worth looking for.
  PrefixHash prefixHash = 0;
  /// Servers that have failed this request, or have refused it and may refuse
  /// the next; once no refusal is left, those that refused are worth choosing
  /// again, since their reports are fresh.
  std::span<const InstanceName> excluded{};
};

/// Picks the backend server for a request.
class BackendChooser
{
public:
  virtual ~BackendChooser() = default;

  /// \return nothing when no usable server is left.
  virtual std::optional<InstanceName> Choose(const BackendTable& aTable,
                                             const ChoiceRequest& aRequest,
                                             TimePoint aNow,
                                             std::mt19937_64& aRandom) = 0;
};

/// Makes a chooser by the name used in settings: "least_loaded" (the one
/// to use), "least_loaded_of_two", "least_connections", "round_robin" or
/// "random".
absl::StatusOr<std::unique_ptr<BackendChooser>>
CreateChooser(std::string_view aName);

namespace internal {

/// Whether the server may get this request.
bool
IsCandidate(const Backend& aBackend, const ChoiceRequest& aRequest);

/// A position below \p aCount, which is not 0.
std::size_t
DrawPosition(std::size_t aCount, std::mt19937_64& aRandom);

/// One candidate drawn at random, other than \p aOther; null if none. Tries a
/// few draws, then scans, so that the cost does not grow with the table while
/// most servers are usable.
const Backend*
DrawCandidate(const BackendTable& aTable,
              const ChoiceRequest& aRequest,
              const Backend* aOther,
              std::mt19937_64& aRandom);

} // namespace internal

} // namespace dogwoodvale

#endif
