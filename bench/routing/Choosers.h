#ifndef DOGWOODVALE_BENCH_ROUTING_CHOOSERS_H
#define DOGWOODVALE_BENCH_ROUTING_CHOOSERS_H

#include <algorithm>
#include <vector>

#include "dogwoodvale/Routing"

/// Choosers that were weighed and not kept; for comparison only.
namespace dogwoodvale::bench {

/// Join-idle-queue: any server believed to have a free slot, else at random.
class JoinIdleChooser final : public BackendChooser
{
public:
  std::optional<InstanceName> Choose(const BackendTable& aTable,
                                     const ChoiceRequest& aRequest,
                                     TimePoint /*aNow*/,
                                     std::mt19937_64& aRandom) override
  {
    const auto all = aTable.All();
    const std::size_t start = aRandom() % all.size();
    for (std::size_t offset = 0; offset < all.size(); ++offset) {
      const Backend& next = all[(start + offset) % all.size()];
      if (next.Load() < 1.0 && internal::IsCandidate(next, aRequest)) {
        return next.name;
      }
    }
    const Backend* drawn =
      internal::DrawCandidate(aTable, aRequest, nullptr, aRandom);
    return drawn == nullptr ? std::nullopt : std::optional(drawn->name);
  }
};

/// After Prequal: of a pool of known servers, the one with the lowest latency
/// among those that are not hot (by requests in flight); else the least hot.
class HotColdChooser final : public BackendChooser
{
public:
  std::optional<InstanceName> Choose(const BackendTable& aTable,
                                     const ChoiceRequest& aRequest,
                                     TimePoint /*aNow*/,
                                     std::mt19937_64& aRandom) override
  {
    this->pool.clear();
    for (std::size_t draw = 0; draw < kPoolSize; ++draw) {
      const Backend* drawn =
        internal::DrawCandidate(aTable, aRequest, nullptr, aRandom);
      if (drawn != nullptr) {
        this->pool.push_back(drawn);
      }
    }
    if (this->pool.empty()) {
      return std::nullopt;
    }
    this->loads.clear();
    for (const Backend* backend : this->pool) {
      this->loads.push_back(backend->Load());
    }
    std::sort(this->loads.begin(), this->loads.end());
    const double hot = this->loads[this->loads.size() * 8 / 10];
    const Backend* best = this->pool.front();
    for (const Backend* backend : this->pool) {
      if (this->IsBetter(*backend, *best, hot)) {
        best = backend;
      }
    }
    return best->name;
  }

private:
  static constexpr std::size_t kPoolSize = 16;

  static double Latency(const Backend& aBackend)
  {
    return std::max<double>(aBackend.report.firstTokenMicros,
                            aBackend.report.stepMicros);
  }

  bool IsBetter(const Backend& aLeft, const Backend& aRight, double aHot) const
  {
    const bool leftHot = aLeft.Load() >= aHot;
    const bool rightHot = aRight.Load() >= aHot;
    if (leftHot != rightHot) {
      return rightHot;
    }
    return leftHot ? aLeft.Load() < aRight.Load()
                   : Latency(aLeft) < Latency(aRight);
  }

  std::vector<const Backend*> pool;
  std::vector<double> loads;
};

} // namespace dogwoodvale::bench

#endif
