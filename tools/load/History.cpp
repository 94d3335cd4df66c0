#include "tools/load/History.h"

#include <cerrno>
#include <cstring>

#include "tools/load/JsonReader.h"

namespace dogwoodvale::load {

namespace {

void
WriteOptional(Json::Value& aTo,
              const char* aKey,
              const std::optional<double>& aFrom)
{
  if (aFrom) {
    aTo[aKey] = *aFrom;
  }
}

void
ReadOptional(const Json::Value& aFrom,
             const char* aKey,
             std::optional<double>& aTo)
{
  if (aFrom[aKey].isNumeric()) {
    aTo = aFrom[aKey].asDouble();
  }
}

std::string
Text(const Json::Value& aFrom, const char* aKey)
{
  return aFrom[aKey].isString() ? aFrom[aKey].asString() : std::string();
}

int
Whole(const Json::Value& aFrom, const char* aKey)
{
  return aFrom[aKey].isInt() ? aFrom[aKey].asInt() : 0;
}

double
Number(const Json::Value& aFrom, const char* aKey)
{
  return aFrom[aKey].isNumeric() ? aFrom[aKey].asDouble() : 0;
}

std::optional<Disposition>
ParseDisposition(std::string_view aName)
{
  for (const Disposition each :
       { Disposition::NotRun, Disposition::MayHaveRun }) {
    if (DispositionName(each) == aName) {
      return each;
    }
  }
  return std::nullopt;
}

} // namespace

std::string
RenderCall(const Call& aCall)
{
  Json::Value line(Json::objectValue);
  line["nonce"] = aCall.nonce;
  line["call"] = aCall.call;
  line["attempt"] = aCall.attempt;
  line["class"] = aCall.className;
  line["customer"] = aCall.customer;
  if (aCall.tier) {
    line["tier"] = *aCall.tier;
  }
  line["kind"] = std::string(KindName(aCall.kind));
  line["idempotent"] = aCall.idempotent;
  line["key"] = aCall.key;
  line["target"] = aCall.target;
  line["sent_ms"] = aCall.sentMs;
  WriteOptional(line, "first_token_ms", aCall.firstTokenMs);
  WriteOptional(line, "last_token_ms", aCall.lastTokenMs);
  line["longest_gap_ms"] = aCall.longestGapMs;
  line["ended_ms"] = aCall.endedMs;
  line["tokens"] = aCall.tokens;
  line["expected_tokens"] = aCall.expectedTokens;
  line["outcome"] = std::string(EndingName(aCall.ending));
  line["status"] = aCall.status;
  line["code"] = aCall.code;
  if (aCall.disposition) {
    line["disposition"] = std::string(DispositionName(*aCall.disposition));
  }
  WriteOptional(line, "retry_after_ms", aCall.retryAfterMs);
  line["request_id"] = aCall.requestId;
  line["detail"] = aCall.detail;
  return WriteJsonLine(line);
}

absl::StatusOr<Call>
ParseCall(std::string_view aLine)
{
  const absl::StatusOr<Json::Value> line = ParseJson(aLine);
  if (!line.ok()) {
    return line.status();
  }
  if (!line->isObject()) {
    return absl::InvalidArgumentError("not an object");
  }
  const std::optional<Ending> ending = ParseEnding(Text(*line, "outcome"));
  const std::optional<Kind> kind = ParseKind(Text(*line, "kind"));
  if (!ending || !kind || Text(*line, "nonce").empty()) {
    return absl::InvalidArgumentError("no nonce, kind or outcome");
  }
  Call call;
  call.nonce = Text(*line, "nonce");
  call.call = Text(*line, "call");
  call.attempt = Whole(*line, "attempt");
  call.className = Text(*line, "class");
  call.customer = Text(*line, "customer");
  if (line->isMember("tier")) {
    call.tier = Whole(*line, "tier");
  }
  call.kind = *kind;
  call.idempotent =
    (*line)["idempotent"].isBool() && (*line)["idempotent"].asBool();
  call.key = Text(*line, "key");
  call.target = Text(*line, "target");
  call.sentMs = Number(*line, "sent_ms");
  ReadOptional(*line, "first_token_ms", call.firstTokenMs);
  ReadOptional(*line, "last_token_ms", call.lastTokenMs);
  call.longestGapMs = Number(*line, "longest_gap_ms");
  call.endedMs = Number(*line, "ended_ms");
  call.tokens = Whole(*line, "tokens");
  call.expectedTokens = Whole(*line, "expected_tokens");
  call.ending = *ending;
  call.status = Whole(*line, "status");
  call.code = Text(*line, "code");
  call.disposition = ParseDisposition(Text(*line, "disposition"));
  ReadOptional(*line, "retry_after_ms", call.retryAfterMs);
  call.requestId = Text(*line, "request_id");
  call.detail = Text(*line, "detail");
  return call;
}

absl::StatusOr<std::vector<Call>>
ReadHistory(const std::string& aPath)
{
  const absl::StatusOr<std::string> text = ReadFile(aPath);
  if (!text.ok()) {
    return text.status();
  }
  std::vector<Call> calls;
  std::string_view rest = *text;
  for (int number = 1; !rest.empty(); ++number) {
    const std::size_t end = std::min(rest.find('\n'), rest.size());
    const absl::StatusOr<Call> call = ParseCall(rest.substr(0, end));
    if (!call.ok()) {
      return MakeError(absl::StatusCode::kInvalidArgument,
                       "{}:{}: {}",
                       aPath,
                       number,
                       MessageOf(call.status()));
    }
    calls.push_back(*call);
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return calls;
}

absl::StatusOr<std::unique_ptr<HistoryWriter>>
HistoryWriter::Create(const std::string& aPath)
{
  std::FILE* file = std::fopen(aPath.c_str(), "we");
  if (file == nullptr) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "cannot write {}: {}",
                     aPath,
                     std::strerror(errno));
  }
  return std::unique_ptr<HistoryWriter>(new HistoryWriter(file));
}

HistoryWriter::HistoryWriter(std::FILE* aFile)
  : file(aFile)
{
}

HistoryWriter::~HistoryWriter()
{
  std::fclose(this->file);
}

void
HistoryWriter::Write(const Call& aCall)
{
  const std::string line = RenderCall(aCall) + "\n";
  std::fwrite(line.data(), 1, line.size(), this->file);
}

} // namespace dogwoodvale::load
