#include "Engine.h"

#include <algorithm>
#include <cstdlib>

namespace dogwoodvale::standins {

namespace {

constexpr std::size_t kMaxLateEvents = 100000;
constexpr Duration kPublishPeriod = milliseconds(10);

void
ReplyError(Exchange& aExchange, int aCode, const std::string& aMessage)
{
  Json::Value body;
  body["error"]["message"] = aMessage;
  body["error"]["type"] = aCode < 500 ? "invalid_request_error" : "unavailable";
  body["error"]["code"] = aCode;
  aExchange.ReplyJson(aCode, body);
}

bool
Flag(const Json::Value& aObject, const char* aName)
{
  return aObject[aName].isBool() && aObject[aName].asBool();
}

std::optional<std::size_t>
MaxTokens(const Json::Value& aBody)
{
  for (const char* name : { "max_completion_tokens", "max_tokens" }) {
    if (aBody[name].isUInt64()) {
      return std::max<std::size_t>(aBody[name].asUInt64(), 1);
    }
  }
  return std::nullopt;
}

} // namespace

Json::Value
EngineExecution::ToJson() const
{
  Json::Value json = Execution::ToJson();
  json["model"] = this->model;
  json["priority"] = Json::Int64(this->priority);
  json["resumed_tokens"] = Json::UInt64(this->resumedTokens);
  json["prompt_tokens"] = Json::UInt64(this->promptTokens);
  json["tokens"] = Json::UInt64(this->tokens);
  if (this->firstToken != TimePoint{}) {
    json["first_token_ms"] = ToMs(this->firstToken);
  }
  return json;
}

absl::StatusOr<std::unique_ptr<Engine>>
Engine::Create(EventLoop& aLoop,
               const SocketAddress& aListen,
               const EngineSettings& aSettings)
{
  std::unique_ptr<Engine> engine(new Engine(aLoop, aSettings));
  auto server = JsonServer::Create(aLoop, aListen, *engine);
  if (!server.ok()) {
    return server.status();
  }
  engine->server = std::move(*server);
  engine->server->SetMaxBacklog(aSettings.maxBacklog);
  return engine;
}

Engine::Engine(EventLoop& aLoop, const EngineSettings& aSettings)
  : settings(aSettings)
  , core(aSettings.batching)
  , orders(aSettings.models, aSettings.loadTime, aSettings.checksFencing)
  , stepTimer(aLoop, [this] { this->FinishStep(); })
  , load(aSettings.loadLag, {})
  , random(aSettings.seed)
  , eventTimer(aLoop, [this] { this->PublishCacheEvents(); })
{
}

void
Engine::OnRequest(Exchange& aExchange)
{
  const std::string path = aExchange.Path();
  const bool isGet = aExchange.Method() == "GET";
  if (path == "/standin/fault" || path == "/standin/record") {
    this->Control(aExchange);
  } else if (this->faults.refuse) {
    ReplyError(aExchange, 503, "refused by a fault");
  } else if (path == "/v1/chat/completions" && !isGet) {
    this->Generate(aExchange, true);
  } else if (path == "/v1/completions" && !isGet) {
    this->Generate(aExchange, false);
  } else if (path == "/orders" && !isGet) {
    this->ObeyOrder(aExchange);
  } else if (path == "/orders/state" && isGet) {
    aExchange.ReplyJson(200, this->orders.State(Now()));
  } else if (path == "/v1/models" && isGet) {
    this->ListModels(aExchange);
  } else if (path == "/load" && isGet) {
    this->ReportLoad(aExchange);
  } else if (path == "/health" && isGet) {
    aExchange.Reply(200, "", "text/plain");
  } else if (path == "/kv_events" && isGet) {
    aExchange.StartStream("text/event-stream");
    this->subscribers.insert(&aExchange);
  } else {
    ReplyError(aExchange, 404, "no such route");
  }
}

void
Engine::OnClosed(Exchange& aExchange)
{
  this->subscribers.erase(&aExchange);
  const auto found = this->keys.find(&aExchange);
  if (found != this->keys.end()) {
    this->Close(found->second, "cancelled");
    this->SampleLoad();
  }
}

void
Engine::Control(Exchange& aExchange)
{
  if (aExchange.Path() == "/standin/record") {
    const std::string since = aExchange.Query("since");
    aExchange.ReplyJson(
      200, this->Record(std::strtoull(since.c_str(), nullptr, 10)));
    return;
  }
  const auto fault = aExchange.JsonBody();
  if (!fault) {
    ReplyError(aExchange, 400, "the body must be a JSON object");
    return;
  }
  this->SetFault(*fault, &aExchange);
  aExchange.ReplyJson(200, *fault);
}

void
Engine::SetFault(const Json::Value& aFault, const Exchange* aSpared)
{
  if (Flag(aFault, "clear")) {
    this->faults = {};
  }
  if (aFault["slow"].isNumeric()) {
    this->faults.slow = std::max(aFault["slow"].asDouble(), 0.001);
  }
  if (aFault["stall"].isBool()) {
    this->faults.stall = aFault["stall"].asBool();
  }
  if (aFault["refuse"].isBool()) {
    this->faults.refuse = aFault["refuse"].asBool();
  }
  if (aFault["crash_after_tokens"].isUInt64()) {
    this->faults.crashAfterTokens = aFault["crash_after_tokens"].asUInt64();
  }
  if (aFault["crash_while_writing"].isUInt64()) {
    this->faults.crashWhileWriting = aFault["crash_while_writing"].asUInt64();
  }
  if (Flag(aFault, "crash")) {
    this->Crash(aSpared);
  }
  if (!this->faults.stall && this->inStep && !this->stepTimer.IsPending()) {
    this->stepTimer.StartOnce(Duration(0));
  }
  this->StartStep();
}

Json::Value
Engine::Record(std::uint64_t aSince) const
{
  Json::Value record;
  record["name"] = this->settings.name;
  record["executions"] = this->journal.ToJson(aSince);
  record["next"] = Json::UInt64(this->journal.Next());
  record["steps"] = Json::UInt64(this->core.Steps());
  record["max_running"] = Json::UInt64(this->core.MaxRunning());
  return record;
}

void
Engine::ObeyOrder(Exchange& aExchange)
{
  const auto order = aExchange.JsonBody();
  if (!order) {
    ReplyError(aExchange, 400, "the body must be a JSON object");
    return;
  }
  const EngineOrders::Answer answer = this->orders.Obey(*order, Now());
  aExchange.ReplyJson(answer.code, answer.body);
}

void
Engine::ListModels(Exchange& aExchange) const
{
  Json::Value body;
  body["object"] = "list";
  body["data"] = Json::Value(Json::arrayValue);
  for (const std::string& name : this->orders.Served(Now())) {
    Json::Value model;
    model["id"] = name;
    model["object"] = "model";
    model["owned_by"] = this->settings.name;
    body["data"].append(model);
  }
  aExchange.ReplyJson(200, body);
}

void
Engine::ReportLoad(Exchange& aExchange)
{
  const LoadReport& report = this->load.Get(Now());
  Json::Value body;
  body["running"] = Json::UInt64(report.running);
  body["waiting"] = Json::UInt64(report.waiting);
  body["kv_used"] = Json::UInt64(report.kvUsed);
  body["step_ms"] = report.stepMs;
  aExchange.ReplyJson(200, body);
}

void
Engine::Generate(Exchange& aExchange, bool aIsChat)
{
  const auto body = aExchange.JsonBody();
  if (!body) {
    ReplyError(aExchange, 400, "the body must be a JSON object");
    return;
  }
  const auto prompt = ParsePrompt(*body, aIsChat, this->settings.seed);
  if (!prompt.ok()) {
    ReplyError(aExchange, 400, std::string(MessageOf(prompt.status())));
    return;
  }
  const Json::Value& model = (*body)["model"];
  if (!model.isString() || !this->orders.Serves(model.asString(), Now())) {
    ReplyError(aExchange, 404, "the model is not loaded here");
    return;
  }
  if (prompt->tokens + 1 > this->settings.batching.kvTokens) {
    ReplyError(aExchange, 400, "the prompt is longer than the memory");
    return;
  }
  this->Begin(aExchange, *body, *prompt, aIsChat);
}

void
Engine::Begin(Exchange& aExchange,
              const Json::Value& aBody,
              const Prompt& aPrompt,
              bool aIsChat)
{
  const std::uint64_t key = this->nextKey++;
  const std::size_t rest =
    aPrompt.length - std::min(aPrompt.length, aPrompt.resumed);
  const std::size_t wanted = std::min(rest, MaxTokens(aBody).value_or(rest));
  const std::int64_t priority =
    aBody["priority"].isInt64() ? aBody["priority"].asInt64() : 0;

  EngineExecution execution;
  execution.id = aExchange.Header("X-Request-Id");
  execution.nonce = aPrompt.nonce;
  execution.started = Now();
  execution.model = aBody["model"].asString();
  execution.priority = priority;
  execution.resumedTokens = aPrompt.resumed;
  execution.promptTokens = aPrompt.tokens;

  Answer answer{
    &aExchange,
    AnswerFormat(aIsChat,
                 fmt::format("{}-{}", this->settings.name, key),
                 aBody["model"].asString()),
    aPrompt.nonce,
    Flag(aBody, "stream"),
    aBody["stream_options"].isObject() &&
      Flag(aBody["stream_options"], "include_usage"),
    wanted < rest ? "length" : "stop",
    aPrompt.tokens,
    aPrompt.resumed,
    this->journal.Append(std::move(execution)),
  };
  if (answer.streams) {
    aExchange.StartStream("text/event-stream");
  }
  this->answers.emplace(key, std::move(answer));
  this->keys.emplace(&aExchange, key);
  if (wanted == 0) {
    this->FinishAnswer(key);
    return;
  }
  this->core.Add({ key, priority, aPrompt.tokens, wanted, aPrompt.blocks });
  this->SampleLoad();
  this->StartStep();
}

void
Engine::StartStep()
{
  if (this->inStep || this->faults.stall) {
    return;
  }
  const auto length = this->core.BeginStep();
  this->QueueCacheEvents();
  if (!length) {
    this->stepEnd = TimePoint{};
    return;
  }
  const auto span =
    std::chrono::duration_cast<Duration>(*length * this->faults.slow);
  this->stepMs = std::chrono::duration<double, std::milli>(span).count();
  // Steps follow one another without the timer's delay adding up.
  const TimePoint now = Now();
  const bool follows = now - this->stepEnd < this->settings.batching.step;
  this->stepEnd = (follows ? this->stepEnd : now) + span;
  this->inStep = true;
  this->stepTimer.StartOnce(Between(now, this->stepEnd));
}

void
Engine::FinishStep()
{
  if (this->faults.stall) {
    return;
  }
  this->inStep = false;
  for (const BatchingCore::Token& token : this->core.EndStep()) {
    this->GiveToken(token);
  }
  this->StartStep();
  this->SampleLoad();
}

void
Engine::GiveToken(const BatchingCore::Token& aToken)
{
  const auto found = this->answers.find(aToken.key);
  if (found == this->answers.end()) {
    return;
  }
  Answer& answer = found->second;
  if (answer.made == this->faults.crashAfterTokens) {
    Exchange* exchange = answer.exchange;
    this->Close(aToken.key, "crashed");
    exchange->Drop();
    return;
  }
  const std::string text =
    TokenText(answer.nonce, answer.resumed + answer.made);
  ++answer.made;
  if (EngineExecution* execution = this->journal.Find(answer.entry)) {
    execution->tokens = answer.made;
    execution->firstToken = answer.made == 1 ? Now() : execution->firstToken;
  }
  if (!answer.streams) {
    answer.text += text;
  } else if (!answer.exchange->SendChunk(
               answer.format.Token(text, answer.made == 1))) {
    this->Close(aToken.key, "cancelled");
    return;
  }
  if (aToken.last) {
    this->FinishAnswer(aToken.key);
  } else if (answer.streams && answer.made == this->faults.crashWhileWriting) {
    this->faults.crashWhileWriting.reset();
    this->Crash(nullptr);
  }
}

void
Engine::FinishAnswer(std::uint64_t aKey)
{
  const Answer answer = std::move(this->answers.at(aKey));
  this->Close(aKey, "complete");
  const Usage usage{ answer.promptTokens, answer.made };
  if (!answer.streams) {
    answer.exchange->Reply(
      200,
      answer.format.Whole(answer.text, answer.reason, usage),
      "application/json");
    return;
  }
  std::string tail = answer.format.Finish(answer.reason);
  if (answer.wantsUsage) {
    tail += answer.format.UsageEvent(usage);
  }
  tail += AnswerFormat::Done();
  if (answer.exchange->SendChunk(tail)) {
    answer.exchange->EndStream();
  }
}

void
Engine::Close(std::uint64_t aKey, const char* aEnd)
{
  this->core.Cancel(aKey);
  const auto found = this->answers.find(aKey);
  if (EngineExecution* execution = this->journal.Find(found->second.entry)) {
    execution->End(aEnd, Now());
  }
  this->keys.erase(found->second.exchange);
  this->answers.erase(found);
}

void
Engine::Crash(const Exchange* aSpared)
{
  while (!this->answers.empty()) {
    this->Close(this->answers.begin()->first, "crashed");
  }
  this->subscribers.clear();
  this->server->DropAll(aSpared);
  this->SampleLoad();
}

void
Engine::SampleLoad()
{
  this->load.Set(Now(),
                 { this->core.Running(),
                   this->core.Waiting(),
                   this->core.KvUsed(),
                   this->stepMs });
}

void
Engine::QueueCacheEvents()
{
  std::bernoulli_distribution isLost(this->settings.lostEvents);
  for (const CacheEvent& event : this->core.Cache().TakeEvents()) {
    const std::uint64_t sequence = this->eventSequence++;
    if (isLost(this->random) || this->subscribers.empty() ||
        this->lateEvents.size() >= kMaxLateEvents) {
      continue;
    }
    this->lateEvents.emplace_back(
      Now() + this->settings.loadLag,
      fmt::format(
        "data: {{\"seq\":{},\"event\":\"{}\",\"prefix\":\"{:016x}\"}}\n\n",
        sequence,
        event.stored ? "stored" : "evicted",
        event.prefix));
  }
  if (!this->lateEvents.empty() && !this->eventTimer.IsPending()) {
    this->eventTimer.StartRepeating(kPublishPeriod);
  }
}

void
Engine::PublishCacheEvents()
{
  std::string events;
  const TimePoint now = Now();
  while (!this->lateEvents.empty() && this->lateEvents.front().first <= now) {
    events += this->lateEvents.front().second;
    this->lateEvents.pop_front();
  }
  if (this->lateEvents.empty()) {
    this->eventTimer.Stop();
  }
  if (!events.empty()) {
    std::erase_if(this->subscribers, [&](Exchange* aSubscriber) {
      return !aSubscriber->SendChunk(events);
    });
  }
}

} // namespace dogwoodvale::standins
