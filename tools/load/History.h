#ifndef DOGWOODVALE_TOOLS_LOAD_HISTORY_H
#define DOGWOODVALE_TOOLS_LOAD_HISTORY_H

#include <cstdio>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tools/load/Call.h"

namespace dogwoodvale::load {

/// \p aCall as one line of JSON, without the line's end.
std::string
RenderCall(const Call& aCall);

/// The inverse of RenderCall.
absl::StatusOr<Call>
ParseCall(std::string_view aLine);

/// Reads a whole history; a line that isn't a call is an error with its
/// number.
absl::StatusOr<std::vector<Call>>
ReadHistory(const std::string& aPath);

/// Writes each call as it ends.
class HistoryWriter
{
public:
  static absl::StatusOr<std::unique_ptr<HistoryWriter>> Create(
    const std::string& aPath);
  ~HistoryWriter();
  HistoryWriter(const HistoryWriter&) = delete;
  HistoryWriter& operator=(const HistoryWriter&) = delete;

  void Write(const Call& aCall);

private:
  explicit HistoryWriter(std::FILE* aFile);
  std::FILE* file;
};

} // namespace dogwoodvale::load

#endif
