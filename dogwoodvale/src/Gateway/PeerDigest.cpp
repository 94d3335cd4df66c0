#include "PeerDigest.h"

#include <algorithm>
#include <iterator>
#include <limits>

#include <msgpack.hpp>

#include <openssl/crypto.h>

#include "PackedDecode.h"

namespace dogwoodvale {

namespace {

/// A digest that declares more items is rejected before memory is allocated.
constexpr std::size_t kMaxItems = 65'536;

/// An older statement about the routes says nothing of now.
constexpr milliseconds kMaxRoutesAge = seconds(3600);

/// Memory without cached parts of a gateway that does not report it.
constexpr std::uint64_t kNotReported =
  std::numeric_limits<std::uint64_t>::max();

/// Gateways of an older version send and read only the leading fields.
struct PackedWork
{
  std::string instance;
  std::uint32_t requests = 0;
  std::uint64_t prefill = 0;
  std::uint64_t memory = 0;
  std::uint32_t interactive = 0;
  /// By rank, without trailing zeros; so is requestsByRank.
  std::vector<std::uint64_t> prefillByRank;
  std::vector<std::uint32_t> requestsByRank;
  std::uint64_t uncachedMemory = kNotReported;

  MSGPACK_DEFINE_ARRAY(instance,
                       requests,
                       prefill,
                       memory,
                       interactive,
                       prefillByRank,
                       requestsByRank,
                       uncachedMemory);
};

template<class Number>
std::vector<Number>
WithoutTrailingZeros(std::span<const Number> aNumbers)
{
  while (!aNumbers.empty() && aNumbers.back() == 0) {
    aNumbers = aNumbers.first(aNumbers.size() - 1);
  }
  return { aNumbers.begin(), aNumbers.end() };
}

PackedWork
Pack(const WorkLine& aLine)
{
  const BackendWork& work = aLine.work;
  return {
    aLine.instance.Value(),
    work.requests,
    work.Prefill(),
    work.memoryTokens,
    work.interactive,
    WithoutTrailingZeros(std::span<const std::uint64_t>(work.prefillTokens)),
    WithoutTrailingZeros(std::span<const std::uint32_t>(work.requestsByRank)),
    work.uncachedMemoryTokens
  };
}

WorkLine
Unpack(PackedWork&& aPacked)
{
  WorkLine line;
  line.instance = InstanceName(std::move(aPacked.instance));
  line.work.requests = aPacked.requests;
  line.work.memoryTokens = aPacked.memory;
  line.work.uncachedMemoryTokens = aPacked.uncachedMemory == kNotReported
                                     ? aPacked.memory
                                     : aPacked.uncachedMemory;
  line.work.interactive = aPacked.interactive;
  if (aPacked.prefillByRank.empty()) {
    // Sent without ranks: the rank is unknown, so it counts as rank 0, which
    // may be ahead of any request.
    line.work.PrefillAt(0) = aPacked.prefill;
  }
  for (std::size_t rank = 0; rank < aPacked.prefillByRank.size(); ++rank) {
    line.work.PrefillAt(static_cast<std::uint32_t>(rank)) +=
      aPacked.prefillByRank[rank];
  }
  for (std::size_t rank = 0; rank < aPacked.requestsByRank.size(); ++rank) {
    line.work.RequestsAt(static_cast<std::uint32_t>(rank)) +=
      aPacked.requestsByRank[rank];
  }
  return line;
}

/// Gateways of an older version send and read only the first three fields.
struct PackedPrompt
{
  std::string instance;
  std::vector<std::uint64_t> steps;
  std::uint32_t longTokens = 0;
  /// Token count of each step.
  std::vector<std::uint32_t> tokens;

  MSGPACK_DEFINE_ARRAY(instance, steps, longTokens, tokens);
};

PackedPrompt
Pack(const RoutedPrompt& aPrompt)
{
  PackedPrompt packed;
  packed.instance = aPrompt.instance.Value();
  packed.longTokens = aPrompt.longTokens;
  for (const PromptStep& step : aPrompt.steps) {
    packed.steps.push_back(step.hash);
    packed.tokens.push_back(step.tokens);
  }
  return packed;
}

RoutedPrompt
Unpack(PackedPrompt&& aPacked)
{
  RoutedPrompt prompt;
  prompt.instance = InstanceName(std::move(aPacked.instance));
  prompt.longTokens = aPacked.longTokens;
  for (std::size_t i = 0; i < aPacked.steps.size(); ++i) {
    const std::uint32_t tokens =
      i < aPacked.tokens.size() ? aPacked.tokens[i] : 0;
    prompt.steps.push_back({ aPacked.steps[i], tokens });
  }
  return prompt;
}

struct PackedEvidence
{
  Fingerprint subject = 0;
  ServerKey server = 0;
  std::uint8_t weight = 0;

