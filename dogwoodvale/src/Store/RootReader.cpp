#include "dogwoodvale/Store"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

namespace {

/// Of the period between confirming reads, either way.
constexpr double kJitter = 0.3;
/// Limits one response to a few megabytes.
constexpr std::size_t kPagesPerCall = 64;

} // namespace

RootReader::RootReader(EventLoop& aLoop,
                       StoreClient& aStore,
                       Duration aConfirmPeriod,
                       RootObserver& aObserver)
  : store(aStore)
  , confirmPeriod(aConfirmPeriod)
  , observer(aObserver)
  , random(DrawIncarnation())
  , confirmTimer(aLoop, [this] { this->Confirm(); })
{
}

void
RootReader::SetWatching(bool aWatching)
{
  if (aWatching == this->IsWatching()) {
    return;
  }
  if (!aWatching) {
    this->watch.reset();
    this->confirmCall.reset();
    this->confirmTimer.Stop();
    return;
  }
  this->watch = this->store.Watch(std::string(kRootKey), *this);
  this->ScheduleConfirm();
}

void
RootReader::ScheduleConfirm()
{
  std::uniform_real_distribution<double> jitter(1 - kJitter, 1 + kJitter);
  const double micros =
    static_cast<double>(this->confirmPeriod.count()) * jitter(this->random);
  this->confirmTimer.StartOnce(Duration(static_cast<Duration::rep>(micros)));
}

void
RootReader::ReadRoot()
{
  this->rootCall =
    this->store.Range({ .key = std::string(kRootKey) },
                      [this](const absl::StatusOr<RangeResult>& aResult) {
                        if (!aResult.ok()) {
                          this->observer.OnStoreFailure(aResult.status());
                          return;
                        }
                        this->observer.OnStoreContact();
                        this->ReportRoot(aResult->values);
                      });
}

void
RootReader::Confirm()
{
  this->ScheduleConfirm();
  this->confirmCall = this->store.Range(
    { .key = std::string(kRootKey), .keysOnly = true },
    [this](const absl::StatusOr<RangeResult>& aResult) {
      if (!aResult.ok()) {
        this->observer.OnStoreFailure(aResult.status());
        return;
      }
      this->observer.OnStoreContact();
      const Revision revision =
        aResult->values.empty() ? 0 : aResult->values.front().modRevision;
      if (revision != this->rootRevision) {
        this->ReadRoot();
      }
    });
}

void
RootReader::ReportRoot(std::span<const KeyValue> aValues)
{
  const auto root =
    std::find_if(aValues.begin(), aValues.end(), [](const KeyValue& aValue) {
      return aValue.key == kRootKey;
    });
  const bool isPresent = root != aValues.end();
  this->rootRevision = isPresent ? root->modRevision : 0;
  this->observer.OnStoreRoot(isPresent ? std::string_view(root->value)
                                       : std::string_view());
}

void
RootReader::OnSnapshot(Revision /*aRevision*/,
                       std::span<const KeyValue> aValues)
{
  this->ReportRoot(aValues);
}

void
RootReader::OnChanges(Revision /*aRevision*/,
                      std::span<const StoreChange> aChanges)
{
  for (const StoreChange& change : aChanges) {
    if (change.value.key != kRootKey) {
      continue;
    }
    if (change.kind == StoreChange::Kind::Put) {
      this->ReportRoot(std::span(&change.value, 1));
    } else {
      this->ReportRoot({});
    }
  }
}

void
RootReader::OnContact()
{
  this->observer.OnStoreContact();
}

void
RootReader::OnLost(const absl::Status& aReason)
{
  this->observer.OnStoreFailure(aReason);
}

void
RootReader::ReadPages(std::span<const std::string> aHashes)
{
  this->wanted.assign(aHashes.begin(), aHashes.end());
  this->requestedCount = 0;
  this->pages.clear();
  this->ReadNextPages();
}

void
RootReader::ReadNextPages()
{
  if (this->requestedCount == this->wanted.size()) {
    this->pagesCall.reset();
    const std::vector<Page> complete = std::exchange(this->pages, {});
    this->observer.OnStorePages(complete);
    return;
  }
  const std::size_t count =
    std::min(kPagesPerCall, this->wanted.size() - this->requestedCount);
  std::vector<std::string> keys;
  for (std::size_t i = 0; i < count; ++i) {
    keys.push_back(PageKey(this->wanted[this->requestedCount + i]));
  }
  this->requestedCount += count;
  this->pagesCall = this->store.ReadKeys(
    keys, [this](const absl::StatusOr<RangeResult>& aResult) {
      if (!aResult.ok()) {
        this->pagesCall.reset();
        this->observer.OnStorePagesFailed(aResult.status());
        return;
      }
      this->observer.OnStoreContact();
      for (const KeyValue& value : aResult->values) {
        this->pages.push_back(
          { value.key.substr(kPagePrefix.size()), value.value });
      }
      this->ReadNextPages();
    });
}

} // namespace dogwoodvale
