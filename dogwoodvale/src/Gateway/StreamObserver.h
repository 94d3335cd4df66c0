#ifndef DOGWOODVALE_GATEWAY_STREAMOBSERVER_H
#define DOGWOODVALE_GATEWAY_STREAMOBSERVER_H

#include <cstdint>
#include <optional>

#include "dogwoodvale/Placement"

namespace dogwoodvale {

/// Measures a stream and what its server had to do meanwhile, for DecodeModel.
class StreamObserver
{
public:
  /// The first events of a stream arrived.
  /// \param aEvents number of them; they arrived at once, so there is no
  /// interval between them.
  /// \param aActivity of the server.
  void OnFirstEvents(std::uint64_t aEvents,
                     const ServerActivity::Snapshot& aActivity);
  /// Reading was paused for a slow caller, so pauses are not the server's.
  void OnReadingPaused() { this->isUsable = false; }

  /// Mean time between two events; zero if there is no interval.
  /// \param aEvents number of events of the whole stream.
  Duration MeanPause(std::uint64_t aEvents, TimePoint aLastEvent) const;
  /// The measurements of the complete stream; nothing if it can't be used. The
  /// fields about the request and the reported factor are not filled in.
  std::optional<StreamSample> Sample(
    std::uint64_t aEvents,
    TimePoint aLastEvent,
    Duration aLongestPause,
    const ServerActivity::Snapshot& aActivity) const;

private:
  std::uint64_t IntervalsOf(std::uint64_t aEvents) const;

  bool isUsable = true;
  std::uint64_t firstEvents = 0;
  /// When the first events arrived.
  std::optional<ServerActivity::Snapshot> start;
};

} // namespace dogwoodvale

#endif
