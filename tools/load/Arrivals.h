#ifndef DOGWOODVALE_TOOLS_LOAD_ARRIVALS_H
#define DOGWOODVALE_TOOLS_LOAD_ARRIVALS_H

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "tools/load/Plan.h"

namespace dogwoodvale::load {

/// One call that is to be made.
struct Arrival
{
  /// Seconds from the start of the load.
  double atSeconds = 0;
  std::size_t classIndex = 0;
  std::size_t customerIndex = 0;
  int outputTokens = 0;
  int promptTokens = 0;
  /// Which shared opening its prompt has; meaningless without prefixes.
  int prefix = 0;
  bool isKeyed = false;
  bool abandons = false;
};

/// Draws the arrivals of a plan: per class a Poisson process whose rate
/// follows the phases. The same plan and seed give the same arrivals; classes
/// draw from generators of their own, so that a change of one class leaves
/// the others' calls as they are.
class Arrivals
{
public:
  /// \param aPlan outlives this.
  /// \param aRateScale multiplies every rate.
  Arrivals(const LoadPlan& aPlan, std::uint64_t aSeed, double aRateScale);

  /// The next arrival in order of time before \p aEndSeconds, if any.
  std::optional<Arrival> Next(double aEndSeconds);

private:
  struct ClassState
  {
    std::mt19937_64 random;
    std::discrete_distribution<std::size_t> customer;
    double nextSeconds = 0;
  };

  double DrawNext(std::size_t aClass, double aFrom);
  Arrival Draw(std::size_t aClass);

  const LoadPlan& plan;
  double rateScale;
  std::vector<ClassState> classes;
};

} // namespace dogwoodvale::load

#endif
