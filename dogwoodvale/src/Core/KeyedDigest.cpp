#include "KeyedDigest.h"

#include <array>

#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace dogwoodvale {

std::string
KeyedDigest(std::string_view aText, std::string_view aSecret)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aSecret.data(),
       static_cast<int>(aSecret.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       digest.data(),
       &size);
  return { reinterpret_cast<const char*>(digest.data()), kKeyedDigestBytes };
}

} // namespace dogwoodvale
