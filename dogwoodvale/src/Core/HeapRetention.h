#ifndef DOGWOODVALE_CORE_HEAPRETENTION_H
#define DOGWOODVALE_CORE_HEAPRETENTION_H

namespace dogwoodvale {

/// Makes the allocator return large blocks to the system as they are freed, and
/// the unused end of the heap. Its own thresholds grow with the largest block
/// that was ever freed, so that after a few large bodies all others come from
/// the heap and stay resident between what is still in use.
/// Call once, before the first large allocation.
void
LimitHeapRetention();

} // namespace dogwoodvale

#endif
