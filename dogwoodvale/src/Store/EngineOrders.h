#ifndef DOGWOODVALE_STORE_ENGINEORDERS_H
#define DOGWOODVALE_STORE_ENGINEORDERS_H

#include <string>
#include <vector>

#include "StoreTypes.h"

namespace dogwoodvale {

/// A model or adapter in an engine's memory.
struct LoadedModel
{
  std::string name;
  std::string version;
  /// The model of an adapter; empty for a model.
  std::string base;
  /// Loading still, and not yet served.
  bool isLoading = false;

  bool operator==(const LoadedModel&) const = default;
};

/// What an engine says that it holds.
struct EngineState
{
  std::vector<LoadedModel> models;
  std::vector<LoadedModel> adapters;
};

/// Says what should be, not what to do: obeying it twice is as good as once.
struct EngineOrder
{
  enum class Action : std::uint8_t
  {
    Load,
    Unload,
  };
  Action action = Action::Load;
  std::string model;
  std::string version;
  /// Set for an order about an adapter of \c model.
  std::string adapter;

  bool operator==(const EngineOrder&) const = default;
};

std::string
ToString(const EngineOrder& aOrder);

enum class OrderOutcome : std::uint8_t
{
  Obeyed,
  /// The engine has obeyed a higher fencing number.
  Fenced,
  /// The engine does not understand it.
  Refused,
  /// Sent, and no answer; the state tells.
  Unknown,
};

/// Is told what the engine answers; never from within the call.
class EngineOrdersHandler
{
public:
  virtual ~EngineOrdersHandler() = default;
  virtual void OnEngineState(const absl::StatusOr<EngineState>& aState) = 0;
  virtual void OnOrderDone(OrderOutcome aOutcome) = 0;
};

/// Gives orders to the one backend server of a slot; one call of each kind at
/// a time.
class EngineOrders
{
public:
  virtual ~EngineOrders() = default;
  virtual void SetHandler(EngineOrdersHandler* aHandler) = 0;
  virtual void ReadState() = 0;
  /// \param aFencing rises with each holder of the slot.
  virtual void Send(const EngineOrder& aOrder, Revision aFencing) = 0;
};

} // namespace dogwoodvale

#endif
