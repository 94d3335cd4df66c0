#ifndef DOGWOODVALE_REQUESTS_IDEMPOTENCYCLAIM_H
#define DOGWOODVALE_REQUESTS_IDEMPOTENCYCLAIM_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// What the store holds under an idempotency key: who may run the request.
struct ClaimRecord
{
  /// The request that holds the claim, for ever; its first attempt's id, which
  /// carries the entry's incarnation.
  RequestId writer;
  /// Wall-clock milliseconds, for collection by age only.
  std::int64_t createdMillis = 0;

  bool operator==(const ClaimRecord&) const = default;
};

/// The text that the store holds, and back; nothing if malformed.
std::string
EncodeClaim(const ClaimRecord& aRecord);
std::optional<ClaimRecord>
ParseClaim(std::string_view aText);

/// What the store answered to the operation last asked for.
struct ClaimReply
{
  enum class Kind : std::uint8_t
  {
    /// Create: the record is now there.
    Created,
    /// Create or Read: there is a record.
    Exists,
    /// Read: there is none.
    Absent,
    /// Create: it may or may not have taken effect, or will yet. Read: failed.
    Unknown,
    /// It has not and will not take effect: nothing was sent.
    Unavailable,
  };

  Kind kind = Kind::Unknown;
  /// With Exists.
  std::optional<ClaimRecord> record;
};

/// What to do next about a claim.
enum class ClaimStep : std::uint8_t
{
  /// Put Record() under Key() if nothing is there.
  Create,
  /// Read Key().
  Read,
  /// The claim is held: the request may be sent, by this entry only.
  Proceed,
  /// Another request holds the claim, see Owner(): answer DuplicateKey, as
  /// MayHaveRun, for that other one may have.
  Duplicate,
  /// Not run: the store can't tell. Answer StoreUnavailable.
  Refuse,
};

/// One keyed request's way to its claim in the store.
///
/// The claim is created before the request is sent on, and never passes to
/// another request, so two repeats of one request can't both be sent. A lost
/// reply to the creation is settled by reading back who is there.
class IdempotencyClaim
{
public:
  /// \param aKey the full key in the store.
  IdempotencyClaim(std::string aKey, const ClaimRecord& aRecord);

  const std::string& Key() const { return this->key; }
  const ClaimRecord& Record() const { return this->record; }
  ClaimStep Step() const { return this->step; }
  /// With Duplicate: who holds the claim.
  const std::optional<ClaimRecord>& Owner() const { return this->owner; }

  /// Takes the reply to the operation that Step() asked for. \return the new
  /// step.
  ClaimStep OnReply(const ClaimReply& aReply);

  /// Whether the store may hold this request's record though it will not run:
  /// then delete Key() if it still holds Record(), else repeats of the request
  /// meet a claim that nobody acts on, until it is collected.
  /// \param aFinal what the caller is told.
  bool NeedsRelease(Disposition aFinal) const;

private:
  ClaimStep OnCreateReply(const ClaimReply& aReply);
  ClaimStep OnReadReply(const ClaimReply& aReply);
  ClaimStep Settle(const std::optional<ClaimRecord>& aFound);

  std::string key;
  ClaimRecord record;
  ClaimStep step = ClaimStep::Create;
  std::optional<ClaimRecord> owner;
  std::uint32_t operations = 0;
  bool mayExist = false;
};

} // namespace dogwoodvale

#endif
