#ifndef DOGWOODVALE_CONTROL_COMMANDRESULT_H
#define DOGWOODVALE_CONTROL_COMMANDRESULT_H

#include <string>

#include <json/json.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// The tool's exit codes; scripts rely on them.
enum class ExitCode : int
{
  Done = 0,
  /// The configuration has findings, or the input can't be read.
  Invalid = 1,
  /// Somebody else changed the configuration meanwhile; nothing was applied.
  Conflict = 2,
  /// The write's reply was lost and it could not be settled in time.
  Unknown = 3,
  /// The store, or every process asked, could not be reached; nothing was
  /// applied.
  Unreachable = 4,
  /// Accepted, but not yet in force everywhere when the time was up.
  NotEverywhere = 5,
  /// The store is behind the fleet, or holds another content for the same
  /// epoch.
  StoreBehind = 6,
  Usage = 64,
};

/// What a command has to say, for people and for programs.
struct CommandResult
{
  ExitCode code = ExitCode::Done;
  Json::Value json{ Json::objectValue };
  std::string text;

  template<class... Args>
  void Line(fmt::format_string<Args...> aFormat, Args&&... aArgs)
  {
    this->text += fmt::format(aFormat, std::forward<Args>(aArgs)...);
    this->text += '\n';
  }

  /// A failure with its reason.
  static CommandResult Failed(ExitCode aCode, std::string_view aReason);
};

} // namespace dogwoodvale

#endif
