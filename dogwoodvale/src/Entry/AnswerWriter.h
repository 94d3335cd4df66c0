#ifndef DOGWOODVALE_ENTRY_ANSWERWRITER_H
#define DOGWOODVALE_ENTRY_ANSWERWRITER_H

#include <memory>
#include <string>

#include "CompletionRequest.h"
#include "dogwoodvale/Http"

namespace dogwoodvale {

/// Token counts of a whole answer, over all attempts.
struct AnswerUsage
{
  std::uint64_t promptTokens = 0;
  std::uint64_t completionTokens = 0;
};

/// Writes one answer to its caller, in the form that the caller asked for.
class AnswerWriter
{
public:
  virtual ~AnswerWriter() = default;
  /// \return false if the answer is longer than can be held; it can only fail.
  virtual bool OnChunk(const Chunk& aChunk) = 0;
  /// The answer is whole.
  virtual void Complete(std::string_view aFinishReason,
                        const AnswerUsage& aUsage) = 0;
  /// The final answer to a request that failed. What the caller has already
  /// must not look whole afterwards.
  /// \return false if only closing the connection can tell the caller.
  virtual bool Fail(const RequestError& aError) = 0;
  /// Whether a part of the answer is out to the caller.
  virtual bool HasBegun() const = 0;
};

/// Server-sent events, one a chunk, ended by [DONE].
std::unique_ptr<AnswerWriter>
CreateStreamWriter(CallerExchange& aExchange,
                   const CompletionRequest& aRequest,
                   std::string aId);

/// One JSON object when the answer is whole.
std::unique_ptr<AnswerWriter>
CreateJsonWriter(CallerExchange& aExchange,
                 const CompletionRequest& aRequest,
                 std::string aId);

/// A plain service's answer, as it came.
std::unique_ptr<AnswerWriter>
CreateOpaqueWriter(CallerExchange& aExchange, std::string aId);

/// Without the request's id.
std::vector<HeaderField>
ErrorHeaders(const RequestError& aError);

/// Answers a request that never got as far as a writer.
void
RespondError(CallerExchange& aExchange,
             const RequestError& aError,
             std::string_view aId);

} // namespace dogwoodvale

#endif
