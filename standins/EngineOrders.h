#ifndef DOGWOODVALE_STANDINS_ENGINEORDERS_H
#define DOGWOODVALE_STANDINS_ENGINEORDERS_H

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "dogwoodvale/Core"

namespace dogwoodvale::standins {

/// What an engine has been ordered to hold and be; no I/O.
class EngineOrders
{
public:
  /// \param aLoadTime from a load order to its model or adapter being there.
  EngineOrders(const std::vector<std::string>& aModels,
               Duration aLoadTime,
               bool aChecksFencing);

  struct Answer
  {
    int code;
    Json::Value body;
  };
  /// Obeys {"action":"load"|"unload"|"role", "model", "adapter", "version",
  /// "role", "fencing"}; 400 if malformed, 409 if fenced off.
  Answer Obey(const Json::Value& aOrder, TimePoint aNow);

  /// Whether requests may name \p aModel, a model or an adapter.
  bool Serves(const std::string& aModel, TimePoint aNow) const;
  std::vector<std::string> Served(TimePoint aNow) const;

  Json::Value State(TimePoint aNow) const;

private:
  struct Loaded
  {
    std::string version;
    std::string base; ///< the model of an adapter
    TimePoint readyAt;
  };
  using Shelf = std::map<std::string, Loaded>;
  std::optional<std::string> Apply(const Json::Value& aOrder, TimePoint aNow);
  static Json::Value ShelfJson(const Shelf& aShelf, TimePoint aNow);

  Duration loadTime;
  bool checksFencing;
  Shelf models;
  Shelf adapters;
  std::string role = "mixed";
  std::uint64_t highestFencing = 0;
  std::uint64_t obeyed = 0;
  std::deque<Json::Value> log; ///< the last obeyed orders
};

} // namespace dogwoodvale::standins

#endif
