#ifndef DOGWOODVALE_GATEWAY_WARMSTATE_H
#define DOGWOODVALE_GATEWAY_WARMSTATE_H

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "BackendPool.h"
#include "GatewayRoster.h"

namespace dogwoodvale {

/// State that gateways have learned, for one that has just started.
///
/// If all gateways are killed at once, their state is lost while the backend
/// servers and their prefix caches live on. Without it, for some seconds
/// requests find no server whose entry expired meanwhile, go to a few of many
/// servers, and are prefilled again although they are cached. All of it is
/// hints: each is checked where it is used, and own observations take
/// precedence.
struct WarmState
{
  std::vector<DirectInstance> instances;
  std::vector<GatewayMember> gateways;
  std::vector<ServiceEstimates> services;
  /// Prompt steps that each server probably has cached, the latest first.
  std::vector<std::pair<InstanceName, std::vector<PromptStep>>> caches;
  /// How long after their begin streams of each service may be resumed.
  std::map<ServiceName, Duration> streamLifetimes;

  /// Most steps of one server.
  static constexpr std::size_t kMaxStepsPerServer = 64;
  /// Most steps of all servers together.
  static constexpr std::size_t kMaxSteps = 16'384;
};

/// \param aSecret shared by all gateways; ReadWarmState() rejects a state that
/// was written with another one.
std::string
WriteWarmState(const WarmState& aState, std::string_view aSecret);

/// \return DataLoss for malformed bytes, PermissionDenied for another secret or
/// corrupted bytes, Unimplemented for another format version, the error of
/// SocketAddress::Parse() for a wrong address.
absl::StatusOr<WarmState>
ReadWarmState(std::string_view aBytes, std::string_view aSecret);

} // namespace dogwoodvale

#endif
