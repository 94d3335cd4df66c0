#ifndef DOGWOODVALE_STORE_INSTANCELISTCLIENT_H
#define DOGWOODVALE_STORE_INSTANCELISTCLIENT_H

#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "HttpExchange.h"
#include "dogwoodvale/Membership"

namespace dogwoodvale {

/// Receives the platform's instance list.
class InstanceListObserver
{
public:
  virtual ~InstanceListObserver() = default;
  virtual void OnList(std::span<const ListedInstance> aList) = 0;
  /// The list could not be read; the previous one stays valid.
  virtual void OnListFailed(const absl::Status& aReason) = 0;
};

struct InstanceListContent
{
  std::vector<ListedInstance> instances;
  /// Why each other entry could not be read.
  std::vector<std::string> rejected;
};

/// Parses {"instances":[{"name","role","service","data_centre","region",
/// "address","state"}]}. Entries that another writer has left cost only
/// themselves.
/// \return DataLoss for what is no list, or if no entry of it can be read: that
/// would look as if all instances had been removed.
absl::StatusOr<InstanceListContent>
ParseInstanceList(std::string_view aText);

/// Polls GET /instances with a jitter of 20% on the period.
class InstanceListClient
{
public:
  InstanceListClient(EventLoop& aLoop,
                     const SocketAddress& aAddress,
                     Duration aPeriod,
                     Duration aTimeout,
                     InstanceListObserver& aObserver);

  /// Sends the first read at once.
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
  /// Of the last list.
  std::vector<std::string> rejected;
  bool hasList = false;
  bool isFailing = false;
};

} // namespace dogwoodvale

#endif
