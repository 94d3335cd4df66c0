#ifndef DOGWOODVALE_SCHEDULING_SLAB_H
#define DOGWOODVALE_SCHEDULING_SLAB_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace dogwoodvale::internal {

/// Index of a value in its Slab. Small, and stable until the value is taken
/// out, so that the ordered sets hold indices instead of pointers.
using SlabIndex = std::uint32_t;

/// Container of values with stable indices; freed slots are reused.
template<class Value>
class Slab
{
public:
  SlabIndex Add(Value aValue)
  {
    if (this->freeSlots.empty()) {
      this->slots.emplace_back(std::move(aValue));
      return static_cast<SlabIndex>(this->slots.size() - 1);
    }
    const SlabIndex index = this->freeSlots.back();
    this->freeSlots.pop_back();
    this->slots[index] = std::move(aValue);
    return index;
  }

  Value& At(SlabIndex aIndex) { return *this->slots[aIndex]; }
  const Value& At(SlabIndex aIndex) const { return *this->slots[aIndex]; }

  /// Removes the value, frees its slot and returns the value.
  Value Take(SlabIndex aIndex)
  {
    Value value = *std::move(this->slots[aIndex]);
    this->slots[aIndex].reset();
    this->freeSlots.push_back(aIndex);
    return value;
  }

  std::size_t Size() const
  {
    return this->slots.size() - this->freeSlots.size();
  }

private:
  std::deque<std::optional<Value>> slots;
  std::vector<SlabIndex> freeSlots;
};

} // namespace dogwoodvale::internal

#endif
