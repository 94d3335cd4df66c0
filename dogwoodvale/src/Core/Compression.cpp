#include "Compression.h"

#include <zstd.h>

namespace dogwoodvale {

std::string
Compress(std::string_view aText)
{
  constexpr int kFast = 1;
  std::string bytes(ZSTD_compressBound(aText.size()), '\0');
  const std::size_t size = ZSTD_compress(
    bytes.data(), bytes.size(), aText.data(), aText.size(), kFast);
  // The bound leaves no way to fail but for want of memory.
  bytes.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return bytes;
}

absl::StatusOr<std::string>
Decompress(std::string_view aCompressed, std::size_t aMostBytes)
{
  const unsigned long long size =
    ZSTD_getFrameContentSize(aCompressed.data(), aCompressed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return absl::DataLossError("not compressed as expected");
  }
  if (size > aMostBytes) {
    return absl::ResourceExhaustedError("too long when decompressed");
  }
  std::string text(size, '\0');
  const std::size_t written = ZSTD_decompress(
    text.data(), text.size(), aCompressed.data(), aCompressed.size());
  if (ZSTD_isError(written) != 0 || written != size) {
    return absl::DataLossError("compressed bytes are damaged");
  }
  return text;
}

} // namespace dogwoodvale
