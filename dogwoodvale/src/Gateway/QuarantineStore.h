#ifndef DOGWOODVALE_GATEWAY_QUARANTINESTORE_H
#define DOGWOODVALE_GATEWAY_QUARANTINESTORE_H

#include <functional>
#include <map>
#include <memory>

#include "dogwoodvale/Quarantine"
#include "dogwoodvale/Store"

namespace dogwoodvale {

/// Persists quarantines in the store, each as one key under its own lease.
///
/// Gateways hold quarantines in memory and exchange them. If all gateways are
/// killed at once, each quarantined subject would have to crash three more
/// servers to be detected again; the stored copies avoid that.
class QuarantineStore
{
public:
  using Handler = std::function<void(const QuarantineVerdict&)>;

  /// \param aHandler is called for each quarantine that is read.
  QuarantineStore(EventLoop& aLoop, StoreClient& aStore, Handler aHandler);

  /// Reads the stored quarantines twice: at once, possibly seconds stale, and
  /// consistently after kRereadDelay, when gateways that started together have
  /// all done their first read.
  void Start();
  /// Stores a verdict, in place of an earlier one of the same subject. Retried
  /// every kRetryPeriod until the store has applied it. Dropped if
  /// kMaxPendingWrites others are pending.
  void Persist(const QuarantineVerdict& aVerdict);
  /// Writes the verdicts in force again if the store was restored from an older
  /// copy. Call a few times a second.
  void RunMaintenance();

  static constexpr std::string_view kPrefix = "dogwoodvale/quarantine/";
  /// Longest lease that the store grants.
  static constexpr Duration kMaxLeaseTtl = seconds(600);
  static constexpr Duration kRereadDelay = seconds(2);
  static constexpr Duration kRetryPeriod = seconds(1);
  /// Most pending writes; further verdicts are dropped, as the other gateways
  /// have them too.
  static constexpr std::size_t kMaxPendingWrites = 64;

private:
  void Read(bool aAllowStale);
  void OnRead(const RangeResult& aResult);
  void WriteNext();
  void Put(const QuarantineVerdict& aVerdict, LeaseId aLease);

  StoreClient& store;
  Handler handler;
  std::unique_ptr<StoreCall> readCall;
  std::unique_ptr<StoreCall> writeCall;
  /// Verdicts that are not written yet.
  std::map<Fingerprint, QuarantineVerdict> pending;
  struct Stored
  {
    QuarantineVerdict verdict;
    TimePoint until{};
  };
  /// Verdicts that this gateway has written and whose lease still runs.
  std::map<Fingerprint, Stored> stored;
  StoreEra era = 0;
  Timer readTimer;
  Timer writeTimer;
};

/// \return "ROUND" or "ROUND lifted".
std::string
WriteVerdict(const QuarantineVerdict& aVerdict);

/// \param aKey under QuarantineStore::kPrefix.
/// \return the verdict with QuarantineVerdict::left unset, as it isn't stored;
/// InvalidArgument for another key or value.
absl::StatusOr<QuarantineVerdict>
ReadVerdict(std::string_view aKey, std::string_view aValue);

} // namespace dogwoodvale

#endif
