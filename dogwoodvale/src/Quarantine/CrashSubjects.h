#ifndef DOGWOODVALE_QUARANTINE_CRASHSUBJECTS_H
#define DOGWOODVALE_QUARANTINE_CRASHSUBJECTS_H

#include <vector>

#include "Fingerprint.h"

namespace dogwoodvale {

/// What of one request may crash a server that runs it.
struct CrashSubjects
{
  /// The whole content: the same for every retry of the caller, at any gateway.
  Fingerprint request = 0;
  /// The parts of the prompt that other requests may share, in their order: all
  /// but the last one.
  std::vector<Fingerprint> parts;

  /// Parts beyond this number are not told apart from the request; callers
  /// choose how many they state.
  static constexpr std::size_t kMaxParts = 32;
};

} // namespace dogwoodvale

#endif
