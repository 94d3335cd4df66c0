#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/Requests"

using namespace dogwoodvale;

namespace {

const TimePoint kStart{ seconds(100) };
const CustomerName kCustomer{ "mutrah" };

/// A store and repeats of one request with an idempotency key, sent through
/// several entries. The store's replies are lost, its writes take effect late,
/// and it is temporarily unavailable.
class World
{
public:
  void NewRepeat()
  {
    const RequestId writer{ 1 + this->repeats.size() % 3,
                            1 + this->repeats.size() };
    this->repeats.push_back(
      { *this->claims.Open(kCustomer, "key-1", writer, 0, kStart) });
  }

  /// Executes the operation that a repeat requests, or loses the operation or
  /// its reply, depending on \p aFate.
  void Act(std::size_t aPick, int aFate)
  {
    if (this->repeats.empty()) {
      return;
    }
    Repeat& repeat = this->repeats[aPick % this->repeats.size()];
    if (repeat.claim.Step() == ClaimStep::Create) {
      this->Create(repeat, aFate);
    } else if (repeat.claim.Step() == ClaimStep::Read) {
      repeat.claim.OnReply(aFate < 2 ? ClaimReply{} : this->Read());
    }
    this->Settle(repeat);
  }

  /// A delayed write takes effect.
  void ApplyLate(std::size_t aPick)
  {
    if (this->late.empty()) {
      return;
    }
    const auto at = this->late.begin() +
                    static_cast<std::ptrdiff_t>(aPick % this->late.size());
    this->Apply(*at);
    this->late.erase(at);
  }

  /// A request that holds the claim is forwarded and ends.
  void Run(std::size_t aPick, bool aRuns)
  {
    if (this->repeats.empty()) {
      return;
    }
    Repeat& repeat = this->repeats[aPick % this->repeats.size()];
    if (repeat.claim.Step() != ClaimStep::Proceed || repeat.isFinal) {
      return;
    }
    repeat.isFinal = true;
    if (aRuns) {
      ++this->executions;
    }
    const auto told = aRuns ? Disposition::MayHaveRun : Disposition::NotRun;
    if (repeat.claim.NeedsRelease(told)) {
      this->late.push_back({ true, repeat.claim.Record() });
    }
  }

  void Drain()
  {
    while (!this->late.empty()) {
      this->ApplyLate(0);
    }
    for (std::size_t index = 0; index < this->repeats.size(); ++index) {
      while (!this->IsSettled(index)) {
        this->Act(index, 5);
      }
      this->Run(index, true);
    }
  }

  int Executions() const { return this->executions; }
  ClaimStep StepOf(std::size_t aIndex) const
  {
    return this->repeats[aIndex].claim.Step();
  }

private:
  struct Repeat
  {
    IdempotencyClaim claim;
    bool isFinal = false;
  };

  struct Write
  {
    bool isRelease = false;
    ClaimRecord record;
  };

  bool IsSettled(std::size_t aIndex) const
  {
    const ClaimStep step = this->StepOf(aIndex);
    return step != ClaimStep::Create && step != ClaimStep::Read;
  }

  void Create(Repeat& aRepeat, int aFate)
  {
    const Write write{ false, aRepeat.claim.Record() };
    switch (aFate) {
      case 0:
        // It takes effect later, or never.
        this->late.push_back(write);
        aRepeat.claim.OnReply({});
        break;
      case 1:
        // It takes effect, and the reply is lost.
        this->Apply(write);
        aRepeat.claim.OnReply({});
        break;
      case 2:
        aRepeat.claim.OnReply({ ClaimReply::Kind::Unavailable, {} });
        break;
      default:
        aRepeat.claim.OnReply(this->stored ? this->Read() : this->Apply(write));
    }
  }

  ClaimReply Apply(const Write& aWrite)
  {
    if (aWrite.isRelease) {
      if (this->stored == aWrite.record) {
        this->stored.reset();
      }
    } else if (!this->stored) {
      this->stored = aWrite.record;
    }
    return { ClaimReply::Kind::Created, {} };
  }

  ClaimReply Read() const
  {
    return this->stored ? ClaimReply{ ClaimReply::Kind::Exists, this->stored }
                        : ClaimReply{ ClaimReply::Kind::Absent, {} };
  }

  void Settle(Repeat& aRepeat)
  {
    const bool isRefused = aRepeat.claim.Step() == ClaimStep::Refuse;
    if (isRefused && !aRepeat.isFinal) {
      aRepeat.isFinal = true;
      if (aRepeat.claim.NeedsRelease(Disposition::NotRun)) {
        this->late.push_back({ true, aRepeat.claim.Record() });
      }
    }
  }

  IdempotencyClaims claims{ { .claimsPerSecond = 0.0, .burst = 1000.0 } };
  std::optional<ClaimRecord> stored;
  std::vector<Write> late;
  std::vector<Repeat> repeats;
  int executions = 0;
};

} // namespace

