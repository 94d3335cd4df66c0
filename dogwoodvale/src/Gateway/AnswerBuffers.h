#ifndef DOGWOODVALE_GATEWAY_ANSWERBUFFERS_H
#define DOGWOODVALE_GATEWAY_ANSWERBUFFERS_H

#include <cstddef>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Bounds the memory of all answers that are held until they are complete.
///
/// When the limit is reached, the largest answer is given up: servers that send
/// without end outgrow all others.
class AnswerBuffers
{
public:
  /// Something that holds an answer; it removes itself when it no longer does.
  class Holder
  {
  public:
    virtual ~Holder() = default;
    /// Frees its answer. Called with the holder already removed; it may be
    /// destroyed in this call.
    virtual void OnEvicted() = 0;
  };

  explicit AnswerBuffers(std::size_t aLimit)
    : limit(aLimit)
  {
  }

  /// The holder is about to hold \p aBytes more; evicts others to make room.
  /// \return false if \p aHolder itself is the largest; it is removed then.
  [[nodiscard]] bool Grow(Holder& aHolder, std::size_t aBytes);
  void Remove(Holder& aHolder);

  /// Bytes held by all holders.
  std::size_t Held() const { return this->held; }

private:
  Holder& Largest() const;

  std::size_t limit;
  std::size_t held = 0;
  absl::flat_hash_map<Holder*, std::size_t> bytesOf;
};

} // namespace dogwoodvale

#endif
