#ifndef DOGWOODVALE_CORE_TRANSFERLIMIT_H
#define DOGWOODVALE_CORE_TRANSFERLIMIT_H

#include <cstddef>

namespace dogwoodvale {

/// Tells a transfer that makes progress from one that stands still.
///
/// A limit on the whole time would give up each document that is larger, or
/// whose link is fuller, than the limit allows for, and the next try would
/// begin with its first byte. Asked at fixed periods; the first answer must
/// begin within one.
class TransferLimit
{
public:
  /// \param aReceived bytes since the transfer's start.
  /// \return whether enough came since the last check to go on.
  bool Check(std::size_t aReceived)
  {
    const bool goesOn = aReceived >= this->before + kLeastBytes;
    this->before = aReceived;
    return goesOn;
  }

  /// Of one period. An answer that trickles in below this rate is as good as
  /// none.
  static constexpr std::size_t kLeastBytes = 4096;

private:
  std::size_t before = 0;
};

} // namespace dogwoodvale

#endif
