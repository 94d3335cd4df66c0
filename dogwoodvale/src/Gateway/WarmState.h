#ifndef DOGWOODVALE_GATEWAY_WARMSTATE_H
#define DOGWOODVALE_GATEWAY_WARMSTATE_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "BackendPool.h"
#include "GatewayRoster.h"

namespace dogwoodvale {

/// What gateways have learned, for one that starts and knows nothing.
///
/// When all of them are killed at once, all that they knew is gone while the
/// backend servers and their caches live on: for some seconds requests find no
/// server whose entry lapsed meanwhile, go to a few of many, and read again
/// what is cached. All of it is hints: each is checked where it is used, and
/// what is seen here goes before it.
struct WarmState
{
  std::vector<DirectInstance> instances;
  std::vector<GatewayMember> gateways;
  std::vector<ServiceLearning> services;
  /// Steps that each server probably holds, the latest first.
  std::vector<std::pair<InstanceName, std::vector<PromptStep>>> caches;

  /// Steps kept of one server, and of all.
  static constexpr std::size_t kMostStepsOfOne = 64;
  static constexpr std::size_t kMostSteps = 16'384;
};

/// \param aSecret shared by all gateways: with another it is not read back.
std::string
WriteWarmState(const WarmState& aState, std::string_view aSecret);

/// \return an error for what no gateway of this version and site writes.
absl::StatusOr<WarmState>
ReadWarmState(std::string_view aBytes, std::string_view aSecret);

} // namespace dogwoodvale

#endif
