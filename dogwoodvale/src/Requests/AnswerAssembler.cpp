#include "AnswerAssembler.h"

namespace dogwoodvale {

AnswerAssembler::AnswerAssembler(std::size_t aMaxResumeBytes)
  : maxResumeBytes(aMaxResumeBytes)
{
}

void
AnswerAssembler::BeginAttempt(const RequestId& aId)
{
  if (this->state == State::Complete) {
    return;
  }
  this->id = aId;
  this->digest.emplace(aId);
  this->state = State::Receiving;
}

absl::Status
AnswerAssembler::Add(const RequestId& aId,
                     std::uint64_t aSequence,
                     std::string_view aChunk,
                     std::uint32_t aTokens)
{
  absl::Status receiving = this->CheckReceiving(aId);
  if (!receiving.ok()) {
    return receiving;
  }
  if (aSequence != this->digest->Count()) {
    return this->Fail("chunk out of sequence");
  }
  this->digest->Add(aChunk);
  this->deliveredTokens += aTokens;
  this->Buffer(aChunk);
  return absl::OkStatus();
}

absl::Status
AnswerAssembler::Finish(const RequestId& aId,
                        std::uint64_t aCount,
                        std::uint64_t aChecksum)
{
  absl::Status receiving = this->CheckReceiving(aId);
  if (!receiving.ok()) {
    return receiving;
  }
  if (aCount != this->digest->Count()) {
    return this->Fail("wrong count of chunks");
  }
  if (aChecksum != this->digest->Value()) {
    return this->Fail("wrong checksum");
  }
  this->state = State::Complete;
  return absl::OkStatus();
}

absl::Status
AnswerAssembler::CheckReceiving(const RequestId& aId) const
{
  if (this->state == State::Idle || aId != this->id) {
    return MakeError(absl::StatusCode::kFailedPrecondition,
                     "chunk of another attempt, {}",
                     dogwoodvale::ToString(aId));
  }
  if (this->state != State::Receiving) {
    return MakeError(absl::StatusCode::kDataLoss,
                     "chunk after the end of {}",
                     dogwoodvale::ToString(aId));
  }
  return absl::OkStatus();
}

absl::Status
AnswerAssembler::Fail(std::string_view aWhat)
{
  this->state = State::Failed;
  return MakeError(absl::StatusCode::kDataLoss,
                   "{} after {} chunks of {}",
                   aWhat,
                   this->digest->Count(),
                   dogwoodvale::ToString(this->id));
}

void
AnswerAssembler::Buffer(std::string_view aChunk)
{
  if (this->overflowed) {
    return;
  }
  if (this->delivered.size() + aChunk.size() > this->maxResumeBytes) {
    this->overflowed = true;
    this->delivered.clear();
    this->delivered.shrink_to_fit();
    return;
  }
  this->delivered.append(aChunk);
}

} // namespace dogwoodvale
