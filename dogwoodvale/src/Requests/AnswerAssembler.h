#ifndef DOGWOODVALE_REQUESTS_ANSWERASSEMBLER_H
#define DOGWOODVALE_REQUESTS_ANSWERASSEMBLER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "AnswerDigest.h"
#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Verifies that the chunks of an answer are complete, in order and belong to
/// the request, over one or more attempts.
///
/// Call BeginAttempt() first; a later attempt continues after the chunks that
/// were already delivered.
class AnswerAssembler
{
public:
  /// \param aMaxResumeBytes size limit of the text buffered for a resume; a
  /// longer answer can't be resumed, but is still verified.
  explicit AnswerAssembler(std::size_t aMaxResumeBytes);

  /// Starts an attempt: only chunks of \p aId are accepted from here on, and
  /// their sequence numbers start at 0. No effect on a complete answer.
  void BeginAttempt(const RequestId& aId);

  /// Adds the next chunk. \return OK if it may be delivered to the caller;
  /// DataLoss for a gap, a duplicate or a chunk after the end, which fails the
  /// attempt; FailedPrecondition for a chunk of another id (late or
  /// misdirected), which changes nothing.
  absl::Status Add(const RequestId& aId,
                   std::uint64_t aSequence,
                   std::string_view aChunk,
                   std::uint32_t aTokens);

  /// Ends the attempt. \return OK only if chunk count and checksum both match;
  /// only then may the caller's answer end as complete. Other codes as in
  /// Add().
  absl::Status Finish(const RequestId& aId,
                      std::uint64_t aCount,
                      std::uint64_t aChecksum);

  bool IsComplete() const { return this->state == State::Complete; }

  /// Whether the answer is incomplete and all delivered text is still buffered.
  bool CanResume() const { return !this->overflowed && !this->IsComplete(); }
  /// Text delivered over all attempts; empty if it exceeded the size limit.
  std::string_view Delivered() const { return this->delivered; }
  std::uint64_t DeliveredTokens() const { return this->deliveredTokens; }

private:
  enum class State : std::uint8_t
  {
    Idle,
    Receiving,
    Failed,
    Complete,
  };

  absl::Status CheckReceiving(const RequestId& aId) const;
  absl::Status Fail(std::string_view aWhat);
  void Buffer(std::string_view aChunk);

  std::size_t maxResumeBytes;
  State state = State::Idle;
  RequestId id;
  std::optional<AnswerDigest> digest;
  std::string delivered;
  std::uint64_t deliveredTokens = 0;
  bool overflowed = false;
};

} // namespace dogwoodvale

#endif
