#ifndef DOGWOODVALE_HTTP_GRAVEYARD_H
#define DOGWOODVALE_HTTP_GRAVEYARD_H

#include <memory>
#include <utility>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale::internal {

/// Destroys objects on the loop's next turn.
///
/// Without it, an object that is given up inside its own callback would go
/// while its methods are still on the stack.
template<class T>
class Graveyard
{
public:
  explicit Graveyard(EventLoop& aLoop)
    : sweep(aLoop,
            [this] { std::vector<std::unique_ptr<T>>().swap(this->dead); })
  {
  }

  void Bury(std::unique_ptr<T> aObject)
  {
    this->dead.push_back(std::move(aObject));
    this->sweep.StartOnce(Duration::zero());
  }

private:
  std::vector<std::unique_ptr<T>> dead;
  Timer sweep;
};

} // namespace dogwoodvale::internal

#endif
