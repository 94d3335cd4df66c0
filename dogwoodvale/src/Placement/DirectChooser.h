#ifndef DOGWOODVALE_PLACEMENT_DIRECTCHOOSER_H
#define DOGWOODVALE_PLACEMENT_DIRECTCHOOSER_H

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string_view>

#include "DirectChoice.h"

namespace dogwoodvale {

/// Chooses a backend server for a request among those that may take it.
class DirectChooser
{
public:
  virtual ~DirectChooser() = default;

  /// The cheapest candidate that may take work; ties are broken at random, so
  /// that gateways which know the same do not all choose the same. Servers that
  /// are ejected are taken only where there is no other.
  /// \return its place in \p aCandidates, or nothing when that is empty.
  std::optional<std::size_t> Choose(
    std::span<const DirectCandidate> aCandidates,
    const DirectDemand& aDemand,
    std::mt19937_64& aRandom);

  /// \param aName of the settings: "expected_delay", "least_requests" or
  /// "round_robin".
  /// \return null for any other.
  static std::unique_ptr<DirectChooser> Create(std::string_view aName);

protected:
  /// What sending the request there is expected to cost; lower is better.
  /// \param aMostCached the most that any candidate's cache holds of the
  /// prompt.
  virtual double CostOf(const DirectCandidate& aCandidate,
                        const DirectDemand& aDemand,
                        std::uint32_t aMostCached) const = 0;
  virtual void OnChosen(const DirectCandidate& /*aCandidate*/) {}

private:
  /// The servers that a request is meant for, see ReservedServers.
  enum class Group : std::uint8_t
  {
    Own,
    All,
  };

  std::optional<std::size_t> ChooseAmong(
    std::span<const DirectCandidate> aCandidates,
    const DirectDemand& aDemand,
    Group aGroup,
    std::mt19937_64& aRandom) const;
};

} // namespace dogwoodvale

#endif
