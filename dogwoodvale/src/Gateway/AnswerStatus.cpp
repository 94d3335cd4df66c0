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
ImpliesNotRun(int aStatus)
{
  constexpr std::array<int, 4> kNotRunStatuses{ 408, 421, 429, 503 };
  return std::ranges::find(kNotRunStatuses, aStatus) != kNotRunStatuses.end();
}

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace dogwoodvale
