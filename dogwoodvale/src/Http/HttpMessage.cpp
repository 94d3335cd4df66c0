#include "HttpMessage.h"

#include <algorithm>
#include <array>

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <json/json.h>

namespace dogwoodvale {

namespace {

bool
SameName(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase(ToAbsl(aLeft), ToAbsl(aRight));
}

bool
IsHopByHop(std::string_view aName)
{
  constexpr std::array<std::string_view, 9> kNames = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
  };
  return std::ranges::any_of(
    kNames, [&](std::string_view aKnown) { return SameName(aKnown, aName); });
}

} // namespace

std::string_view
FindHeader(std::span<const HeaderField> aHeaders, std::string_view aName)
{
  for (const HeaderField& field : aHeaders) {
    if (SameName(field.name, aName)) {
      return field.value;
    }
  }
  return {};
}

std::vector<HeaderField>
WithoutHopByHop(std::span<const HeaderField> aHeaders,
                std::span<const std::string_view> aEndToEnd)
{
  std::vector<std::string> named;
  for (const HeaderField& field : aHeaders) {
    if (SameName(field.name, "connection")) {
      for (absl::string_view name :
           absl::StrSplit(ToAbsl(field.value), absl::ByAnyChar(", \t"))) {
        named.emplace_back(name.data(), name.size());
      }
    }
  }
  std::vector<HeaderField> kept;
  kept.reserve(aHeaders.size());
  for (const HeaderField& field : aHeaders) {
    const auto isField = [&](std::string_view aName) {
      return SameName(aName, field.name);
    };
    const bool isNamed = std::ranges::any_of(named, isField) &&
                         std::ranges::none_of(aEndToEnd, isField);
    if (!isNamed && !IsHopByHop(field.name)) {
      kept.push_back(field);
    }
  }
  return kept;
}

int
HttpStatusOf(const RequestError& aError)
{
  const bool notRun = aError.disposition == Disposition::NotRun;
  switch (aError.code) {
    // Decided before anything is sent on, so these are NotRun by nature.
    case ErrorCode::Unauthorized:
      return notRun ? 401 : 500;
    case ErrorCode::BadRequest:
      return notRun ? 400 : 500;
    case ErrorCode::TooLarge:
      return notRun ? 413 : 500;
    case ErrorCode::UnknownModel:
    case ErrorCode::UnknownRoute:
      return notRun ? 404 : 500;
    case ErrorCode::ClassNotAllowed:
      return notRun ? 403 : 500;
    case ErrorCode::RateLimited:
    case ErrorCode::ConcurrencyLimited:
      return notRun ? 429 : 500;
    case ErrorCode::DuplicateKey:
      // The request that is repeated may have run: never NotRun.
      return notRun ? 500 : 409;
    case ErrorCode::Cancelled:
      return notRun ? 499 : 500;
    case ErrorCode::QueueFull:
    case ErrorCode::Evicted:
    case ErrorCode::NoBackendServer:
    case ErrorCode::Draining:
    case ErrorCode::NotReady:
    case ErrorCode::Quarantined:
    case ErrorCode::StoreUnavailable:
    case ErrorCode::Barred:
    case ErrorCode::Internal:
      return notRun ? 503 : 500;
    case ErrorCode::DeadlineExceeded:
      return notRun ? 503 : 504;
    case ErrorCode::BackendFailed:
    case ErrorCode::ConnectionLost:
    case ErrorCode::TruncatedAnswer:
      return notRun ? 503 : 502;
  }
  return 500;
}

std::string
ErrorBody(const RequestError& aError)
{
  Json::Value error(Json::objectValue);
  error["code"] = std::string(CodeName(aError.code));
  error["disposition"] = std::string(DispositionName(aError.disposition));
  error["message"] = aError.detail;
  error["retry_after_ms"] = Json::Int64(aError.retryAfter.count());
  Json::Value body(Json::objectValue);
  body["error"] = std::move(error);
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, body);
}

} // namespace dogwoodvale
