#ifndef DOGWOODVALE_SIDECAR_TOKENSTREAM_H
#define DOGWOODVALE_SIDECAR_TOKENSTREAM_H

#include <string>
#include <string_view>

#include "dogwoodvale/Http"

namespace dogwoodvale {

/// Text that an engine generated, and how many tokens it is.
struct TokenBatch
{
  std::string text;
  std::uint32_t tokens = 0;
};

/// Reads a model engine's answer: OpenAI-style chunks as server-sent events.
class TokenStream
{
public:
  /// Adds what \p aBytes bring to \p aOut.
  /// \return an error if the engine reported one or its answer can't be read.
  absl::Status Feed(std::string_view aBytes, TokenBatch& aOut);

  /// Whether the engine said how the answer ended and closed it by [DONE]; an
  /// answer without both was cut, however HTTP ended.
  bool IsWhole() const { return this->done && !this->finishReason.empty(); }

  std::string_view FinishReason() const { return this->finishReason; }
  std::uint32_t PromptTokens() const { return this->promptTokens; }

private:
  absl::Status Take(const SseEvent& aEvent, TokenBatch& aOut);

  SseParser parser;
  bool done = false;
  std::string finishReason;
  std::uint32_t promptTokens = 0;
};

} // namespace dogwoodvale

#endif
