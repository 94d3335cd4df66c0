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

/// Chooses the backend server for a request from those that may take it.
class DirectChooser
{
public:
  virtual ~DirectChooser() = default;

  /// Chooses the candidate of the lowest cost. Ties are broken at random, so
  /// that gateways with the same information do not all choose the same server.
  /// Candidates that are ejected, or probing with a request in flight, are
  /// chosen only if there are no others.
  /// \return its index in \p aCandidates; nothing if there are no candidates.
  std::optional<std::size_t> Choose(
    std::span<const DirectCandidate> aCandidates,
    const DirectDemand& aDemand,
    std::mt19937_64& aRandom);

  /// \param aName as in the settings: "expected_delay", "least_requests" or
  /// "round_robin".
  /// \return null for any other name.
  static std::unique_ptr<DirectChooser> Create(std::string_view aName);

protected:
  /// Expected cost of sending the request to the candidate; lower is better.
  /// \param aMostCached the largest cachedTokens of the candidates compared.
  virtual double CostOf(const DirectCandidate& aCandidate,
                        const DirectDemand& aDemand,
                        std::uint32_t aMostCached) const = 0;
  /// Whether the candidate cannot give what the request needs. It is then
  /// chosen only if no other can; costs are compared among those that can or
  /// cannot.
  virtual bool ExceedsBound(const DirectCandidate& /*aCandidate*/,
                            const DirectDemand& /*aDemand*/) const
  {
    return false;
  }
  /// Whether the candidate's memory is expected to overflow. It is then chosen
  /// only if no other candidate has room.
  virtual bool ExceedsMemory(const DirectCandidate& /*aCandidate*/,
                             const DirectDemand& /*aDemand*/) const
  {
    return false;
  }
  /// Called with each candidate that Choose() returns.
  virtual void OnChosen(const DirectCandidate& /*aCandidate*/) {}

private:
  /// Candidates to choose from, see ReservedServers.
  enum class Group : std::uint8_t
  {
    /// For interactive requests the reserved servers, for others the rest.
    Designated,
    All,
  };

  /// Candidates of a better suitability are preferred at any cost. A stream
  /// that is preempted pauses for longer than one on a slow server, so lack of
  /// memory is worse than a pause beyond the bound.
  enum class Suitability : std::uint8_t
  {
    Suitable,
    ExceedsBound,
    ExceedsMemory,
    ExceedsMemoryAndBound,
    Unavailable,
  };

  Suitability SuitabilityOf(const DirectCandidate& aCandidate,
                            const DirectDemand& aDemand) const;
  std::optional<std::size_t> ChooseAmong(
    std::span<const DirectCandidate> aCandidates,
    const DirectDemand& aDemand,
    Group aGroup,
    std::mt19937_64& aRandom) const;
};

} // namespace dogwoodvale

#endif
