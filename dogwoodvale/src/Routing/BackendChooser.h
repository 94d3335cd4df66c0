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

/// Properties of the request that a server is chosen for.
struct ChoiceRequest
{
  Tier tier = 0;
  std::uint32_t promptTokens = 0;
  /// 0 when the request has no prefix to look up.
  PrefixHash prefixHash = 0;
  /// Servers not to choose: those that failed this request and, while early
  /// refusals are still allowed, those that refused it. Once none is allowed,
  /// servers that refused are listed no more: they can't refuse again, and
  /// their load reports are recent.
  std::span<const InstanceName> excluded{};
};

/// Load-balancing policy: picks the backend server for a request.
class BackendChooser
{
public:
  virtual ~BackendChooser() = default;

  /// \return nothing when no usable server remains.
  virtual std::optional<InstanceName> Choose(const BackendTable& aTable,
                                             const ChoiceRequest& aRequest,
                                             TimePoint aNow,
                                             std::mt19937_64& aRandom) = 0;
};

/// Creates a chooser by its name in settings: "least_loaded" (recommended),
/// "least_loaded_of_two", "least_connections", "round_robin" or "random".
/// \return InvalidArgument for any other name.
absl::StatusOr<std::unique_ptr<BackendChooser>>
CreateChooser(std::string_view aName);

namespace internal {

/// Whether the server is usable and not excluded for this request.
bool
IsCandidate(const Backend& aBackend, const ChoiceRequest& aRequest);

/// A uniformly random index below \p aCount, which must not be 0.
std::size_t
DrawPosition(std::size_t aCount, std::mt19937_64& aRandom);

/// A random candidate other than \p aOther; null if there is none. Makes a few
/// random draws before it scans the table, so that the cost does not depend on
/// the table's size while most servers are usable.
const Backend*
DrawCandidate(const BackendTable& aTable,
              const ChoiceRequest& aRequest,
              const Backend* aOther,
              std::mt19937_64& aRandom);

} // namespace internal

} // namespace dogwoodvale

#endif
