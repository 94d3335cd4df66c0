#ifndef DOGWOODVALE_QUARANTINE_REQUESTFINGERPRINT_H
#define DOGWOODVALE_QUARANTINE_REQUESTFINGERPRINT_H

#include <cstdint>
#include <string>
#include <string_view>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Names the content of a request: the same at every gateway, on every
/// connection and under every attempt's id. 0 for none.
using RequestFingerprint = std::uint64_t;

/// What makes two requests the same.
struct RequestContent
{
  CustomerName customer;
  std::string_view method;
  /// Path and query, as sent.
  std::string_view path;
  std::string_view body;
};

/// \param aSecret shared by all gateways. Without it a caller could look for
/// two bodies with one fingerprint and have another's request taken for its
/// own; the customer is part of it besides, so only its own.
RequestFingerprint
FingerprintOf(const RequestContent& aContent, std::string_view aSecret);

/// 16 hexadecimal digits, for logs.
std::string
FingerprintText(RequestFingerprint aFingerprint);

} // namespace dogwoodvale

#endif
