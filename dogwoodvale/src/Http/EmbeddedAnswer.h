#ifndef DOGWOODVALE_HTTP_EMBEDDEDANSWER_H
#define DOGWOODVALE_HTTP_EMBEDDEDANSWER_H

#include <functional>
#include <span>
#include <string_view>

#include "dogwoodvale/Peer"

namespace dogwoodvale {

/// Whether the line, with or without its line end, is the first of an answer.
bool
IsFirstLineOfAnswer(std::string_view aLine);

/// Whether the head of another answer begins inside a body: the server cut the
/// answer, or sent two where the first ends with the connection.
/// \param aBehind bytes that came behind the body, where the head may go on.
/// \param aIsAnswer whether a field of a head, asked one by one, marks that of
/// an answer; a body may well tell of other heads.
bool
HasEmbeddedAnswer(
  std::string_view aBody,
  std::string_view aBehind,
  const std::function<bool(std::span<const HeaderField>)>& aIsAnswer);

} // namespace dogwoodvale

#endif
