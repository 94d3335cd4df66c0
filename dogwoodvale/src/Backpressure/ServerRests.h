#ifndef DOGWOODVALE_BACKPRESSURE_SERVERRESTS_H
#define DOGWOODVALE_BACKPRESSURE_SERVERRESTS_H

#include <map>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Servers that have asked this gateway for rest: they get nothing from it
/// until the rest is over, then one request at a time until one is not turned
/// away.
///
/// A rest ends by time only: what was sent before it may still be answered.
class ServerRests
{
public:
  /// An answer that turned a request away asked for rest.
  /// \return whether it makes the rest longer.
  bool OnRefused(const InstanceName& aServer, Duration aRest, TimePoint aNow);
  /// An answer came that asks for none.
  void OnAnswer(const InstanceName& aServer, TimePoint aNow);
  void OnSent(const InstanceName& aServer, TimePoint aNow);
  void Forget(const InstanceName& aServer);

  bool MaySend(const InstanceName& aServer, TimePoint aNow) const;
  /// Until a request may be sent; zero for a server that asked for no rest.
  Duration UntilFree(const InstanceName& aServer, TimePoint aNow) const;
  /// Servers whose rest is not over.
  std::size_t RestingCount(TimePoint aNow) const;

  /// A server that asks for more is tried again after this all the same.
  static constexpr Duration kLongest = std::chrono::minutes(10);
  /// Without a word on a trial the next is made after this.
  static constexpr Duration kTrialPatience = milliseconds(250);

private:
  struct Rest
  {
    /// When a request may be sent: the end of the rest, or of the patience with
    /// the last trial.
    TimePoint freeAt{};
    TimePoint endsAt{};
  };

  std::map<InstanceName, Rest> rests;
};

} // namespace dogwoodvale

#endif
