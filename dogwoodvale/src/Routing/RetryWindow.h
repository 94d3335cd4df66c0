#ifndef DOGWOODVALE_ROUTING_RETRYWINDOW_H
#define DOGWOODVALE_ROUTING_RETRYWINDOW_H

#include <array>
#include <cstdint>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Bounds of a RetryWindow.
struct RetryWindowSettings
{
  /// Any span of this length counts.
  Duration window = seconds(10);
  /// Retries allowed in it for each request in it.
  double ratio = 0.1;
  /// Retries allowed besides, over all gateways together.
  double extra = 10;
};

/// Bounds the retries that one gateway adds to one service, so that the sum
/// over all gateways keeps a bound over every span of time.
///
/// Shares by requests add up by themselves: each gateway spends on its own
/// requests only. The fixed extra is divided by the number of gateways. A token
/// bucket would not do: it can spend what it saved on top of a window's income.
class RetryWindow
{
public:
  explicit RetryWindow(RetryWindowSettings aSettings = {});

  void SetSettings(const RetryWindowSettings& aSettings);
  /// \param aCount gateways that share the extra, this one included.
  void SetGateways(std::size_t aCount);

  /// A caller's request for the service, whether it is sent on or not.
  void OnRequest(TimePoint aNow);
  /// Takes one retry, or gives false: none is left.
  bool TryTake(TimePoint aNow);
  /// Whether TryTake() would give true.
  bool HasRoom(TimePoint aNow);

private:
  /// Part of the bound that is used. Each gateway keeps it at the moments of
  /// its own retries; in windows that end at another's, some of the requests
  /// that earned them have dropped out.
  static constexpr double kUsedShare = 0.8;
  /// Parts of a window that are counted apart. Requests are counted over the
  /// whole parts that lie inside the window and retries over those that touch
  /// it, so that the error of one part is always on the safe side.
  static constexpr std::size_t kParts = 20;

  struct Part
  {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  Part& PartAt(TimePoint aNow);
  std::int64_t NumberAt(TimePoint aNow) const;
  double Allowed(TimePoint aNow) const;
  double Taken(TimePoint aNow) const;

  RetryWindowSettings settings;
  std::size_t gateways = 1;
  std::array<Part, kParts + 1> parts{};
};

} // namespace dogwoodvale

#endif
