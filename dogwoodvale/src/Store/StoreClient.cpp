#include "dogwoodvale/Store"

#include <utility>

namespace dogwoodvale {

std::string_view
WriteOutcomeName(WriteOutcome aOutcome)
{
  switch (aOutcome) {
    case WriteOutcome::Applied:
      return "applied";
    case WriteOutcome::NotApplied:
      return "not_applied";
    case WriteOutcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

namespace {

Operation
PutOperation(const std::string& aKey, const std::string& aValue, LeaseId aLease)
{
  return {
    .kind = Operation::Kind::Put, .key = aKey, .value = aValue, .lease = aLease
  };
}

Operation
ReadOperation(const std::string& aKey)
{
  return { .kind = Operation::Kind::Range, .key = aKey, .value = {} };
}

} // namespace

std::unique_ptr<StoreCall>
StoreClient::Put(const std::string& aKey,
                 const std::string& aValue,
                 WriteHandler aHandler)
{
  Transaction put;
  put.then.push_back(PutOperation(aKey, aValue, 0));
  return this->Commit(put, std::move(aHandler));
}

std::unique_ptr<StoreCall>
StoreClient::DeleteRange(const std::string& aKey,
                         bool aIsPrefix,
                         WriteHandler aHandler)
{
  Transaction remove;
  remove.then.push_back({ .kind = Operation::Kind::Delete,
                          .key = aKey,
                          .value = {},
                          .isPrefix = aIsPrefix });
  return this->Commit(remove, std::move(aHandler));
}

std::unique_ptr<StoreCall>
StoreClient::CreateIfAbsent(const std::string& aKey,
                            const std::string& aValue,
                            LeaseId aLease,
                            WriteHandler aHandler)
{
  Transaction create;
  create.when.push_back({ .key = aKey,
                          .target = Compare::Target::CreateRevision,
                          .number = 0,
                          .value = {} });
  create.then.push_back(PutOperation(aKey, aValue, aLease));
  create.otherwise.push_back(ReadOperation(aKey));
  return this->Commit(create, std::move(aHandler));
}

std::unique_ptr<StoreCall>
StoreClient::CompareAndSwap(const std::string& aKey,
                            Revision aModRevision,
                            const std::string& aValue,
                            WriteHandler aHandler)
{
  Transaction swap;
  swap.when.push_back({ .key = aKey,
                        .target = Compare::Target::ModRevision,
                        .number = aModRevision,
                        .value = {} });
  swap.then.push_back(PutOperation(aKey, aValue, 0));
  swap.otherwise.push_back(ReadOperation(aKey));
  return this->Commit(swap, std::move(aHandler));
}

std::unique_ptr<StoreCall>
StoreClient::ReadKeys(std::span<const std::string> aKeys, RangeHandler aHandler)
{
  Transaction read;
  for (const std::string& key : aKeys) {
    read.then.push_back(ReadOperation(key));
  }
  return this->Commit(
    read, [handler = std::move(aHandler)](const WriteResult& aResult) {
      if (aResult.outcome != WriteOutcome::Applied) {
        handler(aResult.status);
        return;
      }
      RangeResult result{ .revision = aResult.revision, .values = {} };
      for (const std::vector<KeyValue>& values : aResult.reads) {
        result.values.insert(result.values.end(), values.begin(), values.end());
      }
      handler(std::move(result));
    });
}

} // namespace dogwoodvale
