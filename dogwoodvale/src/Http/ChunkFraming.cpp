#include "ChunkFraming.h"

#include <algorithm>
#include <cassert>
#include <charconv>

#include "HttpGrammar.h"

namespace dogwoodvale::internal {

ChunkFraming::Result
ChunkFraming::Check(std::string_view aBytes)
{
  const std::size_t all = aBytes.size();
  while (!aBytes.empty() && this->part != Part::Done) {
    if (this->part == Part::Data) {
      const std::size_t taken =
        static_cast<std::size_t>(std::min<std::uint64_t>(
          this->size, static_cast<std::uint64_t>(aBytes.size())));
      this->size -= taken;
      this->part = this->size == 0 ? Part::DataReturn : Part::Data;
      aBytes.remove_prefix(taken);
      continue;
    }
    const Verdict verdict = this->CheckByte(aBytes.front());
    if (verdict != Verdict::Valid) {
      return { verdict, all - aBytes.size() };
    }
    aBytes.remove_prefix(1);
  }
  return { Verdict::Valid, all };
}

ChunkFraming::Verdict
ChunkFraming::CheckByte(char aByte)
{
  switch (this->part) {
    case Part::Size:
      return this->CheckSize(aByte);
    case Part::SizeLineFeed:
      return this->Expect(
        aByte, '\n', this->size == 0 ? Part::TrailerName : Part::Data);
    case Part::DataReturn:
      return this->Expect(aByte, '\r', Part::DataLineFeed);
    case Part::DataLineFeed:
      return this->Expect(aByte, '\n', Part::Size);
    case Part::TrailerName:
    case Part::TrailerValue:
    case Part::TrailerLineFeed:
    case Part::LastLineFeed:
      return this->CheckTrailer(aByte);
    case Part::Data:
    case Part::Done:
      break;
  }
  assert(false);
  return Verdict::Malformed;
}

ChunkFraming::Verdict
ChunkFraming::CheckSize(char aByte)
{
  if (aByte == '\r' && this->digits > 0) {
    this->digits = 0;
    this->part = Part::SizeLineFeed;
    return Verdict::Valid;
  }
  constexpr int kHex = 16;
  unsigned digit = 0;
  if (std::from_chars(&aByte, &aByte + 1, digit, kHex).ec != std::errc()) {
    return Verdict::Malformed;
  }
  if (++this->digits > kMaxSizeDigits) {
    return Verdict::TooLong;
  }
  this->size = this->size * kHex + digit;
  return Verdict::Valid;
}

ChunkFraming::Verdict
ChunkFraming::CheckTrailer(char aByte)
{
  if (this->trailerBytes == 0) {
    return Verdict::TooLong;
  }
  --this->trailerBytes;
  switch (this->part) {
    case Part::TrailerName:
      return this->CheckTrailerName(aByte);
    case Part::TrailerValue:
      return this->CheckTrailerValue(aByte);
    case Part::TrailerLineFeed:
      return this->Expect(aByte, '\n', Part::TrailerName);
    default:
      return this->Expect(aByte, '\n', Part::Done);
  }
}

ChunkFraming::Verdict
ChunkFraming::CheckTrailerName(char aByte)
{
  if (this->nameBytes == 0 && aByte == '\r') {
    this->part = Part::LastLineFeed;
    return Verdict::Valid;
  }
  if (this->nameBytes > 0 && aByte == ':') {
    this->nameBytes = 0;
    this->part = Part::TrailerValue;
    return Verdict::Valid;
  }
  ++this->nameBytes;
  return IsTokenByte(aByte) ? Verdict::Valid : Verdict::Malformed;
}

ChunkFraming::Verdict
ChunkFraming::CheckTrailerValue(char aByte)
{
  if (aByte == '\r') {
    this->part = Part::TrailerLineFeed;
    return Verdict::Valid;
  }
  return IsFieldByte(aByte) ? Verdict::Valid : Verdict::Malformed;
}

ChunkFraming::Verdict
ChunkFraming::Expect(char aByte, char aWanted, Part aNext)
{
  this->part = aNext;
  return aByte == aWanted ? Verdict::Valid : Verdict::Malformed;
}

} // namespace dogwoodvale::internal
