#include "MemoryBudget.h"

#include <algorithm>
#include <cassert>

namespace dogwoodvale {

namespace {

struct Candidate
{
  MemoryBudget::Holder* holder;
  std::size_t bytes;
  /// Bytes times the time that they have been held without progress.
  double cost;
};

} // namespace

std::size_t
MemoryBudget::CeilingFor(std::size_t aBytes) const
{
  const bool isLarge = aBytes > this->limit / kLargeDivisor;
  return isLarge ? static_cast<std::size_t>(double(this->limit) * kLargeShare)
                 : this->limit;
}

bool
MemoryBudget::Set(Holder& aHolder, std::size_t aBytes)
{
  std::size_t& own = this->bytesOf[&aHolder];
  const bool grows = aBytes > own;
  this->held = this->held - own + aBytes;
  own = aBytes;
  const std::size_t ceiling = this->CeilingFor(aBytes);
  if (!grows || this->held <= ceiling || this->makingRoom) {
    return true;
  }
  const std::size_t target = ceiling - this->limit / kFreedDivisor;
  const bool mustYield = this->MakeRoom(aHolder, target);
  return !mustYield && this->held <= ceiling;
}

void
MemoryBudget::Remove(Holder& aHolder)
{
  const auto found = this->bytesOf.find(&aHolder);
  if (found != this->bytesOf.end()) {
    assert(this->held >= found->second);
    this->held -= found->second;
    this->bytesOf.erase(found);
  }
}

bool
MemoryBudget::MakeRoom(const Holder& aHolder, std::size_t aTarget)
{
  std::vector<Candidate> candidates;
  for (const auto& [holder, bytes] : this->bytesOf) {
    const Standing standing = holder->Assess();
    if (standing.bytes > 0) {
      // A microsecond more, so that size decides between equals.
      const double micros = double(standing.sinceProgress.count()) + 1;
      candidates.push_back(
        { holder, standing.bytes, micros * double(standing.bytes) });
    }
  }
  std::ranges::sort(candidates, std::ranges::greater{}, &Candidate::cost);
  this->makingRoom = true;
  bool mustYield = false;
  std::size_t owed = 0;
  for (const Candidate& candidate : candidates) {
    if (this->held <= aTarget + owed) {
      break;
    }
    if (candidate.holder == &aHolder) {
      mustYield = true;
      owed = candidate.bytes;
    } else if (this->bytesOf.contains(candidate.holder)) {
      candidate.holder->Yield();
    }
  }
  this->makingRoom = false;
  return mustYield;
}

} // namespace dogwoodvale
