#ifndef DOGWOODVALE_PLACEMENT_CUSTOMERUSESKETCH_H
#define DOGWOODVALE_PLACEMENT_CUSTOMERUSESKETCH_H

#include <vector>

#include <absl/container/flat_hash_map.h>

#include "ShareUpdate.h"

namespace dogwoodvale {

/// Exponentially decaying use of the busiest customers in bounded memory, by
/// the space-saving algorithm (Metwally, Agrawal, El Abbadi, 2005).
///
/// The use of a customer is what it added since it entered the sketch: never
/// too much, as a customer must not pay for the one whose slot it took.
class CustomerUseSketch
{
public:
  /// \param aCapacity customers that are tracked, at least 1.
  CustomerUseSketch(std::size_t aCapacity, Duration aDecay);

  /// \param aUse positive.
  void Add(const CustomerName& aCustomer, double aUse, TimePoint aNow);
  double UseOf(const CustomerName& aCustomer, TimePoint aNow);
  /// Use of all customers, tracked or not.
  double Total(TimePoint aNow);
  /// The tracked customers with use, the busiest first.
  std::vector<CustomerUse> Busiest(TimePoint aNow);

private:
  struct Slot
  {
    CustomerName customer;
    double use = 0;
    /// Use that the slot had before this customer entered it. It decides only
    /// which slot is given up.
    double inherited = 0;
  };

  void DecayTo(TimePoint aNow);
  Slot& SlotOf(const CustomerName& aCustomer);

  std::size_t capacity;
  Duration decay;
  TimePoint decayedAt{};
  double total = 0;
  std::vector<Slot> slots;
  absl::flat_hash_map<CustomerName, std::size_t> places;
};

} // namespace dogwoodvale

#endif
