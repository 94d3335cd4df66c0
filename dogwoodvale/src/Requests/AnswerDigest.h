#ifndef DOGWOODVALE_REQUESTS_ANSWERDIGEST_H
#define DOGWOODVALE_REQUESTS_ANSWERDIGEST_H

#include <cstdint>
#include <memory>
#include <string_view>

#include "dogwoodvale/Core"

struct XXH3_state_s;

namespace dogwoodvale {

/// Running checksum (XXH3, 64 bits) and count over the chunks of one answer.
/// The sidecar sends both in the last message, the entry verifies them.
///
/// The checksum covers the request's id, so that the last message of one
/// request's answer never validates another's.
class AnswerDigest
{
public:
  explicit AnswerDigest(const RequestId& aId);
  ~AnswerDigest();
  AnswerDigest(AnswerDigest&&) noexcept;
  AnswerDigest& operator=(AnswerDigest&&) noexcept;

  void Add(std::string_view aChunk);

  /// Chunks added.
  std::uint64_t Count() const { return this->count; }
  std::uint64_t Value() const;

private:
  struct FreeState
  {
    void operator()(XXH3_state_s* aState) const;
  };

  std::unique_ptr<XXH3_state_s, FreeState> state;
  std::uint64_t count = 0;
};

} // namespace dogwoodvale

#endif
