#include "HttpParser.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <limits>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <evhtp/parser.h>

#include "HttpGrammar.h"

namespace dogwoodvale::internal {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

std::string_view
Trim(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlanks) - first + 1);
}

bool
SameName(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase(ToAbsl(aLeft), ToAbsl(aRight));
}

/// Whether the bytes from \p aFrom on can be a head's: no control bytes, and
/// line feeds only after carriage returns. Tells other protocols at once.
bool
IsPlainText(std::string_view aText, std::size_t aFrom)
{
  for (std::size_t i = aFrom; i < aText.size(); ++i) {
    const char byte = aText[i];
    const bool isLineEnd = byte == '\n' && i > 0 && aText[i - 1] == '\r';
    if (byte != '\r' && byte != '\t' && !isLineEnd &&
        absl::ascii_iscntrl(static_cast<unsigned char>(byte))) {
      return false;
    }
  }
  return true;
}

/// Whether a head whose status line is sound is an interim one, which an
/// answer's own head follows. Not 101: nobody here asks for another protocol.
bool
IsInterim(std::string_view aHead)
{
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  const std::string_view status = aHead.substr(kVersion.size());
  return status.starts_with('1') && !status.starts_with("101");
}

bool
IsTarget(std::string_view aText)
{
  return !aText.empty() && std::ranges::all_of(aText, [](unsigned char aByte) {
    return aByte > ' ' && aByte != 0x7f;
  });
}

} // namespace

struct HttpParser::Hooks
{
  static HttpParser& Self(htparser* aParser)
  {
    return *static_cast<HttpParser*>(htparser_get_userdata(aParser));
  }

  static int OnMethod(htparser* aParser, const char* aData, std::size_t aSize)
  {
    Self(aParser).method.assign(aData, aSize);
    return 0;
  }

  static int OnPath(htparser* aParser, const char* aData, std::size_t aSize)
  {
    Self(aParser).path.assign(aData, aSize);
    return 0;
  }

  static int OnQuery(htparser* aParser, const char* aData, std::size_t aSize)
  {
    Self(aParser).path.append("?").append(aData, aSize);
    return 0;
  }

  static int OnKey(htparser* aParser, const char* aData, std::size_t aSize)
  {
    HttpParser& self = Self(aParser);
    if (self.headDone) {
      self.hasTrailers = true;
      return 0;
    }
    self.headers.push_back({ std::string(aData, aSize), "" });
    self.awaitsValue = true;
    return IsToken({ aData, aSize }) ? 0 : self.Fail();
  }

  static int OnValue(htparser* aParser, const char* aData, std::size_t aSize)
  {
    HttpParser& self = Self(aParser);
    if (self.headDone) {
      return 0;
    }
    // A value without a name of its own is a folded line or one that has no
    // colon: proxies differ in how they read these, so they are refused.
    if (!self.awaitsValue) {
      return self.Fail();
    }
    self.awaitsValue = false;
    HeaderField& field = self.headers.back();
    field.value = Trim({ aData, aSize });
    return IsFieldValue(field.value) && self.ReadFraming(field) ? 0
                                                                : self.Fail();
  }

  static int OnHead(htparser* aParser)
  {
    HttpParser& self = Self(aParser);
    self.headDone = true;
    if (!self.CheckHead()) {
      return self.Fail();
    }
    if (!self.listener.OnParsedHead()) {
      self.state = State::Stopped;
      return -1;
    }
    return 0;
  }

  static int OnBody(htparser* aParser, const char* aData, std::size_t aSize)
  {
    HttpParser& self = Self(aParser);
    if (!self.listener.OnParsedBody({ aData, aSize })) {
      self.state = State::Stopped;
      return -1;
    }
    return 0;
  }

  static int OnComplete(htparser* aParser)
  {
    Self(aParser).state = State::Complete;
    // Stops the parser here, so that it says where the message ended.
    return -1;
  }

