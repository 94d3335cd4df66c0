#ifndef DOGWOODVALE_GATEWAY_ROUTESKEEPER_H
#define DOGWOODVALE_GATEWAY_ROUTESKEEPER_H

#include <functional>
#include <memory>
#include <string>

#include "Ports.h"

namespace dogwoodvale {

/// The routes in force, from the store's watch or another gateway's copy.
///
/// A store that comes back with older data, or a gateway that is behind, must
/// not undo a change: only a higher version is taken.
class RoutesKeeper final : public StoreWatchHandler
{
public:
  using Handler = std::function<void(std::shared_ptr<const RouteTable>)>;

  /// \param aHandler is told of each higher version.
  RoutesKeeper(StoreClient& aStore,
               const DirectoryFormat& aFormat,
               Handler aHandler);

  void Start();
  /// Asks the store anew, e.g. after the process was suspended.
  void Rearm();
  /// \param aFrom "store", or the gateway that hands on its copy.
  /// \return whether they came into force.
  bool Take(std::string_view aDocument, std::string_view aFrom);

  /// 0 before the first.
  Epoch Version() const { return this->table ? this->table->Version() : 0; }
  const std::shared_ptr<const RouteTable>& Table() const { return this->table; }
  /// As received, for other gateways.
  const std::string& Document() const { return this->document; }
  /// The same, see Compress(); made once a version.
  const std::string& CompressedDocument();
  /// Of all documents that came, taken or not.
  std::uint64_t BytesRead() const { return this->bytesRead; }
  /// Whether the store's watch stands, as far as is known.
  bool IsWatching() const { return this->isWatching; }
  /// Since the store last gave a sign of life on the watch.
  Duration Age(TimePoint aNow) const;

  void OnSnapshot(Revision aRevision,
                  std::span<const KeyValue> aValues) override;
  void OnChanges(Revision aRevision,
                 std::span<const StoreChange> aChanges) override;
  void OnContact() override;
  void OnLost(const absl::Status& aReason) override;

private:
  StoreClient& store;
  const DirectoryFormat& format;
  Handler handler;
  std::unique_ptr<StoreWatch> watch;
  std::shared_ptr<const RouteTable> table;
  std::string document;
  /// Empty until somebody asks for it.
  std::string compressed;
  std::uint64_t bytesRead = 0;
  TimePoint heardAt{};
  bool isWatching = true;
};

} // namespace dogwoodvale

#endif
