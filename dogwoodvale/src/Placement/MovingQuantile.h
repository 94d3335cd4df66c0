#ifndef DOGWOODVALE_PLACEMENT_MOVINGQUANTILE_H
#define DOGWOODVALE_PLACEMENT_MOVINGQUANTILE_H

#include <cstddef>
#include <optional>
#include <vector>

namespace dogwoodvale {

/// A quantile of the most recent values of a series.
class MovingQuantile
{
public:
  /// \param aShare share of the values that are not above the quantile, in
  /// (0, 1]; 0.5 for the median.
  /// \param aWindow number of values that count, at least 1.
  MovingQuantile(double aShare, std::size_t aWindow);

  void Add(double aValue);
  /// The quantile by the nearest-rank method; nothing before the first value.
  std::optional<double> Value() const;

private:
  double share;
  std::size_t window;
  /// Position that the next value takes once the window is full.
  std::size_t next = 0;
  std::vector<double> values;
};

} // namespace dogwoodvale

#endif
