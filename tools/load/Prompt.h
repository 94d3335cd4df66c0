#ifndef DOGWOODVALE_TOOLS_LOAD_PROMPT_H
#define DOGWOODVALE_TOOLS_LOAD_PROMPT_H

#include <string>
#include <string_view>
#include <vector>

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

/// The values of each `nonce=W` in \p aText; they hold letters and digits.
std::vector<std::string_view>
NoncesIn(std::string_view aText);

} // namespace dogwoodvale::load

#endif
