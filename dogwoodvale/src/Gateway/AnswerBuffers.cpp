#include "AnswerBuffers.h"

#include <algorithm>

namespace dogwoodvale {

bool
AnswerBuffers::Grow(Holder& aHolder, std::size_t aBytes)
{
  this->bytesOf[&aHolder] += aBytes;
  this->held += aBytes;
  while (this->held > this->limit) {
    Holder& largest = this->Largest();
    this->Remove(largest);
    if (&largest == &aHolder) {
      return false;
    }
    largest.OnEvicted();
  }
  return true;
}

void
AnswerBuffers::Remove(Holder& aHolder)
{
  const auto found = this->bytesOf.find(&aHolder);
  if (found != this->bytesOf.end()) {
    this->held -= found->second;
    this->bytesOf.erase(found);
  }
}

AnswerBuffers::Holder&
AnswerBuffers::Largest() const
{
  const auto found = std::ranges::max_element(
    this->bytesOf, {}, [](const auto& aItem) { return aItem.second; });
  return *found->first;
}

} // namespace dogwoodvale