  static htparse_hooks* All()
  {
    static htparse_hooks hooks = [] {
      htparse_hooks all{};
      all.method = &OnMethod;
      all.path = &OnPath;
      all.args = &OnQuery;
      all.hdr_key = &OnKey;
      all.hdr_val = &OnValue;
      all.on_hdrs_complete = &OnHead;
      all.body = &OnBody;
      all.on_msg_complete = &OnComplete;
      return all;
    }();
    return &hooks;
  }
};

HttpParser::HttpParser(Kind aKind,
                       std::size_t aHeaderBytes,
                       HttpParserListener& aListener)
  : parser(htparser_new(), [](htparser* aParser) { std::free(aParser); })
  , kind(aKind)
  , listener(aListener)
  , headerBytes(aHeaderBytes)
  , framing(aHeaderBytes)
{
  htparser_init(this->parser.get(),
                aKind == Kind::Request ? htp_type_request : htp_type_response);
  htparser_set_userdata(this->parser.get(), this);
}

HttpParser::~HttpParser() = default;

int
HttpParser::Fail()
{
  this->state = State::Malformed;
  return -1;
}

std::size_t
HttpParser::Run(std::string_view aBytes)
{
  std::size_t taken = 0;
  while (taken < aBytes.size() && this->state == State::Reading) {
    const std::string_view rest = aBytes.substr(taken);
    taken += this->headDone ? this->ParseBody(rest) : this->GatherHead(rest);
  }
  return taken;
}

std::size_t
HttpParser::GatherHead(std::string_view aBytes)
{
  // The library's parser loses bytes where a head is cut ("POST" in pieces
  // becomes "POT"); it reads bodies right. So it gets each head in one piece.
  constexpr std::string_view kEnd = "\r\n\r\n";
  const std::size_t held = this->head.size();
  this->head += aBytes.substr(
    0, std::min(aBytes.size(), this->headerBytes + kEnd.size() - held));
  // Empty lines before a message are to be passed over (RFC 9112, 2.2).
  const std::size_t blank =
    std::min(this->head.find_first_not_of("\r\n"), this->head.size());
  const std::size_t from = std::max(held, blank + kEnd.size()) - kEnd.size();
  const std::size_t end = this->head.find(kEnd, std::max(from, blank));
  const bool whole = end != std::string::npos;
  this->head.resize(whole ? end + kEnd.size() : this->head.size());
  const std::size_t taken = this->head.size() - held;
  if (!IsPlainText(this->head, held)) {
    this->state = State::Malformed;
  } else if (whole ? end > this->headerBytes
                   : this->head.size() > this->headerBytes) {
    this->state = State::TooLarge;
  } else if (whole) {
    const std::string all = std::exchange(this->head, {});
    this->headSize = all.size();
    const std::string_view text = std::string_view(all).substr(blank);
    this->ReadHead(text);
  }
  return taken;
}

void
HttpParser::ReadHead(std::string_view aHead)
{
  const std::size_t lineEnd = aHead.find(kLineEnd);
  if (this->kind == Kind::Response && !IsStatusLine(aHead.substr(0, lineEnd))) {
    this->state = State::Malformed;
    return;
  }
  if (this->kind == Kind::Response && IsInterim(aHead)) {
    this->PassInterimHead(
      aHead.substr(lineEnd + kLineEnd.size(),
                   aHead.size() - lineEnd - kLineEnd.size() - kLineEnd.size()));
    return;
  }
  this->Parse(aHead);
  if (!this->headDone && this->state == State::Reading) {
    this->state = State::Malformed;
  }
}

void
HttpParser::PassInterimHead(std::string_view aFields)
{
  this->interimBytes += this->headSize;
  if (this->interimBytes > this->headerBytes) {
    this->state = State::TooLarge;
  } else if (!AreFieldLines(aFields)) {
    this->state = State::Malformed;
  }
}

