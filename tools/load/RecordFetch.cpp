#include "tools/load/RecordFetch.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>

#include "tools/load/HttpClient.h"

namespace dogwoodvale::load {

namespace {

constexpr const char* kRecordPath = "/standin/record";
constexpr Duration kFetchLimit = seconds(30);
constexpr int kOkStatus = 200;

/// One stand-in's answer, gathered whole.
class Fetch : public AnswerSink
{
public:
  Fetch(HttpClient& aClient, const SocketAddress& aTarget)
    : target(aTarget)
    , exchange(aClient.Send(aTarget, { "GET", kRecordPath, {}, "" }, *this))
  {
  }

  void OnHead(const AnswerHead& aHead) override { this->status = aHead.status; }
  void OnBody(std::string_view aBytes) override { this->body.append(aBytes); }
  void OnEnd(ExchangeEnd aEnd) override
  {
    this->isDone = true;
    this->isGood = aEnd == ExchangeEnd::Whole && this->status == kOkStatus;
  }

  bool IsDone() const { return this->isDone; }
  bool IsGood() const { return this->isGood; }
  const SocketAddress& Target() const { return this->target; }
  const std::string& Body() const { return this->body; }

private:
  SocketAddress target;
  std::string body;
  int status = 0;
  bool isDone = false;
  bool isGood = false;
  std::unique_ptr<Exchange> exchange;
};

std::string
FileName(const SocketAddress& aTarget)
{
  return fmt::format("{}-{}", aTarget.ip, aTarget.port);
}

} // namespace

absl::StatusOr<std::vector<Execution>>
FetchRecords(EventLoop& aLoop,
             std::span<const SocketAddress> aStandIns,
             const std::string& aDirectory)
{
  if (!aDirectory.empty()) {
    std::error_code ignored;
    std::filesystem::create_directories(aDirectory, ignored);
  }
  HttpClient client(aLoop);
  std::vector<std::unique_ptr<Fetch>> fetches;
  for (const SocketAddress& target : aStandIns) {
    fetches.push_back(std::make_unique<Fetch>(client, target));
  }
  aLoop.RunUntil(
    [&] {
      return std::all_of(fetches.begin(), fetches.end(), [](const auto& aEach) {
        return aEach->IsDone();
      });
    },
    kFetchLimit);
  std::vector<Execution> all;
  std::string missing;
  for (const auto& fetch : fetches) {
    const std::string name = FileName(fetch->Target());
    const absl::StatusOr<std::vector<Execution>> record =
      fetch->IsGood() ? ParseRecord(name, fetch->Body())
                      : absl::UnavailableError("no record came");
    if (!record.ok()) {
      missing += fmt::format(
        "{}: {}\n", fetch->Target().ToString(), MessageOf(record.status()));
      continue;
    }
    all.insert(all.end(), record->begin(), record->end());
    if (!aDirectory.empty()) {
      std::ofstream(fmt::format("{}/{}.json", aDirectory, name))
        << fetch->Body();
    }
  }
  if (!missing.empty()) {
    return absl::UnavailableError(missing);
  }
  return all;
}

} // namespace dogwoodvale::load
