#include "AnswerStatus.h"

#include <algorithm>
#include <array>

namespace dogwoodvale {

bool
IsServerError(int aStatus)
{
  constexpr int kFirst = 500;
  return aStatus >= kFirst;
}

bool
IsPromise(int aStatus)
{
  constexpr std::array<int, 4> kPromises{ 408, 421, 429, 503 };
  return std::ranges::find(kPromises, aStatus) != kPromises.end();
}

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace dogwoodvale
