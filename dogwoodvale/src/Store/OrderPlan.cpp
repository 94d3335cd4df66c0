#include "dogwoodvale/Store"

#include <algorithm>

namespace dogwoodvale {

namespace {

const LoadedModel*
Find(std::span<const LoadedModel> aModels, std::string_view aName)
{
  const auto found =
    std::find_if(aModels.begin(), aModels.end(), [&](const LoadedModel& aOne) {
      return aOne.name == aName;
    });
  return found == aModels.end() ? nullptr : &*found;
}

bool
IsWantedAdapter(std::span<const ModelPlacement> aWanted,
                const LoadedModel& aAdapter)
{
  return std::any_of(
    aWanted.begin(), aWanted.end(), [&](const ModelPlacement& aModel) {
      const auto& names = aModel.adapters;
      return aModel.model.Value() == aAdapter.base &&
             std::find(names.begin(), names.end(), aAdapter.name) !=
               names.end();
    });
}

bool
IsWantedModel(std::span<const ModelPlacement> aWanted, std::string_view aName)
{
  return std::any_of(
    aWanted.begin(), aWanted.end(), [&](const ModelPlacement& aModel) {
      return aModel.model.Value() == aName;
    });
}

void
PlanLoads(const ModelPlacement& aWanted,
          const EngineState& aState,
          std::vector<EngineOrder>& aOrders)
{
  const std::string& name = aWanted.model.Value();
  const LoadedModel* held = Find(aState.models, name);
  if (held == nullptr || held->version != aWanted.version) {
    aOrders.push_back({ EngineOrder::Action::Load, name, aWanted.version, "" });
    return;
  }
  if (held->isLoading) {
    return;
  }
  for (const std::string& adapter : aWanted.adapters) {
    const LoadedModel* there = Find(aState.adapters, adapter);
    if (there == nullptr || there->base != name) {
      aOrders.push_back({ EngineOrder::Action::Load, name, "", adapter });
    }
  }
}

} // namespace

bool
IsSettled(std::span<const ModelPlacement> aWanted, const EngineState& aState)
{
  return std::all_of(
    aWanted.begin(), aWanted.end(), [&](const ModelPlacement& aModel) {
      const LoadedModel* held = Find(aState.models, aModel.model.Value());
      const bool hasModel =
        held != nullptr && !held->isLoading && held->version == aModel.version;
      return hasModel && std::all_of(aModel.adapters.begin(),
                                     aModel.adapters.end(),
                                     [&](const std::string& aName) {
                                       const LoadedModel* adapter =
                                         Find(aState.adapters, aName);
                                       return adapter != nullptr &&
                                              !adapter->isLoading;
                                     });
    });
}

bool
ServesAny(std::span<const ModelPlacement> aWanted, const EngineState& aState)
{
  return std::any_of(
    aState.models.begin(), aState.models.end(), [&](const LoadedModel& aHeld) {
      return !aHeld.isLoading && IsWantedModel(aWanted, aHeld.name);
    });
}

std::vector<EngineOrder>
PlanOrders(std::span<const ModelPlacement> aWanted, const EngineState& aState)
{
  std::vector<EngineOrder> orders;
  if (aWanted.empty()) {
    // Nothing is said of this engine; that is no order to empty it.
    return orders;
  }
  for (const ModelPlacement& wanted : aWanted) {
    PlanLoads(wanted, aState, orders);
  }
  if (!orders.empty() || !IsSettled(aWanted, aState)) {
    return orders;
  }
  for (const LoadedModel& adapter : aState.adapters) {
    if (!IsWantedAdapter(aWanted, adapter)) {
      orders.push_back(
        { EngineOrder::Action::Unload, adapter.base, "", adapter.name });
    }
  }
  for (const LoadedModel& model : aState.models) {
    if (!IsWantedModel(aWanted, model.name)) {
      orders.push_back({ EngineOrder::Action::Unload, model.name, "", "" });
    }
  }
  return orders;
}

} // namespace dogwoodvale
