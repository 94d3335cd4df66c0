#ifndef DOGWOODVALE_PLACEMENT_MEMORYADMISSION_H
#define DOGWOODVALE_PLACEMENT_MEMORYADMISSION_H

#include <cstdint>

namespace dogwoodvale {

/// What the requests at a server and on their way there take of its memory.
struct MemoryUse
{
  /// Tokens of all of them, see BackendWork::uncachedMemoryTokens.
  std::uint64_t heldTokens = 0;
  /// Their number.
  std::uint32_t requests = 0;
  /// Requests that the server processes concurrently; 0 while unknown.
  std::uint32_t slots = 0;
};

/// Whether a server's KV cache is expected to overflow if it gets a request. An
/// engine whose cache is full preempts requests in the middle of their streams
/// and later computes what it has dropped again.
///
/// Requests that wait for a slot hold no memory yet: of more requests than
/// slots the mean of as many as there are slots counts.
/// \param aCacheTokens capacity of the server's KV cache; 0 while unknown: the
/// answer is then false.
/// \param aAddedTokens tokens that the request takes in addition, of the part
/// of its prompt that is not cached there and of its answer.
bool
LacksMemory(std::uint64_t aCacheTokens,
            const MemoryUse& aUse,
            std::uint64_t aAddedTokens);

} // namespace dogwoodvale

#endif
