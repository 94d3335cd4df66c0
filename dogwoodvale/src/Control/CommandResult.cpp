#include "dogwoodvale/Control"

namespace dogwoodvale {

CommandResult
CommandResult::Failed(ExitCode aCode, std::string_view aReason)
{
  CommandResult result;
  result.code = aCode;
  result.json["error"] = std::string(aReason);
  result.Line("{}", aReason);
  return result;
}

} // namespace dogwoodvale
