#ifndef DOGWOODVALE_RESUMPTION_SOFTWAREHISTORY_H
#define DOGWOODVALE_RESUMPTION_SOFTWAREHISTORY_H

#include <map>
#include <optional>
#include <span>
#include <string>

#include "StreamOrigin.h"

namespace dogwoodvale {

/// A service has had servers of one software version only, for some time.
struct UniformSoftware
{
  std::string version;
  Duration length{ 0 };
};

/// The software versions that the list of backend servers has shown, by
/// service.
///
/// While a service has had one version for longer than its streams last, every
/// stream began at that version, and no record of single streams is needed.
class SoftwareHistory
{
public:
  /// A list of backend servers is in force: the service and the version of
  /// each.
  void OnList(std::span<const StreamOrigin> aServers, TimePoint aNow);
  /// The list was out of date until now: what it did not show is unknown.
  void OnGap(TimePoint aNow);
  /// Another gateway has seen only this version for a time that ends now. Makes
  /// up for what this gateway did not see, e.g. before its start.
  void Adopt(const ServiceName& aService,
             const UniformSoftware& aUniform,
             TimePoint aNow);
  /// A stream of the service began at that version, as another process tells.
  void OnOrigin(const StreamOrigin& aOrigin, TimePoint aNow);
  /// Whether the service has had servers of different versions within that
  /// time.
  bool WasMixed(const ServiceName& aService,
                Duration aWithin,
                TimePoint aNow) const;
  /// \return nothing if servers of several versions, or of an unknown one, are
  /// listed, or none is.
  std::optional<UniformSoftware> UniformOf(const ServiceName& aService,
                                           TimePoint aNow) const;

private:
  struct Service
  {
    /// The version on the newest list; nothing if there are several or none.
    std::optional<std::string> version;
    /// Since when it is the only one.
    TimePoint since{};
    /// The last version that was listed; empty before the first.
    std::string last;
    /// When another version than the last one was known of.
    std::optional<TimePoint> mixedAt;
  };

  std::map<ServiceName, Service> services;
  /// Since when lists are known without a gap; nothing before the first.
  std::optional<TimePoint> knownSince;
};

} // namespace dogwoodvale

#endif
