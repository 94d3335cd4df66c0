#include "Listeners.h"

#include <utility>

namespace dogwoodvale {

void
Listeners::Add(const void* aOwner, Callback aCallback)
{
  this->callbacks[aOwner] = std::move(aCallback);
}

void
Listeners::CallAll() const
{
  const std::map<const void*, Callback> called = this->callbacks;
  for (const auto& [owner, callback] : called) {
    // One callback may have removed another.
    if (this->callbacks.contains(owner)) {
      callback();
    }
  }
}

} // namespace dogwoodvale
