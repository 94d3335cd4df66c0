#ifndef DOGWOODVALE_CONTROL_COMMANDLINE_H
#define DOGWOODVALE_CONTROL_COMMANDLINE_H

#include <string>
#include <vector>

namespace dogwoodvale {

/// Runs dogwoodvalectl with these arguments (without the program's name);
/// writes the result to standard output and errors of use to standard error.
/// \return the exit code, see ExitCode.
int
RunControl(const std::vector<std::string>& aArguments);

} // namespace dogwoodvale

#endif
