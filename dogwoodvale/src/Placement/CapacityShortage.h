#ifndef DOGWOODVALE_PLACEMENT_CAPACITYSHORTAGE_H
#define DOGWOODVALE_PLACEMENT_CAPACITYSHORTAGE_H

#include <array>
#include <cstdint>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Whether a service is short of capacity, as one gateway sees it: by the
/// requests of the last second that were placed late or found all servers full.
class CapacityShortage
{
public:
  /// Share of late placements above which a shortage begins. Callers accept
  /// that one request in ten misses its target (goal of 0.90 in time); beyond
  /// that they lose requests because of others.
  static constexpr double kBeginShare = 0.1;
  /// The shortage ends when the share has been below half of that for
  /// kWindow, so that it does not end while a customer's excess is refused and
  /// begin again as soon as it is admitted.
  static constexpr double kEndShare = kBeginShare / 2;
  static constexpr Duration kWindow = seconds(1);
  /// Fewer placements count as this many, so that a single late request at a
  /// gateway with little traffic is no shortage.
  static constexpr std::uint32_t kMinPlacements = 10;

  /// A request was placed, or could not be, for the first time.
  /// \param aIsLate its first token is expected beyond its target, or all
  /// servers that it may use are full.
  void OnPlacement(bool aIsLate, TimePoint aNow);
  bool IsShort(TimePoint aNow);

private:
  static constexpr std::size_t kSlices = 10;
  static constexpr Duration kSlice = kWindow / kSlices;

  struct Slice
  {
    std::uint32_t placements = 0;
    std::uint32_t late = 0;
  };

  /// Starts the slices that begin until \p aNow.
  void AdvanceTo(TimePoint aNow);
  /// Begins or ends the shortage by the share at \p aAt.
  void Evaluate(TimePoint aAt);

  std::array<Slice, kSlices> slices{};
  std::size_t current = 0;
  TimePoint sliceStart{};
  Slice sum;
  bool isShort = false;
  /// The last time at which the share was not below kEndShare.
  TimePoint lastAbove{};
};

} // namespace dogwoodvale

#endif
