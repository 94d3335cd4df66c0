#ifndef DOGWOODVALE_ENTRY_COMPLETIONREQUEST_H
#define DOGWOODVALE_ENTRY_COMPLETIONREQUEST_H

#include <string>
#include <string_view>

#include <json/json.h>

#include "dogwoodvale/Core"
#include "dogwoodvale/Routing"

namespace dogwoodvale {

/// A caller's chat or text completion, OpenAI-style.
class CompletionRequest
{
public:
  /// \param aPath "/v1/chat/completions" or "/v1/completions".
  /// \return InvalidArgument with a message for the caller.
  static absl::StatusOr<CompletionRequest> Parse(std::string_view aPath,
                                                 std::string_view aBody);

  static constexpr std::string_view kChatPath = "/v1/chat/completions";
  static constexpr std::string_view kTextPath = "/v1/completions";

  bool IsChat() const { return this->chat; }
  const std::string& Model() const { return this->model; }
  bool WantsStream() const { return this->stream; }
  bool WantsUsage() const { return this->usage; }
  /// 0 when the caller set no bound.
  std::uint32_t MaxTokens() const { return this->maxTokens; }
  /// Rough: about four bytes a token.
  std::uint32_t EstimatedPromptTokens() const { return this->promptTokens; }
  /// Hash of the prompt's beginning; 0 when it is too short to be shared.
  PrefixHash Prefix() const { return this->prefix; }

  /// The body for the engine: always streamed, with the tier as priority.
  ///
  /// \param aDelivered text that an earlier attempt generated, to go on from.
  /// \param aDeliveredTokens how many tokens that is; taken off the bound.
  std::string EngineBody(Tier aTier,
                         std::uint32_t aDefaultMaxTokens,
                         std::string_view aDelivered,
                         std::uint64_t aDeliveredTokens) const;

private:
  absl::Status ReadFields();
  absl::Status ReadPrompt();

  bool chat = false;
  std::string model;
  bool stream = false;
  bool usage = false;
  std::uint32_t maxTokens = 0;
  std::uint32_t promptTokens = 0;
  PrefixHash prefix = 0;
  Json::Value body;
};

} // namespace dogwoodvale

#endif
