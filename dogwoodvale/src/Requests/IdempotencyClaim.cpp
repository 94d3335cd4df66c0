#include "IdempotencyClaim.h"

#include <charconv>
#include <utility>

namespace dogwoodvale {

namespace {

/// A create, two read-backs and a second create recover from any single lost
/// reply; after that the store is treated as unavailable.
constexpr std::uint32_t kMaxOperations = 4;

} // namespace

std::string
EncodeClaim(const ClaimRecord& aRecord)
{
  return fmt::format(
    "{} {}", dogwoodvale::ToString(aRecord.writer), aRecord.createdMillis);
}

std::optional<ClaimRecord>
ParseClaim(std::string_view aText)
{
  const std::size_t separator = aText.find(' ');
  if (separator == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<RequestId> writer =
    ParseRequestId(aText.substr(0, separator));
  const std::string_view number = aText.substr(separator + 1);
  ClaimRecord record;
  const char* end = number.data() + number.size();
  const auto [stop, error] =
    std::from_chars(number.data(), end, record.createdMillis);
  if (!writer || error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  record.writer = *writer;
  return record;
}

IdempotencyClaim::IdempotencyClaim(std::string aKey, const ClaimRecord& aRecord)
  : key(std::move(aKey))
  , record(aRecord)
{
}

ClaimStep
IdempotencyClaim::OnReply(const ClaimReply& aReply)
{
  ++this->operations;
  if (this->step == ClaimStep::Create) {
    this->step = this->OnCreateReply(aReply);
  } else if (this->step == ClaimStep::Read) {
    this->step = this->OnReadReply(aReply);
  }
  const bool isOpen =
    this->step == ClaimStep::Create || this->step == ClaimStep::Read;
  if (isOpen && this->operations >= kMaxOperations) {
    this->step = ClaimStep::Refuse;
  }
  return this->step;
}

bool
IdempotencyClaim::NeedsRelease(Disposition aFinal) const
{
  return this->mayExist && aFinal == Disposition::NotRun;
}

ClaimStep
IdempotencyClaim::OnCreateReply(const ClaimReply& aReply)
{
  switch (aReply.kind) {
    case ClaimReply::Kind::Created:
      this->mayExist = true;
      return ClaimStep::Proceed;
    case ClaimReply::Kind::Exists:
      return this->ResolveHolder(aReply.record);
    case ClaimReply::Kind::Unavailable:
      return ClaimStep::Refuse;
    case ClaimReply::Kind::Absent:
    case ClaimReply::Kind::Unknown:
      break;
  }
  this->mayExist = true;
  return ClaimStep::Read;
}

ClaimStep
IdempotencyClaim::OnReadReply(const ClaimReply& aReply)
{
  switch (aReply.kind) {
    case ClaimReply::Kind::Exists:
      return this->ResolveHolder(aReply.record);
    case ClaimReply::Kind::Absent:
      // The first create may still be in flight. A second one is safe: only one
      // of them takes effect, and both name this request.
      return ClaimStep::Create;
    case ClaimReply::Kind::Created:
    case ClaimReply::Kind::Unknown:
    case ClaimReply::Kind::Unavailable:
      break;
  }
  return ClaimStep::Read;
}

ClaimStep
IdempotencyClaim::ResolveHolder(const std::optional<ClaimRecord>& aFound)
{
  if (!aFound) {
    // The record is malformed, so its holder can't be determined.
    return ClaimStep::Refuse;
  }
  if (aFound->writer == this->record.writer) {
    this->mayExist = true;
    return ClaimStep::Proceed;
  }
  this->mayExist = false;
  this->owner = aFound;
  return ClaimStep::Duplicate;
}

} // namespace dogwoodvale
