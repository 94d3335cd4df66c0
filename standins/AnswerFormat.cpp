#include "AnswerFormat.h"

#include <ctime>

#include <fmt/format.h>
#include <json/json.h>

namespace dogwoodvale::standins {

namespace {

std::string
UsageJson(const Usage& aUsage)
{
  return fmt::format(
    R"({{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{}}})",
    aUsage.prompt,
    aUsage.completion,
    aUsage.prompt + aUsage.completion);
}

} // namespace

AnswerFormat::AnswerFormat(bool aIsChat,
                           std::string_view aId,
                           std::string_view aModel)
  : isChat(aIsChat)
  , head(fmt::format(R"({{"id":"{}","created":{},"object":)",
                     aId,
                     std::time(nullptr)))
  , model(Json::valueToQuotedString(std::string(aModel).c_str()))
{
}

std::string
AnswerFormat::Token(std::string_view aText, bool aIsFirst) const
{
  if (!this->isChat) {
    return fmt::format(
      R"(data: {}"text_completion","model":{},"choices":[{{"index":0,"text":"{}","finish_reason":null}}]}})"
      "\n\n",
      this->head,
      this->model,
      aText);
  }
  return fmt::format(
    R"(data: {}"chat.completion.chunk","model":{},"choices":[{{"index":0,"delta":{{{}"content":"{}"}},"finish_reason":null}}]}})"
    "\n\n",
    this->head,
    this->model,
    aIsFirst ? R"("role":"assistant",)" : "",
    aText);
}

std::string
AnswerFormat::Finish(std::string_view aReason) const
{
  return fmt::format(
    R"(data: {}"{}","model":{},"choices":[{{"index":0,{},"finish_reason":"{}"}}]}})"
    "\n\n",
    this->head,
    this->isChat ? "chat.completion.chunk" : "text_completion",
    this->model,
    this->isChat ? R"("delta":{})" : R"("text":"")",
    aReason);
}

std::string
AnswerFormat::UsageEvent(const Usage& aUsage) const
{
  return fmt::format(R"(data: {}"{}","model":{},"choices":[],"usage":{}}})"
                     "\n\n",
                     this->head,
                     this->isChat ? "chat.completion.chunk" : "text_completion",
                     this->model,
                     UsageJson(aUsage));
}

std::string
AnswerFormat::Done()
{
  return "data: [DONE]\n\n";
}

std::string
AnswerFormat::Whole(std::string_view aText,
                    std::string_view aReason,
                    const Usage& aUsage) const
{
  const std::string content =
    this->isChat
      ? fmt::format(R"("message":{{"role":"assistant","content":"{}"}})", aText)
      : fmt::format(R"("text":"{}")", aText);
  return fmt::format(
    R"({}"{}","model":{},"choices":[{{"index":0,{},"finish_reason":"{}"}}],"usage":{}}})",
    this->head,
    this->isChat ? "chat.completion" : "text_completion",
    this->model,
    content,
    aReason,
    UsageJson(aUsage));
}

} // namespace dogwoodvale::standins
