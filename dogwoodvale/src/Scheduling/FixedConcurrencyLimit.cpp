#include "FixedConcurrencyLimit.h"

namespace dogwoodvale {

absl::StatusOr<FixedConcurrencyLimit>
FixedConcurrencyLimit::Create(std::uint32_t aLimit)
{
  if (aLimit == 0) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "the concurrency limit must be at least 1");
  }
  return FixedConcurrencyLimit(aLimit);
}

void
FixedConcurrencyLimit::OnStart(TimePoint)
{
  ++this->inFlight;
}

void
FixedConcurrencyLimit::OnFirstToken(Duration, std::uint32_t)
{
}

void
FixedConcurrencyLimit::OnToken(Duration)
{
}

void
FixedConcurrencyLimit::OnFinish(TimePoint)
{
  if (this->inFlight > 0) {
    --this->inFlight;
  }
}

void
FixedConcurrencyLimit::OnFinishWithoutFirstToken(TimePoint aNow)
{
  this->OnFinish(aNow);
}

} // namespace dogwoodvale
