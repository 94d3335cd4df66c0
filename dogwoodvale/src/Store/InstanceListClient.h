#ifndef DOGWOODVALE_STORE_INSTANCELISTCLIENT_H
#define DOGWOODVALE_STORE_INSTANCELISTCLIENT_H

#include <memory>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "HttpExchange.h"
#include "dogwoodvale/Membership"

namespace dogwoodvale {

/// Is told what the platform's list says.
class InstanceListObserver
{
public:
  virtual ~InstanceListObserver() = default;
  virtual void OnList(std::span<const ListedInstance> aList) = 0;
  /// The list could not be had; what was known before stays.
  virtual void OnListFailed(const absl::Status& aReason) = 0;
};

/// Parses {"instances":[{"name","role","service","data_centre","region",
/// "address","state"}]}; one malformed entry spoils the list, as a part of a
/// list taken for the whole would look like instances that went away.
absl::StatusOr<std::vector<ListedInstance>>
ParseInstanceList(std::string_view aText);

/// Reads GET /instances every period, with jitter.
class InstanceListClient
{
public:
  InstanceListClient(EventLoop& aLoop,
                     const SocketAddress& aAddress,
                     Duration aPeriod,
                     Duration aTimeout,
                     InstanceListObserver& aObserver);

  /// The first read goes out at once.
  void Start();
  bool HasList() const { return this->hasList; }

private:
  void Read();
  void OnAnswer(const HttpAnswer& aAnswer);
  void ScheduleNext();

  EventLoop& loop;
  SocketAddress address;
  Duration period;
  Duration timeout;
  InstanceListObserver& observer;
  std::mt19937_64 random;
  std::unique_ptr<HttpExchange> exchange;
  Timer timer;
  bool hasList = false;
  bool failing = false;
};

} // namespace dogwoodvale

#endif
