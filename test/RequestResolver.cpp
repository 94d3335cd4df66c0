#include <catch2/catch.hpp>

#include "dogwoodvale/Entry"

using namespace dogwoodvale;

namespace {

Configuration
MakeConfiguration()
{
  const ConfigurationSource source{ "test.json",
                                    R"({
    "services": [
      { "name": "chat", "kind": "model",
        "models": [ { "model": "m", "version": "1" } ],
        "classes": [ { "name": "fast", "tier": 0, "idempotent": true },
                     { "name": "slow", "tier": 1, "idempotent": true },
                     { "name": "other", "tier": 2, "idempotent": true } ] },
      { "name": "posting", "kind": "plain",
        "routes": [ { "method": "POST", "path_prefix": "/post", "class": "post" },
                    { "method": "GET", "path_prefix": "/read", "class": "read" } ],
        "classes": [ { "name": "post", "tier": 0, "idempotent": false },
                     { "name": "read", "tier": 1, "idempotent": true } ] }
    ],
    "customers": [
      { "name": "a", "key_hashes": [ ")" +
                                      Sha256Hex("key-a") + R"(" ],
        "grants": [ { "service": "chat", "classes": [ "fast", "slow" ] },
                    { "service": "posting", "classes": [ "post", "read" ] } ] },
      { "name": "b", "key_hashes": [ ")" +
                                      Sha256Hex("key-b") + R"(" ],
        "grants": [ { "service": "posting", "classes": [ "read" ] } ] }
    ] })" };
  Findings findings;
  Configuration configuration = ParseConfiguration({ &source, 1 }, findings);
  INFO(findings.Render());
  REQUIRE(findings.IsEmpty());
  return configuration;
}

HttpRequest
Request(const char* aMethod, const char* aPath, const char* aKey)
{
  HttpRequest request;
  request.method = aMethod;
  request.path = aPath;
  request.headers = { { "Authorization", std::string("Bearer ") + aKey } };
  request.body = R"({"model":"m","messages":[{"role":"user","content":"x"}]})";
  return request;
}

std::string
ClassOf(const HttpRequest& aRequest)
{
  const auto result = ResolveRequest(aRequest, MakeConfiguration());
  if (const auto* error = std::get_if<RequestError>(&result)) {
    REQUIRE(error->disposition == Disposition::NotRun);
    return std::string(CodeName(error->code));
  }
  return std::get<ResolvedRequest>(result).requestClass.name.Value();
}

} // namespace

TEST_CASE("the class of a model request is the header's, else the first")
{
  HttpRequest request = Request("POST", "/v1/chat/completions", "key-a");
  REQUIRE(ClassOf(request) == "fast");
  request.headers.push_back({ "X-Dogwoodvale-Class", "slow" });
  REQUIRE(ClassOf(request) == "slow");
  request.headers.back().value = "other";
  REQUIRE(ClassOf(request) == "class_not_allowed");
}

// A caller marks its posting with an idempotent class of the same service. If
// that were taken, a posting that may have run would be sent again, and run
// twice: the class of a route is the route's alone.
TEST_CASE("a caller's header does not make a posting repeatable")
{
  HttpRequest request = Request("POST", "/post/1", "key-a");
  request.headers.push_back({ "X-Dogwoodvale-Class", "read" });
  REQUIRE(ClassOf(request) == "post");
}

TEST_CASE("what a customer may not use is refused by name")
{
  REQUIRE(ClassOf(Request("POST", "/post/1", "key-b")) == "class_not_allowed");
  REQUIRE(ClassOf(Request("GET", "/read?x=1", "key-b")) == "read");
  REQUIRE(ClassOf(Request("GET", "/elsewhere", "key-b")) == "unknown_route");
  REQUIRE(ClassOf(Request("GET", "/read", "key-c")) == "unauthorized");
}

TEST_CASE("a model request that can't be answered as asked is refused")
{
  HttpRequest request = Request("POST", "/v1/chat/completions", "key-a");
  request.body = R"({"model":"x","messages":[{"role":"user","content":"x"}]})";
  REQUIRE(ClassOf(request) == "unknown_model");
  for (const char* bad : {
         "",
         "[]",
         R"({"model":"m"})",
         R"({"model":"m","messages":[]})",
         R"({"model":"m","messages":[{"role":"user"}],"n":2})",
         R"({"model":"m","messages":[{"role":"user"}],"max_tokens":0})",
         R"({"model":"m","messages":[{"role":"user"}],"tools":[{}]})",
       }) {
    request.body = bad;
    REQUIRE(ClassOf(request) == "bad_request");
  }
  request.body = std::string(100000, '[');
  REQUIRE(ClassOf(request) == "bad_request");
}

TEST_CASE("a resumed request tells the engine what was generated already")
{
  const auto parsed = CompletionRequest::Parse(
    CompletionRequest::kChatPath,
    R"({"model":"m","max_tokens":10,"messages":[{"role":"user","content":"x"}]})");
  REQUIRE(parsed.ok());
  const std::string body = parsed->EngineBody(3, 100, "one two ", 2);
  REQUIRE(body.find(R"("continue_final_message":true)") != std::string::npos);
  REQUIRE(body.find(R"("content":"one two ")") != std::string::npos);
  REQUIRE(body.find(R"("max_tokens":8)") != std::string::npos);
  REQUIRE(body.find(R"("priority":3)") != std::string::npos);
}
