#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/Requests"

using namespace dogwoodvale;

namespace {

constexpr std::size_t kKeepBytes = 1 << 16;

struct Chunk
{
  RequestId id;
  std::uint64_t sequence = 0;
  std::string text;
};

/// A message of an answer: a chunk, or the end.
struct Message
{
  Chunk chunk;
  bool isEnd = false;
  std::uint64_t count = 0;
  std::uint64_t checksum = 0;
};

/// What a sidecar sends for an answer.
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
  // Few letters, so that equal chunks come up; never empty.
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

TEST_CASE("A whole answer is complete, and kept as it was")
{
  rc::prop("all chunks in order, then the end", [] {
    const auto texts = *Texts();
    AnswerAssembler assembler(kKeepBytes);
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

TEST_CASE("An answer with anything lost, doubled, swapped or changed is never "
          "complete")
{
  // A connection breaks or an engine crashes mid-stream, messages come twice or
  // in the wrong order. The caller must see an error, not a shorter answer
  // that looks whole: a clerk would clear a cheque on half a note.
  rc::prop("no mutation of the messages is taken for the answer", [] {
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
        // The sidecar's stream ends early, and its end says so truly of
        // another, shorter answer.
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
    AnswerAssembler assembler(kKeepBytes);
    assembler.BeginAttempt({ 1, 1 });
    bool everWrong = false;
    std::size_t taken = 0;
    for (const Message& message : messages) {
      everWrong = !Feed(assembler, message) || everWrong;
      taken += everWrong ? 0 : 1;
    }
    // The one case that is harmless: all was there, and more came after it.
    const bool wholeFirst = taken == whole.size();
    RC_ASSERT(!assembler.IsComplete() || (wholeFirst && everWrong));
    // What a streaming caller has got by then is at least a true beginning.
    RC_ASSERT(!textIsOwn || Join(texts).starts_with(assembler.Delivered()));
  });
}

TEST_CASE("Chunks of another request, late or crossed, change nothing")
{
  // An answer of an attempt that was given up comes in between, or that of
  // another caller: each caller gets its own.
  rc::prop("any interleaving of two answers leaves each whole", [] {
    const auto own = WriteAnswer({ 1, 1 }, *Texts());
    const auto other = WriteAnswer({ 1, 2 }, *Texts());
    AnswerAssembler assembler(kKeepBytes);
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

TEST_CASE("A resumed answer is what both attempts delivered, in order")
{
  rc::prop("an attempt that breaks off is continued by the next", [] {
    const auto first = *Texts();
    const auto second = *Texts();
    const auto cut = *rc::gen::inRange<std::size_t>(0, first.size() + 1);
    auto messages = WriteAnswer({ 1, 1 }, first);
    messages.resize(cut);
    AnswerAssembler assembler(kKeepBytes);
    assembler.BeginAttempt({ 1, 1 });
    for (const Message& message : messages) {
      RC_ASSERT(Feed(assembler, message));
    }
    RC_ASSERT(assembler.CanResume());
    const std::string kept(assembler.Delivered());
    assembler.BeginAttempt({ 1, 2 });
    // The first attempt wakes up after all.
    RC_ASSERT(!Feed(assembler, WriteAnswer({ 1, 1 }, first).back()));
    for (const Message& message : WriteAnswer({ 1, 2 }, second)) {
      RC_ASSERT(Feed(assembler, message));
    }
    RC_ASSERT(assembler.IsComplete());
    RC_ASSERT(assembler.Delivered() == kept + Join(second));
  });
}

TEST_CASE("An answer too long to keep is checked but can't be resumed")
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
