#include "dogwoodvale/Entry"

#include <algorithm>

namespace dogwoodvale {

namespace {

constexpr std::string_view kStorePrefix = "/dogwoodvale/";
/// One shard a period: at 256 shards a claim is collected within hours of its
/// end, for two reads a minute from each process that collects.
constexpr Duration kCollectPeriod = seconds(30);
constexpr std::int64_t kMostCollected = 100;

std::int64_t
WallMillis()
{
  using std::chrono::system_clock;
  return std::chrono::duration_cast<milliseconds>(
           system_clock::now().time_since_epoch())
    .count();
}

std::string
StoreKeyOf(const IdempotencyClaim& aClaim)
{
  return std::string(kStorePrefix) + aClaim.Key();
}

ClaimReply
ReplyOfValue(const std::vector<KeyValue>& aValues)
{
  if (aValues.empty()) {
    return { ClaimReply::Kind::Absent, std::nullopt };
  }
  return { ClaimReply::Kind::Exists, ParseClaim(aValues.front().value) };
}

ClaimReply
ReplyOfCreate(const WriteResult& aResult)
{
  if (aResult.outcome == WriteOutcome::Applied) {
    return { ClaimReply::Kind::Created, std::nullopt };
  }
  if (aResult.outcome == WriteOutcome::Unknown) {
    return { ClaimReply::Kind::Unknown, std::nullopt };
  }
  const bool taken = absl::IsFailedPrecondition(aResult.status) &&
                     !aResult.reads.empty() && !aResult.reads[0].empty();
  return taken ? ReplyOfValue(aResult.reads[0])
               : ClaimReply{ ClaimReply::Kind::Unavailable, std::nullopt };
}

} // namespace

ClaimRun::ClaimRun(StoreClient& aStore,
                   IdempotencyClaim aClaim,
                   SettledHandler aDone)
  : store(aStore)
  , claim(std::move(aClaim))
  , done(std::move(aDone))
{
}

void
ClaimRun::Start()
{
  this->Create();
}

void
ClaimRun::Create()
{
  this->call = this->store.CreateIfAbsent(
    StoreKeyOf(this->claim),
    EncodeClaim(this->claim.Record()),
    0,
    [this](const WriteResult& aResult) { this->Take(ReplyOfCreate(aResult)); });
}

void
ClaimRun::Read()
{
  RangeQuery query;
  query.key = StoreKeyOf(this->claim);
  this->call = this->store.Range(query, [this](const auto& aResult) {
    this->Take(aResult.ok()
                 ? ReplyOfValue(aResult->values)
                 : ClaimReply{ ClaimReply::Kind::Unknown, std::nullopt });
  });
}

void
ClaimRun::Take(const ClaimReply& aReply)
{
  const ClaimStep step = this->claim.OnReply(aReply);
  if (step == ClaimStep::Create) {
    this->Create();
  } else if (step == ClaimStep::Read) {
    this->Read();
  } else {
    this->done(step);
  }
}

ClaimStore::ClaimStore(EventLoop& aLoop, StoreClient* aStore)
  : store(aStore)
  , random(DrawIncarnation())
  , collectTimer(aLoop, [this] { this->CollectOne(); })
  , reapTimer(aLoop, [this] { this->ended.clear(); })
{
}

std::unique_ptr<ClaimRun>
ClaimStore::Open(const CustomerName& aCustomer,
                 std::string_view aKey,
                 const RequestId& aWriter,
                 ClaimRun::SettledHandler aDone,
                 RequestError& aError)
{
  aError.disposition = Disposition::NotRun;
  if (aKey.size() > kMaxKeyBytes) {
    aError.code = ErrorCode::BadRequest;
    aError.detail = "Idempotency-Key is longer than 256 bytes";
    return nullptr;
  }
  aError.retryAfter = JitteredRetryAfter(seconds(1), this->random);
  if (this->store == nullptr) {
    aError.code = ErrorCode::StoreUnavailable;
    aError.detail = "no store to claim the key in";
    return nullptr;
  }
  std::optional<IdempotencyClaim> claim =
    this->claims.Open(aCustomer, aKey, aWriter, WallMillis(), Now());
  if (!claim) {
    aError.code = ErrorCode::RateLimited;
    aError.detail = "too many keyed requests at once";
    return nullptr;
  }
  return std::make_unique<ClaimRun>(
    *this->store, *std::move(claim), std::move(aDone));
}

void
ClaimStore::Release(const IdempotencyClaim& aClaim)
{
  Transaction transaction;
  Compare own;
  own.key = StoreKeyOf(aClaim);
  own.target = Compare::Target::Value;
  own.value = EncodeClaim(aClaim.Record());
  Operation drop;
  drop.kind = Operation::Kind::Delete;
  drop.key = own.key;
  transaction.when.push_back(std::move(own));
  transaction.then.push_back(std::move(drop));
  this->CommitKept(transaction);
}

void
ClaimStore::CommitKept(const Transaction& aTransaction)
{
  this->calls.emplace_back();
  const auto place = std::prev(this->calls.end());
  *place = this->store->Commit(
    aTransaction,
    [this, place](const WriteResult& /*aResult*/) { this->ReapLater(place); });
}

void
ClaimStore::ReapLater(Calls::iterator aCall)
{
  this->ended.splice(this->ended.end(), this->calls, aCall);
  this->reapTimer.StartOnce(Duration(0));
}

void
ClaimStore::SetCollecting(bool aCollecting)
{
  if (this->store == nullptr || aCollecting == this->collectTimer.IsPending()) {
    return;
  }
  if (aCollecting) {
    this->collectTimer.StartRepeating(kCollectPeriod);
  } else {
    this->collectTimer.Stop();
  }
}

void
ClaimStore::CollectOne()
{
  const auto shard =
    static_cast<std::uint32_t>(this->random() % this->claims.ShardCount());
  RangeQuery query;
  query.key = std::string(kStorePrefix) + this->claims.ShardPrefix(shard);
  query.isPrefix = true;
  query.limit = kMostCollected;
  this->shardRead = this->store->Range(
    query, [this](const auto& aResult) { this->OnShard(aResult); });
}

void
ClaimStore::OnShard(const absl::StatusOr<RangeResult>& aShard)
{
  if (!aShard.ok()) {
    return;
  }
  const std::int64_t now = WallMillis();
  Transaction transaction;
  for (const KeyValue& value : aShard->values) {
    const std::optional<ClaimRecord> record = ParseClaim(value.value);
    if (record && this->claims.IsExpired(*record, now)) {
      Operation drop;
      drop.kind = Operation::Kind::Delete;
      drop.key = value.key;
      transaction.then.push_back(std::move(drop));
    }
  }
  if (!transaction.then.empty()) {
    this->CommitKept(transaction);
  }
}

} // namespace dogwoodvale
