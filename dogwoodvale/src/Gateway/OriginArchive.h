#ifndef DOGWOODVALE_GATEWAY_ORIGINARCHIVE_H
#define DOGWOODVALE_GATEWAY_ORIGINARCHIVE_H

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "dogwoodvale/Duties"
#include "dogwoodvale/Resumption"
#include "dogwoodvale/Store"

namespace dogwoodvale {

/// Keeps the origins of streams in the store.
///
/// Gateways hold origins in memory and report them to each other. If all are
/// killed at once, only the store still has them. One gateway of a cell writes
/// for all of it.
class OriginArchive
{
public:
  struct Options
  {
    InstanceName self;
    /// Shared by all gateways; what was written with another one is rejected.
    std::string secret;
  };
  using Handler = std::function<void(std::span<const OriginUpdate>)>;

  OriginArchive(StoreClient& aStore, Options aOptions);

  /// A digest arrived from a gateway of the own cell.
  void OnHeard(const InstanceName& aGateway, TimePoint aNow);
  void SetCell(std::size_t aCell) { this->cell = aCell; }
  /// Whether a write would be made now: this gateway writes for its cell, no
  /// other write is in flight and the last one did not fail just now.
  bool MayWrite(TimePoint aNow) const;
  /// \param aHandler is told whether the store has the origins.
  void Write(std::span<const OriginUpdate> aOrigins,
             std::function<void(bool)> aHandler);
  /// Reads what all cells have written, at most every kReadPeriod.
  /// \param aHandler receives nothing if the read fails. Not called if another
  /// read is in flight: its handler is.
  /// \return whether a read is in flight.
  bool Read(TimePoint aNow, Handler aHandler);

  static constexpr std::string_view kPrefix = "dogwoodvale/origins/";
  static constexpr Duration kReadPeriod = seconds(1);
  static constexpr Duration kRetryPeriod = seconds(1);
  /// Most origins of a cell: some 100 kB of the 1 MB of a value.
  static constexpr std::size_t kMaxOrigins = 4'096;

private:
  std::vector<OriginUpdate> Parse(const RangeResult& aResult) const;

  StoreClient& store;
  Options options;
  DutyElection election;
  std::size_t cell = 0;
  std::unique_ptr<StoreCall> readCall;
  std::unique_ptr<StoreCall> writeCall;
  std::optional<TimePoint> readAt;
  std::optional<TimePoint> failedAt;
};

} // namespace dogwoodvale

#endif
