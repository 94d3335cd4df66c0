#include "dogwoodvale/Control"

#include <optional>

namespace dogwoodvale {

absl::StatusOr<RangeResult>
StoreSession::Range(const RangeQuery& aQuery)
{
  std::optional<absl::StatusOr<RangeResult>> answer;
  const auto call =
    this->store.Range(aQuery, [&](absl::StatusOr<RangeResult> aResult) {
      answer = std::move(aResult);
    });
  if (!this->loop.RunUntil([&] { return answer.has_value(); }, this->timeout)) {
    return absl::DeadlineExceededError("the store does not answer");
  }
  return *std::move(answer);
}

absl::StatusOr<RangeResult>
StoreSession::ReadKeys(std::span<const std::string> aKeys)
{
  std::optional<absl::StatusOr<RangeResult>> answer;
  const auto call =
    this->store.ReadKeys(aKeys, [&](absl::StatusOr<RangeResult> aResult) {
      answer = std::move(aResult);
    });
  if (!this->loop.RunUntil([&] { return answer.has_value(); }, this->timeout)) {
    return absl::DeadlineExceededError("the store does not answer");
  }
  return *std::move(answer);
}

WriteResult
StoreSession::Commit(const Transaction& aTransaction)
{
  std::optional<WriteResult> answer;
  const auto call = this->store.Commit(
    aTransaction, [&](const WriteResult& aResult) { answer = aResult; });
  if (!this->loop.RunUntil([&] { return answer.has_value(); }, this->timeout)) {
    return { .outcome = WriteOutcome::Unknown,
             .status = absl::DeadlineExceededError("the store does not answer"),
             .reads = {} };
  }
  return *std::move(answer);
}

void
StoreSession::Pause(int aTry)
{
  this->loop.RunUntil([] { return false; }, this->pause * (1 << aTry));
}

} // namespace dogwoodvale
