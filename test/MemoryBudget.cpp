#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "dogwoodvale/Core"

using namespace dogwoodvale;

namespace {

constexpr std::size_t kLimit = 64'000;

/// Holds what a test says, and gives it up when it is asked to.
class FakeHolder final : public MemoryBudget::Holder
{
public:
  explicit FakeHolder(MemoryBudget& aBudget)
    : budget(aBudget)
  {
  }
  ~FakeHolder() override { this->budget.Remove(*this); }

  bool Hold(std::size_t aBytes)
  {
    const bool fits = this->budget.Set(*this, aBytes);
    this->bytes = fits ? aBytes : this->bytes;
    if (!fits) {
      static_cast<void>(this->budget.Set(*this, this->bytes));
    }
    return fits;
  }

  MemoryBudget::Standing Assess() const override
  {
    return { this->canYield ? this->bytes : 0, this->stalled };
  }
  void Yield() override
  {
    ++this->yielded;
    this->bytes = 0;
    this->budget.Remove(*this);
  }

  MemoryBudget& budget;
  std::size_t bytes = 0;
  bool canYield = true;
  Duration stalled{ 0 };
  int yielded = 0;
};

struct Fixture
{
  FakeHolder& Add(std::size_t aBytes, Duration aStalled, bool aCanYield = true)
  {
    this->holders.push_back(std::make_unique<FakeHolder>(this->budget));
    FakeHolder& made = *this->holders.back();
    made.stalled = aStalled;
    made.canYield = aCanYield;
    REQUIRE(made.Hold(aBytes));
    return made;
  }

  MemoryBudget budget{ kLimit };
  std::vector<std::unique_ptr<FakeHolder>> holders;
};

} // namespace

// Guards against requests that stand still keeping out those that go on.
TEST_CASE("the holder that makes no progress yields first")
{
  Fixture f;
  FakeHolder& stalled = f.Add(20'000, seconds(5));
  FakeHolder& moving = f.Add(20'000, milliseconds(1));
  FakeHolder& fresh = f.Add(500, Duration(0));
  REQUIRE(fresh.Hold(9'000));
  CHECK(stalled.yielded == 1);
  CHECK(moving.yielded == 0);
  CHECK(f.budget.Held() == 29'000);
}

// Guards against few large requests in flight refusing every small one.
TEST_CASE("the last part of the limit is for small holders")
{
  Fixture f;
  f.Add(47'000, Duration(0), false);
  FakeHolder large(f.budget);
  REQUIRE_FALSE(large.Hold(2'000));
  FakeHolder small(f.budget);
  REQUIRE(small.Hold(900));
}

TEST_CASE("one holder may take the share of large ones, and no more")
{
  MemoryBudget budget(kLimit);
  FakeHolder one(budget);
  REQUIRE(budget.CanHold(48'000));
  REQUIRE(one.Hold(48'000));
  REQUIRE_FALSE(budget.CanHold(48'001));
  REQUIRE_FALSE(one.Hold(48'001));
  REQUIRE(one.bytes == 48'000);
}

TEST_CASE("a holder that would have to yield itself is refused, not asked")
{
  Fixture f;
  FakeHolder& other = f.Add(1'000, milliseconds(1));
  FakeHolder& own = f.Add(40'000, seconds(1));
  REQUIRE_FALSE(own.Hold(60'000));
  CHECK(own.yielded == 0);
  CHECK(other.yielded == 0);
}

TEST_CASE("a budget adds up, and stays below its limit, whatever comes")
{
  REQUIRE(rc::check([] {
    MemoryBudget budget(kLimit);
    std::vector<std::unique_ptr<FakeHolder>> holders;
    for (int i = 0; i < 12; ++i) {
      holders.push_back(std::make_unique<FakeHolder>(budget));
    }
    const auto steps =
      *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 12),
                       rc::gen::inRange(0, 6),
                       rc::gen::inRange(0, 30'000)));
    for (const auto& [index, what, amount] : steps) {
      FakeHolder& holder = *holders[std::size_t(index)];
      const auto bytes = std::size_t(amount);
      switch (what) {
        case 0:
          budget.Remove(holder);
          holder.bytes = 0;
          break;
        case 1:
          holder.canYield = !holder.canYield;
          break;
        case 2:
          holder.stalled = milliseconds(amount);
          break;
        default:
          if (!holder.Hold(bytes)) {
            // Whoever is refused found the limit reached, or was the one to
            // yield.
            RC_ASSERT(holder.bytes < bytes);
          }
          break;
      }
      std::size_t sum = 0;
      for (const auto& one : holders) {
        sum += one->bytes;
      }
      RC_ASSERT(budget.Held() == sum);
      RC_ASSERT(sum <= kLimit);
    }
    holders.clear();
    RC_ASSERT(budget.Held() == 0U);
    RC_ASSERT(budget.Holders() == 0U);
  }));
}
