#ifndef DOGWOODVALE_SCHEDULING_SLAB_H
#define DOGWOODVALE_SCHEDULING_SLAB_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace dogwoodvale::internal {

/// Where a value lies in its Slab. Small and stable, so that the ordered sets
/// hold these instead of pointers.
using SlabIndex = std::uint32_t;

/// Values under stable indices; freed places are used again.
template<class Value>
class Slab
{
public:
  SlabIndex Add(Value aValue)
  {
    if (this->vacant.empty()) {
      this->places.emplace_back(std::move(aValue));
      return static_cast<SlabIndex>(this->places.size() - 1);
    }
    const SlabIndex index = this->vacant.back();
    this->vacant.pop_back();
    this->places[index] = std::move(aValue);
    return index;
  }

  Value& At(SlabIndex aIndex) { return *this->places[aIndex]; }
  const Value& At(SlabIndex aIndex) const { return *this->places[aIndex]; }

  /// Frees the place and gives back what it held.
  Value Take(SlabIndex aIndex)
  {
    Value value = *std::move(this->places[aIndex]);
    this->places[aIndex].reset();
    this->vacant.push_back(aIndex);
    return value;
  }

  std::size_t Size() const { return this->places.size() - this->vacant.size(); }

private:
  std::deque<std::optional<Value>> places;
  std::vector<SlabIndex> vacant;
};

} // namespace dogwoodvale::internal

#endif
