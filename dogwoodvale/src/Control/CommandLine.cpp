#include "dogwoodvale/Control"

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <memory>

#include <docopt/docopt.h>
#include <unistd.h>

namespace dogwoodvale {

namespace {

constexpr const char* kUsage =
  R"(dogwoodvalectl: change the configuration and see what the processes do.

Usage:
  dogwoodvalectl config validate PATH [options]
  dogwoodvalectl config diff PATH [options]
  dogwoodvalectl config apply PATH [options]
  dogwoodvalectl config repair [options]
  dogwoodvalectl config show [options]
  dogwoodvalectl config history [options]
  dogwoodvalectl config status [options]
  dogwoodvalectl config prune [options]
  dogwoodvalectl status [options]
  dogwoodvalectl orders [options]
  dogwoodvalectl --help
  dogwoodvalectl --version

PATH is a configuration file, or a directory of *.json files. The store is
named by --store or --site, the processes by --processes or --site.

Options:
  --store LIST        the store's addresses, IP:PORT,...
  --processes LIST    the processes' addresses for operators, IP:PORT,...
  --site FILE         a JSON file with both: {"store": [...], "processes": [...]}
  --comment TEXT      why the change is made
  --author NAME       who makes it; by default the environment's USER
  --expect-epoch N    apply only if this epoch is in force
  --epoch N           show this epoch instead of the latest
  --keep N            past epochs that prune keeps [default: 50]
  --wait              wait until the change is in force everywhere
  --timeout-ms N      bound on the wait [default: 30000]
  --call-timeout-ms N  bound on one call [default: 2000]
  --json              write one JSON document

Exit codes:
  0 done  1 invalid  2 conflict, not applied  3 unknown, the store is silent
  4 not reached, not applied  5 accepted, not yet everywhere
  6 the store is behind the fleet  64 wrong usage
)";

using Arguments = std::map<std::string, docopt::value>;

std::string
TextOption(const Arguments& aArguments, const std::string& aName)
{
  const docopt::value& value = aArguments.at(aName);
  return value.isString() ? value.asString() : std::string();
}

std::optional<std::uint64_t>
NumberOption(const Arguments& aArguments,
             const std::string& aName,
             Findings& aFindings)
{
  const std::string text = TextOption(aArguments, aName);
  if (text.empty()) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) {
    aFindings.Add({ aName, 0, 0 }, "must be a whole number");
    return std::nullopt;
  }
  return number;
}

Duration
MillisecondsOption(const Arguments& aArguments,
                   const std::string& aName,
                   Findings& aFindings)
{
  const auto number = NumberOption(aArguments, aName, aFindings);
  return milliseconds(static_cast<std::int64_t>(number.value_or(0)));
}

bool
Flag(const Arguments& aArguments, const std::string& aName)
{
  const docopt::value& value = aArguments.at(aName);
  return value.isBool() && value.asBool();
}

SiteAddresses
ReadAddresses(const Arguments& aArguments, Findings& aFindings)
{
  SiteAddresses site;
  const std::string file = TextOption(aArguments, "--site");
  if (!file.empty()) {
    site = ReadSite(file, aFindings);
  }
  const std::string store = TextOption(aArguments, "--store");
  if (!store.empty()) {
    site.store = ParseAddresses(store, { "--store", 0, 0 }, aFindings);
  }
  const std::string processes = TextOption(aArguments, "--processes");
  if (!processes.empty()) {
    site.processes =
      ParseAddresses(processes, { "--processes", 0, 0 }, aFindings);
  }
  return site;
}

/// Everything that a command needs, set up from the arguments.
class Session
{
public:
  static absl::StatusOr<std::unique_ptr<Session>> Create(
    const Arguments& aArguments,
    Findings& aFindings)
  {
    auto session = std::unique_ptr<Session>(new Session());
    session->callTimeout =
      MillisecondsOption(aArguments, "--call-timeout-ms", aFindings);
    session->options = ReadApplyOptions(aArguments, aFindings);
    session->epoch = NumberOption(aArguments, "--epoch", aFindings);
    session->keep = NumberOption(aArguments, "--keep", aFindings);
    const SiteAddresses site = ReadAddresses(aArguments, aFindings);
    if (!aFindings.IsEmpty()) {
      return aFindings.ToStatus();
    }
    absl::StatusOr<std::unique_ptr<EventLoop>> loop = EventLoop::Create();
    if (!loop.ok()) {
      return loop.status();
    }
    session->loop = *std::move(loop);
    if (const absl::Status status = session->OpenStore(site); !status.ok()) {
      return status;
    }
    session->fleet = std::make_unique<FleetView>(
      *session->loop, site.processes, session->callTimeout);
    return session;
  }

  /// nullptr if no store was named.
  ConfigurationStore* Store() { return this->store.get(); }
  FleetView& Fleet() { return *this->fleet; }
  const ApplyOptions& Options() const { return this->options; }
  std::optional<Epoch> ShownEpoch() const { return this->epoch; }
  std::size_t Keep() const { return this->keep.value_or(0); }

private:
  Session() = default;

  static ApplyOptions ReadApplyOptions(const Arguments& aArguments,
                                       Findings& aFindings)
  {
    ApplyOptions read;
    read.author = TextOption(aArguments, "--author");
    const char* user = std::getenv("USER");
    if (read.author.empty() && user != nullptr) {
      read.author = user;
    }
    read.comment = TextOption(aArguments, "--comment");
    read.expectEpoch = NumberOption(aArguments, "--expect-epoch", aFindings);
    read.wait = Flag(aArguments, "--wait");
    read.waitTimeout =
      MillisecondsOption(aArguments, "--timeout-ms", aFindings);
    return read;
  }

