#ifndef DOGWOODVALE_BACKPRESSURE_LEAVINGSERVERS_H
#define DOGWOODVALE_BACKPRESSURE_LEAVINGSERVERS_H

#include <map>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// What a gateway tells others of a server that leaves.
struct LeavingNews
{
  InstanceName server;
  /// Since the first gateway had the server's word.
  milliseconds age{ 0 };

  bool operator==(const LeavingNews&) const = default;
};

/// Servers that have said in an answer that they leave, here or at another
/// gateway.
///
/// A server that leaves does not come back: another start of it is another
/// incarnation. So the word outlives the server's entry here, and no list that
/// is older, of the store or of another gateway, takes it back.
class LeavingServers
{
public:
  /// \return whether that is new.
  bool OnAnswer(const InstanceName& aServer, TimePoint aNow);
  bool Hear(const LeavingNews& aNews, TimePoint aNow);
  std::vector<LeavingNews> Tell(TimePoint aNow) const;
  bool Contains(const InstanceName& aServer) const;

  /// An older copy of a list may name a server again for so long.
  static constexpr Duration kMemory = std::chrono::minutes(10);
  /// How long others are told; a gateway that starts meanwhile hears of it.
  static constexpr Duration kTell = seconds(60);
  /// Most that are remembered; the earliest are forgotten first.
  static constexpr std::size_t kMost = 4096;
  static constexpr std::size_t kMostNews = 512;

private:
  bool Add(const InstanceName& aServer, TimePoint aSaidAt, TimePoint aNow);

  std::map<InstanceName, TimePoint> saidAt;
};

} // namespace dogwoodvale

#endif
