#include "SealedEngine.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace dogwoodvale::standins {

namespace {

constexpr const char* kId = "Dogwoodvale-Attempt-Id";
constexpr const char* kExpect = "Dogwoodvale-Expect-Instance";
constexpr std::array<const char*, 5> kForbidden = {
  "Dogwoodvale-Credential", "Dogwoodvale-Hold", "Dogwoodvale-Pin-Ms",
  "Dogwoodvale-Kv-Backup",  "Kv-From",
};
constexpr Duration kTick = milliseconds(1);
constexpr std::uint64_t kMaxPadding = 4U << 20U;

/// Whether a list of parts, "ID:TOKENS,ID:TOKENS", has the id before its last
/// entry.
bool
HasSharedPart(const std::string& aPrompt, const std::string& aId)
{
  const std::string before = "," + aPrompt.substr(0, aPrompt.rfind(',') + 1);
  return before.find("," + aId + ":") != std::string::npos;
}

/// The number that follows \p aName in a path's query, if any.
std::optional<std::uint64_t>
QueryNumber(std::string_view aPath, std::string_view aName)
{
  const std::size_t at = aPath.find(aName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view text = aPath.substr(at + aName.size());
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace

absl::StatusOr<std::unique_ptr<SealedEngine>>
SealedEngine::Create(EventLoop& aLoop,
                     const SocketAddress& aListen,
                     const SealedEngineSettings& aSettings)
{
  std::unique_ptr<SealedEngine> made(new SealedEngine(aLoop, aSettings));
  auto server = JsonServer::Create(aLoop, aListen, *made);
  if (!server.ok()) {
    return server.status();
  }
  made->server = *std::move(server);
  return made;
}

SealedEngine::SealedEngine(EventLoop& aLoop,
                           const SealedEngineSettings& aSettings)
  : settings(aSettings)
  , tick(aLoop, [this] { this->OnTick(); })
{
  this->tick.StartRepeating(kTick);
}

void
SealedEngine::SetFault(const Json::Value& aFault)
{
  if (aFault["clear"].asBool()) {
    this->faults = {};
  }
  const auto set = [&](const char* aName, bool& aFlag) {
    aFlag = aFlag || aFault[aName].asBool();
  };
  set("refuse", this->faults.refuse);
  set("error", this->faults.error);
  set("hang", this->faults.hang);
  set("skip", this->faults.skip);
  set("no_proof", this->faults.noProof);
  set("leaving", this->faults.leaving);
  if (aFault["crash_after"].isNumeric()) {
    this->faults.crashAfter = aFault["crash_after"].asUInt64();
  }
  if (aFault.isMember("retry_after")) {
    this->faults.retryAfter = aFault["retry_after"].asString();
  }
  if (aFault.isMember("rate_limit")) {
    this->faults.rateLimit = aFault["rate_limit"].asString();
  }
  if (aFault["pause_ms"].isNumeric()) {
    this->faults.pause = milliseconds(aFault["pause_ms"].asInt64());
  }
  if (aFault["work_ms"].isNumeric()) {
    this->faults.work = milliseconds(aFault["work_ms"].asInt64());
  }
  if (aFault["pause_every"].isNumeric()) {
    this->faults.pauseEvery =
      std::max<std::uint64_t>(aFault["pause_every"].asUInt64(), 1);
  }
  if (aFault.isMember("load")) {
    this->faults.load = aFault["load"].asString();
  }
}

Json::Value
SealedEngine::Record() const
{
  Json::Value record(Json::arrayValue);
  for (const SealedRun& run : this->runs) {
    Json::Value one;
    one["id"] = run.id;
    one["path"] = run.path;
    one["customer"] = run.customer;
    one["resumed_after"] = Json::UInt64(run.resumedAfter);
    one["end"] = run.end;
    record.append(one);
  }
  return record;
}

void
SealedEngine::Control(Exchange& aExchange)
{
  if (aExchange.Path() == "/standin/record") {
    aExchange.ReplyJson(200, this->Record());
    return;
  }
  const auto fault = aExchange.JsonBody();
  this->SetFault(fault.value_or(Json::Value(Json::objectValue)));
  aExchange.ReplyJson(fault ? 200 : 400, fault.value_or(Json::Value()));
}

void
SealedEngine::OnRequest(Exchange& aExchange)
{
  if (aExchange.Path().starts_with("/standin/")) {
    this->Control(aExchange);
    return;
  }
  this->arrivals.push_back({ aExchange.Header(kId), Now() });
  const std::string expected = aExchange.Header(kExpect);
  if (!expected.empty() && expected != this->settings.instance) {
    aExchange.AddHeader(kId, this->arrivals.back().id);
    aExchange.AddHeader("Dogwoodvale-Instance-Id", this->settings.instance);
    this->AddLoad(aExchange);
    aExchange.ReplyJson(421, Json::Value(Json::objectValue));
    return;
  }
  if (this->faults.refuse) {
    this->arrivals.back().turnedAway = true;
    // For checkers, as the line of a run.
    Log(LogLevel::Info, "turned_away", "id", this->arrivals.back().id);
    aExchange.AddHeader(kId, this->arrivals.back().id);
    aExchange.AddHeader("Dogwoodvale-Not-Executed", "1");
    if (!this->faults.retryAfter.empty()) {
      aExchange.AddHeader("Retry-After", this->faults.retryAfter);
    }
    this->AddNeeds(aExchange);
    aExchange.ReplyJson(503, Json::Value(Json::objectValue));
    return;
  }
  this->Begin(aExchange);
}

void
SealedEngine::AddLoad(Exchange& aExchange) const
{
  if (!this->faults.load.empty()) {
    aExchange.AddHeader("Dogwoodvale-Instance-Load", this->faults.load);
  }
}

void
SealedEngine::AddNeeds(Exchange& aExchange) const
{
  this->AddLoad(aExchange);
  if (!this->faults.rateLimit.empty()) {
    aExchange.AddHeader("Server-Limit", this->faults.rateLimit);
  }
  if (this->faults.leaving) {
    aExchange.AddHeader("Server-Leaving", "1");
  }
}

bool
SealedEngine::IsCrashing(const SealedRun& aRun) const
{
  const std::string& body = this->settings.crashBody;
  return (!body.empty() && aRun.body.find(body) != std::string::npos) ||
         std::ranges::any_of(this->settings.crashParts,
                             [&aRun](const std::string& aPart) {
                               return HasSharedPart(aRun.prompt, aPart);
                             });
}

std::uint64_t
SealedEngine::LastEventOf(const SealedRun& aRun) const
{
  return QueryNumber(aRun.path, "events=").value_or(this->settings.events);
}

Duration
SealedEngine::WorkTime() const
{
  return this->faults.work >= Duration(0) ? this->faults.work
                                          : this->settings.work;
}

void
SealedEngine::End(SealedRun& aRun, const char* aHow)
{
  aRun.end = aHow;
  Log(LogLevel::Info, "run_ended", "id", aRun.id, "end", aHow);
}

void
SealedEngine::Begin(Exchange& aExchange)
{
  SealedRun run;
  run.id = aExchange.Header(kId);
  run.at = Now();
  run.path = aExchange.Target();
  run.body = aExchange.Body();
  run.customer = aExchange.Header("Dogwoodvale-Tenant");
  run.priority = aExchange.Header("Dogwoodvale-Request-Priority");
  run.fetchFrom = aExchange.Header("Kv-Fetch");
  run.prompt = aExchange.Header("Dogwoodvale-Prompt-Prefix");
  run.deadlineMillis = std::strtoll(
    aExchange.Header("Dogwoodvale-Deadline-Ms").c_str(), nullptr, 10);
  run.resumedAfter =
    std::strtoull(aExchange.Header("Last-Event-Id").c_str(), nullptr, 10);
  for (const char* name : kForbidden) {
    run.forbidden += aExchange.Header(name);
  }
  Work work;
  work.run = this->runs.size();
  work.streams = run.path.find("/stream/") != std::string::npos;
  work.next = run.resumedAfter + 1;
  work.last = this->LastEventOf(run);
  if ((work.run + 1) % this->faults.pauseEvery == 0) {
    work.pause = this->faults.pause;
  }
  work.crashes = this->IsCrashing(run);
  work.due = run.at + (work.crashes && !work.streams ? this->settings.crashDelay
                                                     : this->WorkTime());
  // For checkers: the record goes with the process, its output stays.
  Log(LogLevel::Info, "run", "id", run.id, "path", run.path);
  this->runs.push_back(std::move(run));
  this->working[&aExchange] = work;
}

void
SealedEngine::Crash()
{
  this->crashed = true;
  this->tick.Stop();
  for (const auto& [exchange, work] : this->working) {
    this->runs[work.run].end = "crashed";
  }
  if (this->settings.onCrash) {
    this->settings.onCrash();
  }
}

void
SealedEngine::OnClosed(Exchange& aExchange)
{
  const auto found = this->working.find(&aExchange);
  if (found != this->working.end()) {
    this->End(this->runs[found->second.run], "cancelled");
    this->working.erase(found);
  }
}

void
SealedEngine::AddMarks(Exchange& aExchange, const SealedRun& aRun) const
{
  aExchange.AddHeader(kId, aRun.id);
  if (!this->faults.noProof) {
    aExchange.AddHeader("Dogwoodvale-Response-Seal",
                        "seal-of-" + this->settings.instance);
  }
  this->AddNeeds(aExchange);
}

bool
SealedEngine::Step(Exchange& aExchange, Work& aWork, TimePoint aNow)
{
  SealedRun& run = this->runs[aWork.run];
  if (aWork.crashes && (aWork.begun || !aWork.streams)) {
    run.end = "crashed";
    this->Crash();
    return false;
  }
  const bool isPaused =
    aWork.streams ? 2 * aWork.next > aWork.last : aWork.pause > Duration(0);
  if (isPaused && aWork.pause > Duration(0)) {
    aWork.due = aNow + std::exchange(aWork.pause, Duration(0));
    return false;
  }
  if (!aWork.streams) {
    this->AddMarks(aExchange, run);
    this->End(run, "complete");
    Json::Value body;
    body["instance"] = this->settings.instance;
    body["id"] = run.id;
    if (const auto padding = QueryNumber(run.path, "bytes=")) {
      body["padding"] = std::string(std::min(*padding, kMaxPadding), 'x');
    }
    aExchange.ReplyJson(this->faults.error ? 500 : 200, body);
    return true;
  }
  if (!aWork.begun) {
    aWork.begun = true;
    this->AddMarks(aExchange, run);
    aExchange.StartStream("text/event-stream");
    if (aWork.crashes) {
      aWork.due = aNow + this->settings.crashDelay;
      return false;
    }
  }
  const std::uint64_t made = aWork.next - run.resumedAfter;
  if (this->faults.crashAfter > 0 && made > this->faults.crashAfter) {
    this->End(run, "crashed");
    aExchange.Drop();
    return true;
  }
  if (aWork.next > aWork.last) {
    this->End(run, "complete");
    aExchange.EndStream();
    return true;
  }
  aWork.next += this->faults.skip && made == 2 ? 1 : 0;
  const std::string& version = this->settings.softwareVersion;
  const bool goesOn =
    aExchange.SendChunk(fmt::format("id: {0}\ndata: piece {0}{1}{2}\n\n",
                                    aWork.next,
                                    version.empty() ? "" : " ",
                                    version));
  ++aWork.next;
  aWork.due = aNow + this->settings.gap;
  return !goesOn;
}

void
SealedEngine::OnTick()
{
  const TimePoint now = Now();
  std::vector<Exchange*> due;
  for (const auto& [exchange, work] : this->working) {
    if (work.due <= now && !this->faults.hang) {
      due.push_back(exchange);
    }
  }
  for (Exchange* exchange : due) {
    if (this->crashed) {
      return;
    }
    const auto found = this->working.find(exchange);
    if (found == this->working.end()) {
      continue;
    }
    // Taken out first: an exchange that ends may bring the next at its address.
    Work work = found->second;
    this->working.erase(found);
    if (!this->Step(*exchange, work, now)) {
      this->working[exchange] = work;
    }
  }
}

} // namespace dogwoodvale::standins
