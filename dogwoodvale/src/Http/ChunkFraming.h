#ifndef DOGWOODVALE_HTTP_CHUNKFRAMING_H
#define DOGWOODVALE_HTTP_CHUNKFRAMING_H

#include <cstdint>
#include <string_view>

namespace dogwoodvale::internal {

/// Checks the lines between the chunks of a body (RFC 9112, 7.1) before the
/// library's parser reads them: where `char` is unsigned, libevhtp takes any
/// byte for a hexadecimal digit, and nowhere does it bound a size line.
///
/// Chunk extensions are malformed, as for the library.
class ChunkFraming
{
public:
  enum class Verdict : std::uint8_t
  {
    Valid,
    Malformed,
    TooLong,
  };

  /// \param aTrailerBytes the most that all trailers may take.
  explicit ChunkFraming(std::size_t aTrailerBytes)
    : trailerBytes(aTrailerBytes)
  {
  }

  struct Result
  {
    Verdict verdict = Verdict::Valid;
    /// Bytes before the first that is wrong; all if none is.
    std::size_t valid = 0;
  };

  /// Checks the next bytes of the body; those after its end are not looked at.
  Result Check(std::string_view aBytes);

  /// Hexadecimal digits of the longest size that is read.
  static constexpr std::size_t kMaxSizeDigits = 15;

private:
  enum class Part : std::uint8_t
  {
    Size,
    SizeLineFeed,
    Data,
    DataReturn,
    DataLineFeed,
    TrailerName,
    TrailerValue,
    TrailerLineFeed,
    LastLineFeed,
    Done,
  };

  Verdict CheckByte(char aByte);
  Verdict CheckSize(char aByte);
  Verdict CheckTrailer(char aByte);
  Verdict CheckTrailerName(char aByte);
  Verdict CheckTrailerValue(char aByte);
  /// Takes \p aWanted alone, and goes on with \p aNext.
  Verdict Expect(char aByte, char aWanted, Part aNext);

  std::size_t trailerBytes;
  Part part = Part::Size;
  std::size_t digits = 0;
  /// Of the chunk that is being read; bytes of it that are still to come.
  std::uint64_t size = 0;
  /// Bytes of the trailer's name so far.
  std::size_t nameBytes = 0;
};

} // namespace dogwoodvale::internal

#endif
