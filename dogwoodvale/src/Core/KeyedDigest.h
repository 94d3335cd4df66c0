#ifndef DOGWOODVALE_CORE_KEYEDDIGEST_H
#define DOGWOODVALE_CORE_KEYEDDIGEST_H

#include <cstddef>
#include <string>
#include <string_view>

namespace dogwoodvale {

inline constexpr std::size_t kKeyedDigestBytes = 16;

/// HMAC-SHA256 of a text, cut to kKeyedDigestBytes: only who has the secret can
/// make it, or find two texts with the same one.
std::string
KeyedDigest(std::string_view aText, std::string_view aSecret);

} // namespace dogwoodvale

#endif
