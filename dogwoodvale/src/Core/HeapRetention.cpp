#include "HeapRetention.h"

#include <malloc.h>

namespace dogwoodvale {

void
LimitHeapRetention()
{
  constexpr int kMappedFrom = 128 << 10;
  constexpr int kKeptAtEnd = 512 << 10;
  mallopt(M_MMAP_THRESHOLD, kMappedFrom);
  mallopt(M_TRIM_THRESHOLD, kKeptAtEnd);
}

} // namespace dogwoodvale
