#ifndef DOGWOODVALE_TOOLS_LOAD_CALL_H
#define DOGWOODVALE_TOOLS_LOAD_CALL_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dogwoodvale/Core"
#include "tools/load/Plan.h"

namespace dogwoodvale::load {

/// How one request ended, as its caller saw it.
enum class Ending : std::uint8_t
{
  /// Every token of its own answer, in order, and the mark of the end.
  Complete,
  /// A token of another request's answer was seen.
  Crossed,
  /// A token came twice or out of order.
  Duplicated,
  /// The answer claimed to be whole but tokens are missing.
  Truncated,
  /// An explicit error, before or within the answer.
  Error,
  /// The caller left.
  Abandoned,
  /// The connection ended with neither a whole answer nor an error.
  Cut,
  /// No end came until the tool gave up.
  Unanswered,
};

inline constexpr int kEndingCount = static_cast<int>(Ending::Unanswered) + 1;

/// The name in histories, e.g. "complete".
std::string_view
EndingName(Ending aEnding);

/// Nothing if \p aName names no ending.
std::optional<Ending>
ParseEnding(std::string_view aName);

/// One request and its answer: one line of a history. Times are milliseconds
/// of the monotonic clock, which all processes of one machine share.
struct Call
{
  /// Unique; the stand-ins' answers and records name it.
  std::string nonce;
  /// The nonce of the first attempt; a caller that comes again keeps it.
  std::string call;
  int attempt = 1;
  std::string className;
  std::string customer;
  std::optional<int> tier;
  Kind kind = Kind::Chat;
  bool idempotent = true;
  /// The Idempotency-Key; empty for none.
  std::string key;
  /// Where it was sent.
  std::string target;
  double sentMs = 0;
  std::optional<double> firstTokenMs;
  std::optional<double> lastTokenMs;
  double longestGapMs = 0;
  double endedMs = 0;
  /// Right tokens received and asked for; 0 and 0 for a plain call.
  int tokens = 0;
  int expectedTokens = 0;
  Ending ending = Ending::Unanswered;
  /// 0 if no answer began.
  int status = 0;
  /// The error's stable code; empty if none was told.
  std::string code;
  std::optional<Disposition> disposition;
  std::optional<double> retryAfterMs;
  /// The answer's X-Request-Id.
  std::string requestId;
  /// What was wrong, for a reader.
  std::string detail;

  bool operator==(const Call&) const = default;
};

/// The mean gap between tokens; nothing for fewer than two.
std::optional<double>
MeanGapMs(const Call& aCall);

} // namespace dogwoodvale::load

#endif
