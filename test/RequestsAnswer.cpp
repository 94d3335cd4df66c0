#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/Requests"

using namespace dogwoodvale;

namespace {

constexpr std::size_t kMaxResumeBytes = 1 << 16;

struct Chunk
{
  RequestId id;
  std::uint64_t sequence = 0;
  std::string text;
};

/// A message of an answer: a chunk or the end.
struct Message
{
  Chunk chunk;
  bool isEnd = false;
  std::uint64_t count = 0;
  std::uint64_t checksum = 0;
};

/// The messages that a sidecar sends for an answer.
std::vector<Message>
WriteAnswer(const RequestId& aId, const std::vector<std::string>& aTexts)
{
  std::vector<Message> messages;
  AnswerDigest digest(aId);
  for (const std::string& text : aTexts) {
    messages.push_back({ { aId, digest.Count(), text } });
    digest.Add(text);
  }
  messages.push_back({ { aId, 0, "" }, true, digest.Count(), digest.Value() });
  return messages;
}

bool
Feed(AnswerAssembler& aAssembler, const Message& aMessage)
{
  const Chunk& chunk = aMessage.chunk;
  const absl::Status status =
    aMessage.isEnd
      ? aAssembler.Finish(chunk.id, aMessage.count, aMessage.checksum)
      : aAssembler.Add(chunk.id, chunk.sequence, chunk.text, 1);
  return status.ok();
}

rc::Gen<std::vector<std::string>>
Texts()
{
  // Few letters, so that equal chunks occur; never empty.
  return rc::gen::nonEmpty(
    rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty(
      rc::gen::container<std::string>(rc::gen::element('a', 'b', ' ')))));
}

std::string
Join(const std::vector<std::string>& aTexts)
{
  std::string joined;
  for (const std::string& text : aTexts) {
    joined += text;
  }
  return joined;
}

} // namespace

TEST_CASE("A complete answer is accepted and buffered unchanged")
{
  rc::prop("all chunks in order, then the end", [] {
    const auto texts = *Texts();
    AnswerAssembler assembler(kMaxResumeBytes);
    assembler.BeginAttempt({ 1, 1 });
    for (const Message& message : WriteAnswer({ 1, 1 }, texts)) {
      RC_ASSERT(!assembler.IsComplete());
      RC_ASSERT(Feed(assembler, message));
    }
    RC_ASSERT(assembler.IsComplete());
    RC_ASSERT(assembler.Delivered() == Join(texts));
    RC_ASSERT(assembler.DeliveredTokens() == texts.size());
  });
}

TEST_CASE("An answer with lost, duplicated, reordered or changed messages is "
          "never complete")
{
  // A connection breaks or an engine crashes mid-stream, or messages arrive
  // twice or out of order. The caller must get an error and never a truncated
  // answer that looks complete, since it would act on it.
  rc::prop("no mutation of the messages is accepted as the answer", [] {
    const auto texts = *Texts();
    const auto whole = WriteAnswer({ 1, 1 }, texts);
    auto messages = whole;
    bool textIsOwn = true;
    const auto at = *rc::gen::inRange<std::size_t>(0, messages.size());
    const auto other = *rc::gen::inRange<std::size_t>(0, messages.size());
    const auto here = messages.begin() + static_cast<std::ptrdiff_t>(at);
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
        messages.erase(here);
        break;
      case 1:
        messages.insert(here, *here);
        break;
      case 2:
        RC_PRE(at != other);
        std::swap(messages[at], messages[other]);
        break;
      case 3:
        RC_PRE(!here->isEnd);
        here->chunk.text += 'x';
        textIsOwn = false;
        break;
      case 4:
        // The count and checksum are valid, but for the answer of another
        // request.
        messages = WriteAnswer({ 1, 2 }, texts);
        for (Message& message : messages) {
          message.chunk.id = { 1, 1 };
        }
        break;
      case 5:
        --messages.back().count;
        break;
      default:
        messages.resize(at);
    }
    AnswerAssembler assembler(kMaxResumeBytes);
    assembler.BeginAttempt({ 1, 1 });
    bool anyRejected = false;
    std::size_t accepted = 0;
    for (const Message& message : messages) {
      anyRejected = !Feed(assembler, message) || anyRejected;
      accepted += anyRejected ? 0 : 1;
    }
    // The only harmless mutation: the answer was complete before the excess
    // message.
    const bool wholeFirst = accepted == whole.size();
    RC_ASSERT(!assembler.IsComplete() || (wholeFirst && anyRejected));
    // What a streaming caller has received so far is a prefix of the answer.
    RC_ASSERT(!textIsOwn || Join(texts).starts_with(assembler.Delivered()));
  });
}

TEST_CASE("Late or misdirected chunks of another request are rejected")
{
  // Chunks of an abandoned attempt, or of another caller's request, arrive
  // between those of the current attempt.
  rc::prop("any interleaving of two answers leaves the answer complete", [] {
    const auto own = WriteAnswer({ 1, 1 }, *Texts());
    const auto other = WriteAnswer({ 1, 2 }, *Texts());
    AnswerAssembler assembler(kMaxResumeBytes);
    assembler.BeginAttempt({ 1, 1 });
    std::size_t ownNext = 0;
    std::size_t otherNext = 0;
    std::string text;
    while (ownNext < own.size()) {
      const bool takeOwn =
        otherNext == other.size() || *rc::gen::arbitrary<bool>();
      if (takeOwn) {
        text += own[ownNext].chunk.text;
        RC_ASSERT(Feed(assembler, own[ownNext++]));
      } else {
        RC_ASSERT(!Feed(assembler, other[otherNext++]));
      }
    }
    RC_ASSERT(assembler.IsComplete());
    RC_ASSERT(assembler.Delivered() == text);
  });
}

TEST_CASE("A resumed answer is the text of both attempts in order")
{
  rc::prop("an interrupted attempt is continued by the next", [] {
    const auto first = *Texts();
    const auto second = *Texts();
    const auto cut = *rc::gen::inRange<std::size_t>(0, first.size() + 1);
    auto messages = WriteAnswer({ 1, 1 }, first);
    messages.resize(cut);
    AnswerAssembler assembler(kMaxResumeBytes);
    assembler.BeginAttempt({ 1, 1 });
    for (const Message& message : messages) {
      RC_ASSERT(Feed(assembler, message));
    }
    RC_ASSERT(assembler.CanResume());
    const std::string kept(assembler.Delivered());
    assembler.BeginAttempt({ 1, 2 });
    // A late message of the first attempt.
    RC_ASSERT(!Feed(assembler, WriteAnswer({ 1, 1 }, first).back()));
    for (const Message& message : WriteAnswer({ 1, 2 }, second)) {
      RC_ASSERT(Feed(assembler, message));
    }
    RC_ASSERT(assembler.IsComplete());
    RC_ASSERT(assembler.Delivered() == kept + Join(second));
  });
}

TEST_CASE("An answer over the buffer limit is verified but can't be resumed")
{
  AnswerAssembler assembler(10);
  assembler.BeginAttempt({ 1, 1 });
  const auto messages = WriteAnswer({ 1, 1 }, { "123456", "78901" });
  CHECK(Feed(assembler, messages[0]));
  CHECK(assembler.CanResume());
  CHECK(Feed(assembler, messages[1]));
  CHECK_FALSE(assembler.CanResume());
  CHECK(assembler.Delivered().empty());
  CHECK(Feed(assembler, messages[2]));
  CHECK(assembler.IsComplete());
}
