#include "client/statement.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "common/error.h"
#include "common/json.h"
#include "common/json_text.h"

namespace amaranthlane::client {

namespace {

using Json = nlohmann::json;

constexpr char kDocument[] = "answer";
constexpr std::string_view kUrnPrefix = "urn:amaranthlane:";
constexpr unsigned kStatusOk = 200;
constexpr std::int64_t kMaxTimeLimitMs = 24LL * 60 * 60 * 1000;

std::optional<Outcome> FindOutcome(std::string_view name) {
  for (const Outcome outcome : {Outcome::kDone, Outcome::kNotRun, Outcome::kUnknown}) {
    if (OutcomeName(outcome) == name) {
      return outcome;
    }
  }
  return std::nullopt;
}

void ParseSuccess(const json::ObjectReader& reader, AttemptResult& attempt) {
  attempt.outcome = Outcome::kDone;
  attempt.result.result = reader.Member("result").dump();
  attempt.result.replayed = reader.Bool("replayed");
  attempt.result.age_bound = reader.Milliseconds("age_bound_ms");
  const json::ObjectReader served_by(reader.Object("served_by"), kDocument);
  attempt.result.endpoint = served_by.String("endpoint");
  attempt.result.from_replica = served_by.String("role") == "replica";
  const json::ObjectReader position(reader.Object("position"), kDocument);
  attempt.result.position = {position.Unsigned("term"), position.Unsigned("offset")};
}

void ParseProblem(const json::ObjectReader& reader, AttemptResult& attempt) {
  std::string type = reader.String("type");
  if (type.starts_with(kUrnPrefix)) {
    type.erase(0, kUrnPrefix.size());
  }
  attempt.result.problem = type;
  // A problem document without an outcome rejects the request itself, so the statement did not run.
  attempt.outcome = FindOutcome(reader.StringOr("outcome", "not_run"));
}

}  // namespace

AttemptResult ParseStatementResponse(const net::HttpResponse& response) {
  const Json body = json::Parse(response.body, kDocument);
  const json::ObjectReader reader(body, kDocument);
  AttemptResult attempt;
  if (response.status == kStatusOk) {
    ParseSuccess(reader, attempt);
  } else {
    ParseProblem(reader, attempt);
  }
  attempt.session_token = std::string(net::FindHeader(response.headers, "Session-Token"));
  const std::string_view retry_after = net::FindHeader(response.headers, "Retry-After");
  std::int64_t seconds = 0;
  const auto [end, error] = std::from_chars(retry_after.data(), retry_after.data() + retry_after.size(), seconds);
  if (error == std::errc() && end != retry_after.data() && seconds >= 0) {
    attempt.retry_after = std::chrono::seconds(seconds);
  }
  return attempt;
}

bool IsWellFormed(const Statement& statement) {
  return json::IsObjectText(statement.statement) && Json::parse(json::QuoteJson(statement.kind)) == statement.kind;
}

net::HttpRequest BuildStatementRequest(const Statement& statement, std::string_view bearer_key,
                                       std::string_view session_token, TimePoint now) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/groups/" + net::EncodePathSegment(statement.group) + "/statements";
  if (!bearer_key.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + std::string(bearer_key)});
  }
  if (!session_token.empty()) {
    request.headers.push_back({"Session-Token", std::string(session_token)});
  }
  if (!statement.idempotency_key.empty()) {
    request.headers.push_back({"Idempotency-Key", statement.idempotency_key});
  }
  const std::int64_t remaining_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(statement.deadline - now).count();
  request.body = "{\"kind\":" + json::QuoteJson(statement.kind) + ",\"mode\":\"" +
                 std::string(outcomes::StatementModeName(statement.mode)) +
                 "\",\"time_limit_ms\":" + std::to_string(std::clamp<std::int64_t>(remaining_ms, 0, kMaxTimeLimitMs)) +
                 ",\"statement\":" + statement.statement + "}";
  return request;
}

}  // namespace amaranthlane::client
