#include "BodyBuffer.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale::internal {

void
BodyBuffer::Start(std::size_t aExpected)
{
  this->Clear();
  if (aExpected > 0) {
    this->firstBlock = std::min(aExpected, kFirstBlock);
  }
}

std::size_t
BodyBuffer::Room() const
{
  return this->blocks.empty()
           ? 0
           : this->blocks.back().capacity() - this->blocks.back().size();
}

std::size_t
BodyBuffer::NextBlock(std::size_t aBytes) const
{
  const std::size_t doubled =
    this->blocks.empty() ? this->firstBlock : this->capacity;
  return std::clamp(aBytes, std::min(doubled, kMaxBlock), kMaxBlock);
}

std::size_t
BodyBuffer::GrowthFor(std::size_t aBytes) const
{
  const std::size_t room = this->Room();
  if (aBytes <= room) {
    return 0;
  }
  const std::size_t rest = aBytes - room;
  return std::max(this->NextBlock(rest), rest);
}

void
BodyBuffer::Append(std::string_view aBytes)
{
  this->size += aBytes.size();
  while (!aBytes.empty()) {
    if (this->Room() == 0) {
      this->blocks.emplace_back();
      this->blocks.back().reserve(this->NextBlock(aBytes.size()));
      this->capacity += this->blocks.back().capacity();
    }
    const std::size_t taken = std::min(aBytes.size(), this->Room());
    this->blocks.back().append(aBytes.substr(0, taken));
    aBytes.remove_prefix(taken);
  }
}

std::string
BodyBuffer::Take()
{
  std::string joined;
  if (this->blocks.size() == 1) {
    joined = std::move(this->blocks.front());
  } else {
    joined.reserve(this->size);
    for (std::string& block : this->blocks) {
      joined += block;
      std::string().swap(block);
    }
  }
  this->Clear();
  return joined;
}

void
BodyBuffer::Clear()
{
  std::vector<std::string>().swap(this->blocks);
  this->size = 0;
  this->capacity = 0;
  this->firstBlock = kFirstBlock;
}

} // namespace dogwoodvale::internal
