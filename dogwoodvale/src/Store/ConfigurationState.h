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

/// The complete configuration in force in this process.
struct AcceptedConfiguration
{
  Epoch epoch = 0;
  /// SHA-256 of \c rootText.
  std::string rootHash;
  std::string rootText;
  ConfigurationRoot root;
  /// Content by hash.
  std::map<std::string, std::string> pages;
  /// Parsed from \c pages.
  Configuration configuration;
};

/// A request to a peer that has a higher epoch.
struct ConfigurationRequest
{
  /// The lowest epoch that is of use.
  Epoch epoch = 0;
  /// Hashes of the pages that the requester holds, or just the hash of its
  /// root, which stands for all pages of that root.
  std::vector<std::string> have;
};

/// The response: the root in force at the peer and pages that the requester
/// lacks; perhaps not all of them, as a response is limited in size.
struct ConfigurationBundle
{
  Epoch epoch = 0;
  std::string root;
  std::vector<Page> pages;
};

/// JSON {"epoch","root","pages":{hash: content}}, for GET /configuration on a
/// process's operators' port.
std::string
EncodeBundle(const ConfigurationBundle& aBundle);

/// Parses EncodeBundle's JSON.
/// \return DataLoss if it is malformed.
absl::StatusOr<ConfigurationBundle>
DecodeBundle(std::string_view aText);

/// How an announced configuration relates to the one in force here.
enum class EpochRelation : std::uint8_t
{
  Same,
  Ahead,
  Behind,
  /// The same epoch with different content.
  Conflict,
  /// Ahead, but found invalid before.
  Refused,
};

/// Decides which configuration is in force: replaces it only by a complete and
/// valid one of a higher epoch. Does no I/O.
class ConfigurationState
{
public:
  /// nullptr before the first configuration.
  const AcceptedConfiguration* Current() const { return this->current.get(); }
  /// 0 before the first configuration.
  Epoch CurrentEpoch() const;
  /// SHA-256 of the root in force; empty before the first.
  std::string_view CurrentHash() const;

  /// \param aRootHash may be empty if unknown.
  EpochRelation Classify(Epoch aEpoch, std::string_view aRootHash) const;

  /// Makes a configuration pending, i.e. starts to collect its pages, if it is
  /// ahead of the one in force and of the pending one.
  /// \return OK also if it is pending already; FailedPrecondition if it isn't
  /// ahead, InvalidArgument if it was refused before, DecodeRoot's error
  /// if it is malformed.
  absl::Status Propose(std::string_view aRootText);
  /// Adds pages to the pending configuration; drops pages that it does not
  /// lack, and pages whose content does not match their hash.
  ///
  /// \return the number of pages added.
  std::size_t AddPages(std::span<const Page> aPages);
  bool HasPending() const { return this->pending.has_value(); }
  /// 0 if none is pending.
  Epoch PendingEpoch() const;
  /// Hashes of the pages that the pending configuration still lacks.
  std::vector<std::string> MissingPages() const;
  /// Discards the pending configuration, so that one that can't be completed
  /// doesn't block an available one of a lower epoch.
  void DiscardPending() { this->pending.reset(); }
  /// Puts the pending configuration into force if it is complete.
  /// \return whether it did; InvalidArgument with all findings if it is
  /// complete but invalid: it is then refused from now on, and the one in
  /// force stays.
  absl::StatusOr<bool> TryAccept();

  /// The request to send to a peer.
  /// \param aAllPages list every page held instead of just the root's hash: for
  /// a peer that doesn't know this root.
  ConfigurationRequest MakeRequest(bool aAllPages) const;
  /// The response to a peer's request; its root is empty if the epoch in force
  /// is below the requested one.
  /// \param aMaxBytes limits root and pages together, but at least one page is
  /// sent.
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
  /// A root that was in force: lets a peer name its pages by the root's hash.
  struct PastRoot
  {
    std::string rootHash;
    std::set<std::string> pageHashes;
  };

  void Install(Pending aPending, Configuration aConfiguration);
  void RecordRoot();
  /// Hashes of the pages that the requester holds.
  /// \param aKnown set to false if it sent one hash, which is unknown here.
  std::set<std::string> PagesHeldBy(const ConfigurationRequest& aRequest,
                                    bool& aKnown) const;

  static constexpr std::size_t kMaxPastRoots = 16;
  static constexpr std::size_t kMaxRefusedRoots = 16;

  std::unique_ptr<const AcceptedConfiguration> current;
  std::optional<Pending> pending;
  std::deque<PastRoot> pastRoots;
  std::deque<std::string> refusedRoots;
};

} // namespace dogwoodvale

#endif
