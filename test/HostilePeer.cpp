#include <array>
#include <list>

#include <catch2/catch.hpp>

#include "RawSockets.h"
#include "dogwoodvale/Entry"
#include "dogwoodvale/Peer"
#include "dogwoodvale/Requests"
#include "support/InProcessSite.h"

using namespace dogwoodvale;
using dogwoodvale::test::ChatRequest;
using dogwoodvale::test::RawSocket;

namespace {

constexpr Duration kPatience = seconds(10);
/// The words of every answer, one a chunk.
const std::vector<std::string> kWords = { "alpha ",
                                          "beta ",
                                          "gamma ",
                                          "delta " };

/// What a sidecar does wrong, through a fault of its own or of its memory.
enum class Misdeed : std::uint8_t
{
  Nothing,
  LosesTheLastChunk,
  LosesAChunkWithin,
  Reorders,
  Duplicates,
  ChangesAByte,
  SaysAWrongCount,
  SaysAWrongChecksum,
  EndsTheStreamEarly,
};

constexpr std::array kMisdeeds = {
  Misdeed::LosesTheLastChunk,  Misdeed::LosesAChunkWithin,
  Misdeed::Reorders,           Misdeed::Duplicates,
  Misdeed::ChangesAByte,       Misdeed::SaysAWrongCount,
  Misdeed::SaysAWrongChecksum, Misdeed::EndsTheStreamEarly,
};

/// One request as the false sidecar has it.
class HeldAttempt : public PeerStreamHandler
{
public:
  explicit HeldAttempt(std::unique_ptr<PeerStream> aStream)
    : stream(std::move(aStream))
  {
    this->stream->SetHandler(this);
  }
  ~HeldAttempt() override { this->stream->SetHandler(nullptr); }

  void OnMessage(Message aMessage) override
  {
    if (const auto* asked = std::get_if<RunRequest>(&aMessage)) {
      this->run = *asked;
    }
  }
  void OnEnd() override {}
  void OnLost(const absl::Status& /*aReason*/) override {}

  void SendChunk(std::uint64_t aSequence, std::string_view aText)
  {
    Chunk chunk;
    chunk.sequence = aSequence;
    chunk.tokens = 1;
    chunk.text = std::string(aText);
    this->stream->Send(chunk);
  }

  void Finish(std::uint64_t aCount, std::uint64_t aChecksum)
  {
    Finished end;
    end.count = aCount;
    end.checksum = aChecksum;
    end.finishReason = "stop";
    this->stream->Send(end);
    this->stream->FinishSending();
  }