  MSGPACK_DEFINE_ARRAY(subject, server, weight);
};

struct PackedPartEvidence
{
  Fingerprint subject = 0;
  ServerKey server = 0;
  std::uint8_t weight = 0;
  Specificity specificity = 0;

  MSGPACK_DEFINE_ARRAY(subject, server, weight, specificity);
};

struct PackedVerdict
{
  Fingerprint subject = 0;
  std::uint32_t round = 0;
  bool isLifted = false;
  std::int64_t leftMillis = 0;

  MSGPACK_DEFINE_ARRAY(subject, round, isLifted, leftMillis);
};

struct PackedUsageUpdate
{
  std::int64_t window = 0;
  std::uint64_t total = 0;
  std::vector<std::pair<std::string, std::uint64_t>> counts;

  MSGPACK_DEFINE_ARRAY(window, total, counts);
};

struct PackedRate
{
  std::string server;
  bool isLimited = false;
  double perSecond = 0;
  std::int64_t ageMillis = 0;

  MSGPACK_DEFINE_ARRAY(server, isLimited, perSecond, ageMillis);
};

struct PackedLeaving
{
  std::string server;
  std::int64_t ageMillis = 0;

  MSGPACK_DEFINE_ARRAY(server, ageMillis);
};

struct PackedLoad
{
  std::string instance;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// 0 if the server does not state it.
  double timeFactor = 0;
  std::int64_t ageMillis = 0;

  MSGPACK_DEFINE_ARRAY(instance,
                       running,
                       waiting,
                       slots,
                       timeFactor,
                       ageMillis);
};

struct PackedRank
{
  std::string service;
  std::uint32_t rank = 0;
  std::uint32_t overdue = 0;
  std::uint32_t lost = 0;
  std::uint32_t begun = 0;

  MSGPACK_DEFINE_ARRAY(service, rank, overdue, lost, begun);
};

struct PackedShare
{
  std::string service;
  std::vector<std::pair<std::string, double>> busiest;
  double otherUse = 0;
  std::uint32_t otherCustomers = 0;

  MSGPACK_DEFINE_ARRAY(service, busiest, otherUse, otherCustomers);
};

/// The streams that one software version of a service began.
struct PackedOrigins
{
  std::string service;
  std::string softwareVersion;
  /// Keys and how long each may be resumed, in milliseconds.
  std::vector<std::pair<StreamKey, std::int64_t>> streams;

  MSGPACK_DEFINE_ARRAY(service, softwareVersion, streams);
};

/// A gateway of an older version sends and reads only the leading fields that
/// it knows.
struct PackedDigest
{
  std::string gateway;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t routesVersion = 0;
  std::int64_t storeContactMillis = 0;
  std::vector<PackedWork> work;
  std::vector<PackedPrompt> routed;
  std::vector<PackedEvidence> evidence;
  std::vector<PackedVerdict> verdicts;
  std::vector<Fingerprint> suspectsInFlight;
  std::uint64_t listSum = 0;
  std::int64_t listAgeMillis = 0;
  std::int64_t timeOfDayMillis = 0;
  std::int64_t trueTimeMillis = 0;
  bool isUsageReporter = false;
  std::vector<PackedUsageUpdate> usage;
  std::vector<PackedRate> rates;
  std::vector<PackedLeaving> leaving;
  std::vector<PackedLoad> loads;
  std::vector<PackedDecode> decode;
  std::vector<PackedRank> ranks;
  std::vector<PackedShare> shares;
  std::vector<PackedOrigins> origins;
  std::vector<PackedPartEvidence> partEvidence;
  /// In milliseconds, by service.
  std::map<std::string, std::int64_t> streamLifetimes;
  /// Negative if there is none.
  std::int64_t routesAgeMillis = -1;

