#include "WarmState.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <msgpack.hpp>

#include <openssl/crypto.h>

#include "PackedDecode.h"
#include "dogwoodvale/Resumption"

namespace dogwoodvale {

namespace {

/// Version of the format. Another one is rejected, as its fields may have
/// another meaning.
constexpr std::uint32_t kFormat = 1;
/// A state that declares more items is rejected before memory is allocated.
constexpr std::size_t kMaxItems = 65'536;

struct PackedInstance
{
  std::string server;
  std::uint64_t started = 0;
  std::string service;
  std::string address;
  std::string dataCentre;
  std::uint32_t slots = 0;
  bool leaving = false;
  /// Appended, see PackedState.
  std::string softwareVersion;

  MSGPACK_DEFINE_ARRAY(server,
                       started,
                       service,
                       address,
                       dataCentre,
                       slots,
                       leaving,
                       softwareVersion);
};

struct PackedGateway
{
  std::string name;
  std::string peers;

  MSGPACK_DEFINE_ARRAY(name, peers);
};

struct PackedService
{
  std::string service;
  double meanTokens = 0;
  double tokensPerMicro = 0;
  double meanStayMicros = 0;
  double interactivePeak = 0;

  MSGPACK_DEFINE_ARRAY(service,
                       meanTokens,
                       tokensPerMicro,
                       meanStayMicros,
                       interactivePeak);
};

struct PackedCache
{
  std::string instance;
  std::vector<std::uint64_t> steps;
  std::vector<std::uint32_t> tokens;

  MSGPACK_DEFINE_ARRAY(instance, steps, tokens);
};

/// Fields are only appended: a build of an older version reads the leading ones
/// that it knows, and reads of a state that it has written leave the others at
/// their defaults.
struct PackedState
{
  std::uint32_t format = 0;
  std::vector<PackedInstance> instances;
  std::vector<PackedGateway> gateways;
  std::vector<PackedService> services;
  std::vector<PackedCache> caches;
  std::vector<PackedDecode> decode;
  /// In milliseconds, by service.
  std::map<std::string, std::int64_t> streamLifetimes;

