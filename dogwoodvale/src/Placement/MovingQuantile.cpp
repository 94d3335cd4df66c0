#include "MovingQuantile.h"

#include <algorithm>
#include <cmath>

namespace dogwoodvale {

MovingQuantile::MovingQuantile(double aShare, std::size_t aWindow)
  : share(aShare)
  , window(std::max<std::size_t>(aWindow, 1))
{
}

void
MovingQuantile::Add(double aValue)
{
  if (this->values.size() < this->window) {
    this->values.push_back(aValue);
    return;
  }
  this->values[this->next] = aValue;
  this->next = (this->next + 1) % this->window;
}

std::optional<double>
MovingQuantile::Value() const
{
  if (this->values.empty()) {
    return std::nullopt;
  }
  std::vector<double> sorted = this->values;
  const auto count = static_cast<double>(sorted.size());
  const auto rank =
    static_cast<std::size_t>(std::ceil(this->share * count)) - 1;
  const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(
                                     std::min(rank, sorted.size() - 1));
  std::ranges::nth_element(sorted, at);
  return *at;
}

} // namespace dogwoodvale
