#ifndef DOGWOODVALE_CORE_LISTENERS_H
#define DOGWOODVALE_CORE_LISTENERS_H

#include <functional>
#include <map>

namespace dogwoodvale {

/// Callbacks by owner, e.g. of an object that outlives the parts that follow
/// it. A callback may add and remove any of them.
class Listeners
{
public:
  using Callback = std::function<void()>;

  /// \param aOwner names the callback, to remove it; replaces its earlier one.
  void Add(const void* aOwner, Callback aCallback);
  void Remove(const void* aOwner) { this->callbacks.erase(aOwner); }
  void CallAll() const;

private:
  std::map<const void*, Callback> callbacks;
};

} // namespace dogwoodvale

#endif
