#ifndef DOGWOODVALE_CONTROL_CONFIGURATIONSTORE_H
#define DOGWOODVALE_CONTROL_CONFIGURATIONSTORE_H

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "StoreSession.h"

namespace dogwoodvale {

/// The root as the store holds it.
struct StoredRoot
{
  /// 0 if the store has none.
  Revision modRevision = 0;
  std::string text;
  ConfigurationRoot root;
};

/// A change that an operator asks for.
struct ChangeRequest
{
  std::string changeId;
  std::string author;
  std::string comment;
  std::int64_t acceptedAt = 0;
  std::vector<Page> pages;
};

/// What became of a change.
struct ChangeResult
{
  enum class Verdict : std::uint8_t
  {
    Accepted,
    /// Another change came first; this one was not applied and never will be.
    Conflict,
    /// Not applied; the store could not be reached.
    NotApplied,
    /// Sent, and the store has been silent since.
    Unknown,
  };
  Verdict verdict = Verdict::Unknown;
  /// The reply to the write was lost, and reading settled what happened.
  bool wasSettled = false;
  absl::Status status;
  /// Of this change, as it was or would have been.
  ConfigurationRoot mine;
  std::string mineText;
  /// On conflict, what the store holds.
  StoredRoot theirs;
};

std::string_view
VerdictName(ChangeResult::Verdict aVerdict);

/// Reads and changes the configuration that the store holds.
class ConfigurationStore
{
public:
  explicit ConfigurationStore(StoreSession& aSession)
    : session(aSession)
  {
  }

  /// DataLoss if the root is malformed.
  absl::StatusOr<StoredRoot> ReadRoot();
  /// A root of the past; NotFound when it is no longer kept.
  absl::StatusOr<ConfigurationRoot> ReadPastRoot(Epoch aEpoch);
  absl::StatusOr<std::vector<Page>> ReadPages(
    std::span<const std::string> aHashes);
  /// ReadPages and JoinPages.
  absl::StatusOr<std::vector<ConfigurationSource>> ReadSources(
    const ConfigurationRoot& aRoot);

  /// Makes \p aRequest the configuration if the store still holds \p aBase.
  ///
  /// Pages go first, which changes nothing yet; then the root by
  /// compare-and-swap. A lost reply is settled by sending the very same swap
  /// again: it holds for one revision of the root, so at most one copy takes
  /// effect, and the answer to the last tells what became of them all.
  ChangeResult Apply(const StoredRoot& aBase, const ChangeRequest& aRequest);
  /// Puts \p aRootText, which the fleet holds, back as it is.
  ChangeResult Restore(const StoredRoot& aBase,
                       const std::string& aRootText,
                       std::span<const Page> aPages);
  /// Deletes roots of the past but the newest \p aKeep, and pages that no kept
  /// root names. \return how many pages went.
  absl::StatusOr<std::size_t> Prune(std::size_t aKeep);

private:
  absl::Status WritePages(std::span<const Page> aPages);
  ChangeResult SwapRoot(const StoredRoot& aBase,
                        const std::string& aText,
                        const ConfigurationRoot& aRoot);
  ChangeResult Settle(const WriteResult& aWrite,
                      const std::string& aText,
                      const ConfigurationRoot& aRoot);

  StoreSession& session;
};

} // namespace dogwoodvale

#endif
