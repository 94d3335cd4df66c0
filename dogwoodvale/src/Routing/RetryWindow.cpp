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
    this->parts.fill(Part{});
  }
  this->settings = aSettings;
}

void
RetryWindow::SetGateways(std::size_t aCount)
{
  this->gateways = std::max<std::size_t>(aCount, 1);
}

std::int64_t
RetryWindow::NumberAt(TimePoint aNow) const
{
  const Duration length =
    std::max(this->settings.window / std::int64_t(kParts), Duration(1));
  return Between(TimePoint{}, aNow) / length;
}

RetryWindow::Part&
RetryWindow::PartAt(TimePoint aNow)
{
  const std::int64_t number = this->NumberAt(aNow);
  Part& part = this->parts[static_cast<std::size_t>(number) % (kParts + 1)];
  if (part.number != number) {
    part = Part{ number, 0, 0 };
  }
  return part;
}

void
RetryWindow::OnRequest(TimePoint aNow)
{
  ++this->PartAt(aNow).requests;
}

double
RetryWindow::Allowed(TimePoint aNow) const
{
  const std::int64_t now = this->NumberAt(aNow);
  double requests = 0;
  for (const Part& part : this->parts) {
    const bool isInside =
      part.number > now - std::int64_t(kParts) && part.number <= now;
    requests += isInside ? part.requests : 0;
  }
  return kUsedShare *
         (this->settings.ratio * requests +
          this->settings.extra / static_cast<double>(this->gateways));
}

double
RetryWindow::Taken(TimePoint aNow) const
{
  const std::int64_t now = this->NumberAt(aNow);
  double retries = 0;
  for (const Part& part : this->parts) {
    const bool touches =
      part.number >= now - std::int64_t(kParts) && part.number <= now;
    retries += touches ? part.retries : 0;
  }
  return retries;
}

bool
RetryWindow::HasRoom(TimePoint aNow)
{
  return this->Taken(aNow) + 1 <= this->Allowed(aNow);
}

bool
RetryWindow::TryTake(TimePoint aNow)
{
  if (!this->HasRoom(aNow)) {
    return false;
  }
  ++this->PartAt(aNow).retries;
  return true;
}

} // namespace dogwoodvale
