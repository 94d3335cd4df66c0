#ifndef DOGWOODVALE_TOOLS_LOAD_PROMPT_H
#define DOGWOODVALE_TOOLS_LOAD_PROMPT_H

#include <string>

#include "tools/load/Arrivals.h"
#include "tools/load/Call.h"

namespace dogwoodvale::load {

/// What goes into one HTTP request.
struct RequestText
{
  std::string path;
  std::string body;
};

/// Renders the request for \p aCall: the shared opening of its prompt, then
/// `pad=P nonce=W len=N`, where P stands for the prompt tokens that aren't
/// written out. A plain call carries `nonce=W` in its body, or in its query
/// if it has none.
RequestText
RenderRequest(const ClassPlan& aClass,
              const Arrival& aArrival,
              const Call& aCall);

} // namespace dogwoodvale::load

#endif
