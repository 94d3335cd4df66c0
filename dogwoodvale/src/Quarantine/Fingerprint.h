#ifndef DOGWOODVALE_QUARANTINE_FINGERPRINT_H
#define DOGWOODVALE_QUARANTINE_FINGERPRINT_H

#include <cstdint>
#include <string>
#include <string_view>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Keyed hash of what may crash servers, the content of a request or a part of
/// prompts: the same at every gateway, on every connection and for every
/// attempt. 0 for none.
using Fingerprint = std::uint64_t;

/// The content by which two requests are the same.
struct RequestContent
{
  CustomerName customer;
  std::string_view method;
  /// Path and query, as sent.
  std::string_view path;
  std::string_view body;
};

/// \param aSecret shared by all gateways. Without it a caller could search for
/// two bodies with the same fingerprint, so that one request is taken for the
/// other. The customer is hashed too, so a collision would only affect requests
/// of the same customer.
Fingerprint
FingerprintOf(const RequestContent& aContent, std::string_view aSecret);

/// \param aId id of a part of a prompt, which other requests of the customer
/// may have too. The part of another customer has another fingerprint, so that
/// one customer's requests are no evidence against another's.
Fingerprint
FingerprintOfPart(const CustomerName& aCustomer,
                  std::uint64_t aId,
                  std::string_view aSecret);

/// 16 hexadecimal digits, for logs.
std::string
FingerprintText(Fingerprint aFingerprint);

} // namespace dogwoodvale

#endif
