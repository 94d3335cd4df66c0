#ifndef DOGWOODVALE_CORE_COMPRESSION_H
#define DOGWOODVALE_CORE_COMPRESSION_H

#include <string>
#include <string_view>

#include "Status.h"

namespace dogwoodvale {

/// As named in HTTP's Content-Encoding (RFC 8878).
inline constexpr std::string_view kCompressionName = "zstd";

std::string
Compress(std::string_view aText);

/// \return DataLoss for what Compress() did not write, ResourceExhausted for
/// more than \p aMostBytes.
absl::StatusOr<std::string>
Decompress(std::string_view aCompressed, std::size_t aMostBytes);

} // namespace dogwoodvale

#endif
