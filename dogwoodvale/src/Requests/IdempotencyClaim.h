#ifndef DOGWOODVALE_REQUESTS_IDEMPOTENCYCLAIM_H
#define DOGWOODVALE_REQUESTS_IDEMPOTENCYCLAIM_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// The store's record for an idempotency key: which request may run.
struct ClaimRecord
{
  /// The permanent holder of the claim: the id of the request's first attempt,
  /// which includes the entry's incarnation.
  RequestId writer;
  /// Wall-clock milliseconds; used only to collect expired claims.
  std::int64_t createdMillis = 0;

  bool operator==(const ClaimRecord&) const = default;
};

/// The text representation of a claim in the store.
std::string
EncodeClaim(const ClaimRecord& aRecord);

/// \return nullopt if the text is malformed.
std::optional<ClaimRecord>
ParseClaim(std::string_view aText);

/// The store's reply to the last requested operation.
struct ClaimReply
{
  enum class Kind : std::uint8_t
  {
    /// Create: the record was created.
    Created,
    /// Create or Read: a record exists.
    Exists,
    /// Read: no record exists.
    Absent,
    /// Create: may have taken effect, or may still do so. Read: failed.
    Unknown,
    /// Nothing was sent, so the operation has no effect, now or later.
    Unavailable,
  };

  Kind kind = Kind::Unknown;
  /// Set with Exists, unless the stored text was malformed.
  std::optional<ClaimRecord> record;
};

/// The next operation on a claim.
enum class ClaimStep : std::uint8_t
{
  /// Write Record() to Key() if the key does not exist.
  Create,
  /// Read Key().
  Read,
  /// The claim is held: this entry, and no other, may send the request.
  Proceed,
  /// Another request holds the claim, see Owner(). Answer DuplicateKey with
  /// MayHaveRun, since that request may have run.
  Duplicate,
  /// The store can't determine the holder. Answer StoreUnavailable; the
  /// request was not run.
  Refuse,
};

/// State machine that acquires the claim of one request with an idempotency
/// key.
///
/// The claim is created before the request is forwarded and is never
/// transferred, so two repeats of one request can't both be sent. If the reply
/// to the creation is lost, the record is read back to find the holder.
class IdempotencyClaim
{
public:
  /// \param aKey the full key in the store.
  IdempotencyClaim(std::string aKey, const ClaimRecord& aRecord);

  const std::string& Key() const { return this->key; }
  const ClaimRecord& Record() const { return this->record; }
  ClaimStep Step() const { return this->step; }
  /// With Duplicate: the record of the holder.
  const std::optional<ClaimRecord>& Owner() const { return this->owner; }

  /// Processes the reply to the operation that Step() requested. \return the
  /// new step.
  ClaimStep OnReply(const ClaimReply& aReply);

  /// Whether the store may hold this request's record although the request
  /// will not run. If so, delete Key() if it still holds Record(); otherwise
  /// repeats are rejected as duplicates until the claim expires.
  /// \param aFinal the disposition reported to the caller.
  bool NeedsRelease(Disposition aFinal) const;

private:
  ClaimStep OnCreateReply(const ClaimReply& aReply);
  ClaimStep OnReadReply(const ClaimReply& aReply);
  ClaimStep ResolveHolder(const std::optional<ClaimRecord>& aFound);

  std::string key;
  ClaimRecord record;
  ClaimStep step = ClaimStep::Create;
  std::optional<ClaimRecord> owner;
  std::uint32_t operations = 0;
  bool mayExist = false;
};

} // namespace dogwoodvale

#endif
