#include "PromptStep.h"

#include <xxhash.h>

namespace dogwoodvale {

namespace {

std::uint64_t
Mix(std::uint64_t aSeed, std::uint64_t aValue)
{
  // A 64-bit finaliser; any one with good avalanche behaviour would do.
  std::uint64_t bits = aSeed * 0x9e3779b97f4a7c15ULL + aValue;
  bits ^= bits >> 32U;
  bits *= 0xd6e8feb86659fd93ULL;
  bits ^= bits >> 32U;
  return bits;
}

} // namespace

std::vector<PromptStep>
StepsOf(std::span<const PromptPart> aParts, std::string_view aModel)
{
  std::vector<PromptStep> steps;
  PrefixHash hash = XXH3_64bits(aModel.data(), aModel.size());
  for (const PromptPart& part : aParts) {
    hash = Mix(hash + 1, part.id);
    steps.push_back({ hash, part.tokens });
  }
  return steps;
}

std::uint32_t
SharedTokens(std::span<const PromptStep> aSteps)
{
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < aSteps.size(); ++i) {
    tokens += aSteps[i].tokens;
  }
  return tokens;
}

} // namespace dogwoodvale
