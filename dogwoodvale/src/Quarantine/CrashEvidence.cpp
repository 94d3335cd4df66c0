#include "CrashEvidence.h"

#include <xxhash.h>

namespace dogwoodvale {

ServerKey
ServerKeyOf(const InstanceName& aInstance)
{
  return XXH3_64bits(aInstance.Value().data(), aInstance.Value().size());
}

std::optional<CrashWeight>
WeighBreak(const BrokenAttempt& aBroken)
{
  if (aBroken.hasPart) {
    return CrashWeight::Late;
  }
  if (aBroken.hasHead) {
    return CrashWeight::Early;
  }
  if (aBroken.timedOut || aBroken.after < kMinRunTime) {
    return std::nullopt;
  }
  return CrashWeight::Early;
}

} // namespace dogwoodvale
