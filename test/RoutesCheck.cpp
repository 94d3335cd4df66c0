#include <catch2/catch.hpp>

#include "dogwoodvale/Gateway"

using namespace dogwoodvale;

namespace {

constexpr Duration kPeriod = seconds(1);
constexpr Duration kStep = milliseconds(10);

/// Gateways that tell each other of the store's answers, each with a delay.
class Fleet
{
public:
  explicit Fleet(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      this->checks.emplace_back(kPeriod, this->random);
      this->confirmedAt.push_back(this->now);
    }
  }

  /// \return how often the store was asked.
  std::size_t Run(Duration aTime, Duration aDigestPeriod)
  {
    std::size_t asked = 0;
    const TimePoint end = this->now + aTime;
    for (std::size_t step = 0; this->now < end; ++step) {
      this->now += kStep;
      for (std::size_t i = this->stopped; i < this->checks.size(); ++i) {
        asked += this->AskIfDue(i) ? 1 : 0;
        // Digests of different gateways go out at different times.
        const auto steps = static_cast<std::size_t>(aDigestPeriod / kStep);
        if (step % steps == i % steps) {
          this->Tell(i);
        }
      }
    }
    return asked;
  }

  /// Time since the store was asked last.
  Duration Age() const
  {
    return Between(*std::ranges::max_element(this->confirmedAt), this->now);
  }

  /// The first gateways stop.
  void Stop(std::size_t aCount) { this->stopped = aCount; }

private:
  bool AskIfDue(std::size_t aGateway)
  {
    RoutesCheck& check = this->checks[aGateway];
    if (check.UntilDue(this->now) > Duration::zero()) {
      return false;
    }
    check.OnAsked(this->now);
    check.OnConfirmed(this->now);
    this->confirmedAt[aGateway] = this->now;
    return true;
  }

  void Tell(std::size_t aGateway)
  {
    for (std::size_t i = 0; i < this->checks.size(); ++i) {
      if (i != aGateway) {
        this->checks[i].OnPeerConfirmed(this->confirmedAt[aGateway]);
      }
    }
  }

  std::mt19937_64 random{ 7 };
  TimePoint now = TimePoint{} + seconds(1000);
  std::vector<RoutesCheck> checks;
  std::vector<TimePoint> confirmedAt;
  std::size_t stopped = 0;
};

} // namespace

// Guards against a store that each gateway of a large site asks by itself.
TEST_CASE("a site asks the store for newer routes once a period", "[routes]")
{
  const std::size_t gateways = GENERATE(1, 4, 32, 400);
  const Duration digests = milliseconds(GENERATE(50, 160));
  Fleet fleet(gateways);
  fleet.Run(seconds(10), digests);
  constexpr std::size_t kPeriods = 60;
  const std::size_t asked = fleet.Run(kPeriods * kPeriod, digests);
  CHECK(asked >= kPeriods - 2);
  CHECK(asked <= kPeriods + kPeriods / 4);
}

// Guards against routes that nobody checks once the one that did has stopped.
TEST_CASE("another gateway asks the store as the first one stops", "[routes]")
{
  Fleet fleet(8);
  for (std::size_t stopped = 1; stopped < 8; ++stopped) {
    fleet.Run(seconds(5), milliseconds(50));
    fleet.Stop(stopped);
    for (int i = 0; i < 40; ++i) {
      fleet.Run(milliseconds(50), milliseconds(50));
      CHECK(fleet.Age() <= kPeriod * 3 / 2 + milliseconds(50));
    }
  }
}

// Guards against trusting a confirmation of the routes that were replaced.
TEST_CASE("new routes are confirmed anew", "[routes]")
{
  std::mt19937_64 random{ 7 };
  RoutesCheck check(kPeriod, random);
  const TimePoint now = TimePoint{} + seconds(1000);
  check.OnConfirmed(now - 2 * kPeriod);
  check.OnPeerConfirmed(now);
  CHECK(check.UntilDue(now) > kPeriod);
  check.OnChanged();
  CHECK(check.UntilDue(now) <= Duration::zero());
}

// Guards against asking a store without end that leaves the calls unanswered.
TEST_CASE("a check that is not answered is repeated once a period", "[routes]")
{
  std::mt19937_64 random{ 7 };
  RoutesCheck check(kPeriod, random);
  const TimePoint now = TimePoint{} + seconds(1000);
  CHECK(check.UntilDue(now) <= Duration::zero());
  check.OnAsked(now);
  CHECK(check.UntilDue(now) == kPeriod);
}
