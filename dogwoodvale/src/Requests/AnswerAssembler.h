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

/// Checks that the chunks of an answer are all there, in order and the
/// request's own, over one or more attempts.
///
/// Call BeginAttempt() first; a later attempt resumes after what was delivered.
class AnswerAssembler
{
public:
  /// \param aKeepBytes the most text kept for a resume; an answer that grows
  /// beyond it can't be resumed, but is checked all the same.
  explicit AnswerAssembler(std::size_t aKeepBytes);

  /// From now on only chunks of \p aId are taken, counted from 0 again.
  void BeginAttempt(const RequestId& aId);

  /// Takes the next chunk. \return OK when it may be delivered to the caller;
  /// DataLoss for a gap, a duplicate or a chunk after the end, which ends the
  /// attempt; FailedPrecondition for a chunk of another id, which is late or
  /// crossed and changes nothing.
  absl::Status Add(const RequestId& aId,
                   std::uint64_t aSequence,
                   std::string_view aChunk,
                   std::uint32_t aTokens);

  /// The attempt's end. \return OK only when count and checksum both fit; only
  /// then may the caller's answer end as complete. Other codes as in Add().
  absl::Status Finish(const RequestId& aId,
                      std::uint64_t aCount,
                      std::uint64_t aChecksum);

  bool IsComplete() const { return this->state == State::Complete; }

  /// Whether all that was delivered is still kept.
  bool CanResume() const { return !this->overflowed && !this->IsComplete(); }
  /// All chunks delivered, over all attempts; empty when there were too many.
  std::string_view Delivered() const { return this->delivered; }
  std::uint64_t DeliveredTokens() const { return this->deliveredTokens; }

private:
  enum class State : std::uint8_t
  {
    Idle,
    Receiving,
    Broken,
    Complete,
  };

  absl::Status CheckReceiving(const RequestId& aId) const;
  absl::Status Break(std::string_view aWhat);
  void Keep(std::string_view aChunk);

  std::size_t keepBytes;
  State state = State::Idle;
  RequestId id;
  std::optional<AnswerDigest> digest;
  std::string delivered;
  std::uint64_t deliveredTokens = 0;
  bool overflowed = false;
};

} // namespace dogwoodvale

#endif
