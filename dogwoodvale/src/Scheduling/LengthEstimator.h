#ifndef DOGWOODVALE_SCHEDULING_LENGTHESTIMATOR_H
#define DOGWOODVALE_SCHEDULING_LENGTHESTIMATOR_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Estimates the number of tokens of an answer per class and customer from
/// finished answers. Shrinks the customer's mean towards the class's mean, and
/// that towards a prior, by the number of answers seen.
///
/// Memory is bounded: the least recently observed (class, customer) pairs are
/// evicted.
class LengthEstimator
{
public:
  struct Options
  {
    /// Expected tokens of an answer before the first observation; positive.
    double prior = 256;
    /// Weight of the prior, in answers; positive.
    double priorWeight = 4;
    /// Maximum weight of an average, in answers: above it, older answers decay
    /// exponentially. At least 1.
    double maxWeight = 64;
    /// Maximum number of (class, customer) pairs, and of classes; at least 1.
    std::size_t capacity = 4096;
  };

  /// \return InvalidArgument when an option is out of its range.
  static absl::StatusOr<LengthEstimator> Create(const Options& aOptions);

  /// Records a finished answer of \p aTokens.
  void Observe(const ClassName& aClass,
               const CustomerName& aCustomer,
               std::uint64_t aTokens);

  /// Expected number of tokens of an answer. The mean rather than a quantile,
  /// as charging the mean keeps fairness by tokens unbiased.
  double Mean(const ClassName& aClass, const CustomerName& aCustomer) const;

  /// Estimate of the 0.9 quantile of the answer length of the class, in tokens;
  /// twice the prior for an unknown class.
  double UpperQuantile(const ClassName& aClass) const;

  /// Number of (class, customer) pairs kept.
  std::size_t Size() const { return this->pairs.size(); }

private:
  using Pair = std::pair<ClassName, CustomerName>;
  /// Moving mean, its weight in answers, and a running quantile.
  struct Average
  {
    double mean = 0;
    double weight = 0;
    double quantile = 0;
  };
  struct PairState
  {
    Average average;
    std::list<Pair>::iterator recency;
  };

  explicit LengthEstimator(const Options& aOptions)
    : options(aOptions)
  {
  }
  void Update(Average& aAverage, double aTokens) const;
  PairState& StateOf(const Pair& aPair);

  Options options;
  absl::flat_hash_map<Pair, PairState> pairs;
  /// Most recently observed first.
  std::list<Pair> recency;
  absl::flat_hash_map<ClassName, Average> classes;
};

} // namespace dogwoodvale

#endif
