#ifndef DOGWOODVALE_GATEWAY_DEPARTURES_H
#define DOGWOODVALE_GATEWAY_DEPARTURES_H

#include <map>

#include "Incarnations.h"

namespace dogwoodvale {

/// Backend servers that have left, for as long as an older copy of the store
/// may list them again.
///
/// A store that comes back from a copy some seconds old has the entries of
/// servers that have left since. Nobody renews them, so they lapse; until then
/// requests would go to servers that said they take none.
class Departures
{
public:
  /// The list was \p aBefore and is \p aNow now.
  void OnChange(const Instances& aBefore,
                const Instances& aAfter,
                TimePoint aNow);
  /// The store came back as an older copy: what has left is dropped from lists
  /// until then.
  void DistrustUntil(TimePoint aUntil) { this->distrustUntil = aUntil; }
  TimePoint DistrustedUntil() const { return this->distrustUntil; }
  void DropGhosts(Instances& aRead, TimePoint aNow) const;

  /// An entry that is not renewed lapses within this.
  static constexpr Duration kGhostLife = seconds(6);
  /// How old a copy of the store may be.
  static constexpr Duration kMemory = seconds(120);
  /// Most that are remembered; the earliest are forgotten first.
  static constexpr std::size_t kMost = 10'000;

private:
  std::map<InstanceName, TimePoint> left;
  TimePoint distrustUntil{};
};

} // namespace dogwoodvale

#endif
