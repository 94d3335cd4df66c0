#include "Ports.h"

namespace dogwoodvale {

InstanceName
IncarnationName(std::string_view aServer, std::uint64_t aStarted)
{
  return aStarted == 0 ? InstanceName(aServer)
                       : InstanceName(fmt::format("{}@{}", aServer, aStarted));
}

} // namespace dogwoodvale
