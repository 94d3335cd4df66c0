#include "MemoryShares.h"

#include "dogwoodvale/Core"

namespace dogwoodvale {

namespace {

constexpr std::size_t kShareDivisor = 8;
/// Memory of a request beyond its body: its head, its parser, and the last
/// block of the body, which need not be full.
constexpr std::size_t kBesideBody = 256U << 10U;

} // namespace

MemoryShares::MemoryShares(std::uint32_t aMegabytes)
  : requests((std::size_t(aMegabytes) << 20U) / kShareDivisor)
  , sockets(this->requests)
  , connections(this->requests)
  , answers(this->requests)
  , operators(this->requests / 2)
{
}

std::size_t
MemoryShares::LargestBody() const
{
  const auto largest = static_cast<std::size_t>(double(this->requests) *
                                                MemoryBudget::kLargeShare);
  return largest > kBesideBody ? largest - kBesideBody : 0;
}

} // namespace dogwoodvale
