#ifndef DOGWOODVALE_TOOLS_LOAD_EXECUTION_H
#define DOGWOODVALE_TOOLS_LOAD_EXECUTION_H

#include <string>
#include <string_view>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale::load {

/// How an execution on a backend server ended.
enum class ExecutionEnd : std::uint8_t
{
  Complete,
  Cancelled,
  Crashed,
  Running,
};

/// One request as a stand-in recorded that it ran it. Times are milliseconds
/// of the monotonic clock.
struct Execution
{
  /// The backend server whose record it is from.
  std::string server;
  std::string id;
  std::string nonce;
  /// The Idempotency-Key; empty for none.
  std::string key;
  double startedMs = 0;
  double endedMs = 0;
  int tokens = 0;
  ExecutionEnd end = ExecutionEnd::Running;
};

/// Reads a stand-in's record, `{"executions":[...]}`.
/// \param aServer the backend server's name, put into each execution.
absl::StatusOr<std::vector<Execution>>
ParseRecord(std::string_view aServer, std::string_view aText);

/// Reads a record from a file; the server is named after the file without
/// directory and extension.
absl::StatusOr<std::vector<Execution>>
ReadRecord(const std::string& aPath);

} // namespace dogwoodvale::load

#endif
