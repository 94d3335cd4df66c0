#ifndef DOGWOODVALE_BENCH_LOADMODEL_H
#define DOGWOODVALE_BENCH_LOADMODEL_H

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "bench/ServerModel.h"

namespace dogwoodvale::model {

/// The users' classes on one server, each with its own target.
inline std::vector<ClassModel>
UsualClasses()
{
  using std::chrono::minutes;
  return {
    { "teller",
      0,
      true,
      400,
      60,
      0.4,
      milliseconds(430),
      seconds(2),
      seconds(10),
      0.35 },
    { "desk",
      1,
      false,
      800,
      120,
      0.5,
      seconds(1),
      seconds(5),
      seconds(20),
      0.25 },
    { "review",
      2,
      true,
      3000,
      400,
      0.9,
      seconds(5),
      seconds(30),
      minutes(4),
      0.08 },
    { "applicant",
      2,
      true,
      300,
      120,
      0.6,
      seconds(2),
      seconds(20),
      seconds(60),
      0.22 },
    { "note",
      4,
      true,
      500,
      250,
      0.7,
      seconds(10),
      seconds(60),
      minutes(5),
      0.10 },
  };
}

/// What a load consists of.
struct LoadModel
{
  const char* name = "";
  /// Requests a second before the burst.
  double rate = 0;
  Duration span = seconds(240);
  /// The class whose rate is multiplied in the middle third; none if empty.
  std::string burstClass{};
  double burstFactor = 1;
  /// The whole burst comes from the first customer.
  bool burstOfOneCustomer = false;
};

namespace internal {

inline std::uint32_t
DrawLength(std::mt19937_64& aRandom, std::uint32_t aMean, double aSigma)
{
  std::normal_distribution<double> normal(0, 1);
  const double length =
    aMean * std::exp(aSigma * normal(aRandom) - aSigma * aSigma / 2);
  return static_cast<std::uint32_t>(std::clamp(length, 1.0, 12000.0));
}

/// Ten customers, a few of them large.
inline std::string
DrawCustomer(std::mt19937_64& aRandom)
{
  std::discrete_distribution<int> customer{ 30, 20, 14, 8, 7, 6, 5, 4, 3, 3 };
  return "customer-" + std::to_string(customer(aRandom));
}

} // namespace internal

/// Poisson arrivals of \p aLoad; equal seeds give equal loads.
inline std::vector<Arrival>
GenerateArrivals(const LoadModel& aLoad,
                 const std::vector<ClassModel>& aClasses,
                 std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<Arrival> arrivals;
  const double span = std::chrono::duration<double>(aLoad.span).count();
  for (std::size_t index = 0; index < aClasses.size(); ++index) {
    const ClassModel& model = aClasses[index];
    const bool bursts = model.name == aLoad.burstClass;
    double at = 0;
    while (at < span) {
      const bool inBurst = bursts && at > span / 3 && at < span * 2 / 3;
      const double usual = aLoad.rate * model.share;
      const double rate = usual * (inBurst ? aLoad.burstFactor : 1);
      at += std::exponential_distribution<double>(rate)(random);
      Arrival arrival;
      arrival.at = TimePoint() + std::chrono::hours(1) +
                   Duration(static_cast<std::int64_t>(at * 1e6));
      arrival.classIndex = index;
      arrival.customer = internal::DrawCustomer(random);
      std::bernoulli_distribution extra(1 - usual / rate);
      if (aLoad.burstOfOneCustomer && extra(random)) {
        arrival.customer = "customer-0";
      }
      arrival.prompt =
        internal::DrawLength(random, model.meanPrompt, model.sigma);
      arrival.answer =
        internal::DrawLength(random, model.meanAnswer, model.sigma);
      arrivals.push_back(arrival);
    }
  }
  std::stable_sort(
    arrivals.begin(),
    arrivals.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft.at < aRight.at; });
  return arrivals;
}

} // namespace dogwoodvale::model

#endif
