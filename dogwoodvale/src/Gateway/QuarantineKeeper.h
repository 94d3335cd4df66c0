#ifndef DOGWOODVALE_GATEWAY_QUARANTINEKEEPER_H
#define DOGWOODVALE_GATEWAY_QUARANTINEKEEPER_H

#include <functional>
#include <map>
#include <memory>

#include "dogwoodvale/Quarantine"
#include "dogwoodvale/Store"

namespace dogwoodvale {

/// Keeps quarantines in the store, one key each under a lease of its own.
///
/// Gateways hold what they know in memory and learn from each other. When all
/// of them are killed at once, each quarantined request would have to crash
/// three more servers to be known again; from here they know it at once.
class QuarantineKeeper
{
public:
  using Handler = std::function<void(const QuarantineVerdict&)>;

  /// \param aHandler is told of each quarantine that is read.
  QuarantineKeeper(EventLoop& aLoop, StoreClient& aStore, Handler aHandler);

  /// Reads what is kept: at once, which may be seconds old, and once more when
  /// all gateways that started together have.
  void Start();
  /// Keeps it, in place of an earlier one of the same request. Tried again
  /// while the store gives no answer.
  void Keep(const QuarantineVerdict& aVerdict);
  /// Keeps again what a store that came back as an older copy has lost. Call a
  /// few times a second.
  void Tend();

  static constexpr std::string_view kPrefix = "dogwoodvale/quarantine/";
  /// The store's longest lease.
  static constexpr Duration kLongestLease = seconds(600);
  static constexpr Duration kReadAgain = seconds(2);
  static constexpr Duration kRetryPeriod = seconds(1);
  /// Waiting to be written; more are dropped, the other gateways know them.
  static constexpr std::size_t kMostWaiting = 64;

private:
  void Read(bool aAllowStale);
  void OnRead(const RangeResult& aResult);
  void WriteNext();
  void Put(const QuarantineVerdict& aVerdict, LeaseId aLease);

  StoreClient& store;
  Handler handler;
  std::unique_ptr<StoreCall> readCall;
  std::unique_ptr<StoreCall> writeCall;
  std::map<RequestFingerprint, QuarantineVerdict> waiting;
  struct Kept
  {
    QuarantineVerdict verdict;
    TimePoint until{};
  };
  /// Written by this gateway, in force still.
  std::map<RequestFingerprint, Kept> kept;
  StoreEra era = 0;
  Timer readTimer;
  Timer writeTimer;
};

/// "ROUND" or "ROUND lifted".
std::string
WriteVerdict(const QuarantineVerdict& aVerdict);

/// \param aKey under QuarantineKeeper::kPrefix.
/// \return with no time left, which the store doesn't tell.
absl::StatusOr<QuarantineVerdict>
ReadVerdict(std::string_view aKey, std::string_view aValue);

} // namespace dogwoodvale

#endif