std::size_t
HttpParser::ParseBody(std::string_view aBytes)
{
  if (!this->chunked) {
    return this->Parse(aBytes);
  }
  const ChunkFraming::Result checked = this->framing.Check(aBytes);
  const std::size_t taken =
    checked.valid == 0 ? 0 : this->Parse(aBytes.substr(0, checked.valid));
  if (this->state != State::Reading ||
      checked.verdict == ChunkFraming::Verdict::Valid) {
    return taken;
  }
  this->state = checked.verdict == ChunkFraming::Verdict::TooLong
                  ? State::TooLarge
                  : State::Malformed;
  return aBytes.size();
}

std::size_t
HttpParser::Parse(std::string_view aBytes)
{
  const std::size_t count = htparser_run(
    this->parser.get(), Hooks::All(), aBytes.data(), aBytes.size());
  const htpparse_error error = htparser_get_error(this->parser.get());
  if (this->state == State::Reading) {
    const bool isLength = this->awaitsValue &&
                          SameName(this->headers.back().name, "content-length");
    if (error == htparse_error_too_big && !this->headDone && !isLength) {
      this->state = State::TooLarge;
    } else if (error != htparse_error_none || count == 0) {
      this->state = State::Malformed;
    }
  }
  return std::min(count, aBytes.size());
}

std::size_t
HttpParser::HeldBytes() const
{
  // Of htparser, whose size the library does not tell.
  constexpr std::size_t kLibraryBytes = 9U << 10U;
  return sizeof(HttpParser) + kLibraryBytes + this->head.capacity() +
         this->HeadBytes();
}

std::size_t
HttpParser::HeadBytes() const
{
  // Texts are counted as the head's own bytes: those that are short lie in the
  // fields themselves.
  return this->headSize + this->headers.capacity() * sizeof(HeaderField);
}

int
HttpParser::Status() const
{
  return static_cast<int>(htparser_get_status(this->parser.get()));
}

bool
HttpParser::IsHttp10() const
{
  return htparser_get_minor(this->parser.get()) == 0;
}

bool
HttpParser::KeepsAlive() const
{
  if (this->hasTrailers) {
    return false;
  }
  bool keeps = !this->IsHttp10();
  for (const HeaderField& field : this->headers) {
    if (SameName(field.name, "connection")) {
      const std::string value = absl::AsciiStrToLower(ToAbsl(field.value));
      if (value.find("close") != std::string::npos) {
        return false;
      }
      keeps = keeps || value.find("keep-alive") != std::string::npos;
    }
  }
  return keeps;
}

bool
HttpParser::ReadFraming(const HeaderField& aField)
{
  if (SameName(aField.name, "transfer-encoding")) {
    const bool isFirst = !this->chunked;
    this->chunked = SameName(aField.value, "chunked");
    return isFirst && this->chunked;
  }
  if (!SameName(aField.name, "content-length")) {
    return true;
  }
  std::uint64_t length = 0;
  const char* end = aField.value.data() + aField.value.size();
  const auto [stop, error] = std::from_chars(aField.value.data(), end, length);
  const bool isFirst = !this->contentLength;
  this->contentLength = length;
  return isFirst && !aField.value.empty() && error == std::errc() &&
         stop == end &&
         length <= std::uint64_t(std::numeric_limits<std::int64_t>::max());
}

bool
HttpParser::CheckHead()
{
  // Both framings at once is how requests are smuggled past a proxy.
  const bool framed = !(this->chunked && this->contentLength);
  const bool targeted =
    this->kind == Kind::Response ? this->Status() >= 200 : IsTarget(this->path);
  return framed && targeted && htparser_get_major(this->parser.get()) == 1 &&
         htparser_get_minor(this->parser.get()) <= 1;
}

bool
IsSafeHeader(const HeaderField& aField)
{
  return IsToken(aField.name) && IsFieldValue(aField.value);
}

std::string_view
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 100:
      return "Continue";
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 301:
      return "Moved Permanently";
    case 302:
      return "Found";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 421:
      return "Misdirected Request";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 499:
      return "Client Closed Request";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Unknown";
  }
}

} // namespace dogwoodvale::internal
