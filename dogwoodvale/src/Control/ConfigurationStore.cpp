#include "dogwoodvale/Control"

#include <algorithm>
#include <set>

namespace dogwoodvale {

namespace {

constexpr std::size_t kPagesPerRead = 64;
constexpr std::size_t kOperationsPerWrite = 64;
constexpr std::size_t kBytesPerWrite = 512U << 10U;
constexpr int kWriteTries = 8;

std::string
PastRootKey(Epoch aEpoch)
{
  // Padded, so that keys sort by epoch.
  return fmt::format("{}{:020}", kPastRootPrefix, aEpoch);
}

Operation
PutOperation(const std::string& aKey, const std::string& aValue)
{
  return { .kind = Operation::Kind::Put, .key = aKey, .value = aValue };
}

absl::StatusOr<StoredRoot>
ToStoredRoot(std::span<const KeyValue> aValues)
{
  StoredRoot stored;
  if (aValues.empty()) {
    return stored;
  }
  stored.modRevision = aValues.front().modRevision;
  stored.text = aValues.front().value;
  absl::StatusOr<ConfigurationRoot> root = DecodeRoot(stored.text);
  if (!root.ok()) {
    return MakeError(absl::StatusCode::kDataLoss,
                     "the store's root can't be read: {}",
                     MessageOf(root.status()));
  }
  stored.root = *std::move(root);
  return stored;
}

/// Whether \p aRoot is the change or came after it.
bool
Contains(const ConfigurationRoot& aRoot, const std::string& aChangeId)
{
  return aRoot.changeId == aChangeId ||
         std::any_of(aRoot.history.begin(),
                     aRoot.history.end(),
                     [&](const ConfigurationRoot::Past& aPast) {
                       return aPast.changeId == aChangeId;
                     });
}

} // namespace

std::string_view
VerdictName(ChangeResult::Verdict aVerdict)
{
  switch (aVerdict) {
    case ChangeResult::Verdict::Accepted:
      return "accepted";
    case ChangeResult::Verdict::Conflict:
      return "conflict";
    case ChangeResult::Verdict::NotApplied:
      return "not_applied";
    case ChangeResult::Verdict::Unknown:
      return "unknown";
  }
  return "unknown";
}

absl::StatusOr<StoredRoot>
ConfigurationStore::ReadRoot()
{
  const auto result = this->session.Range({ .key = std::string(kRootKey) });
  if (!result.ok()) {
    return result.status();
  }
  return ToStoredRoot(result->values);
}

absl::StatusOr<ConfigurationRoot>
ConfigurationStore::ReadPastRoot(Epoch aEpoch)
{
  const auto result = this->session.Range({ .key = PastRootKey(aEpoch) });
  if (!result.ok()) {
    return result.status();
  }
  if (result->values.empty()) {
    return MakeError(
      absl::StatusCode::kNotFound, "the store has no epoch {}", aEpoch);
  }
  return DecodeRoot(result->values.front().value);
}

absl::StatusOr<std::vector<Page>>
ConfigurationStore::ReadPages(std::span<const std::string> aHashes)
{
  std::vector<Page> pages;
  for (std::size_t from = 0; from < aHashes.size(); from += kPagesPerRead) {
    std::vector<std::string> keys;
    const std::size_t count = std::min(kPagesPerRead, aHashes.size() - from);
    for (const std::string& hash : aHashes.subspan(from, count)) {
      keys.push_back(PageKey(hash));
    }
    const auto result = this->session.ReadKeys(keys);
    if (!result.ok()) {
      return result.status();
    }
    for (const KeyValue& value : result->values) {
      pages.push_back({ value.key.substr(kPagePrefix.size()), value.value });
    }
  }
  return pages;
}

absl::StatusOr<std::vector<ConfigurationSource>>
ConfigurationStore::ReadSources(const ConfigurationRoot& aRoot)
{
  const auto pages = this->ReadPages(aRoot.pageHashes);
  if (!pages.ok()) {
    return pages.status();
  }
  return JoinPages(aRoot, *pages);
}

absl::Status
ConfigurationStore::WritePages(std::span<const Page> aPages)
{
  const auto present = this->session.Range(
    { .key = std::string(kPagePrefix), .isPrefix = true, .keysOnly = true });
  if (!present.ok()) {
    return present.status();
  }
  std::set<std::string> known;
  for (const KeyValue& value : present->values) {
    known.insert(value.key);
  }
  Transaction write;
  std::size_t bytes = 0;
  const auto flush = [&]() -> absl::Status {
    WriteResult result{ .outcome = WriteOutcome::Applied,
                        .status = {},
                        .reads = {} };
    // A page's key is its content's hash, so writing it again is harmless.
    for (int i = 0; i < kWriteTries && !write.then.empty(); ++i) {
      result = this->session.Commit(write);
      if (result.outcome != WriteOutcome::Unknown) {
        break;
      }
      this->session.Pause(i);
    }
    write.then.clear();
    bytes = 0;
    return result.outcome == WriteOutcome::Applied ? absl::OkStatus()
                                                   : result.status;
  };
  for (const Page& page : aPages) {
    if (known.contains(PageKey(page.hash))) {
      continue;
    }
    const bool isFull = write.then.size() >= kOperationsPerWrite ||
                        bytes + page.content.size() > kBytesPerWrite;
    if (isFull && !write.then.empty()) {
      if (absl::Status status = flush(); !status.ok()) {
        return status;
      }
    }
    write.then.push_back(PutOperation(PageKey(page.hash), page.content));
    bytes += page.content.size();
  }
  return flush();
}

ChangeResult
ConfigurationStore::Apply(const StoredRoot& aBase,
                          const ChangeRequest& aRequest)
{
  ConfigurationRoot root;
  root.epoch = aBase.root.epoch + 1;
  root.changeId = aRequest.changeId;
  root.author = aRequest.author;
  root.comment = aRequest.comment;
  root.acceptedAt = aRequest.acceptedAt;
  for (const Page& page : aRequest.pages) {
    root.pageHashes.push_back(page.hash);
  }
  const ConfigurationRoot& before = aBase.root;
  if (aBase.modRevision != 0) {
    root.history.push_back({ before.epoch,
                             before.changeId,
                             before.author,
                             before.comment,
                             before.acceptedAt });
    root.history.insert(
      root.history.end(), before.history.begin(), before.history.end());
    if (root.history.size() > ConfigurationRoot::kMaxHistory) {
      root.history.resize(ConfigurationRoot::kMaxHistory);
    }
  }
  ChangeResult result;
  result.status = this->WritePages(aRequest.pages);
  if (!result.status.ok()) {
    result.verdict = ChangeResult::Verdict::NotApplied;
    result.mine = std::move(root);
    return result;
  }
  return this->SwapRoot(aBase, EncodeRoot(root), root);
}

ChangeResult
ConfigurationStore::Restore(const StoredRoot& aBase,
                            const std::string& aRootText,
                            std::span<const Page> aPages)
{
  ChangeResult result;
  const absl::StatusOr<ConfigurationRoot> root = DecodeRoot(aRootText);
  result.status = root.ok() ? this->WritePages(aPages) : root.status();
  if (!result.status.ok()) {
    result.verdict = ChangeResult::Verdict::NotApplied;
    return result;
  }
  return this->SwapRoot(aBase, aRootText, *root);
}

ChangeResult
ConfigurationStore::SwapRoot(const StoredRoot& aBase,
                             const std::string& aText,
                             const ConfigurationRoot& aRoot)
{
  const std::string key(kRootKey);
  Transaction swap;
  swap.when.push_back({ .key = key,
                        .target = Compare::Target::ModRevision,
                        .number = aBase.modRevision,
                        .value = {} });
  swap.then.push_back(PutOperation(key, aText));
  swap.then.push_back(PutOperation(PastRootKey(aRoot.epoch), aText));
  swap.otherwise.push_back(
    { .kind = Operation::Kind::Range, .key = key, .value = {} });

  WriteResult write;
  bool wasUnknown = false;
  for (int i = 0; i < kWriteTries; ++i) {
    write = this->session.Commit(swap);
    // Once a copy may have been seen, "not sent" of a later copy says nothing
    // of the first; only the store's own word on the comparison does.
    const bool isSettled =
      write.outcome == WriteOutcome::Applied ||
      absl::IsFailedPrecondition(write.status) ||
      (write.outcome == WriteOutcome::NotApplied && !wasUnknown);
    if (isSettled) {
      break;
    }
    wasUnknown = true;
    write.outcome = WriteOutcome::Unknown;
    this->session.Pause(i);
  }
  ChangeResult result = this->Settle(write, aText, aRoot);
  result.wasSettled =
    wasUnknown && result.verdict != ChangeResult::Verdict::Unknown;
  return result;
}

ChangeResult
ConfigurationStore::Settle(const WriteResult& aWrite,
                           const std::string& aText,
                           const ConfigurationRoot& aRoot)
{
  ChangeResult result;
  result.mine = aRoot;
  result.mineText = aText;
  result.status = aWrite.status;
  if (aWrite.outcome == WriteOutcome::Applied) {
    result.verdict = ChangeResult::Verdict::Accepted;
    return result;
  }
  if (aWrite.outcome == WriteOutcome::Unknown) {
    result.verdict = ChangeResult::Verdict::Unknown;
    return result;
  }
  if (!absl::IsFailedPrecondition(aWrite.status) || aWrite.reads.empty()) {
    result.verdict = ChangeResult::Verdict::NotApplied;
    return result;
  }
  const absl::StatusOr<StoredRoot> theirs = ToStoredRoot(aWrite.reads.front());
  result.verdict = ChangeResult::Verdict::Conflict;
  if (!theirs.ok()) {
    result.status = theirs.status();
    return result;
  }
  result.theirs = *theirs;
  if (Contains(theirs->root, aRoot.changeId)) {
    // An earlier copy, whose reply was lost, has made the change.
    result.verdict = ChangeResult::Verdict::Accepted;
    result.status = absl::OkStatus();
  }
  return result;
}

absl::StatusOr<std::size_t>
ConfigurationStore::Prune(std::size_t aKeep)
{
  const auto roots = this->session.Range(
    { .key = std::string(kPastRootPrefix), .isPrefix = true });
  const auto current = this->ReadRoot();
  const auto pages = this->session.Range(
    { .key = std::string(kPagePrefix), .isPrefix = true, .keysOnly = true });
  for (const absl::Status& status :
       { roots.status(), current.status(), pages.status() }) {
    if (!status.ok()) {
      return status;
    }
  }
  Transaction remove;
  // A change that was made meanwhile may use an old page again.
  remove.when.push_back({ .key = std::string(kRootKey),
                          .target = Compare::Target::ModRevision,
                          .number = current->modRevision,
                          .value = {} });
  std::set<std::string> used;
  const auto use = [&](const ConfigurationRoot& aRoot) {
    for (const std::string& hash : aRoot.pageHashes) {
      used.insert(PageKey(hash));
    }
  };
  use(current->root);
  const std::size_t drop =
    roots->values.size() > aKeep ? roots->values.size() - aKeep : 0;
  for (std::size_t i = 0; i < roots->values.size(); ++i) {
    const KeyValue& past = roots->values[i];
    const absl::StatusOr<ConfigurationRoot> root = DecodeRoot(past.value);
    if (i >= drop && root.ok()) {
      use(*root);
    } else if (remove.then.size() < kOperationsPerWrite) {
      remove.then.push_back(
        { .kind = Operation::Kind::Delete, .key = past.key, .value = {} });
    }
  }
  std::size_t removed = 0;
  for (const KeyValue& page : pages->values) {
    const bool hasRoom = remove.then.size() < kOperationsPerWrite;
    if (hasRoom && !used.contains(page.key)) {
      remove.then.push_back(
        { .kind = Operation::Kind::Delete, .key = page.key, .value = {} });
      ++removed;
    }
  }
  if (remove.then.empty()) {
    return 0;
  }
  const WriteResult result = this->session.Commit(remove);
  if (result.outcome != WriteOutcome::Applied) {
    return result.status;
  }
  return removed;
}

} // namespace dogwoodvale
