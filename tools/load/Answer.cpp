#include "tools/load/Answer.h"

#include <algorithm>
#include <charconv>

#include "tools/load/JsonReader.h"
#include "tools/load/Prompt.h"

namespace dogwoodvale::load {

namespace {

constexpr int kFirstErrorStatus = 400;
constexpr std::size_t kDetailLength = 120;

std::string
Shorten(std::string_view aText)
{
  return std::string(aText.substr(0, kDetailLength));
}

/// The text that one choice of an OpenAI-style answer or chunk adds.
std::string
ContentOf(const Json::Value& aBody)
{
  const Json::Value& choices = aBody["choices"];
  if (!choices.isArray() || choices.empty() || !choices[0].isObject()) {
    return {};
  }
  const Json::Value& choice = choices[0];
  for (const char* key : { "delta", "message" }) {
    if (choice[key].isObject() && choice[key]["content"].isString()) {
      return choice[key]["content"].asString();
    }
  }
  return choice["text"].isString() ? choice["text"].asString() : std::string();
}

} // namespace

Answer::Answer(Call& aCall, bool aStream)
  : call(aCall)
  , stream(aStream)
{
}

void
Answer::Begin(int aStatus, std::string_view aContentType)
{
  this->call.status = aStatus;
  this->stream = this->stream && aContentType.starts_with("text/event-stream");
}

void
Answer::Take(std::string_view aBytes, double aNowMs)
{
  this->nowMs = aNowMs;
  if (this->stream) {
    this->reader.Feed(aBytes, *this);
  } else {
    this->body.append(aBytes);
  }
}

void
Answer::OnEvent(const SseEvent& aEvent)
{
  if (aEvent.data == "[DONE]") {
    this->sawDone = true;
    return;
  }
  const absl::StatusOr<Json::Value> chunk = ParseJson(aEvent.data);
  if (!chunk.ok() || !chunk->isObject()) {
    this->Spoil(Ending::Truncated,
                "an event is no JSON object: " + Shorten(aEvent.data));
    return;
  }
  if (aEvent.name == "error" || chunk->isMember("error")) {
    this->TakeError(*chunk);
    return;
  }
  if (this->sawDone) {
    this->Spoil(Ending::Duplicated, "a chunk after the end");
    return;
  }
  this->TakeContent(ContentOf(*chunk));
}

void
Answer::TakeContent(std::string_view aText)
{
  this->partialToken.append(aText);
  std::size_t begin = 0;
  for (std::size_t end = this->partialToken.find(' '); end != std::string::npos;
       end = this->partialToken.find(' ', begin)) {
    this->TakeToken(
      std::string_view(this->partialToken).substr(begin, end - begin));
    begin = end + 1;
  }
  this->partialToken.erase(0, begin);
}

void
Answer::TakeToken(std::string_view aToken)
{
  const std::size_t dot = std::min(aToken.find('.'), aToken.size());
  const std::string_view digits =
    aToken.substr(std::min(dot + 1, aToken.size()));
  int index = -1;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), index);
  if (aToken.substr(0, dot) != this->call.nonce) {
    this->Spoil(Ending::Crossed, "another's token: " + Shorten(aToken));
    return;
  }
  if (error != std::errc() || end != digits.data() + digits.size()) {
    this->Spoil(Ending::Truncated, "a broken token: " + Shorten(aToken));
    return;
  }
  if (index < this->call.tokens || index >= this->call.expectedTokens) {
    this->Spoil(Ending::Duplicated,
                fmt::format("token {} where {} of {} is due",
                            index,
                            this->call.tokens,
                            this->call.expectedTokens));
    return;
  }
  if (index > this->call.tokens) {
    this->Spoil(
      Ending::Truncated,
      fmt::format("token {} where {} is due", index, this->call.tokens));
    return;
  }
  ++this->call.tokens;
  if (!this->call.firstTokenMs) {
    this->call.firstTokenMs = this->nowMs;
  } else {
    this->call.longestGapMs =
      std::max(this->call.longestGapMs, this->nowMs - *this->call.lastTokenMs);
  }
  this->call.lastTokenMs = this->nowMs;
}

void
Answer::TakeError(const Json::Value& aBody)
{
  this->sawError = true;
  const Json::Value& error = aBody["error"];
  if (!error.isObject()) {
    this->call.detail = "an error without an object that tells of it";
    return;
  }
  if (error["code"].isString()) {
    this->call.code = error["code"].asString();
  }
  if (error["message"].isString()) {
    this->call.detail = Shorten(error["message"].asString());
  }
  if (error["retry_after_ms"].isNumeric()) {
    this->call.retryAfterMs = error["retry_after_ms"].asDouble();
  }
  for (const Disposition each :
       { Disposition::NotRun, Disposition::MayHaveRun }) {
    if (error["disposition"].isString() &&
        error["disposition"].asString() == DispositionName(each)) {
      this->call.disposition = each;
    }
  }
}

void
Answer::TakeWholeBody()
{
  const absl::StatusOr<Json::Value> parsed = ParseJson(this->body);
  const bool isObject = parsed.ok() && parsed->isObject();
  if (this->call.status >= kFirstErrorStatus) {
    this->sawError = true;
    if (isObject) {
      this->TakeError(*parsed);
    }
    return;
  }
  if (!isObject) {
    this->Spoil(Ending::Truncated, "no JSON: " + Shorten(this->body));
  } else if (this->call.kind == Kind::Plain) {
    this->JudgePlain(*parsed);
  } else {
    this->sawDone = true;
    this->TakeContent(ContentOf(*parsed));
  }
}

void
Answer::JudgePlain(const Json::Value& aBody)
{
  const std::vector<std::string_view> nonces = NoncesIn(this->body);
  for (const std::string_view nonce : nonces) {
    if (nonce != this->call.nonce) {
      this->Spoil(Ending::Crossed, "another's answer: " + Shorten(this->body));
      return;
    }
  }
  const bool isOwn = !nonces.empty();
  const Json::Value& execution = aBody["execution"];
  if (!isOwn || !(execution.isString() || execution.isIntegral())) {
    this->Spoil(Ending::Truncated,
                "no execution and echo in it: " + Shorten(this->body));
    return;
  }
  this->sawDone = true;
  this->call.firstTokenMs = this->nowMs;
}

void
Answer::Spoil(Ending aEnding, std::string aDetail)
{
  if (this->isSpoilt) {
    return;
  }
  this->isSpoilt = true;
  this->call.ending = aEnding;
  this->call.detail = std::move(aDetail);
}

void
Answer::End(bool aWhole, double aNowMs)
{
  this->nowMs = aNowMs;
  this->call.endedMs = aNowMs;
  const bool hasStatus = this->call.status != 0;
  if (aWhole && hasStatus && !this->stream) {
    this->TakeWholeBody();
  }
  if (this->isSpoilt) {
    return;
  }
  if (this->sawError) {
    this->call.ending = Ending::Error;
    return;
  }
  if (!aWhole || !this->sawDone) {
    this->call.ending = Ending::Cut;
    return;
  }
  if (this->call.tokens != this->call.expectedTokens ||
      !this->partialToken.empty()) {
    this->Spoil(Ending::Truncated,
                fmt::format("{} tokens of {}",
                            this->call.tokens,
                            this->call.expectedTokens));
    return;
  }
  this->call.ending = Ending::Complete;
}

} // namespace dogwoodvale::load
