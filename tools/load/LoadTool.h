#ifndef DOGWOODVALE_TOOLS_LOAD_LOADTOOL_H
#define DOGWOODVALE_TOOLS_LOAD_LOADTOOL_H

#include <string>
#include <vector>

namespace dogwoodvale::load {

/// The program dogwoodvale-load: makes a load, writes its history and report.
///
/// \param aArguments without the program's name.
/// \return the exit code: 0 done, 1 the run failed, 2 wrong usage or plan.
int
RunLoadTool(const std::vector<std::string>& aArguments);

} // namespace dogwoodvale::load

#endif
