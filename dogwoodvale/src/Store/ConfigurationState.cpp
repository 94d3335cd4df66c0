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
    return absl::DataLossError("not a configuration");
  }
  ConfigurationBundle bundle;
  bundle.epoch = (*value)["epoch"].asUInt64();
  bundle.root = (*value)["root"].asString();
  for (const std::string& hash : (*value)["pages"].getMemberNames()) {
    const Json::Value& content = (*value)["pages"][hash];
    if (!content.isString()) {
      return absl::DataLossError("a page is not text");
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
ConfigurationState::CollectingEpoch() const
{
  return this->pending ? this->pending->root.epoch : 0;
}

Announcement
ConfigurationState::Judge(Epoch aEpoch, std::string_view aRootHash) const
{
  const Epoch own = this->CurrentEpoch();
  if (aEpoch < own) {
    return Announcement::Behind;
  }
  if (aEpoch == own) {
    const bool isSame = aRootHash.empty() || aRootHash == this->CurrentHash();
    return isSame ? Announcement::Same : Announcement::Conflict;
  }
  const bool wasRefused =
    std::find(this->refused.begin(), this->refused.end(), aRootHash) !=
    this->refused.end();
  return wasRefused ? Announcement::Refused : Announcement::Ahead;
}

absl::Status
ConfigurationState::Propose(std::string_view aRootText)
{
  absl::StatusOr<ConfigurationRoot> root = DecodeRoot(aRootText);
  if (!root.ok()) {
    return root.status();
  }
  std::string hash = Sha256Hex(aRootText);
  switch (this->Judge(root->epoch, hash)) {
    case Announcement::Ahead:
      break;
    case Announcement::Refused:
      return absl::InvalidArgumentError("refused before");
    default:
      // Taking an older one, or another one of the same epoch, would revert
      // an accepted change: the store may have come back with older data.
      return MakeError(absl::StatusCode::kFailedPrecondition,
                       "epoch {} is not ahead of {}",
                       root->epoch,
                       this->CurrentEpoch());
  }
  if (this->pending && root->epoch <= this->pending->root.epoch) {
    const bool isSame = hash == this->pending->rootHash;
    return isSame ? absl::OkStatus()
                  : absl::FailedPreconditionError("a newer one is on its way");
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
  const std::vector<std::string> missing = this->Missing();
  const std::set<std::string> wanted(missing.begin(), missing.end());
  std::size_t added = 0;
  for (const Page& page : aPages) {
    // A page cut short or crossed with another on its way would change what
    // operators decided; its hash tells.
    if (wanted.contains(page.hash) && Sha256Hex(page.content) == page.hash &&
        this->pending->pages.emplace(page.hash, page.content).second) {
      ++added;
    }
  }
  return added;
}

std::vector<std::string>
ConfigurationState::Missing() const
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
  if (!this->pending || !this->Missing().empty()) {
    return false;
  }
  Pending whole = *std::exchange(this->pending, std::nullopt);
  std::vector<PageView> pages;
  pages.reserve(whole.pages.size());
  for (const auto& [hash, content] : whole.pages) {
    pages.push_back({ hash, content });
  }
  const Configuration* previous =
    this->current ? &this->current->configuration : nullptr;
  auto configuration = ParsePages(whole.root.pageHashes, pages, previous);
  const absl::Status status = configuration.status();
  if (!status.ok()) {
    this->refused.push_back(whole.rootHash);
    if (this->refused.size() > kMaxRefused) {
      this->refused.pop_front();
    }
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "configuration of epoch {}: {}",
                     whole.root.epoch,
                     MessageOf(status));
  }
  this->Install(std::move(whole), *std::move(configuration));
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
  this->Remember();
}

void
ConfigurationState::Remember()
{
  const std::vector<std::string>& hashes = this->current->root.pageHashes;
  this->past.push_back(
    { this->current->rootHash, { hashes.begin(), hashes.end() } });
  if (this->past.size() > kMaxPast) {
    this->past.pop_front();
  }
}

ConfigurationRequest
ConfigurationState::MakeRequest(bool aAllPages) const
{
  ConfigurationRequest request;
  request.epoch = this->CurrentEpoch() + 1;
  const bool hasParts = this->pending && !this->pending->pages.empty();
  if (!aAllPages && !hasParts) {
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
ConfigurationState::HeldBy(const ConfigurationRequest& aRequest,
                           bool& aKnown) const
{
  std::set<std::string> held(aRequest.have.begin(), aRequest.have.end());
  aKnown = aRequest.have.size() != 1 ||
           this->current->pages.contains(aRequest.have.front());
  for (const PastRoot& root : this->past) {
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
  const std::set<std::string> held = this->HeldBy(aRequest, isKnown);
  if (!isKnown) {
    // The asker's root isn't known here: it gets the root alone and asks again
    // for the pages that it lacks, rather than being sent all of them.
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
