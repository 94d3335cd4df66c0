#ifndef DOGWOODVALE_GATEWAY_DEPARTURES_H
#define DOGWOODVALE_GATEWAY_DEPARTURES_H

#include <map>

#include "Incarnations.h"

namespace dogwoodvale {

/// Remembers backend servers that have left, for as long as an older copy of
/// the store may list them again.
///
/// A store that is restored from a copy some seconds old has the entries of
/// servers that have left since. Nobody renews them, so they expire; until then
/// requests would be sent to servers that accept none.
class Departures
{
public:
  /// The list changed from \p aBefore to \p aAfter.
  void OnChange(const Instances& aBefore,
                const Instances& aAfter,
                TimePoint aNow);
  /// The store was restored from an older copy: until then, DropDeparted()
  /// removes servers that have left.
  void DistrustUntil(TimePoint aUntil) { this->distrustUntil = aUntil; }
  TimePoint DistrustedUntil() const { return this->distrustUntil; }
  /// Removes the servers that have left from a list; does nothing after
  /// DistrustedUntil().
  void DropDeparted(Instances& aRead, TimePoint aNow) const;

  /// An entry that is not renewed expires within this.
  static constexpr Duration kEntryLifetime = seconds(6);
  /// Greatest supported age of a copy of the store.
  static constexpr Duration kMemory = seconds(120);
  /// Most servers that are remembered; the earliest are evicted first.
  static constexpr std::size_t kMaxRemembered = 10'000;

private:
  /// When each server left.
  std::map<InstanceName, TimePoint> departedAt;
  TimePoint distrustUntil{};
};

} // namespace dogwoodvale

#endif
