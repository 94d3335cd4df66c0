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

/// The part and all before it as one number: a cache holds a part only with
/// all before it.
struct PromptStep
{
  PrefixHash hash = 0;
  std::uint32_t tokens = 0;

  bool operator==(const PromptStep&) const = default;
};

/// \param aModel whose weights read the prompt: what one model has cached is of
/// no use to another, on the same server either.
std::vector<PromptStep>
StepsOf(std::span<const PromptPart> aParts, std::string_view aModel = {});

/// Tokens of all steps but the last, which belongs to the request itself.
std::uint32_t
SharedTokens(std::span<const PromptStep> aSteps);

} // namespace dogwoodvale

#endif
