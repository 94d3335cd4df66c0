#include "dogwoodvale/Store"

#include <algorithm>
#include <utility>

#include "StoreJson.h"

namespace dogwoodvale {

std::string
EncodeBundle(const ConfigurationBundle& aBundle)
{
  Json::Value value(Json::objectValue);
  value["epoch"] = Json::UInt64(aBundle.epoch);
  value["root"] = aBundle.root;
  value["pages"] = Json::Value(Json::objectValue);
  for (const Page& page : aBundle.pages) {
    value["pages"][page.hash] = page.content;
  }
  return WriteJson(value);
}

absl::StatusOr<ConfigurationBundle>
DecodeBundle(std::string_view aText)
{
  const absl::StatusOr<Json::Value> value = ParseJson(aText);
  if (!value.ok()) {
    return value.status();
  }
  const bool isBundle = value->isObject() && (*value)["root"].isString() &&
                        (*value)["pages"].isObject() &&
                        (*value)["epoch"].isUInt64();
  if (!isBundle) {
    return absl::DataLossError("the configuration bundle lacks a valid "
                               "\"epoch\", \"root\" or \"pages\"");
  }
  ConfigurationBundle bundle;
  bundle.epoch = (*value)["epoch"].asUInt64();
  bundle.root = (*value)["root"].asString();
  for (const std::string& hash : (*value)["pages"].getMemberNames()) {
    const Json::Value& content = (*value)["pages"][hash];
    if (!content.isString()) {
      return absl::DataLossError(
        "a page of the configuration bundle is not a string");
    }
    bundle.pages.push_back({ hash, content.asString() });
  }
  return bundle;
}

Epoch
ConfigurationState::CurrentEpoch() const
{
  return this->current ? this->current->epoch : 0;
}

std::string_view
ConfigurationState::CurrentHash() const
{
  return this->current ? std::string_view(this->current->rootHash)
                       : std::string_view();
}

Epoch
ConfigurationState::PendingEpoch() const
{
  return this->pending ? this->pending->root.epoch : 0;
}

EpochRelation
ConfigurationState::Classify(Epoch aEpoch, std::string_view aRootHash) const
{
  const Epoch own = this->CurrentEpoch();
  if (aEpoch < own) {
    return EpochRelation::Behind;
  }
  if (aEpoch == own) {
    const bool isSame = aRootHash.empty() || aRootHash == this->CurrentHash();
    return isSame ? EpochRelation::Same : EpochRelation::Conflict;
  }
  const bool wasRefused = std::find(this->refusedRoots.begin(),
                                    this->refusedRoots.end(),
                                    aRootHash) != this->refusedRoots.end();
  return wasRefused ? EpochRelation::Refused : EpochRelation::Ahead;
}

absl::Status
ConfigurationState::Propose(std::string_view aRootText)
{
  absl::StatusOr<ConfigurationRoot> root = DecodeRoot(aRootText);
  if (!root.ok()) {
    return root.status();
  }
  std::string hash = Sha256Hex(aRootText);
  switch (this->Classify(root->epoch, hash)) {
    case EpochRelation::Ahead:
      break;
    case EpochRelation::Refused:
      return absl::InvalidArgumentError(
        "this configuration was refused before as invalid");
    default:
      // Accepting a lower epoch, or other content of the same epoch, would
      // revert an accepted change: the store may have been restored from older
      // data.
      return MakeError(absl::StatusCode::kFailedPrecondition,
                       "epoch {} is not ahead of {}",
                       root->epoch,
                       this->CurrentEpoch());
  }
  if (this->pending && root->epoch <= this->pending->root.epoch) {
    const bool isSame = hash == this->pending->rootHash;
    return isSame
             ? absl::OkStatus()
             : absl::FailedPreconditionError("a configuration of this or a "
                                             "higher epoch is already pending");
  }
  Pending next{ .rootHash = std::move(hash),
                .rootText = std::string(aRootText),
                .root = *std::move(root),
                .pages = {} };
  for (const std::string& page : next.root.pageHashes) {
    if (this->current && this->current->pages.contains(page)) {
      next.pages.emplace(page, this->current->pages.at(page));
    } else if (this->pending && this->pending->pages.contains(page)) {
      next.pages.emplace(page, std::move(this->pending->pages.at(page)));
    }
  }
  this->pending = std::move(next);
  return absl::OkStatus();
}

std::size_t
ConfigurationState::AddPages(std::span<const Page> aPages)
{
  if (!this->pending) {
    return 0;
  }
  const std::vector<std::string> missing = this->MissingPages();
  const std::set<std::string> wanted(missing.begin(), missing.end());
  std::size_t added = 0;
  for (const Page& page : aPages) {
    // The hash detects pages that were truncated or swapped in transit, which
    // would alter the operators' settings.
    if (wanted.contains(page.hash) && Sha256Hex(page.content) == page.hash &&
        this->pending->pages.emplace(page.hash, page.content).second) {
      ++added;
    }
  }
  return added;
}

std::vector<std::string>
ConfigurationState::MissingPages() const
{
  std::vector<std::string> missing;
  if (this->pending) {
    for (const std::string& page : this->pending->root.pageHashes) {
      if (!this->pending->pages.contains(page)) {
        missing.push_back(page);
      }
    }
  }
  return missing;
}

absl::StatusOr<bool>
ConfigurationState::TryAccept()
{
  if (!this->pending || !this->MissingPages().empty()) {
    return false;
  }
  Pending complete = *std::exchange(this->pending, std::nullopt);
  std::vector<PageView> pages;
  pages.reserve(complete.pages.size());
  for (const auto& [hash, content] : complete.pages) {
    pages.push_back({ hash, content });
  }
  const Configuration* previous =
    this->current ? &this->current->configuration : nullptr;
  auto configuration = ParsePages(complete.root.pageHashes, pages, previous);
  const absl::Status status = configuration.status();
  if (!status.ok()) {
    this->refusedRoots.push_back(complete.rootHash);
    if (this->refusedRoots.size() > kMaxRefusedRoots) {
      this->refusedRoots.pop_front();
    }
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "configuration of epoch {}: {}",
                     complete.root.epoch,
                     MessageOf(status));
  }
  this->Install(std::move(complete), *std::move(configuration));
  return true;
}

