#include "CapacityShortage.h"

#include <algorithm>

namespace dogwoodvale {

void
CapacityShortage::OnPlacement(bool aIsLate, TimePoint aNow)
{
  this->AdvanceTo(aNow);
  Slice& slice = this->slices[this->current];
  ++slice.placements;
  ++this->sum.placements;
  slice.late += aIsLate ? 1 : 0;
  this->sum.late += aIsLate ? 1 : 0;
  this->Evaluate(aNow);
}

bool
CapacityShortage::IsShort(TimePoint aNow)
{
  this->AdvanceTo(aNow);
  this->Evaluate(aNow);
  return this->isShort;
}

void
CapacityShortage::AdvanceTo(TimePoint aNow)
{
  // After two windows without a placement all slices are empty and a shortage
  // is over.
  if (aNow - this->sliceStart > 2 * kWindow + kSlice) {
    *this = CapacityShortage();
    this->sliceStart = aNow;
    return;
  }
  while (aNow - this->sliceStart >= kSlice) {
    this->sliceStart += kSlice;
    // The share stayed as it was until here.
    this->Evaluate(this->sliceStart);
    this->current = (this->current + 1) % kSlices;
    Slice& oldest = this->slices[this->current];
    this->sum.placements -= oldest.placements;
    this->sum.late -= oldest.late;
    oldest = Slice{};
    this->Evaluate(this->sliceStart);
  }
}

void
CapacityShortage::Evaluate(TimePoint aAt)
{
  const double share =
    static_cast<double>(this->sum.late) /
    static_cast<double>(std::max(this->sum.placements, kMinPlacements));
  if (share >= kEndShare) {
    this->lastAbove = aAt;
  }
  if (share > kBeginShare) {
    this->isShort = true;
  } else if (this->isShort && aAt - this->lastAbove >= kWindow) {
    this->isShort = false;
  }
}

} // namespace dogwoodvale