TEST_CASE(
  "At most one repeat of a request with an idempotency key is forwarded")
{
  // After a time-out a caller repeats its request through another entry. The
  // write of the first claim took effect although its reply was lost, or takes
  // effect only after the second entry has read the key.
  rc::prop("over any order of losses, late writes and outages", [] {
    World world;
    const auto steps = *rc::gen::container<std::vector<std::array<int, 3>>>(
      rc::gen::container<std::array<int, 3>>(rc::gen::inRange(0, 12)));
    for (const auto& [action, pick, fate] : steps) {
      const auto index = static_cast<std::size_t>(pick);
      if (action < 2) {
        world.NewRepeat();
      } else if (action < 8) {
        world.Act(index, fate / 2);
      } else if (action < 10) {
        world.ApplyLate(index);
      } else {
        world.Run(index, fate % 3 != 0);
      }
      RC_ASSERT(world.Executions() <= 1);
    }
    world.Drain();
    RC_ASSERT(world.Executions() <= 1);
  });
}

TEST_CASE("With the store available only the first of two repeats runs")
{
  World world;
  world.NewRepeat();
  world.NewRepeat();
  world.Act(0, 5);
  world.Act(1, 5);
  CHECK(world.StepOf(0) == ClaimStep::Proceed);
  CHECK(world.StepOf(1) == ClaimStep::Duplicate);
}

TEST_CASE("A lost reply to the creation is resolved by reading the claim back")
{
  World world;
  world.NewRepeat();
  world.Act(0, 1);
  CHECK(world.StepOf(0) == ClaimStep::Read);
  world.Act(0, 5);
  CHECK(world.StepOf(0) == ClaimStep::Proceed);
}

TEST_CASE("A write that may still take effect is not treated as lost")
{
  // The read finds nothing, since the write is still in flight. Proceeding as
  // if the claim were held would let a repeat acquire it; refusing would leave
  // a claim whose request never runs.
  World world;
  world.NewRepeat();
  world.Act(0, 0);
  world.Act(0, 5);
  CHECK(world.StepOf(0) == ClaimStep::Create);
  world.ApplyLate(0);
  world.Act(0, 5);
  CHECK(world.StepOf(0) == ClaimStep::Proceed);
}

TEST_CASE(
  "With the store unavailable a request with a key is refused after a few "
  "tries")
{
  World down;
  down.NewRepeat();
  down.Act(0, 2);
  CHECK(down.StepOf(0) == ClaimStep::Refuse);
  World silent;
  silent.NewRepeat();
  for (int attempt = 0; attempt < 4; ++attempt) {
    silent.Act(0, 0);
  }
  CHECK(silent.StepOf(0) == ClaimStep::Refuse);
}

TEST_CASE("Claims beyond the write budget are rejected immediately")
{
  IdempotencyClaims claims({ .claimsPerSecond = 10.0, .burst = 5.0 });
  int opened = 0;
  for (int request = 0; request < 100; ++request) {
    const TimePoint now = kStart + milliseconds(10 * request);
    opened += claims.Open(kCustomer, "k", { 1, 1 }, 0, now) ? 1 : 0;
  }
  CHECK(opened >= 14);
  CHECK(opened <= 15);
}

TEST_CASE("Claim keys of different customers do not collide")
{
  IdempotencyClaims claims;
  const auto keyOf = [&](const char* aCustomer, const char* aKey) {
    return claims.Open(CustomerName(aCustomer), aKey, { 1, 1 }, 0, kStart)
      ->Key();
  };
  CHECK(keyOf("a", "bc") != keyOf("ab", "c"));
  CHECK(keyOf("a", "bc") == keyOf("a", "bc"));
}

TEST_CASE("A claim is parsed as encoded, and malformed text is rejected")
{
  rc::prop("parse after encode gives the record", [] {
    const ClaimRecord record{ { *rc::gen::arbitrary<std::uint64_t>(),
                                *rc::gen::arbitrary<std::uint64_t>() },
                              *rc::gen::arbitrary<std::int64_t>() };
    RC_ASSERT(ParseClaim(EncodeClaim(record)) == record);
  });
  CHECK_FALSE(ParseClaim(""));
  CHECK_FALSE(ParseClaim("1-2"));
  CHECK_FALSE(ParseClaim("1-2 x"));
  CHECK_FALSE(ParseClaim("1-2 3 "));
}

TEST_CASE("A claim expires only after its time to live")
{
  const IdempotencyClaims claims({ .timeToLive = seconds(10) });
  CHECK_FALSE(claims.IsExpired({ { 1, 1 }, 5000 }, 15000));
  CHECK(claims.IsExpired({ { 1, 1 }, 5000 }, 15001));
}
