#ifndef DOGWOODVALE_GATEWAY_ROUTESCACHE_H
#define DOGWOODVALE_GATEWAY_ROUTESCACHE_H

#include <functional>
#include <memory>
#include <string>

#include "Ports.h"

namespace dogwoodvale {

/// The routes in force, from the store's watch or from another gateway.
///
/// Only a higher version is accepted, so that a store that was restored from
/// older data, or a gateway that is behind, can't undo a change.
class RoutesCache final : public StoreWatchHandler
{
public:
  using Handler = std::function<void(std::shared_ptr<const RouteTable>)>;

  /// \param aHandler is called for each higher version.
  RoutesCache(StoreClient& aStore,
              const DirectoryFormat& aFormat,
              Handler aHandler);

  void Start();
  /// Renews the watch, e.g. after the process was suspended.
  void Rearm();
  /// Asks the store for a change that the watch may have missed.
  void Check();
  /// Applies a document of routes if it is valid and of a higher version.
  /// \param aFrom "store", or the gateway that sent its copy; for the log.
  /// \return whether it was applied.
  bool Apply(std::string_view aDocument, std::string_view aFrom);

  /// Version of the routes in force; 0 before the first.
  Epoch Version() const { return this->table ? this->table->Version() : 0; }
  const std::shared_ptr<const RouteTable>& Table() const { return this->table; }
  /// The document in force as received, for other gateways.
  const std::string& Document() const { return this->document; }
  /// The same, compressed (see Compress()); cached for each version.
  const std::string& CompressedDocument();
  /// Total size of all documents received, applied or not.
  std::uint64_t BytesRead() const { return this->bytesRead; }
  /// Whether the last new document could not be read, e.g. as it was written
  /// for a newer version of this software.
  bool HasUnreadable() const { return this->hasUnreadable; }
  /// Whether the store's watch is established, as far as is known.
  bool IsWatching() const { return this->isWatching; }
  /// Time since the store last sent anything on the watch.
  Duration Age(TimePoint aNow) const;
  /// When the store last sent anything on the watch.
  TimePoint HeardAt() const { return this->heardAt; }

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
  /// Empty until requested.
  std::string compressed;
  std::uint64_t bytesRead = 0;
  TimePoint heardAt{};
  bool hasUnreadable = false;
  bool isWatching = true;
};

} // namespace dogwoodvale

#endif
