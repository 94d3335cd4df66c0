#include "CustomerUseSketch.h"

#include <algorithm>
#include <cmath>

namespace dogwoodvale {

namespace {

/// In token seconds: far below the use of one request. Customers with less are
/// not reported.
constexpr double kMinUse = 1e-3;

} // namespace

CustomerUseSketch::CustomerUseSketch(std::size_t aCapacity, Duration aDecay)
  : capacity(std::max<std::size_t>(aCapacity, 1))
  , decay(aDecay)
{
}

void
CustomerUseSketch::DecayTo(TimePoint aNow)
{
  if (aNow <= this->decayedAt) {
    return;
  }
  const double factor =
    std::exp(-static_cast<double>(Between(this->decayedAt, aNow).count()) /
             static_cast<double>(this->decay.count()));
  this->decayedAt = aNow;
  this->total *= factor;
  for (Slot& slot : this->slots) {
    slot.use *= factor;
    slot.inherited *= factor;
  }
}

CustomerUseSketch::Slot&
CustomerUseSketch::SlotOf(const CustomerName& aCustomer)
{
  const auto found = this->places.find(aCustomer);
  if (found != this->places.end()) {
    return this->slots[found->second];
  }
  if (this->slots.size() < this->capacity) {
    this->places.emplace(aCustomer, this->slots.size());
    this->slots.push_back({ aCustomer });
    return this->slots.back();
  }
  const auto least =
    std::ranges::min_element(this->slots, {}, [](const Slot& aSlot) {
      return aSlot.use + aSlot.inherited;
    });
  this->places.erase(least->customer);
  this->places.emplace(aCustomer, std::size_t(least - this->slots.begin()));
  *least = { aCustomer, 0.0, least->use + least->inherited };
  return *least;
}

void
CustomerUseSketch::Add(const CustomerName& aCustomer,
                       double aUse,
                       TimePoint aNow)
{
  this->DecayTo(aNow);
  this->SlotOf(aCustomer).use += aUse;
  this->total += aUse;
}

double
CustomerUseSketch::UseOf(const CustomerName& aCustomer, TimePoint aNow)
{
  this->DecayTo(aNow);
  const auto found = this->places.find(aCustomer);
  return found == this->places.end() ? 0.0 : this->slots[found->second].use;
}

double
CustomerUseSketch::Total(TimePoint aNow)
{
  this->DecayTo(aNow);
  return this->total;
}

std::vector<CustomerUse>
CustomerUseSketch::Busiest(TimePoint aNow)
{
  this->DecayTo(aNow);
  std::vector<CustomerUse> busiest;
  for (const Slot& slot : this->slots) {
    if (slot.use > kMinUse) {
      busiest.push_back({ slot.customer, slot.use });
    }
  }
  std::ranges::sort(
    busiest, [](const CustomerUse& aLeft, const CustomerUse& aRight) {
      return aLeft.use != aRight.use ? aLeft.use > aRight.use
                                     : aLeft.customer < aRight.customer;
    });
  return busiest;
}

} // namespace dogwoodvale
