#ifndef DOGWOODVALE_TOOLS_LOAD_ANSWER_H
#define DOGWOODVALE_TOOLS_LOAD_ANSWER_H

#include <string>
#include <string_view>

#include <json/json.h>

#include "tools/load/Call.h"
#include "tools/load/Sse.h"

namespace dogwoodvale::load {

/// Judges one answer as its bytes come, and fills the call's record.
///
/// The stand-in engine answers `nonce=W len=N` with the tokens `W.0 ` to
/// `W.(N-1) `, so each token tells whose it is and where it belongs. A plain
/// service tells the execution's number and echoes what it was sent, with
/// `nonce=W`.
class Answer : private SseSink
{
public:
  /// \param aCall outlives this.
  /// \param aStream whether the answer comes as server-sent events.
  Answer(Call& aCall, bool aStream);

  /// Status and content type are known.
  void Begin(int aStatus, std::string_view aContentType);

  /// A piece of the body came at \p aNowMs.
  void Take(std::string_view aBytes, double aNowMs);

  /// The connection ended the answer, properly (\p aWhole) or not.
  void End(bool aWhole, double aNowMs);

private:
  void OnEvent(const SseEvent& aEvent) override;
  void TakeContent(std::string_view aText);
  void TakeToken(std::string_view aToken);
  void TakeError(const Json::Value& aBody);
  void TakeWholeBody();
  void JudgePlain(const Json::Value& aBody);
  /// Notes what is wrong with the answer; the first finding stays.
  void Spoil(Ending aEnding, std::string aDetail);

  Call& call;
  bool stream;
  SseReader reader;
  std::string body;
  std::string partialToken;
  double nowMs = 0;
  bool sawDone = false;
  bool sawError = false;
  bool isSpoilt = false;
};

} // namespace dogwoodvale::load

#endif
