#ifndef DOGWOODVALE_TOOLS_LOAD_CHECKTOOL_H
#define DOGWOODVALE_TOOLS_LOAD_CHECKTOOL_H

#include <string>
#include <vector>

namespace dogwoodvale::load {

/// The program dogwoodvale-check-history: names each broken promise with the
/// lines that show it.
///
/// \param aArguments without the program's name.
/// \return the exit code: 0 all promises kept, 1 one broken, 2 wrong usage or
/// input.
int
RunCheckTool(const std::vector<std::string>& aArguments);

} // namespace dogwoodvale::load

#endif
