#ifndef DOGWOODVALE_STORE_STORECONTACT_H
#define DOGWOODVALE_STORE_STORECONTACT_H

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Whether the store answers this process, by the outcome of every call.
///
/// A store that was unreachable may never answer a long poll that it received,
/// or should have answered, meanwhile, although the connection stays open.
/// Owners of such calls listen here and send them again.
class StoreContact
{
public:
  explicit StoreContact(EventLoop& aLoop);

  /// A call has ended. \param aAnswered whether a complete response arrived,
  /// whatever its status.
  void OnCallEnded(bool aAnswered);

  /// \param aListener is called, from the event loop, when a call is answered
  /// after one that was not.
  void Add(const void* aOwner, Listeners::Callback aListener);
  void Remove(const void* aOwner) { this->listeners.Remove(aOwner); }

private:
  bool isLost = false;
  Listeners listeners;
  Timer notify;
};

} // namespace dogwoodvale

#endif
