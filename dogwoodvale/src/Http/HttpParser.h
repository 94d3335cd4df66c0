#ifndef DOGWOODVALE_HTTP_HTTPPARSER_H
#define DOGWOODVALE_HTTP_HTTPPARSER_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ChunkFraming.h"
#include "HttpMessage.h"

struct htparser;

namespace dogwoodvale::internal {

/// Is told what HttpParser reads. Giving false stops the parser for good.
class HttpParserListener
{
public:
  virtual ~HttpParserListener() = default;
  virtual bool OnParsedHead() = 0;
  virtual bool OnParsedBody(std::string_view aBytes) = 0;
};

/// Reads one HTTP/1.x message by libevhtp's parser, and closes its gaps: it
/// takes folded headers, lines without a colon, several lengths, any version
/// and trailers in ways that let one message's bytes pass for another's.
///
/// \note The library itself refuses a path or header of over 8 KiB, chunk
/// extensions and methods that it does not know.
class HttpParser
{
public:
  enum class Kind
  {
    Request,
    Response,
  };
  enum class State
  {
    Reading,
    Complete,
    Stopped,
    Malformed,
    TooLarge,
  };

  HttpParser(Kind aKind,
             std::size_t aHeaderBytes,
             HttpParserListener& aListener);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  /// Reads bytes of the message; passes over interim (1xx) heads, of which all
  /// together may be as long as the message's own. \return how many were taken:
  /// all, unless the message ended or is wrong.
  std::size_t Run(std::string_view aBytes);

  State GetState() const { return this->state; }
  /// Memory that the parser and what it has read of the head take.
  std::size_t HeldBytes() const;
  /// Of these, what is left with the fields that were read.
  std::size_t HeadBytes() const;
  const std::string& Method() const { return this->method; }
  const std::string& Path() const { return this->path; }
  int Status() const;
  bool IsHttp10() const;
  std::vector<HeaderField>& Headers() { return this->headers; }
  bool IsChunked() const { return this->chunked; }
  const std::optional<std::uint64_t>& ContentLength() const
  {
    return this->contentLength;
  }
  /// Whether the sender means to keep the connection. Never after trailers,
  /// since libevhtp leaves them half read.
  bool KeepsAlive() const;

private:
  struct Hooks;
  friend struct Hooks;
  int Fail();
  std::size_t GatherHead(std::string_view aBytes);
  /// Reads a whole head, with the empty line that ends it.
  void ReadHead(std::string_view aHead);
  void PassInterimHead(std::string_view aFields);
  std::size_t Parse(std::string_view aBytes);
  std::size_t ParseBody(std::string_view aBytes);
  bool CheckHead();
  bool ReadFraming(const HeaderField& aField);

  std::unique_ptr<htparser, void (*)(htparser*)> parser;
  Kind kind;
  HttpParserListener& listener;
  std::size_t headerBytes;
  std::string head;
  /// Bytes of the interim heads so far.
  std::size_t interimBytes = 0;
  State state = State::Reading;
  bool headDone = false;
  std::size_t headSize = 0;
  bool awaitsValue = false;
  bool hasTrailers = false;
  bool chunked = false;
  ChunkFraming framing;
  std::optional<std::uint64_t> contentLength;
  std::string method;
  std::string path;
  std::vector<HeaderField> headers;
};

/// Whether a header can be written without changing the message's shape.
bool
IsSafeHeader(const HeaderField& aField);

/// The standard reason phrase; "Unknown" for others.
std::string_view
ReasonPhrase(int aStatus);

} // namespace dogwoodvale::internal

#endif
