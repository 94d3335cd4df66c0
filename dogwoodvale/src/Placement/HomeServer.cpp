#include "HomeServer.h"

#include <xxhash.h>

namespace dogwoodvale {

std::uint64_t
HomeScore(PrefixHash aPart, const InstanceName& aInstance)
{
  return XXH3_64bits_withSeed(
    aInstance.Value().data(), aInstance.Value().size(), aPart);
}

} // namespace dogwoodvale
