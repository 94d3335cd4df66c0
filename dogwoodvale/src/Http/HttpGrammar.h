#ifndef DOGWOODVALE_HTTP_HTTPGRAMMAR_H
#define DOGWOODVALE_HTTP_HTTPGRAMMAR_H

#include <string_view>

namespace dogwoodvale::internal {

/// Rules of RFC 9110 and 9112 for the parts of a message's head.

/// Whether the byte may stand in a token, such as a field's name.
bool
IsTokenByte(char aByte);

bool
IsToken(std::string_view aText);

/// Whether the byte may stand in a field's value: no control byte but a tab.
bool
IsFieldByte(char aByte);

bool
IsFieldValue(std::string_view aText);

/// "HTTP/1.1 200 OK" without its line end, of a status from 100 to 599. The
/// reason may be absent, with the blank before it.
bool
IsStatusLine(std::string_view aLine);

/// Whether each line of \p aLines, ended by CRLF, is a field: a name, a colon
/// right behind it, a value.
bool
AreFieldLines(std::string_view aLines);

} // namespace dogwoodvale::internal

#endif
