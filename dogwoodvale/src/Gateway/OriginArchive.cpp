#include "OriginArchive.h"

#include <utility>

#include "PeerDigest.h"

namespace dogwoodvale {

OriginArchive::OriginArchive(StoreClient& aStore, Options aOptions)
  : store(aStore)
  , options(std::move(aOptions))
  , election(this->options.self, Now())
{
}

void
OriginArchive::OnHeard(const InstanceName& aGateway, TimePoint aNow)
{
  this->election.OnHeartbeat(aGateway, false, aNow);
}

bool
OriginArchive::MayWrite(TimePoint aNow) const
{
  const bool hasJustFailed =
    this->failedAt && Between(*this->failedAt, aNow) < kRetryPeriod;
  return this->writeCall == nullptr && !hasJustFailed &&
         this->election.RankOfSelf(aNow) == 0;
}

void
OriginArchive::Write(std::span<const OriginUpdate> aOrigins,
                     std::function<void(bool)> aHandler)
{
  // In the form of a digest, which gateways of all versions read.
  PeerDigest saved;
  saved.gateway = this->options.self;
  saved.origins.assign(aOrigins.begin(), aOrigins.end());
  this->writeCall = this->store.Put(
    fmt::format("{}{}", kPrefix, this->cell),
    WriteDigest(saved, this->options.secret),
    [this, handler = std::move(aHandler)](const WriteResult& aResult) {
      const std::unique_ptr<StoreCall> ended = std::move(this->writeCall);
      const bool isApplied = aResult.outcome == WriteOutcome::Applied;
      this->failedAt.reset();
      if (!isApplied) {
        this->failedAt = Now();
        Log(LogLevel::Warning,
            "origins_not_kept",
            "reason",
            MessageOf(aResult.status));
      }
      handler(isApplied);
    });
}

std::vector<OriginUpdate>
OriginArchive::Parse(const RangeResult& aResult) const
{
  std::vector<OriginUpdate> origins;
  for (const KeyValue& item : aResult.values) {
    const auto saved = ReadDigest(item.value, this->options.secret);
    if (!saved.ok()) {
      Log(LogLevel::Warning,
          "origins_rejected",
          "key",
          item.key,
          "reason",
          MessageOf(saved.status()));
      continue;
    }
    origins.insert(origins.end(), saved->origins.begin(), saved->origins.end());
  }
  return origins;
}

bool
OriginArchive::Read(TimePoint aNow, Handler aHandler)
{
  if (this->readCall != nullptr) {
    return true;
  }
  if (this->readAt && Between(*this->readAt, aNow) < kReadPeriod) {
    return false;
  }
  this->readAt = aNow;
  RangeQuery query;
  query.key = kPrefix;
  query.isPrefix = true;
  this->readCall =
    this->store.Range(query,
                      [this, aNow, handler = std::move(aHandler)](
                        const absl::StatusOr<RangeResult>& aResult) {
                        const std::unique_ptr<StoreCall> ended =
                          std::move(this->readCall);
                        std::vector<OriginUpdate> origins;
                        if (aResult.ok()) {
                          origins = this->Parse(*aResult);
                        }
                        Log(LogLevel::Info,
                            "origins_read",
                            "streams",
                            origins.size(),
                            "result",
                            aResult.ok() ? "ok" : MessageOf(aResult.status()),
                            "took_ms",
                            WholeMillis(Between(aNow, Now())));
                        handler(origins);
                      });
  return true;
}

} // namespace dogwoodvale
