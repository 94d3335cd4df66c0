#ifndef DOGWOODVALE_CORE_MEMORYBUDGET_H
#define DOGWOODVALE_CORE_MEMORYBUDGET_H

#include <cstddef>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Clock.h"

namespace dogwoodvale {

/// Accounts for the memory that many holders take from one limit, and decides
/// who gives it up when the limit is reached: first those that hold the most
/// bytes for the longest time without progress.
///
/// The last part of the limit is kept for small holders (kLargeShare), so that
/// a few large ones that cannot yield do not shut out the others.
class MemoryBudget
{
public:
  /// What a holder could give up now.
  struct Standing
  {
    /// 0 if it cannot yield.
    std::size_t bytes = 0;
    Duration sinceProgress{ 0 };
  };

  class Holder
  {
  public:
    virtual ~Holder() = default;
    virtual Standing Assess() const = 0;
    /// Frees what Assess() named. May call Set() and Remove(), and must not
    /// destroy any holder.
    virtual void Yield() = 0;
  };

  /// \param aLimit bytes.
  explicit MemoryBudget(std::size_t aLimit)
    : limit(aLimit)
  {
  }

  void SetLimit(std::size_t aLimit) { this->limit = aLimit; }

  /// The holder holds, or is about to hold, \p aBytes in all. Above the limit
  /// others yield until there is room again.
  /// \return false if there is no room, or if the holder itself would have to
  /// yield, which is left to the caller.
  bool Set(Holder& aHolder, std::size_t aBytes);
  void Remove(Holder& aHolder);

  /// Whether a single holder may ever hold that much.
  bool CanHold(std::size_t aBytes) const
  {
    return aBytes <= this->CeilingFor(aBytes);
  }

  std::size_t Limit() const { return this->limit; }
  /// Bytes of all holders.
  std::size_t Held() const { return this->held; }
  std::size_t Holders() const { return this->bytesOf.size(); }

  /// Share of the limit that holders above 1/kLargeDivisor of it may use.
  static constexpr double kLargeShare = 0.75;
  static constexpr std::size_t kLargeDivisor = 64;

private:
  /// Once the limit is reached, this share of it is made free, so that holders
  /// need not be compared again for each new byte.
  static constexpr std::size_t kFreedDivisor = 8;

  std::size_t CeilingFor(std::size_t aBytes) const;
  /// Asks holders to yield. \return whether \p aHolder is among those that have
  /// to.
  bool MakeRoom(const Holder& aHolder, std::size_t aTarget);

  std::size_t limit;
  std::size_t held = 0;
  bool makingRoom = false;
  absl::flat_hash_map<Holder*, std::size_t> bytesOf;
};

} // namespace dogwoodvale

#endif
