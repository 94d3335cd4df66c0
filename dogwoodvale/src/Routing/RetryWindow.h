#ifndef DOGWOODVALE_ROUTING_RETRYWINDOW_H
#define DOGWOODVALE_ROUTING_RETRYWINDOW_H

#include <array>
#include <cstdint>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Parameters of a RetryWindow.
struct RetryWindowSettings
{
  /// Length of the sliding window in which retries are bounded.
  Duration window = seconds(10);
  /// Retries allowed per request in the window.
  double ratio = 0.1;
  /// Retries allowed per window in addition, for all gateways together.
  double extra = 10;
};

/// Limits the retries of one gateway to one service such that the retries of
/// all gateways together stay within `ratio * requests + extra` in every
/// window.
///
/// The part by ratio adds up without coordination, since each gateway counts
/// its own requests only. The fixed part is divided by the number of gateways.
/// A token bucket can't keep this bound: it may spend saved tokens on top of
/// those earned within the window.
class RetryWindow
{
public:
  explicit RetryWindow(RetryWindowSettings aSettings = {});

  void SetSettings(const RetryWindowSettings& aSettings);
  /// \param aCount gateways among which `extra` is divided, including this one.
  void SetGateways(std::size_t aCount);

  /// Counts a caller's request to the service, whether or not it is forwarded.
  void OnRequest(TimePoint aNow);
  /// Counts one retry if the limit allows it.
  /// \return false if it does not.
  bool TryTake(TimePoint aNow);
  /// Whether TryTake() would return true.
  bool HasRoom(TimePoint aNow);

private:
  /// Share of the bound that this gateway uses. It checks the bound at its own
  /// retries only. In a window that ends at another gateway's retry, some of
  /// the requests that allowed these retries are no longer inside.
  static constexpr double kSafetyFactor = 0.8;
  /// Number of slices of a window with a counter each. Requests are counted in
  /// the slices that lie wholly inside the window, retries in all that overlap
  /// it, so that the rounding to slices always errs on the strict side.
  static constexpr std::size_t kSlices = 20;

  struct Slice
  {
    /// Index of the slice since the clock's epoch; -1 if unused.
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  /// The current slice, reset if it was last used for an earlier one.
  Slice& SliceAt(TimePoint aNow);
  std::int64_t SliceNumberAt(TimePoint aNow) const;
  double AllowedRetries(TimePoint aNow) const;
  double CountRetries(TimePoint aNow) const;

  RetryWindowSettings settings;
  std::size_t gateways = 1;
  std::array<Slice, kSlices + 1> slices{};
};

} // namespace dogwoodvale

#endif
