#ifndef DOGWOODVALE_STANDINS_PROMPT_H
#define DOGWOODVALE_STANDINS_PROMPT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "dogwoodvale/Core"

namespace dogwoodvale::standins {

/// What the stand-in engine makes of a request's prompt.
struct Prompt
{
  /// From the directive `nonce=WORD`, else a hash of the prompt.
  std::string nonce;
  /// Tokens of the whole answer, from `len=N`, else drawn by hash and seed.
  std::size_t length = 0;
  /// Tokens of the answer that the request brings along, to go on from.
  std::size_t resumed = 0;
  /// A quarter of the bytes, and N for each message with `pad=N`.
  std::size_t tokens = 0;
  /// Of each full block of the prompt, for the prefix cache.
  std::vector<std::uint64_t> blocks;
};

/// The value of `aName=VALUE` in \p aText (letters, digits, '-' and
/// '_', at most 128).
std::string
Directive(std::string_view aText, std::string_view aName);

/// \param aIsChat has `messages`, else `prompt` and perhaps `continue_text`.
/// \return an InvalidArgument error for a body of another shape.
absl::StatusOr<Prompt>
ParsePrompt(const Json::Value& aBody, bool aIsChat, std::uint64_t aSeed);

/// Token \p aIndex of the answer, "WORD.i " with its blank.
std::string
TokenText(std::string_view aNonce, std::size_t aIndex);

} // namespace dogwoodvale::standins

#endif
