#ifndef DOGWOODVALE_BACKPRESSURE_SERVERBACKOFFS_H
#define DOGWOODVALE_BACKPRESSURE_SERVERBACKOFFS_H

#include <map>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Servers that have asked this gateway to back off. They get no requests until
/// the back-off time has passed, and then one probe at a time until a probe is
/// not rejected.
///
/// Only time ends a back-off: a successful response that arrives during it may
/// belong to a request sent before it began.
class ServerBackoffs
{
public:
  /// A response that rejected a request asked for a back-off.
  /// \param aBackoff at most kMaxBackoff is used; zero or less is ignored.
  /// \return whether this extends the current back-off.
  bool OnRefused(const InstanceName& aServer,
                 Duration aBackoff,
                 TimePoint aNow);
  /// A response arrived that does not ask for a back-off. Ends probing if the
  /// back-off time has passed.
  void OnAnswer(const InstanceName& aServer, TimePoint aNow);
  void OnSent(const InstanceName& aServer, TimePoint aNow);
  void Forget(const InstanceName& aServer);

  bool MaySend(const InstanceName& aServer, TimePoint aNow) const;
  /// Time until a request may be sent; zero for a server without a back-off.
  Duration UntilFree(const InstanceName& aServer, TimePoint aNow) const;
  /// Number of servers whose back-off time has not passed.
  std::size_t BackingOffCount(TimePoint aNow) const;

  /// Maximum back-off; a server that asks for more is probed after this time.
  static constexpr Duration kMaxBackoff = std::chrono::minutes(10);
  /// Time after which the next probe is sent if one gets no response.
  static constexpr Duration kProbeRetryInterval = milliseconds(250);

private:
  struct Backoff
  {
    /// When a request may be sent: at the end of the back-off, or when the last
    /// probe has timed out.
    TimePoint freeAt{};
    /// When the back-off time ends.
    TimePoint endsAt{};
  };

  std::map<InstanceName, Backoff> backoffs;
};

} // namespace dogwoodvale

#endif