  MSGPACK_DEFINE_ARRAY(format,
                       instances,
                       gateways,
                       services,
                       caches,
                       decode,
                       streamLifetimes);
};

PackedState
Pack(const WarmState& aState)
{
  PackedState packed;
  packed.format = kFormat;
  for (const DirectInstance& one : aState.instances) {
    packed.instances.push_back({ one.server.Value(),
                                 one.started,
                                 one.service.Value(),
                                 one.address.ToString(),
                                 one.dataCentre.Value(),
                                 one.slots,
                                 one.leaving,
                                 one.softwareVersion });
  }
  for (const GatewayMember& one : aState.gateways) {
    packed.gateways.push_back({ one.name.Value(), one.peers.ToString() });
  }
  for (const ServiceEstimates& one : aState.services) {
    packed.services.push_back({ one.service.Value(),
                                one.reading.meanTokens,
                                one.reading.tokensPerMicro,
                                one.reading.meanStayMicros,
                                one.interactivePeak });
    if (one.decode.weight > 0) {
      packed.decode.push_back(Pack(one.decode));
    }
  }
  for (const auto& [instance, steps] : aState.caches) {
    PackedCache cache;
    cache.instance = instance.Value();
    for (const PromptStep& step : steps) {
      cache.steps.push_back(step.hash);
      cache.tokens.push_back(step.tokens);
    }
    packed.caches.push_back(std::move(cache));
  }
  for (const auto& [service, lifetime] : aState.streamLifetimes) {
    packed.streamLifetimes[service.Value()] = WholeMillis(lifetime);
  }
  return packed;
}

absl::Status
UnpackInstances(const PackedState& aPacked, WarmState& aState)
{
  for (const PackedInstance& one : aPacked.instances) {
    auto address = SocketAddress::Parse(one.address);
    if (!address.ok()) {
      return address.status();
    }
    DirectInstance instance;
    instance.server = InstanceName(one.server);
    instance.started = one.started;
    instance.name = IncarnationName(one.server, one.started);
    instance.service = ServiceName(one.service);
    instance.address = *std::move(address);
    instance.dataCentre = DataCentreName(one.dataCentre);
    instance.slots = one.slots;
    instance.leaving = one.leaving;
    instance.softwareVersion = one.softwareVersion;
    aState.instances.push_back(std::move(instance));
  }
  return absl::OkStatus();
}

absl::Status
UnpackGateways(const PackedState& aPacked, WarmState& aState)
{
  for (const PackedGateway& one : aPacked.gateways) {
    auto address = SocketAddress::Parse(one.peers);
    if (!address.ok()) {
      return address.status();
    }
    aState.gateways.push_back({ InstanceName(one.name), *std::move(address) });
  }
  return absl::OkStatus();
}

void
UnpackLearning(PackedState&& aPacked, WarmState& aState)
{
  for (const PackedService& one : aPacked.services) {
    const std::array<double, 4> numbers = { one.meanTokens,
                                            one.tokensPerMicro,
                                            one.meanStayMicros,
                                            one.interactivePeak };
    const bool isValid = std::ranges::all_of(numbers, [](double aNumber) {
      return std::isfinite(aNumber) && aNumber >= 0;
    });
    if (isValid) {
      aState.services.push_back(
        { ServiceName(one.service),
          { one.meanTokens, one.tokensPerMicro, one.meanStayMicros },
          one.interactivePeak,
          {} });
    }
  }
  for (const auto& [service, millis] : aPacked.streamLifetimes) {
    aState.streamLifetimes[ServiceName(service)] =
      StreamOrigins::LifetimeFromMillis(millis);
  }
  // DecodeModel checks the sums, as it does those of digests.
  for (PackedDecode& packed : aPacked.decode) {
    DecodeUpdate sums = Unpack(std::move(packed));
    const auto found = std::ranges::find(
      aState.services, sums.service, &ServiceEstimates::service);
    if (found != aState.services.end()) {
      found->decode = std::move(sums);
    }
  }
  for (const PackedCache& cache : aPacked.caches) {
    std::vector<PromptStep> steps;
    for (std::size_t i = 0;
         i < std::min(cache.steps.size(), cache.tokens.size());
         ++i) {
      steps.push_back({ cache.steps[i], cache.tokens[i] });
    }
    aState.caches.emplace_back(InstanceName(cache.instance), std::move(steps));
  }
}

} // namespace

std::string
WriteWarmState(const WarmState& aState, std::string_view aSecret)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, Pack(aState));
  const std::string_view packed(buffer.data(), buffer.size());
  std::string bytes = KeyedDigest(packed, aSecret);
  bytes += packed;
  return bytes;
}

absl::StatusOr<WarmState>
ReadWarmState(std::string_view aBytes, std::string_view aSecret)
{
  if (aBytes.size() <= kKeyedDigestBytes) {
    return absl::DataLossError("the state is too short");
  }
  const std::string_view packed = aBytes.substr(kKeyedDigestBytes);
  const std::string proof = KeyedDigest(packed, aSecret);
  if (CRYPTO_memcmp(proof.data(), aBytes.data(), kKeyedDigestBytes) != 0) {
    return absl::PermissionDeniedError(
      "the state was written with another secret or is corrupted");
  }
  PackedState read;
  try {
    constexpr std::size_t kMaxDepth = 8;
    const msgpack::unpack_limit limit(
      kMaxItems, kMaxItems, kMaxItems, kMaxItems, kMaxItems, kMaxDepth);
    msgpack::unpack(packed.data(), packed.size(), nullptr, nullptr, limit)
      .get()
      .convert(read);
  } catch (const std::exception& error) {
    return absl::DataLossError(error.what());
  }
  if (read.format != kFormat) {
    return MakeError(absl::StatusCode::kUnimplemented,
                     "unknown format version {}",
                     read.format);
  }
  WarmState state;
  absl::Status status = UnpackInstances(read, state);
  status.Update(UnpackGateways(read, state));
  if (!status.ok()) {
    return status;
  }
  UnpackLearning(std::move(read), state);
  return state;
}

} // namespace dogwoodvale
