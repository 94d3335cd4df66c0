#ifndef DOGWOODVALE_HTTP_BODYBUFFER_H
#define DOGWOODVALE_HTTP_BODYBUFFER_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvale::internal {

/// A message's body as it arrives.
///
/// Held in blocks: a string that doubles holds up to twice the body, and three
/// times while it is copied.
class BodyBuffer
{
public:
  /// \param aExpected bytes that are to come, if known; only the size of the
  /// first block depends on it, since a sender may never send them.
  void Start(std::size_t aExpected);

  void Append(std::string_view aBytes);
  /// Memory that Append() would take for that many bytes more.
  std::size_t GrowthFor(std::size_t aBytes) const;

  std::size_t Size() const { return this->size; }
  /// Memory of all blocks, which may be more than their bytes.
  std::size_t Capacity() const { return this->capacity; }

  /// Joins the blocks, each of which is freed once it is copied.
  std::string Take();
  void Clear();

  /// Blocks of this size have mappings of their own, see LimitHeapRetention().
  static constexpr std::size_t kMaxBlock = 128U << 10U;
  static constexpr std::size_t kFirstBlock = 4U << 10U;

private:
  std::size_t NextBlock(std::size_t aBytes) const;
  std::size_t Room() const;

  std::vector<std::string> blocks;
  std::size_t size = 0;
  std::size_t capacity = 0;
  std::size_t firstBlock = kFirstBlock;
};

} // namespace dogwoodvale::internal

#endif
