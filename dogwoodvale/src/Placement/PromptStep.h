#ifndef DOGWOODVALE_PLACEMENT_PROMPTSTEP_H
#define DOGWOODVALE_PLACEMENT_PROMPTSTEP_H

#include <cstdint>
#include <span>
#include <vector>

#include "dogwoodvale/Routing"

namespace dogwoodvale {

/// One part of a prompt that other requests may share.
struct PromptPart
{
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// A part identified by the hash of the prompt up to its end, as a prefix cache
/// holds a part only together with all parts before it.
struct PromptStep
{
  PrefixHash hash = 0;
  /// Tokens of the part alone.
  std::uint32_t tokens = 0;

  bool operator==(const PromptStep&) const = default;
};

/// \param aModel the model that prefills the prompt; part of the hash, because
/// the cache of one model is of no use to another, even on the same server.
std::vector<PromptStep>
StepsOf(std::span<const PromptPart> aParts, std::string_view aModel = {});

/// Tokens of all steps but the last, which only this request has.
std::uint32_t
SharedTokens(std::span<const PromptStep> aSteps);

} // namespace dogwoodvale

#endif
