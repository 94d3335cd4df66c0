#include "RetryWindow.h"

#include <algorithm>

namespace dogwoodvale {

RetryWindow::RetryWindow(RetryWindowSettings aSettings)
  : settings(aSettings)
{
}

void
RetryWindow::SetSettings(const RetryWindowSettings& aSettings)
{
  if (aSettings.window != this->settings.window) {
    this->slices.fill(Slice{});
  }
  this->settings = aSettings;
}

void
RetryWindow::SetGateways(std::size_t aCount)
{
  this->gateways = std::max<std::size_t>(aCount, 1);
}

std::int64_t
RetryWindow::SliceNumberAt(TimePoint aNow) const
{
  const Duration length =
    std::max(this->settings.window / std::int64_t(kSlices), Duration(1));
  return Between(TimePoint{}, aNow) / length;
}

RetryWindow::Slice&
RetryWindow::SliceAt(TimePoint aNow)
{
  const std::int64_t number = this->SliceNumberAt(aNow);
  Slice& slice = this->slices[static_cast<std::size_t>(number) % (kSlices + 1)];
  if (slice.number != number) {
    slice = Slice{ number, 0, 0 };
  }
  return slice;
}

void
RetryWindow::OnRequest(TimePoint aNow)
{
  ++this->SliceAt(aNow).requests;
}

double
RetryWindow::AllowedRetries(TimePoint aNow) const
{
  const std::int64_t now = this->SliceNumberAt(aNow);
  double requests = 0;
  for (const Slice& slice : this->slices) {
    const bool isInsideWindow =
      slice.number > now - std::int64_t(kSlices) && slice.number <= now;
    requests += isInsideWindow ? slice.requests : 0;
  }
  return kSafetyFactor *
         (this->settings.ratio * requests +
          this->settings.extra / static_cast<double>(this->gateways));
}

double
RetryWindow::CountRetries(TimePoint aNow) const
{
  const std::int64_t now = this->SliceNumberAt(aNow);
  double retries = 0;
  for (const Slice& slice : this->slices) {
    const bool overlapsWindow =
      slice.number >= now - std::int64_t(kSlices) && slice.number <= now;
    retries += overlapsWindow ? slice.retries : 0;
  }
  return retries;
}

bool
RetryWindow::HasRoom(TimePoint aNow)
{
  return this->CountRetries(aNow) + 1 <= this->AllowedRetries(aNow);
}

bool
RetryWindow::TryTake(TimePoint aNow)
{
  if (!this->HasRoom(aNow)) {
    return false;
  }
  ++this->SliceAt(aNow).retries;
  return true;
}

} // namespace dogwoodvale
