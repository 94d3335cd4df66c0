#include "IdempotencyClaim.h"

#include <charconv>
#include <utility>

namespace dogwoodvale {

namespace {

/// A create, two read-backs and a second create are enough for any one lost
/// reply; beyond that the store counts as unavailable.
constexpr std::uint32_t kMostOperations = 4;

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
  const std::size_t blank = aText.find(' ');
  if (blank == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<RequestId> writer =
    ParseRequestId(aText.substr(0, blank));
  const std::string_view number = aText.substr(blank + 1);
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
  if (isOpen && this->operations >= kMostOperations) {
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
      return this->Settle(aReply.record);
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
      return this->Settle(aReply.record);
    case ClaimReply::Kind::Absent:
      // The creation may still be on its way. A second one is harmless: of the
      // two one takes effect, and both name this request.
      return ClaimStep::Create;
    case ClaimReply::Kind::Created:
    case ClaimReply::Kind::Unknown:
    case ClaimReply::Kind::Unavailable:
      break;
  }
  return ClaimStep::Read;
}

ClaimStep
IdempotencyClaim::Settle(const std::optional<ClaimRecord>& aFound)
{
  if (!aFound) {
    // Something unreadable is there: nobody can tell whose it is.
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
