#ifndef DOGWOODVALE_STANDINS_ANSWERFORMAT_H
#define DOGWOODVALE_STANDINS_ANSWERFORMAT_H

#include <cstddef>
#include <string>
#include <string_view>

namespace dogwoodvale::standins {

/// Token counts of one answer.
struct Usage
{
  std::size_t prompt = 0;
  std::size_t completion = 0;
};

/// Writes an answer as OpenAI JSON, whole or as server-sent events.
class AnswerFormat
{
public:
  AnswerFormat(bool aIsChat, std::string_view aId, std::string_view aModel);

  /// The event of one token; \p aText has nothing that JSON would escape.
  std::string Token(std::string_view aText, bool aIsFirst) const;
  std::string Finish(std::string_view aReason) const;
  std::string UsageEvent(const Usage& aUsage) const;
  static std::string Done();
  std::string Whole(std::string_view aText,
                    std::string_view aReason,
                    const Usage& aUsage) const;

private:
  bool isChat;
  std::string head; ///< up to and with the object's name
  std::string model;
};

} // namespace dogwoodvale::standins

#endif
