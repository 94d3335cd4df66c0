#ifndef DOGWOODVALE_STORE_CONFIGURATIONSTATE_H
#define DOGWOODVALE_STORE_CONFIGURATIONSTATE_H

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodvale/Configuration"

namespace dogwoodvale {

/// The configuration in force in this process, whole.
struct AcceptedConfiguration
{
  Epoch epoch = 0;
  /// SHA-256 of \c rootText.
  std::string rootHash;
  std::string rootText;
  ConfigurationRoot root;
  std::map<std::string, std::string> pages;
  Configuration configuration;
};

/// What a process asks a peer that is ahead of it.
struct ConfigurationRequest
{
  Epoch epoch = 0;
  /// Hashes of pages that the asker holds, or the one hash of its root, which
  /// stands for all of that root's pages.
  std::vector<std::string> have;
};

/// The answer: the root in force there and pages that the asker lacks; perhaps
/// not all, as an answer is bounded in size.
struct ConfigurationBundle
{
  Epoch epoch = 0;
  std::string root;
  std::vector<Page> pages;
};

/// JSON {"epoch","root","pages":{hash: content}}, for GET /configuration on the
/// operators' side of a process.
std::string
EncodeBundle(const ConfigurationBundle& aBundle);

absl::StatusOr<ConfigurationBundle>
DecodeBundle(std::string_view aText);

/// How an announced epoch stands to the one in force here.
enum class Announcement : std::uint8_t
{
  Same,
  Ahead,
  Behind,
  /// The same epoch with another content.
  Conflict,
  /// Ahead, but known to be unusable.
  Refused,
};

/// Decides which configuration is in force: only ever one of a higher epoch,
/// whole and valid. Does no I/O.
class ConfigurationState
{
public:
  /// nullptr before the first.
  const AcceptedConfiguration* Current() const { return this->current.get(); }
  Epoch CurrentEpoch() const;
  std::string_view CurrentHash() const;

  /// \param aRootHash may be empty if unknown.
  Announcement Judge(Epoch aEpoch, std::string_view aRootHash) const;

  /// Starts to collect a configuration that is ahead of the one in force and
  /// of any being collected.
  /// \return FailedPrecondition if it isn't ahead, InvalidArgument if it is
  /// malformed or was refused before.
  absl::Status Propose(std::string_view aRootText);
  /// Takes pages of the configuration being collected; others, and ones whose
  /// content doesn't have the hash, are dropped.
  /// \return how many were new.
  std::size_t AddPages(std::span<const Page> aPages);
  bool IsCollecting() const { return this->pending.has_value(); }
  Epoch CollectingEpoch() const;
  /// Hashes of what is still missing.
  std::vector<std::string> Missing() const;
  /// Gives up collecting, so that a lower epoch that can be had is not kept
  /// out by one that can't.
  void DropCollecting() { this->pending.reset(); }
  /// Puts what was collected into force if it is whole.
  /// \return whether it did; InvalidArgument with all findings if it is whole
  /// but wrong: it is then refused for good, and the one in force stays.
  absl::StatusOr<bool> TryAccept();

  /// What to ask a peer. \param aAllPages names every page held instead of the
  /// root alone: for a peer that doesn't know this root.
  ConfigurationRequest MakeRequest(bool aAllPages) const;
  /// What to answer a peer; an empty root when there is nothing to give.
  ConfigurationBundle Answer(const ConfigurationRequest& aRequest,
                             std::size_t aMaxBytes) const;

private:
  struct Pending
  {
    std::string rootHash;
    std::string rootText;
    ConfigurationRoot root;
    std::map<std::string, std::string> pages;
  };
  /// A root that was in force, for asking in short.
  struct PastRoot
  {
    std::string rootHash;
    std::set<std::string> pageHashes;
  };

  void Install(Pending aPending, Configuration aConfiguration);
  void Remember();
  std::set<std::string> HeldBy(const ConfigurationRequest& aRequest,
                               bool& aKnown) const;

  static constexpr std::size_t kMaxPast = 16;
  static constexpr std::size_t kMaxRefused = 16;

  std::unique_ptr<const AcceptedConfiguration> current;
  std::optional<Pending> pending;
  std::deque<PastRoot> past;
  std::deque<std::string> refused;
};

} // namespace dogwoodvale

#endif
