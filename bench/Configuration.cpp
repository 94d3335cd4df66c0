/// What a change of one customer costs at the sizes of docs/CAPACITY.md: bytes
/// that change, time to take the change in, and memory of what is kept.
#include <benchmark/benchmark.h>

#include <malloc.h>

#include <set>

#include "dogwoodvale/Configuration"

using namespace dogwoodvale;

namespace {

constexpr int kModels = 19;

/// One service a model, and customers that may use all of them by one of a few
/// templates: the usual form of a large site.
std::vector<ConfigurationSource>
MakeSources(int aCustomers, int aChanged = -1)
{
  std::string services = "{\"services\":[";
  std::string grants;
  for (int i = 0; i < kModels; ++i) {
    const char* comma = i == 0 ? "" : ",";
    services += fmt::format(
      R"({0}{{"name":"service-{1}","kind":"model","models":[{{"model":"model-{1}"}}],
      "classes":[{{"name":"interactive","tier":0,"idempotent":true}},
      {{"name":"desk","tier":1,"idempotent":true}},
      {{"name":"batch","tier":2,"idempotent":true}}]}})",
      comma,
      i);
    grants += fmt::format(
      R"({}{{"service":"service-{}","classes":["interactive","desk","batch"]}})",
      comma,
      i);
  }
  services += "]}";
  std::string customers = fmt::format(
    R"({{"customer_templates":{{"standard":{{
      "parameters":{{"key":null,"weight":1}},
      "customer":{{"key_hashes":["${{key}}"],"weight":"${{weight}}",
        "grants":[{}]}}}}}},"customers":[)",
    grants);
  for (int i = 0; i < aCustomers; ++i) {
    customers += fmt::format(
      R"({}{{"template":"standard","name":"customer-{}","parameters":)"
      R"({{"key":"{}","weight":{}}}}})",
      i == 0 ? "" : ",",
      i,
      Sha256Hex(std::to_string(i)),
      i == aChanged ? 3 : 1);
  }
  return { { "services.json", services },
           { "customers.json", customers + "]}" } };
}

ConfigurationRoot
MakeRoot(const std::vector<Page>& aPages)
{
  ConfigurationRoot root;
  root.epoch = 2;
  root.changeId = "change";
  for (const Page& page : aPages) {
    root.pageHashes.push_back(page.hash);
  }
  return root;
}

std::vector<PageView>
Views(const std::vector<Page>& aPages)
{
  std::vector<PageView> views;
  views.reserve(aPages.size());
  for (const Page& page : aPages) {
    views.push_back({ page.hash, page.content });
  }
  return views;
}

std::size_t
TotalBytes(const std::vector<Page>& aPages)
{
  std::size_t bytes = 0;
  for (const Page& page : aPages) {
    bytes += page.content.size();
  }
  return bytes;
}

std::size_t
AllocatedBytes()
{
  return mallinfo2().uordblks + mallinfo2().hblkhd;
}

void
ParsePages(benchmark::State& aState)
{
  const auto pages = MakePages(MakeSources(static_cast<int>(aState.range(0))));
  const ConfigurationRoot root = MakeRoot(pages);
  std::size_t kept = 0;
  for (auto unused : aState) {
    const std::size_t before = AllocatedBytes();
    Findings findings;
    const Configuration configuration =
      ParseConfiguration(*JoinPages(root, pages), findings);
    benchmark::DoNotOptimize(configuration.Customers().data());
    kept = AllocatedBytes() - before;
    if (!findings.IsEmpty()) {
      aState.SkipWithError(findings.Render().substr(0, 500).c_str());
    }
  }
  aState.counters["configuration_bytes"] = static_cast<double>(kept);
  aState.counters["pages"] = static_cast<double>(pages.size());
  aState.counters["page_bytes"] = static_cast<double>(TotalBytes(pages));
}

void
ParseAfterChangeOfOneCustomer(benchmark::State& aState)
{
  const int count = static_cast<int>(aState.range(0));
  const auto before = MakePages(MakeSources(count));
  const auto after = MakePages(MakeSources(count, count / 2));
  const auto previous =
    ParsePages(MakeRoot(before).pageHashes, Views(before), nullptr);
  const ConfigurationRoot root = MakeRoot(after);
  const auto views = Views(after);
  for (auto unused : aState) {
    const auto next = ParsePages(root.pageHashes, views, &*previous);
    if (!next.ok()) {
      aState.SkipWithError("refused");
    }
    benchmark::DoNotOptimize(next->Customers().data());
  }
}

void
ChangeOfOneCustomer(benchmark::State& aState)
{
  const int count = static_cast<int>(aState.range(0));
  const auto before = MakePages(MakeSources(count));
  std::set<std::string> known;
  for (const Page& page : before) {
    known.insert(page.hash);
  }
  std::vector<Page> changed;
  const auto sources = MakeSources(count, count / 2);
  for (auto unused : aState) {
    changed = MakePages(sources);
    benchmark::DoNotOptimize(changed.data());
  }
  std::size_t pages = 0;
  std::size_t bytes = 0;
  for (const Page& page : changed) {
    if (!known.contains(page.hash)) {
      ++pages;
      bytes += page.content.size();
    }
  }
  aState.counters["changed_pages"] = static_cast<double>(pages);
  aState.counters["changed_bytes"] = static_cast<double>(bytes);
  aState.counters["root_bytes"] =
    static_cast<double>(EncodeRoot(MakeRoot(changed)).size());
}

void
FindCustomerOfKey(benchmark::State& aState)
{
  Findings findings;
  const int count = static_cast<int>(aState.range(0));
  const Configuration configuration =
    ParseConfiguration(MakeSources(count), findings);
  std::vector<std::string> hashes;
  hashes.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    hashes.push_back(Sha256Hex(std::to_string(i)));
  }
  std::size_t next = 0;
  for (auto unused : aState) {
    benchmark::DoNotOptimize(configuration.FindCustomerOfKey(hashes[next]));
    next = (next + 7919) % hashes.size();
  }
}

} // namespace

BENCHMARK(ParsePages)
  ->Arg(10)
  ->Arg(1000)
  ->Arg(16000)
  ->Unit(benchmark::kMillisecond);
BENCHMARK(ParseAfterChangeOfOneCustomer)
  ->Arg(10)
  ->Arg(1000)
  ->Arg(16000)
  ->Unit(benchmark::kMillisecond);
BENCHMARK(ChangeOfOneCustomer)
  ->Arg(10)
  ->Arg(1000)
  ->Arg(16000)
  ->Unit(benchmark::kMillisecond);
BENCHMARK(FindCustomerOfKey)->Arg(10)->Arg(1000)->Arg(16000);
