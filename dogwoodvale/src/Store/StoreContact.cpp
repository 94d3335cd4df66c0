#include "StoreContact.h"

#include <utility>

namespace dogwoodvale {

StoreContact::StoreContact(EventLoop& aLoop)
  : notify(
      aLoop,
      [this] { this->listeners.CallAll(); },
      EventPriority::Control)
{
}

void
StoreContact::OnCallEnded(bool aAnswered)
{
  const bool wasLost = std::exchange(this->isLost, !aAnswered);
  if (wasLost && aAnswered) {
    this->notify.StartOnce(Duration::zero());
  }
}

void
StoreContact::Add(const void* aOwner, Listeners::Callback aListener)
{
  this->listeners.Add(aOwner, std::move(aListener));
}

} // namespace dogwoodvale
