#include "RoutesCache.h"

#include <utility>

namespace dogwoodvale {

RoutesCache::RoutesCache(StoreClient& aStore,
                         const DirectoryFormat& aFormat,
                         Handler aHandler)
  : store(aStore)
  , format(aFormat)
  , handler(std::move(aHandler))
{
}

void
RoutesCache::Start()
{
  this->watch = this->store.Watch(this->format.RoutesPrefix(), *this);
}

void
RoutesCache::Rearm()
{
  this->watch->Rearm();
}

void
RoutesCache::Check()
{
  this->watch->Check();
}

void
RoutesCache::OnSnapshot(Revision /*aRevision*/,
                        std::span<const KeyValue> aValues)
{
  this->OnContact();
  for (const KeyValue& value : aValues) {
    this->Apply(value.value, "store");
  }
}

void
RoutesCache::OnChanges(Revision /*aRevision*/,
                       std::span<const StoreChange> aChanges)
{
  this->OnContact();
  for (const StoreChange& change : aChanges) {
    if (change.kind == StoreChange::Kind::Put) {
      this->Apply(change.value.value, "store");
    }
  }
}

void
RoutesCache::OnContact()
{
  this->heardAt = Now();
  if (!std::exchange(this->isWatching, true)) {
    Log(LogLevel::Info, "routes_watch_regained", "version", this->Version());
  }
}

void
RoutesCache::OnLost(const absl::Status& aReason)
{
  if (std::exchange(this->isWatching, false)) {
    Log(LogLevel::Warning,
        "routes_watch_lost",
        "reason",
        MessageOf(aReason),
        "version",
        this->Version());
  }
}

bool
RoutesCache::Apply(std::string_view aDocument, std::string_view aFrom)
{
  this->bytesRead += aDocument.size();
  if (aDocument == this->document) {
    return false;
  }
  const TimePoint begun = Now();
  auto parsed = this->format.ParseRoutes(aDocument, this->Version());
  const auto parseMillis = WholeMillis(Between(begun, Now()));
  this->hasUnreadable = !parsed.ok();
  if (!parsed.ok()) {
    Log(LogLevel::Error,
        "routes_rejected",
        "from",
        aFrom,
        "reason",
        MessageOf(parsed.status()));
    return false;
  }
  if (*parsed == nullptr) {
    Log(LogLevel::Info,
        "routes_not_newer",
        "in_force",
        this->Version(),
        "from",
        aFrom,
        "bytes",
        aDocument.size(),
        "parse_ms",
        parseMillis);
    return false;
  }
  Log(LogLevel::Info,
      "routes_in_force",
      "version",
      (*parsed)->Version(),
      "before",
      this->Version(),
      "from",
      aFrom,
      "routes",
      (*parsed)->RouteCount(),
      "bytes",
      aDocument.size(),
      "parse_ms",
      parseMillis);
  this->table = *std::move(parsed);
  this->document = aDocument;
  this->compressed.clear();
  this->handler(this->table);
  return true;
}

Duration
RoutesCache::Age(TimePoint aNow) const
{
  return Between(this->heardAt, aNow);
}

const std::string&
RoutesCache::CompressedDocument()
{
  if (this->compressed.empty()) {
    this->compressed = Compress(this->document);
  }
  return this->compressed;
}

} // namespace dogwoodvale