  MSGPACK_DEFINE_ARRAY(gateway,
                       incarnation,
                       sequence,
                       routesVersion,
                       storeContactMillis,
                       work,
                       routed,
                       evidence,
                       verdicts,
                       suspectsInFlight,
                       listSum,
                       listAgeMillis,
                       timeOfDayMillis,
                       trueTimeMillis,
                       isUsageReporter,
                       usage,
                       rates,
                       leaving,
                       loads,
                       decode,
                       ranks,
                       shares,
                       origins,
                       partEvidence,
                       streamLifetimes,
                       routesAgeMillis);
};

std::vector<PackedOrigins>
Pack(std::span<const OriginUpdate> aUpdates)
{
  std::vector<PackedOrigins> packed;
  for (const OriginUpdate& update : aUpdates) {
    const StreamOrigin& origin = update.origin;
    auto found =
      std::ranges::find_if(packed, [&origin](const PackedOrigins& aOne) {
        return aOne.service == origin.service.Value() &&
               aOne.softwareVersion == origin.softwareVersion;
      });
    if (found == packed.end()) {
      packed.push_back({ origin.service.Value(), origin.softwareVersion, {} });
      found = std::prev(packed.end());
    }
    found->streams.emplace_back(update.key, update.left.count());
  }
  return packed;
}

std::vector<OriginUpdate>
Unpack(std::span<const PackedOrigins> aPacked)
{
  std::vector<OriginUpdate> updates;
  for (const PackedOrigins& one : aPacked) {
    const StreamOrigin origin{ ServiceName(one.service), one.softwareVersion };
    for (const auto& [key, leftMillis] : one.streams) {
      updates.push_back({ key, origin, milliseconds(leftMillis) });
    }
  }
  return updates;
}

void
PackCrashes(const PeerDigest& aDigest, PackedDigest& aPacked)
{
  for (const CrashEvidence& line : aDigest.crashes.evidence) {
    const auto weight = static_cast<std::uint8_t>(line.weight);
    if (line.IsOfPart()) {
      aPacked.partEvidence.push_back(
        { line.subject, line.server, weight, line.specificity });
    } else {
      aPacked.evidence.push_back({ line.subject, line.server, weight });
    }
  }
  for (const QuarantineVerdict& line : aDigest.crashes.verdicts) {
    aPacked.verdicts.push_back(
      { line.subject,
        line.round,
        line.isLifted,
        std::chrono::duration_cast<milliseconds>(line.left).count() });
  }
  aPacked.suspectsInFlight = aDigest.suspectsInFlight;
}

void
UnpackCrashes(PackedDigest&& aPacked, PeerDigest& aDigest)
{
  const auto add = [&aDigest](const auto& aLine, Specificity aSpecificity) {
    if (aLine.weight <= static_cast<std::uint8_t>(CrashWeight::Early)) {
      aDigest.crashes.evidence.push_back(
        { aLine.subject,
          aLine.server,
          static_cast<CrashWeight>(aLine.weight),
          aSpecificity });
    }
  };
  for (const PackedEvidence& line : aPacked.evidence) {
    add(line, kWholeRequest);
  }
  for (const PackedPartEvidence& line : aPacked.partEvidence) {
    add(line, line.specificity);
  }
  for (const PackedVerdict& line : aPacked.verdicts) {
    aDigest.crashes.verdicts.push_back({ line.subject,
                                         line.round,
                                         line.isLifted,
                                         milliseconds(line.leftMillis) });
  }
  aDigest.suspectsInFlight = std::move(aPacked.suspectsInFlight);
}

void
PackUsage(const UsageDigest& aUsage, PackedDigest& aPacked)
{
  aPacked.timeOfDayMillis = aUsage.timeOfDay.count();
  aPacked.trueTimeMillis = aUsage.agreedTime.count();
  aPacked.isUsageReporter = aUsage.isReporter;
  for (const UsageUpdate& update : aUsage.counts) {
    PackedUsageUpdate packed{ update.window, update.total, {} };
    for (const auto& [customer, count] : update.counts) {
      packed.counts.emplace_back(customer.Value(), count);
    }
    aPacked.usage.push_back(std::move(packed));
  }
}

UsageDigest
UnpackUsage(const PackedDigest& aPacked)
{
  UsageDigest usage;
  usage.timeOfDay = milliseconds(aPacked.timeOfDayMillis);
  usage.agreedTime = milliseconds(aPacked.trueTimeMillis);
  usage.isReporter = aPacked.isUsageReporter;
  for (const PackedUsageUpdate& packed : aPacked.usage) {
    UsageUpdate update{ packed.window, packed.total, {} };
    for (const auto& [customer, count] : packed.counts) {
      update.counts[CustomerName(customer)] = count;
    }
    usage.counts.push_back(std::move(update));
  }
  return usage;
}

void
PackRates(std::span<const RateUpdate> aRates, PackedDigest& aPacked)
{
  for (const RateUpdate& update : aRates) {
    aPacked.rates.push_back({ update.server.Value(),
                              update.perSecond.has_value(),
                              update.perSecond.value_or(0),
                              update.age.count() });
  }
}

std::vector<RateUpdate>
UnpackRates(std::vector<PackedRate>&& aPacked)
{
  std::vector<RateUpdate> rates;
  for (PackedRate& packed : aPacked) {
    RateUpdate update{ InstanceName(std::move(packed.server)),
                       std::nullopt,
                       milliseconds(packed.ageMillis) };
    if (packed.isLimited) {
      update.perSecond = packed.perSecond;
    }
    rates.push_back(std::move(update));
  }
  return rates;
}

void
PackLoads(std::span<const LoadUpdate> aLoads, PackedDigest& aPacked)
{
  for (const LoadUpdate& update : aLoads) {
    aPacked.loads.push_back({ update.instance.Value(),
                              update.load.running,
                              update.load.waiting,
                              update.load.slots,
                              update.load.timeFactor.value_or(0),
                              update.age.count() });
  }
}

std::vector<LoadUpdate>
UnpackLoads(std::vector<PackedLoad>&& aPacked)
{
  std::vector<LoadUpdate> loads;
  for (PackedLoad& packed : aPacked) {
    LoadUpdate update{ InstanceName(std::move(packed.instance)),
                       { packed.running, packed.waiting, packed.slots, {} },
                       milliseconds(packed.ageMillis) };
    if (packed.timeFactor > 0) {
      update.load.timeFactor = packed.timeFactor;
    }
    loads.push_back(std::move(update));
  }
  return loads;
}

void
PackRanks(std::span<const RankUpdate> aRanks, PackedDigest& aPacked)
{
  for (const RankUpdate& update : aRanks) {
    aPacked.ranks.push_back({ update.service.Value(),
                              update.rank,
                              update.overdue,
                              update.lost,
                              update.begun });
  }
}

std::vector<RankUpdate>
UnpackRanks(std::vector<PackedRank>&& aPacked)
{
  std::vector<RankUpdate> ranks;
  ranks.reserve(aPacked.size());
  for (PackedRank& packed : aPacked) {
    ranks.push_back({ ServiceName(std::move(packed.service)),
                      packed.rank,
                      packed.overdue,
                      packed.lost,
                      packed.begun });
  }
  return ranks;
}

void
PackShares(std::span<const ShareUpdate> aShares, PackedDigest& aPacked)
{
  for (const ShareUpdate& update : aShares) {
    PackedShare packed{
      update.service.Value(), {}, update.otherUse, update.otherCustomers
    };
    for (const CustomerUse& one : update.busiest) {
      packed.busiest.emplace_back(one.customer.Value(), one.use);
    }
    aPacked.shares.push_back(std::move(packed));
  }
}

std::vector<ShareUpdate>
UnpackShares(std::vector<PackedShare>&& aPacked)
{
  std::vector<ShareUpdate> shares;
  for (PackedShare& packed : aPacked) {
    ShareUpdate update{ ServiceName(std::move(packed.service)),
                        {},
                        packed.otherUse,
                        packed.otherCustomers };
    for (auto& [customer, use] : packed.busiest) {
      update.busiest.push_back({ CustomerName(std::move(customer)), use });
    }
    shares.push_back(std::move(update));
  }
  return shares;
}

} // namespace

std::string
ProofOf(std::string_view aText, std::string_view aSecret)
{
  std::string text;
  for (const unsigned char byte : KeyedDigest(aText, aSecret)) {
    text += fmt::format("{:02x}", byte);
  }
  return text;
}

std::string
WriteDigest(const PeerDigest& aDigest, std::string_view aSecret)
{
  PackedDigest toPack;
  toPack.gateway = aDigest.gateway.Value();
  toPack.incarnation = aDigest.incarnation;
  toPack.sequence = aDigest.sequence;
  toPack.routesVersion = aDigest.routes.version;
  if (aDigest.routes.age) {
    toPack.routesAgeMillis = aDigest.routes.age->count();
  }
  toPack.storeContactMillis = aDigest.storeContact.count();
  for (const WorkLine& line : aDigest.work) {
    toPack.work.push_back(Pack(line));
  }
  for (const RoutedPrompt& prompt : aDigest.routed) {
    toPack.routed.push_back(Pack(prompt));
  }
  PackCrashes(aDigest, toPack);
  PackUsage(aDigest.usage, toPack);
  PackRates(aDigest.rates, toPack);
  for (const LeavingUpdate& update : aDigest.leaving) {
    toPack.leaving.push_back({ update.server.Value(), update.age.count() });
  }
  PackLoads(aDigest.loads, toPack);
  toPack.decode.reserve(aDigest.decode.size());
  for (const DecodeUpdate& update : aDigest.decode) {
    toPack.decode.push_back(Pack(update));
  }
  PackRanks(aDigest.ranks, toPack);
  PackShares(aDigest.shares, toPack);
  toPack.origins = Pack(aDigest.origins);
  for (const auto& [service, lifetime] : aDigest.streamLifetimes) {
    toPack.streamLifetimes[service.Value()] = WholeMillis(lifetime);
  }
  toPack.listSum = aDigest.list.checksum;
  toPack.listAgeMillis = aDigest.list.age.count();
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, toPack);
  const std::string_view packed(buffer.data(), buffer.size());
  std::string bytes = KeyedDigest(packed, aSecret);
  bytes += packed;
  return bytes;
}

