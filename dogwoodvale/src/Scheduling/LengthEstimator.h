#ifndef DOGWOODVALE_SCHEDULING_LENGTHESTIMATOR_H
#define DOGWOODVALE_SCHEDULING_LENGTHESTIMATOR_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Learns how many tokens an answer has, per class and customer, from answers
/// that have finished. Falls back from customer to class to a prior.
///
/// Memory is bounded: the customers seen least recently are forgotten.
class LengthEstimator
{
public:
  struct Options
  {
    /// Expected tokens of an answer before any was seen; positive.
    double prior = 256;
    /// How many answers the prior counts for; positive.
    double priorWeight = 4;
    /// Answers over which older ones fade; at least 1.
    double memory = 64;
    /// Pairs of class and customer kept, and classes kept; at least 1.
    std::size_t capacity = 4096;
  };

  /// \return InvalidArgument when an option is out of its range.
  static absl::StatusOr<LengthEstimator> Create(const Options& aOptions);

  /// Learns that one answer had \p aTokens.
  void Observe(const ClassName& aClass,
               const CustomerName& aCustomer,
               std::uint64_t aTokens);

  /// Expected tokens of an answer; its mean, since the mean keeps fairness
  /// by tokens unbiased.
  double Mean(const ClassName& aClass, const CustomerName& aCustomer) const;

  /// A length that about nine answers in ten of the class stay under.
  double UpperQuantile(const ClassName& aClass) const;

  /// Pairs of class and customer that are remembered.
  std::size_t Size() const { return this->pairs.size(); }

private:
  using Pair = std::pair<ClassName, CustomerName>;
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
  void Fold(Average& aAverage, double aTokens) const;
  PairState& StateOf(const Pair& aPair);

  Options options;
  absl::flat_hash_map<Pair, PairState> pairs;
  /// Most recently seen first.
  std::list<Pair> recency;
  absl::flat_hash_map<ClassName, Average> classes;
};

} // namespace dogwoodvale

#endif
