#ifndef DOGWOODVALE_TEST_SUPPORT_CHOOSING_H
#define DOGWOODVALE_TEST_SUPPORT_CHOOSING_H

#include <string>
#include <vector>

#include "dogwoodvale/Placement"

namespace dogwoodvale::test {

/// \return the name of the server that "expected_delay" chooses; empty if none.
inline std::string
Chosen(const std::vector<DirectCandidate>& aCandidates,
       const DirectDemand& aDemand)
{
  std::mt19937_64 random(1);
  const auto chosen = DirectChooser::Create("expected_delay")
                        ->Choose(aCandidates, aDemand, random);
  return chosen ? aCandidates[*chosen].name.Value() : "";
}

} // namespace dogwoodvale::test

#endif
