/// Compares queue policies on one modelled engine under the same seeded loads:
/// share of first tokens in time per class, goodput, wasted work and longest
/// waits. Medians of three seeds; deterministic. Run without arguments.
#include <array>
#include <cstdlib>
#include <functional>

#include <fmt/format.h>

#include "bench/LoadModel.h"

using namespace dogwoodvale;
using namespace dogwoodvale::model;

namespace {

constexpr QueueBounds kBounds{ 64U << 20U, 1500, 0.1 };
constexpr std::array<std::uint64_t, 3> kSeeds{ 1, 2, 3 };
/// Requests a second that one engine of the model can just serve of the usual
/// mix.
constexpr double kCapacity = 19;

/// Earliest target first, whatever the tier.
class DeadlineQueue : public dogwoodvale::internal::OrderedQueue
{
public:
  explicit DeadlineQueue(const QueueBounds& aBounds)
    : dogwoodvale::internal::OrderedQueue(aBounds)
  {
  }

protected:
  std::int64_t RankOf(const QueuedRequest& aRequest) const override
  {
    return aRequest.target.time_since_epoch().count();
  }
};

enum class Order
{
  Fifo,
  Deadline,
  Strict,
  Tiered,
};

struct Candidate
{
  const char* name;
  Order order;
  bool limited = true;
  bool countRequests = false;
  bool preempt = false;
  bool refuseEarly = false;
};

constexpr std::array<Candidate, 8> kCandidates{ {
  { "fifo, no limit", Order::Fifo, false },
  { "fifo", Order::Fifo },
  { "earliest target", Order::Deadline },
  { "strict", Order::Strict },
  { "tiered by requests", Order::Tiered, true, true },
  { "tiered by tokens", Order::Tiered },
  { "  + preemption", Order::Tiered, true, false, true },
  { "  + early refusal", Order::Tiered, true, false, true, true },
} };

template<class Value>
Value
OrExit(absl::StatusOr<Value> aValue)
{
  if (!aValue.ok()) {
    fmt::print(stderr, "{}\n", MessageOf(aValue.status()));
    std::exit(EXIT_FAILURE);
  }
  return *std::move(aValue);
}

std::unique_ptr<AbstractRequestQueue>
MakeQueue(Order aOrder)
{
  switch (aOrder) {
    case Order::Fifo:
      return OrExit(CreateQueue(QueuePolicy::Fifo, kBounds));
    case Order::Deadline:
      return std::make_unique<DeadlineQueue>(kBounds);
    case Order::Strict:
      return OrExit(CreateQueue(QueuePolicy::Strict, kBounds));
    case Order::Tiered:
      break;
  }
  return OrExit(CreateQueue(QueuePolicy::Tiered, kBounds));
}

std::unique_ptr<ConcurrencyLimit>
MakeLimit(bool aLimited)
{
  constexpr std::uint32_t kUnlimited = 100000;
  if (!aLimited) {
    return std::make_unique<FixedConcurrencyLimit>(
      OrExit(FixedConcurrencyLimit::Create(kUnlimited)));
  }
  return std::make_unique<AdaptiveConcurrencyLimit>(
    OrExit(AdaptiveConcurrencyLimit::Create({})));
}

Report
RunOne(const Candidate& aCandidate, const LoadModel& aLoad, std::uint64_t aSeed)
{
  static const std::vector<ClassModel> kClasses = UsualClasses();
  ServerModel::Options options;
  options.preempt = aCandidate.preempt;
  options.refuseEarly = aCandidate.refuseEarly;
  options.passPriority =
    aCandidate.order == Order::Strict || aCandidate.order == Order::Tiered;
  options.countRequests = aCandidate.countRequests;
  ServerModel server(options,
                     kClasses,
                     MakeQueue(aCandidate.order),
                     MakeLimit(aCandidate.limited));
  return server.Run(GenerateArrivals(aLoad, kClasses, aSeed));
}

double
MedianOf(const std::vector<Report>& aReports,
         const std::function<double(const Report&)>& aValue)
{
  std::vector<double> values;
  for (const Report& report : aReports) {
    values.push_back(aValue(report));
  }
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void
PrintRow(const Candidate& aCandidate, const LoadModel& aLoad)
{
  std::vector<Report> reports;
  for (const std::uint64_t seed : kSeeds) {
    reports.push_back(RunOne(aCandidate, aLoad, seed));
  }
  const std::size_t classes = reports.front().classes.size();
  fmt::print("| {:<18} |", aCandidate.name);
  for (std::size_t index = 0; index < classes; ++index) {
    fmt::print(" {:5.1f} |",
               100 * MedianOf(reports, [=](const Report& aReport) {
                 return aReport.classes[index].Attainment();
               }));
  }
  fmt::print(
    " {:4.0f} | {:4.1f} | {:4.0f} |",
    MedianOf(reports, [](const Report& aReport) { return aReport.goodput; }),
    100 *
      MedianOf(reports, [](const Report& aReport) { return aReport.wasted; }),
    MedianOf(reports, [](const Report& aReport) {
      return static_cast<double>(aReport.preemptions);
    }));
  for (std::size_t index = 0; index < classes; ++index) {
    fmt::print(" {:5.1f} |", MedianOf(reports, [=](const Report& aReport) {
                 return static_cast<double>(
                          aReport.classes[index].longestWait.count()) /
                        1e6;
               }));
  }
  fmt::print("\n");
}

void
PrintLoad(const LoadModel& aLoad)
{
  fmt::print("\n### {}\n\n", aLoad.name);
  fmt::print("| policy             | teller | desk | review | applic. | note | "
             "tok/s | waste % | preempted | longest wait (s): teller | desk | "
             "review | applic. | note |\n");
  fmt::print("|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n");
  for (const Candidate& candidate : kCandidates) {
    PrintRow(candidate, aLoad);
  }
}

} // namespace

int
main()
{
  fmt::print("Share of first tokens in time (%), median of {} seeds.\n",
             kSeeds.size());
  PrintLoad({ "half load", 0.5 * kCapacity });
  PrintLoad({ "0.9 of capacity", 0.9 * kCapacity });
  PrintLoad({ "3x burst of applicants on 0.9",
              0.9 * kCapacity,
              seconds(240),
              "applicant",
              3 });
  PrintLoad({ "3x burst of reviews on 0.9, one customer",
              0.9 * kCapacity,
              seconds(240),
              "review",
              3,
              true });
  PrintLoad({ "month-end: 1.5 of capacity", 1.5 * kCapacity });
  return EXIT_SUCCESS;
}
