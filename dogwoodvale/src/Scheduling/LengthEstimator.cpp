#include "LengthEstimator.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

constexpr double kUpperQuantile = 0.9;
/// Step of the stochastic quantile estimate, as a fraction of the estimate.
constexpr double kQuantileStep = 0.1;

} // namespace

absl::StatusOr<LengthEstimator>
LengthEstimator::Create(const Options& aOptions)
{
  if (!(aOptions.prior > 0) || !(aOptions.priorWeight > 0) ||
      !(aOptions.maxWeight >= 1) || aOptions.capacity == 0) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "length estimator: prior {} and its weight {} must be "
                     "positive, maximum weight {} and capacity {} at least 1",
                     aOptions.prior,
                     aOptions.priorWeight,
                     aOptions.maxWeight,
                     aOptions.capacity);
  }
  return LengthEstimator(aOptions);
}

void
LengthEstimator::Observe(const ClassName& aClass,
                         const CustomerName& aCustomer,
                         std::uint64_t aTokens)
{
  const auto tokens = static_cast<double>(aTokens);
  this->Update(this->StateOf({ aClass, aCustomer }).average, tokens);
  if (this->classes.contains(aClass) ||
      this->classes.size() < this->options.capacity) {
    this->Update(this->classes[aClass], tokens);
  }
}

double
LengthEstimator::Mean(const ClassName& aClass,
                      const CustomerName& aCustomer) const
{
  double mean = this->options.prior;
  const double weight = this->options.priorWeight;
  const auto shrink = [&](const Average& aAverage) {
    mean = (mean * weight + aAverage.mean * aAverage.weight) /
           (weight + aAverage.weight);
  };
  if (const auto found = this->classes.find(aClass);
      found != this->classes.end()) {
    shrink(found->second);
  }
  if (const auto found = this->pairs.find(Pair(aClass, aCustomer));
      found != this->pairs.end()) {
    shrink(found->second.average);
  }
  return mean;
}

double
LengthEstimator::UpperQuantile(const ClassName& aClass) const
{
  const auto found = this->classes.find(aClass);
  return found == this->classes.end() ? 2 * this->options.prior
                                      : found->second.quantile;
}

void
LengthEstimator::Update(Average& aAverage, double aTokens) const
{
  if (aAverage.weight == 0) {
    aAverage.quantile = 2 * this->options.prior;
  }
  aAverage.weight = std::min(aAverage.weight + 1, this->options.maxWeight);
  aAverage.mean += (aTokens - aAverage.mean) / aAverage.weight;
  const double step = kQuantileStep * std::max(aAverage.quantile, 1.0);
  aAverage.quantile += aTokens > aAverage.quantile
                         ? step * kUpperQuantile
                         : -step * (1 - kUpperQuantile);
}

LengthEstimator::PairState&
LengthEstimator::StateOf(const Pair& aPair)
{
  const auto found = this->pairs.find(aPair);
  if (found != this->pairs.end()) {
    this->recency.splice(
      this->recency.begin(), this->recency, found->second.recency);
    return found->second;
  }
  if (this->pairs.size() >= this->options.capacity) {
    this->pairs.erase(this->recency.back());
    this->recency.pop_back();
  }
  this->recency.push_front(aPair);
  PairState state;
  state.recency = this->recency.begin();
  return this->pairs.emplace(aPair, state).first->second;
}

} // namespace dogwoodvale
