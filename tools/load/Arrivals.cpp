#include "tools/load/Arrivals.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dogwoodvale::load {

namespace {

/// Spreads seeds that differ by little over all bits.
constexpr std::uint64_t kSeedSpread = 0x9e3779b97f4a7c15ULL;

int
DrawLength(const LengthDistribution& aLength, std::mt19937_64& aRandom)
{
  std::lognormal_distribution<double> draw(std::log(aLength.median),
                                           aLength.sigma);
  const double length = std::min<double>(draw(aRandom), aLength.max);
  return std::max(1, static_cast<int>(std::lround(length)));
}

bool
DrawYes(double aShare, std::mt19937_64& aRandom)
{
  return std::bernoulli_distribution(aShare)(aRandom);
}

} // namespace

Arrivals::Arrivals(const LoadPlan& aPlan,
                   std::uint64_t aSeed,
                   double aRateScale)
  : plan(aPlan)
  , rateScale(aRateScale)
{
  for (std::size_t index = 0; index < aPlan.classes.size(); ++index) {
    std::vector<double> shares;
    for (const std::size_t customer : aPlan.classes[index].customers) {
      shares.push_back(aPlan.customers[customer].share);
    }
    ClassState& state = this->classes.emplace_back();
    state.random.seed((aSeed + 1) * kSeedSpread + index);
    state.customer = { shares.begin(), shares.end() };
  }
  for (std::size_t index = 0; index < this->classes.size(); ++index) {
    this->classes[index].nextSeconds = this->DrawNext(index, 0);
  }
}

double
Arrivals::DrawNext(std::size_t aClass, double aFrom)
{
  // A unit exponential is spent over the stretches of constant rate.
  double left =
    std::exponential_distribution<double>()(this->classes[aClass].random);
  double at = aFrom;
  while (std::isfinite(at)) {
    const double rate = this->plan.RateAt(aClass, at) * this->rateScale;
    const double change = this->plan.NextChange(aClass, at);
    const double wait =
      rate > 0 ? left / rate : std::numeric_limits<double>::infinity();
    if (at + wait < change || !std::isfinite(change)) {
      return at + wait;
    }
    left -= rate * (change - at);
    at = change;
  }
  return at;
}

Arrival
Arrivals::Draw(std::size_t aClass)
{
  const ClassPlan& of = this->plan.classes[aClass];
  ClassState& state = this->classes[aClass];
  Arrival made;
  made.atSeconds = state.nextSeconds;
  made.classIndex = aClass;
  made.customerIndex = of.customers[state.customer(state.random)];
  if (of.kind != Kind::Plain) {
    made.outputTokens = DrawLength(of.outputTokens, state.random);
    made.promptTokens = DrawLength(of.promptTokens, state.random);
  }
  made.prefix = std::uniform_int_distribution<int>(
    0, std::max(0, of.prefixes - 1))(state.random);
  made.isKeyed = DrawYes(of.keyed, state.random);
  made.abandons = DrawYes(of.abandon.share, state.random);
  return made;
}

std::optional<Arrival>
Arrivals::Next(double aEndSeconds)
{
  const auto first =
    std::min_element(this->classes.begin(),
                     this->classes.end(),
                     [](const ClassState& aLeft, const ClassState& aRight) {
                       return aLeft.nextSeconds < aRight.nextSeconds;
                     });
  if (first == this->classes.end() || first->nextSeconds >= aEndSeconds) {
    return std::nullopt;
  }
  const auto index = static_cast<std::size_t>(first - this->classes.begin());
  const Arrival arrival = this->Draw(index);
  first->nextSeconds = this->DrawNext(index, arrival.atSeconds);
  return arrival;
}

} // namespace dogwoodvale::load