  std::unique_ptr<PeerStream> stream;
  std::optional<RunRequest> run;
  bool answered = false;
};

/// The checksum of the true answer to \p aId.
std::uint64_t
TrueChecksum(const RequestId& aId)
{
  AnswerDigest digest(aId);
  for (const std::string& word : kWords) {
    digest.Add(word);
  }
  return digest.Value();
}

void
SendWords(HeldAttempt& aTo, const std::vector<std::size_t>& aIndices)
{
  for (const std::size_t index : aIndices) {
    aTo.SendChunk(index, kWords.at(index));
  }
}

void
AnswerWith(Misdeed aMisdeed, HeldAttempt& aTo)
{
  aTo.answered = true;
  aTo.stream->Send(Started{});
  const std::uint64_t checksum = TrueChecksum(aTo.run->id);
  switch (aMisdeed) {
    case Misdeed::Nothing:
      SendWords(aTo, { 0, 1, 2, 3 });
      break;
    case Misdeed::LosesTheLastChunk:
      SendWords(aTo, { 0, 1, 2 });
      break;
    case Misdeed::LosesAChunkWithin:
      SendWords(aTo, { 0, 1, 3 });
      break;
    case Misdeed::Reorders:
      SendWords(aTo, { 0, 2, 1, 3 });
      break;
    case Misdeed::Duplicates:
      SendWords(aTo, { 0, 1, 1, 2, 3 });
      break;
    case Misdeed::ChangesAByte:
      SendWords(aTo, { 0, 1, 2 });
      aTo.SendChunk(3, "Delta ");
      break;
    case Misdeed::SaysAWrongCount:
      SendWords(aTo, { 0, 1, 2, 3 });
      aTo.Finish(kWords.size() + 1, checksum);
      return;
    case Misdeed::SaysAWrongChecksum:
      SendWords(aTo, { 0, 1, 2, 3 });
      aTo.Finish(kWords.size(), checksum + 1);
      return;
    case Misdeed::EndsTheStreamEarly:
      SendWords(aTo, { 0, 1, 2, 3 });
      aTo.stream->FinishSending();
      return;
  }
  aTo.Finish(kWords.size(), checksum);
}

/// Speaks the peer protocol by the product's own listener; the test decides
/// what it answers.
class FalseSidecar
  : public PeerAcceptor
  , public PeerConnectionHandler
{
public:
  explicit FalseSidecar(EventLoop& aLoop)
    : listener(*PeerListener::Create(aLoop,
                                     test::kAnyPort,
                                     PeerOptions{},
                                     MakeHello(),
                                     *this))
  {
  }

  SocketAddress Address() const { return this->listener->Address(); }

  PeerConnectionHandler& OnAccepted(std::unique_ptr<PeerConnection> aConnection,
                                    const Hello& /*aPeer*/) override
  {
    this->connection = std::move(aConnection);
    Notice notice;
    notice.load.limit = 8;
    this->connection->SetNotice(notice, true);
    return *this;
  }
  void OnReady(const Hello& /*aPeer*/) override {}
  void OnNotice(const Notice& /*aNotice*/) override {}
  void OnClosed(const absl::Status& /*aReason*/) override {}
  void OnStream(std::unique_ptr<PeerStream> aStream) override
  {
    this->attempts.emplace_back(std::move(aStream));
  }

  /// Requests that wait for an answer.
  std::vector<HeldAttempt*> Waiting()
  {
    std::vector<HeldAttempt*> found;
    for (HeldAttempt& attempt : this->attempts) {
      if (attempt.run && !attempt.answered) {
        found.push_back(&attempt);
      }
    }
    return found;
  }

  std::size_t AttemptCount() const { return this->attempts.size(); }

private:
  static Hello MakeHello()
  {
    Hello hello;
    hello.protocolVersion = 1;
    hello.secret = "a-secret-of-this-test";
    hello.role = "sidecar";
    hello.instance = "sidecar-1";
    hello.dataCentre = "dc1";
    hello.incarnation = 7;
    return hello;
  }

  std::list<HeldAttempt> attempts;
  std::unique_ptr<PeerConnection> connection;
  std::unique_ptr<PeerListener> listener;
};

struct Site
{
  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  test::ConfigurationFile file;
  FalseSidecar sidecar{ *this->loop };
  std::unique_ptr<Entry> entry =
    *Entry::Create(*this->loop,
                   test::EntryFor(this->file, this->sidecar.Address()));

  Site()
  {
    REQUIRE(this->Until([&] { return this->entry->Ready().ok(); }));
  }

  bool Until(const std::function<bool()>& aDone)
  {
    return this->loop->RunUntil(aDone, kPatience);
  }

  RawSocket Call(std::string_view aRequest)
  {
    RawSocket caller = RawSocket::Connect(this->entry->CallerAddress());
    caller.Send(aRequest);
    return caller;
  }

  /// Answers every attempt in the same way until the caller has its end.
  bool AnswerUntilEnd(Misdeed aMisdeed, RawSocket& aCaller)
  {
    return this->Until([&] {
      for (HeldAttempt* attempt : this->sidecar.Waiting()) {
        AnswerWith(aMisdeed, *attempt);
      }
      return aCaller.Has("[DONE]") || aCaller.Has("disposition") ||
             aCaller.Has("finish_reason\":\"stop\"");
    });
  }
};

bool
LooksWhole(RawSocket& aCaller, bool aStream)
{
  return aStream ? aCaller.Has("[DONE]") : aCaller.Has("HTTP/1.1 200");
}

} // namespace

TEST_CASE("An honest answer reaches the caller whole")
{
  const bool stream = GENERATE(true, false);
  Site site;
  RawSocket caller = site.Call(ChatRequest("hello", stream));
  REQUIRE(site.AnswerUntilEnd(Misdeed::Nothing, caller));
  CHECK(LooksWhole(caller, stream));
  CHECK(site.sidecar.AttemptCount() == 1);
}