void
ConfigurationState::Install(Pending aPending, Configuration aConfiguration)
{
  auto next = std::make_unique<AcceptedConfiguration>();
  next->epoch = aPending.root.epoch;
  next->rootHash = std::move(aPending.rootHash);
  next->rootText = std::move(aPending.rootText);
  next->root = std::move(aPending.root);
  next->pages = std::move(aPending.pages);
  next->configuration = std::move(aConfiguration);
  this->current = std::move(next);
  this->RecordRoot();
}

void
ConfigurationState::RecordRoot()
{
  const std::vector<std::string>& hashes = this->current->root.pageHashes;
  this->pastRoots.push_back(
    { this->current->rootHash, { hashes.begin(), hashes.end() } });
  if (this->pastRoots.size() > kMaxPastRoots) {
    this->pastRoots.pop_front();
  }
}

ConfigurationRequest
ConfigurationState::MakeRequest(bool aAllPages) const
{
  ConfigurationRequest request;
  request.epoch = this->CurrentEpoch() + 1;
  const bool hasPendingPages = this->pending && !this->pending->pages.empty();
  if (!aAllPages && !hasPendingPages) {
    if (this->current) {
      request.have.push_back(this->current->rootHash);
    }
    return request;
  }
  std::set<std::string> held;
  if (this->current) {
    for (const auto& [hash, content] : this->current->pages) {
      held.insert(hash);
    }
  }
  if (this->pending) {
    for (const auto& [hash, content] : this->pending->pages) {
      held.insert(hash);
    }
  }
  request.have.assign(held.begin(), held.end());
  return request;
}

std::set<std::string>
ConfigurationState::PagesHeldBy(const ConfigurationRequest& aRequest,
                                bool& aKnown) const
{
  std::set<std::string> held(aRequest.have.begin(), aRequest.have.end());
  aKnown = aRequest.have.size() != 1 ||
           this->current->pages.contains(aRequest.have.front());
  for (const PastRoot& root : this->pastRoots) {
    if (held.contains(root.rootHash)) {
      held.insert(root.pageHashes.begin(), root.pageHashes.end());
      aKnown = true;
    }
  }
  return held;
}

ConfigurationBundle
ConfigurationState::Answer(const ConfigurationRequest& aRequest,
                           std::size_t aMaxBytes) const
{
  ConfigurationBundle bundle;
  if (!this->current || this->current->epoch < aRequest.epoch) {
    return bundle;
  }
  bundle.epoch = this->current->epoch;
  bundle.root = this->current->rootText;
  bool isKnown = false;
  const std::set<std::string> held = this->PagesHeldBy(aRequest, isKnown);
  if (!isKnown) {
    // The requester's root isn't known here: send the root alone, so that it
    // requests just the pages that it lacks instead of being sent all.
    return bundle;
  }
  std::size_t bytes = bundle.root.size();
  for (const auto& [hash, content] : this->current->pages) {
    if (held.contains(hash)) {
      continue;
    }
    bytes += content.size();
    if (bytes > aMaxBytes && !bundle.pages.empty()) {
      break;
    }
    bundle.pages.push_back({ hash, content });
  }
  return bundle;
}

} // namespace dogwoodvale