  absl::Status OpenStore(const SiteAddresses& aSite)
  {
    if (aSite.store.empty()) {
      return absl::OkStatus();
    }
    HttpStoreOptions storeOptions;
    storeOptions.endpoints = aSite.store;
    storeOptions.timeout = this->callTimeout;
    storeOptions.callsPerSecond = 100;
    storeOptions.callBurst = 1000;
    auto opened = HttpStoreClient::Create(*this->loop, storeOptions);
    if (!opened.ok()) {
      return opened.status();
    }
    this->client = *std::move(opened);
    // The client gives up by itself, when an answer stands still for too long;
    // one that comes in slowly is waited for.
    const Duration bound =
      this->callTimeout * (storeOptions.maxReadAttempts + 1) + kLongestTransfer;
    this->storeSession =
      std::make_unique<StoreSession>(*this->loop, *this->client, bound);
    this->store = std::make_unique<ConfigurationStore>(*this->storeSession);
    return absl::OkStatus();
  }

  Duration callTimeout{ 0 };
  ApplyOptions options;
  std::optional<Epoch> epoch;
  std::optional<std::uint64_t> keep;
  std::unique_ptr<EventLoop> loop;
  std::unique_ptr<HttpStoreClient> client;
  std::unique_ptr<StoreSession> storeSession;
  std::unique_ptr<ConfigurationStore> store;
  std::unique_ptr<FleetView> fleet;
};

/// On a terminal, progress overwrites its own line.
void
ShowProgress(const std::string& aText)
{
  if (isatty(STDERR_FILENO) != 0) {
    fmt::print(stderr, "\r\033[K{}", aText);
    std::fflush(stderr);
  }
}

CommandResult
NoProcesses()
{
  return CommandResult::Failed(ExitCode::Usage,
                               "name the processes by --processes or --site");
}

CommandResult
RunConfig(const Arguments& aArguments, Session& aSession)
{
  const std::string path = TextOption(aArguments, "PATH");
  const bool needsFleet = Flag(aArguments, "status") ||
                          Flag(aArguments, "repair") ||
                          Flag(aArguments, "--wait");
  if (needsFleet && aSession.Fleet().IsEmpty()) {
    return NoProcesses();
  }
  if (Flag(aArguments, "status")) {
    return ConfigurationStatus(aSession.Store(), aSession.Fleet());
  }
  if (aSession.Store() == nullptr) {
    return CommandResult::Failed(ExitCode::Usage,
                                 "name the store by --store or --site");
  }
  ConfigurationStore& store = *aSession.Store();
  if (Flag(aArguments, "diff")) {
    return DiffConfiguration(path, store);
  }
  if (Flag(aArguments, "apply")) {
    CommandResult result = ApplyConfiguration(
      path, aSession.Options(), store, aSession.Fleet(), ShowProgress);
    ShowProgress("");
    return result;
  }
  if (Flag(aArguments, "repair")) {
    return RepairStore(store, aSession.Fleet());
  }
  if (Flag(aArguments, "show")) {
    return ShowConfiguration(store, aSession.ShownEpoch());
  }
  if (Flag(aArguments, "prune")) {
    return PruneConfiguration(store, aSession.Keep());
  }
  return ConfigurationHistory(store);
}

CommandResult
RunCommand(const Arguments& aArguments)
{
  if (Flag(aArguments, "validate")) {
    return ValidateConfiguration(TextOption(aArguments, "PATH"));
  }
  Findings findings;
  const auto session = Session::Create(aArguments, findings);
  if (!session.ok()) {
    return CommandResult::Failed(ExitCode::Usage, MessageOf(session.status()));
  }
  if (Flag(aArguments, "config")) {
    return RunConfig(aArguments, **session);
  }
  if ((*session)->Fleet().IsEmpty()) {
    return NoProcesses();
  }
  if (Flag(aArguments, "orders")) {
    return FleetOrders((*session)->Fleet());
  }
  return FleetStatus((*session)->Fleet());
}

int
Print(const CommandResult& aResult, bool aIsJson)
{
  if (aIsJson) {
    Json::Value document = aResult.json;
    document["exit_code"] = static_cast<int>(aResult.code);
    fmt::print("{}\n",
               Json::writeString(Json::StreamWriterBuilder(), document));
  } else {
    fmt::print("{}", aResult.text);
  }
  return static_cast<int>(aResult.code);
}

} // namespace

int
RunControl(const std::vector<std::string>& aArguments)
{
  try {
    const Arguments arguments =
      docopt::docopt_parse(kUsage, aArguments, true, true);
    return Print(RunCommand(arguments), Flag(arguments, "--json"));
  } catch (const docopt::DocoptExitHelp&) {
    fmt::print("{}", kUsage);
    return static_cast<int>(ExitCode::Done);
  } catch (const docopt::DocoptExitVersion&) {
    fmt::print("dogwoodvalectl {}\n", DOGWOODVALE_VERSION);
    return static_cast<int>(ExitCode::Done);
  } catch (const docopt::DocoptArgumentError& error) {
    fmt::print(stderr, "{}\n\n{}", error.what(), kUsage);
    return static_cast<int>(ExitCode::Usage);
  }
}

} // namespace dogwoodvale
