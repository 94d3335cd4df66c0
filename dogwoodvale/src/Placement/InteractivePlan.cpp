#include "InteractivePlan.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

#include "ReservedServers.h"

namespace dogwoodvale {

namespace {

/// Planned share of a reserved server's capacity in use. The rest is for a
/// burst, until more servers are reserved, and for the loss of a server.
constexpr double kPlannedOccupancy = 0.5;
/// Ratio of the time factors of neighbouring classes. A difference of a half is
/// worth a move; averages that gateways compute from nearly the same reports
/// differ by less.
constexpr double kClassStep = 1.5;
/// A server changes its class when it has been this far from the middle of the
/// class, in steps, for this long. Half a step is the edge of the class; with a
/// whole step, a server that has recovered would stay out of the class of its
/// equals. A period of 600 ms in which the server is 2.5 times slower moves its
/// mean over 3 s by 0.4 to 0.6 steps, which lasts some seconds but is beyond
/// this distance for less than this time.
constexpr double kClassHysteresis = 0.8;
constexpr Duration kClassHold = seconds(1);
/// From here it changes its class at once: slow periods don't move it so far,
/// and a server that is several times slower must not keep its streams.
constexpr double kFarFromClass = 1.5;
/// A server is released after the plan has not needed it for this long, so that
/// the caches built there are of use and gateways that differ for a moment
/// still agree.
constexpr Duration kReleaseTime = seconds(2);
/// Share of the total speed of the service that may be reserved while there are
/// other requests.
constexpr double kMaxReservedSpeed = 0.5;
/// Other requests count as present for this long after the last one, so that a
/// lull does not give all their servers to the interactive requests.
constexpr Duration kOthersTime = seconds(10);
constexpr double kMinTimeFactor = 0.01;

double
StepsOfFactor(double aTimeFactor)
{
  return std::log(std::max(aTimeFactor, kMinTimeFactor)) / std::log(kClassStep);
}

double
SpeedOf(const PlannedServer& aServer)
{
  return 1.0 / std::max(aServer.timeFactor, kMinTimeFactor);
}

} // namespace

void
InteractivePlan::UpdateStates(std::span<const PlannedServer> aServers,
                              TimePoint aNow)
{
  absl::flat_hash_map<InstanceName, State> known;
  for (const PlannedServer& server : aServers) {
    const double steps = StepsOfFactor(server.timeFactor);
    const auto nearest = static_cast<int>(std::lround(steps));
    const auto found = this->states.find(server.name);
    State state = found == this->states.end() ? State{ .speedClass = nearest }
                                              : found->second;
    const double distance = std::abs(steps - state.speedClass);
    if (distance <= kClassHysteresis) {
      state.outsideSince.reset();
    } else if (!state.outsideSince) {
      state.outsideSince = aNow;
    }
    if (distance > kFarFromClass ||
        (state.outsideSince &&
         Between(*state.outsideSince, aNow) >= kClassHold)) {
      state.speedClass = nearest;
      state.outsideSince.reset();
    }
    known.emplace(server.name, state);
  }
  this->states = std::move(known);
}

std::vector<const PlannedServer*>
InteractivePlan::Sorted(std::span<const PlannedServer> aServers) const
{
  std::vector<const PlannedServer*> sorted;
  sorted.reserve(aServers.size());
  for (const PlannedServer& server : aServers) {
    sorted.push_back(&server);
  }
  std::ranges::sort(sorted, {}, [this](const PlannedServer* aServer) {
    return std::tuple(this->states.at(aServer->name).speedClass,
                      ReservationOrder(aServer->name),
                      aServer->name);
  });
  return sorted;
}

void
InteractivePlan::Update(std::span<const PlannedServer> aServers,
                        const PlannedLoad& aLoad,
                        std::optional<std::size_t> aMaxServers,
                        TimePoint aNow)
{
  this->UpdateStates(aServers, aNow);
  if (aLoad.others > 0) {
    this->othersSeenAt = aNow;
  }
  const bool hasOthers =
    this->othersSeenAt && Between(*this->othersSeenAt, aNow) < kOthersTime;
  double totalSpeed = 0;
  for (const PlannedServer& server : aServers) {
    totalSpeed += SpeedOf(server);
  }
  double speedLeft = hasOthers ? kMaxReservedSpeed * totalSpeed : totalSpeed;
  std::size_t serversLeft = aMaxServers.value_or(aServers.size());
  this->count = 0;
  this->capacity = 0;
  const auto reserve = [&](const PlannedServer& aServer) {
    // The sum of all speeds must not exceed the total by rounding.
    constexpr double kTolerance = 1e-9;
    if (serversLeft == 0 || SpeedOf(aServer) > speedLeft + kTolerance) {
      return false;
    }
    --serversLeft;
    speedLeft -= SpeedOf(aServer);
    ++this->count;
    this->capacity += aServer.capacity;
    return true;
  };
  const std::vector<const PlannedServer*> sorted = this->Sorted(aServers);
  double needed = aLoad.peak / kPlannedOccupancy;
  for (const PlannedServer* server : sorted) {
    State& state = this->states.at(server->name);
    state.isReserved =
      needed > 0 && server->capacity >= 1.0 && reserve(*server);
    if (state.isReserved) {
      needed -= server->capacity;
      state.neededAt = aNow;
    }
  }
  for (const PlannedServer* server : sorted) {
    State& state = this->states.at(server->name);
    if (!state.isReserved && state.neededAt) {
      state.isReserved =
        Between(*state.neededAt, aNow) < kReleaseTime && reserve(*server);
      if (!state.isReserved) {
        state.neededAt.reset();
      }
    }
  }
}

bool
InteractivePlan::IsReserved(const InstanceName& aInstance) const
{
  const auto found = this->states.find(aInstance);
  return found != this->states.end() && found->second.isReserved;
}

} // namespace dogwoodvale