absl::StatusOr<PeerDigest>
ReadDigest(std::string_view aBytes, std::string_view aSecret)
{
  if (aBytes.size() <= kKeyedDigestBytes) {
    return absl::InvalidArgumentError("the digest is too short");
  }
  const std::string_view packed = aBytes.substr(kKeyedDigestBytes);
  const std::string proof = KeyedDigest(packed, aSecret);
  if (CRYPTO_memcmp(proof.data(), aBytes.data(), kKeyedDigestBytes) != 0) {
    return absl::PermissionDeniedError(
      "the digest was made with another secret");
  }
  PackedDigest read;
  try {
    constexpr std::size_t kMaxDepth = 8;
    const msgpack::unpack_limit limit(
      kMaxItems, kMaxItems, kMaxItems, kMaxItems, kMaxItems, kMaxDepth);
    msgpack::unpack(packed.data(), packed.size(), nullptr, nullptr, limit)
      .get()
      .convert(read);
  } catch (const std::exception& error) {
    return MakeError(
      absl::StatusCode::kInvalidArgument, "not a digest: {}", error.what());
  }
  PeerDigest digest;
  digest.gateway = InstanceName(std::move(read.gateway));
  digest.incarnation = read.incarnation;
  digest.sequence = read.sequence;
  digest.routes.version = read.routesVersion;
  if (read.routesAgeMillis >= 0 &&
      read.routesAgeMillis <= kMaxRoutesAge.count()) {
    digest.routes.age = milliseconds(read.routesAgeMillis);
  }
  digest.storeContact = milliseconds(read.storeContactMillis);
  for (PackedWork& line : read.work) {
    digest.work.push_back(Unpack(std::move(line)));
  }
  for (PackedPrompt& prompt : read.routed) {
    digest.routed.push_back(Unpack(std::move(prompt)));
  }
  digest.list = { read.listSum, milliseconds(read.listAgeMillis) };
  digest.usage = UnpackUsage(read);
  digest.rates = UnpackRates(std::move(read.rates));
  for (PackedLeaving& line : read.leaving) {
    digest.leaving.push_back(
      { InstanceName(std::move(line.server)), milliseconds(line.ageMillis) });
  }
  digest.loads = UnpackLoads(std::move(read.loads));
  digest.decode.reserve(read.decode.size());
  for (PackedDecode& update : read.decode) {
    digest.decode.push_back(Unpack(std::move(update)));
  }
  digest.ranks = UnpackRanks(std::move(read.ranks));
  digest.shares = UnpackShares(std::move(read.shares));
  digest.origins = Unpack(read.origins);
  for (const auto& [service, millis] : read.streamLifetimes) {
    digest.streamLifetimes[ServiceName(service)] =
      StreamOrigins::LifetimeFromMillis(millis);
  }
  UnpackCrashes(std::move(read), digest);
  return digest;
}

} // namespace dogwoodvale
