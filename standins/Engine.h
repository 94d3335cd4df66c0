#ifndef DOGWOODVALE_STANDINS_ENGINE_H
#define DOGWOODVALE_STANDINS_ENGINE_H

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "AnswerFormat.h"
#include "BatchingCore.h"
#include "EngineOrders.h"
#include "Journal.h"
#include "JsonServer.h"
#include "Lagged.h"
#include "Prompt.h"

namespace dogwoodvale::standins {

struct EngineSettings
{
  std::string name = "engine";
  BatchingSettings batching;
  std::vector<std::string> models{ "a" };
  std::uint64_t seed = 1;
  /// By which /load and /kv_events are late.
  Duration loadLag = milliseconds(500);
  /// What a load order takes.
  Duration loadTime = milliseconds(0);
  bool checksFencing = false;
  /// Share of cache events that are never published.
  double lostEvents = 0.05;
  /// What a reader may leave unread before it is dropped.
  std::size_t maxBacklog = 64ULL << 20;
};

struct EngineExecution : Execution
{
  std::string model;
  std::int64_t priority = 0;
  std::size_t resumedTokens = 0;
  std::size_t promptTokens = 0;
  std::size_t tokens = 0;
  TimePoint firstToken{};

  Json::Value ToJson() const;
};

/// A stand-in model engine: OpenAI routes before a BatchingCore.
///
/// Routes: POST /v1/chat/completions, /v1/completions, /orders,
/// /standin/fault; GET /v1/models, /load, /kv_events, /orders/state, /health,
/// /standin/record.
class Engine : public RequestHandler
{
public:
  static absl::StatusOr<std::unique_ptr<Engine>> Create(
    EventLoop& aLoop,
    const SocketAddress& aListen,
    const EngineSettings& aSettings);

  const SocketAddress& Address() const { return this->server->Address(); }

  /// Sets faults: {"slow":5.0,"stall":true,"refuse":true,
  /// "crash_after_tokens":20,"crash":true,"clear":true}; clear goes first.
  /// \param aSpared its connection survives a crash.
  void SetFault(const Json::Value& aFault, const Exchange* aSpared = nullptr);
  /// What was executed, from entry number \p aSince on.
  Json::Value Record(std::uint64_t aSince = 0) const;

  void OnRequest(Exchange& aExchange) override;
  void OnClosed(Exchange& aExchange) override;

private:
  struct Answer
  {
    Exchange* exchange;
    AnswerFormat format;
    std::string nonce;
    bool streams;
    bool wantsUsage;
    const char* reason; ///< how it will finish
    std::size_t promptTokens;
    std::size_t resumed;
    std::uint64_t entry; ///< in the journal
    std::size_t made = 0;
    std::string text{}; ///< of an answer that isn't streamed
  };
  struct Faults
  {
    double slow = 1.0;
    bool stall = false;
    bool refuse = false;
    std::optional<std::size_t> crashAfterTokens;
    /// Crashes when a stream with more to come has had this many tokens.
    std::optional<std::size_t> crashWhileWriting;
  };
  struct LoadReport
  {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t kvUsed = 0;
    double stepMs = 0;
  };

  Engine(EventLoop& aLoop, const EngineSettings& aSettings);
  void Generate(Exchange& aExchange, bool aIsChat);
  void Begin(Exchange& aExchange,
             const Json::Value& aBody,
             const Prompt& aPrompt,
             bool aIsChat);
  void Control(Exchange& aExchange);
  void ObeyOrder(Exchange& aExchange);
  void ListModels(Exchange& aExchange) const;
  void ReportLoad(Exchange& aExchange);

  void StartStep();
  void FinishStep();
  void GiveToken(const BatchingCore::Token& aToken);
  void FinishAnswer(std::uint64_t aKey);
  /// Forgets an answer; its exchange stays.
  void Close(std::uint64_t aKey, const char* aEnd);
  void Crash(const Exchange* aSpared);
  void SampleLoad();
  void QueueCacheEvents();
  void PublishCacheEvents();

  EngineSettings settings;
  BatchingCore core;
  EngineOrders orders;
  Faults faults;
  Journal<EngineExecution> journal;
  std::unordered_map<std::uint64_t, Answer> answers;
  std::map<const Exchange*, std::uint64_t> keys;
  std::uint64_t nextKey = 1;

  Timer stepTimer;
  bool inStep = false;
  TimePoint stepEnd{};
  double stepMs = 0;
  Lagged<LoadReport> load;

  std::mt19937_64 random;
  Timer eventTimer;
  std::set<Exchange*> subscribers;
  std::deque<std::pair<TimePoint, std::string>> lateEvents;
  std::uint64_t eventSequence = 0;
  /// Last, so that it goes first: its end closes exchanges.
  std::unique_ptr<JsonServer> server;
};

} // namespace dogwoodvale::standins

#endif
