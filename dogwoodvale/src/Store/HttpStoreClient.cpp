#include "dogwoodvale/Store"

#include <algorithm>
#include <utility>

#include "HttpStoreWatch.h"
#include "StoreCalls.h"
#include "StoreJson.h"

namespace dogwoodvale {

namespace {

class Store : public HttpStoreClient
{
public:
  Store(EventLoop& aLoop, const HttpStoreOptions& aOptions)
    : calls(aLoop, aOptions)
  {
  }

  std::unique_ptr<StoreCall> Range(const RangeQuery& aQuery,
                                   RangeHandler aHandler) override;
  std::unique_ptr<StoreCall> Commit(const Transaction& aTransaction,
                                    WriteHandler aHandler) override;
  std::unique_ptr<StoreCall> GrantLease(Duration aTtl,
                                        LeaseHandler aHandler) override;
  std::unique_ptr<StoreCall> KeepAlive(LeaseId aLease,
                                       LeaseHandler aHandler) override;
  std::unique_ptr<StoreCall> RevokeLease(LeaseId aLease,
                                         WriteHandler aHandler) override;
  std::unique_ptr<StoreWatch> Watch(const std::string& aPrefix,
                                    StoreWatchHandler& aHandler) override;
  std::uint64_t CallsSent() const override { return this->calls.CallsSent(); }

private:
  internal::StoreCalls calls;
};

std::unique_ptr<StoreCall>
Store::Range(const RangeQuery& aQuery, RangeHandler aHandler)
{
  internal::CallRequest request{ .path = "/v3/kv/range",
                                 .body =
                                   WriteJson(internal::RangeToJson(aQuery)),
                                 .isIdempotent = true };
  return this->calls.Start(
    std::move(request),
    [handler = std::move(aHandler)](const internal::CallAnswer& aAnswer) {
      if (aAnswer.status.ok()) {
        handler(internal::RangeFromJson(aAnswer.body));
      } else {
        handler(aAnswer.status);
      }
    });
}

WriteResult
FailedWrite(const internal::CallAnswer& aAnswer)
{
  return { .outcome = aAnswer.mayHaveBeenApplied ? WriteOutcome::Unknown
                                                 : WriteOutcome::NotApplied,
           .status = aAnswer.status,
           .reads = {} };
}

bool
IsReadOnly(const Transaction& aTransaction)
{
  const auto isRead = [](const Operation& aOperation) {
    return aOperation.kind == Operation::Kind::Range;
  };
  return std::all_of(
           aTransaction.then.begin(), aTransaction.then.end(), isRead) &&
         std::all_of(aTransaction.otherwise.begin(),
                     aTransaction.otherwise.end(),
                     isRead);
}

std::unique_ptr<StoreCall>
Store::Commit(const Transaction& aTransaction, WriteHandler aHandler)
{
  internal::CallRequest request{ .path = "/v3/kv/txn",
                                 .body = WriteJson(
                                   internal::TransactionToJson(aTransaction)),
                                 .isIdempotent = IsReadOnly(aTransaction) };
  return this->calls.Start(
    std::move(request),
    [handler = std::move(aHandler)](const internal::CallAnswer& aAnswer) {
      if (!aAnswer.status.ok()) {
        handler(FailedWrite(aAnswer));
        return;
      }
      const absl::StatusOr<WriteResult> result =
        internal::WriteFromJson(aAnswer.body);
      if (result.ok()) {
        handler(*result);
        return;
      }
      internal::CallAnswer unreadable;
      unreadable.status = result.status();
      unreadable.mayHaveBeenApplied = true;
      handler(FailedWrite(unreadable));
    });
}

internal::QueuedCall::Done
LeaseAnswer(StoreClient::LeaseHandler aHandler)
{
  return [handler = std::move(aHandler)](const internal::CallAnswer& aAnswer) {
    if (aAnswer.status.ok()) {
      handler(internal::LeaseFromJson(aAnswer.body));
    } else {
      handler(aAnswer.status);
    }
  };
}

std::unique_ptr<StoreCall>
Store::GrantLease(Duration aTtl, LeaseHandler aHandler)
{
  const auto whole = std::chrono::ceil<seconds>(aTtl);
  Json::Value body(Json::objectValue);
  body["TTL"] = std::to_string(whole.count());
  // If the response to a grant is lost, the lease is never renewed and expires
  // by itself; so the grant may be retried.
  internal::CallRequest request{ .path = "/v3/lease/grant",
                                 .body = WriteJson(body),
                                 .isIdempotent = true };
  return this->calls.Start(std::move(request),
                           LeaseAnswer(std::move(aHandler)));
}

std::unique_ptr<StoreCall>
Store::KeepAlive(LeaseId aLease, LeaseHandler aHandler)
{
  internal::CallRequest request{ .path = "/v3/lease/keepalive",
                                 .body =
                                   WriteJson(internal::LeaseToJson(aLease)),
                                 .isIdempotent = true,
                                 .isUrgent = true };
  return this->calls.Start(std::move(request),
                           LeaseAnswer(std::move(aHandler)));
}

std::unique_ptr<StoreCall>
Store::RevokeLease(LeaseId aLease, WriteHandler aHandler)
{
  internal::CallRequest request{ .path = "/v3/lease/revoke",
                                 .body =
                                   WriteJson(internal::LeaseToJson(aLease)) };
  return this->calls.Start(
    std::move(request),
    [handler = std::move(aHandler)](const internal::CallAnswer& aAnswer) {
      WriteResult result = FailedWrite(aAnswer);
      if (aAnswer.status.ok()) {
        result.outcome = WriteOutcome::Applied;
      }
      handler(result);
    });
}

std::unique_ptr<StoreWatch>
Store::Watch(const std::string& aPrefix, StoreWatchHandler& aHandler)
{
  return std::make_unique<internal::HttpStoreWatch>(
    *this, this->calls, aPrefix, aHandler);
}

} // namespace

absl::StatusOr<std::unique_ptr<HttpStoreClient>>
HttpStoreClient::Create(EventLoop& aLoop, const HttpStoreOptions& aOptions)
{
  if (aOptions.endpoints.empty()) {
    return absl::InvalidArgumentError("the store has no endpoints");
  }
  if (aOptions.callsPerSecond <= 0) {
    return absl::InvalidArgumentError(
      "the rate of store calls must be above 0");
  }
  return std::make_unique<Store>(aLoop, aOptions);
}

} // namespace dogwoodvale
