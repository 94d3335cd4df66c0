#include "dogwoodvale/Entry"

#include <algorithm>

namespace dogwoodvale {

namespace {

constexpr std::string_view kBearer = "Bearer ";

RequestError
Refusal(ErrorCode aCode, std::string aDetail)
{
  return { aCode, Disposition::NotRun, std::move(aDetail), milliseconds(0) };
}

bool
IsCompletionPath(std::string_view aPath)
{
  return aPath == CompletionRequest::kChatPath ||
         aPath == CompletionRequest::kTextPath;
}

bool
Holds(const Customer::Grant& aGrant, const ClassName& aClass)
{
  return std::find(aGrant.classes.begin(), aGrant.classes.end(), aClass) !=
         aGrant.classes.end();
}

/// The class to serve the request in; empty when the customer may not.
ClassName
PickClass(std::string_view aWanted,
          const ClassName& aRouteClass,
          const Customer::Grant& aGrant)
{
  // The route says whether a call may be repeated. If a caller's header could
  // choose an idempotent class for it, a posting could run twice.
  if (!aRouteClass.IsEmpty()) {
    return Holds(aGrant, aRouteClass) ? aRouteClass : ClassName();
  }
  if (!aWanted.empty()) {
    const ClassName wanted(aWanted);
    return Holds(aGrant, wanted) ? wanted : ClassName();
  }
  return aGrant.classes.empty() ? ClassName() : aGrant.classes.front();
}

std::variant<ResolvedRequest, RequestError>
ResolveClass(const HttpRequest& aRequest,
             const Customer& aCustomer,
             const Service& aService,
             const ClassName& aRouteClass)
{
  const Customer::Grant* grant = aCustomer.FindGrant(aService.name);
  if (grant == nullptr) {
    return Refusal(
      ErrorCode::ClassNotAllowed,
      fmt::format("service \"{}\" is not granted", aService.name.Value()));
  }
  const std::string_view wanted = FindHeader(aRequest.headers, kClassHeader);
  const ClassName name = PickClass(wanted, aRouteClass, *grant);
  const RequestClass* found = aService.FindClass(name);
  if (found == nullptr) {
    return Refusal(ErrorCode::ClassNotAllowed,
                   fmt::format("class \"{}\" is not granted", wanted));
  }
  ResolvedRequest resolved;
  resolved.customer = aCustomer.name;
  resolved.customerWeight = aCustomer.weight;
  resolved.service = aService.name;
  resolved.kind = aService.kind;
  resolved.requestClass = *found;
  return resolved;
}

std::variant<ResolvedRequest, RequestError>
ResolveCompletion(const HttpRequest& aRequest,
                  const Customer& aCustomer,
                  const Configuration& aConfiguration)
{
  if (aRequest.method != "POST") {
    return Refusal(ErrorCode::BadRequest, "use POST");
  }
  auto parsed = CompletionRequest::Parse(aRequest.path, aRequest.body);
  if (!parsed.ok()) {
    return Refusal(ErrorCode::BadRequest,
                   std::string(MessageOf(parsed.status())));
  }
  const Service* service = aConfiguration.FindServiceOfModel(parsed->Model());
  if (service == nullptr) {
    return Refusal(ErrorCode::UnknownModel,
                   fmt::format("no model \"{}\"", parsed->Model()));
  }
  auto result = ResolveClass(aRequest, aCustomer, *service, ClassName());
  if (auto* resolved = std::get_if<ResolvedRequest>(&result)) {
    resolved->completion = *std::move(parsed);
  }
  return result;
}

} // namespace

const Customer*
Authenticate(const HttpRequest& aRequest, const Configuration& aConfiguration)
{
  std::string_view key = FindHeader(aRequest.headers, "Authorization");
  if (!key.starts_with(kBearer)) {
    return nullptr;
  }
  key.remove_prefix(kBearer.size());
  return aConfiguration.FindCustomerOfKey(Sha256Hex(key));
}

std::variant<ResolvedRequest, RequestError>
ResolveRequest(const HttpRequest& aRequest, const Configuration& aConfiguration)
{
  const Customer* customer = Authenticate(aRequest, aConfiguration);
  if (customer == nullptr) {
    return Refusal(ErrorCode::Unauthorized, "no such API key");
  }
  if (IsCompletionPath(aRequest.path)) {
    return ResolveCompletion(aRequest, *customer, aConfiguration);
  }
  const std::string_view path =
    std::string_view(aRequest.path).substr(0, aRequest.path.find('?'));
  const Configuration::RouteMatch match =
    aConfiguration.FindRoute(aRequest.method, path);
  if (match.service == nullptr) {
    return Refusal(ErrorCode::UnknownRoute,
                   fmt::format("no route for {} {}", aRequest.method, path));
  }
  return ResolveClass(
    aRequest, *customer, *match.service, match.route->className);
}

} // namespace dogwoodvale