// A sidecar truncates, reorders, duplicates or changes the chunks of an answer,
// or says a wrong count or checksum, on the first attempt and on every retry.
// The caller must end with an explicit error: the [DONE], or a JSON answer with
// status 200, would make it take a damaged answer for its own whole one.
TEST_CASE("A damaged answer never looks whole to its caller")
{
  const Misdeed misdeed = GENERATE(from_range(kMisdeeds));
  const bool stream = GENERATE(true, false);
  CAPTURE(int(misdeed), stream);
  Site site;
  RawSocket caller = site.Call(ChatRequest("hello", stream));
  REQUIRE(site.AnswerUntilEnd(misdeed, caller));
  CHECK_FALSE(LooksWhole(caller, stream));
  CHECK(caller.Has("may_have_run"));
}

// Two callers ask at the same time and the sidecar gives each the other's
// answer, each whole and with its right checksum. Only the request's id within
// the checksum tells that it is another's.
TEST_CASE("An answer that was crossed with another's never looks whole")
{
  const bool stream = GENERATE(true, false);
  Site site;
  RawSocket first = site.Call(ChatRequest("one", stream));
  RawSocket second = site.Call(ChatRequest("two", stream));
  REQUIRE(site.Until([&] { return site.sidecar.Waiting().size() == 2; }));
  const std::vector<HeldAttempt*> held = site.sidecar.Waiting();
  for (std::size_t index = 0; index < 2; ++index) {
    held[index]->answered = true;
    SendWords(*held[index], { 0, 1, 2, 3 });
    held[index]->Finish(kWords.size(), TrueChecksum(held[1 - index]->run->id));
  }
  // The retries get no better answer.
  REQUIRE(site.AnswerUntilEnd(Misdeed::SaysAWrongChecksum, first));
  REQUIRE(site.AnswerUntilEnd(Misdeed::SaysAWrongChecksum, second));
  CHECK_FALSE(LooksWhole(first, stream));
  CHECK_FALSE(LooksWhole(second, stream));
}

// After the end of a whole answer more chunks come, as from a sidecar that
// mixed up two streams: they must not reach the caller.
TEST_CASE("What comes after the end of an answer does not reach the caller")
{
  Site site;
  RawSocket caller = site.Call(ChatRequest("hello", true));
  REQUIRE(site.Until([&] { return site.sidecar.Waiting().size() == 1; }));
  HeldAttempt& attempt = *site.sidecar.Waiting().front();
  attempt.answered = true;
  SendWords(attempt, { 0, 1, 2, 3 });
  Finished end;
  end.count = kWords.size();
  end.checksum = TrueChecksum(attempt.run->id);
  end.finishReason = "stop";
  attempt.stream->Send(end);
  attempt.SendChunk(4, "another's ");
  REQUIRE(site.Until([&] { return caller.Has("[DONE]"); }));
  CHECK_FALSE(site.loop->RunUntil([&] { return caller.Has("another's"); },
                                  milliseconds(50)));
}

// A sidecar says that it started the request, sends a part of the answer and
// then nothing more, while its heartbeats go on: nothing breaks. The class's
// budget of 300 ms ends it, with an error that tells it may have run.
TEST_CASE("A sidecar that goes silent keeps no caller beyond its budget")
{
  const bool begins = GENERATE(true, false);
  Site site;
  const TimePoint sent = Now();
  RawSocket caller = site.Call(ChatRequest("hello", true, "brief"));
  REQUIRE(site.Until([&] { return site.sidecar.Waiting().size() == 1; }));
  HeldAttempt& attempt = *site.sidecar.Waiting().front();
  attempt.answered = true;
  if (begins) {
    attempt.stream->Send(Started{});
    SendWords(attempt, { 0, 1 });
  }
  REQUIRE(site.Until([&] { return caller.Has("disposition"); }));
  CHECK(Between(sent, Now()) < milliseconds(1000));
  CHECK(caller.Has("may_have_run"));
  CHECK_FALSE(caller.Has("[DONE]"));
}
