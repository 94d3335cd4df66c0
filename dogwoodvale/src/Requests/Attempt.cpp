#include "Attempt.h"

namespace dogwoodvale {

Attempt::Attempt(const RequestId& aId, Incarnation aTarget)
  : id(aId)
  , target(aTarget)
{
}

Disposition
Attempt::CurrentDisposition() const
{
  return !this->written || this->barred ? Disposition::NotRun
                                        : Disposition::MayHaveRun;
}

void
Attempt::OnDispositionReported(Incarnation aReporter, Disposition aDisposition)
{
  if (this->settled) {
    return;
  }
  this->settled = true;
  this->barred =
    aReporter == this->target && aDisposition == Disposition::NotRun;
}

} // namespace dogwoodvale
