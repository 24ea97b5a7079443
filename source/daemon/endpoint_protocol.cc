#include "daemon/endpoint_protocol.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "common/error.h"
#include "common/json.h"
#include "common/json_text.h"
#include "core/replicas/position_reply.h"

namespace amaranthlane::daemon {

namespace {

using Json = nlohmann::json;

constexpr char kDocument[] = "endpoint reply";
constexpr std::string_view kProblemPrefix = "urn:amaranthlane:";
constexpr unsigned kStatusOk = 200;

struct RefusalName {
  std::string_view name;
  outcomes::EndpointRefusalReason reason;
};

constexpr std::array<RefusalName, 6> kRefusalNames = {{
    {"stale-term", outcomes::EndpointRefusalReason::kStaleTerm},
    {"unconfigured-term", outcomes::EndpointRefusalReason::kUnconfiguredTerm},
    {"not-primary", outcomes::EndpointRefusalReason::kNotPrimary},
    {"too-many-connections", outcomes::EndpointRefusalReason::kBusy},
    {"key-conflict", outcomes::EndpointRefusalReason::kKeyConflict},
    {"invalid-statement", outcomes::EndpointRefusalReason::kInvalidStatement},
}};

void AppendIdempotencyKey(std::string& body, std::string_view idempotency_key) {
  if (!idempotency_key.empty()) {
    body += ",\"idempotency_key\":" + json::QuoteJson(idempotency_key);
  }
}

std::string RequestPrefix(outcomes::RequestId request, Term term) {
  return "{\"request_id\":\"" + std::to_string(request) + "\",\"term\":" + std::to_string(term);
}

net::HttpRequest Post(const char* target, std::string body) {
  return net::HttpRequest{"POST", target, {}, std::move(body)};
}

outcomes::RequestId ParseRequestId(const std::string& text) {
  outcomes::RequestId id = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw ParseError(kDocument, "request_id", "a decimal request id");
  }
  return id;
}

std::optional<outcomes::EndpointRefusalReason> FindRefusal(std::string_view type) {
  if (!type.starts_with(kProblemPrefix)) {
    return std::nullopt;
  }
  type.remove_prefix(kProblemPrefix.size());
  for (const RefusalName& refusal : kRefusalNames) {
    if (refusal.name == type) {
      return refusal.reason;
    }
  }
  return std::nullopt;
}

}  // namespace

net::HttpRequest StatementMessage(const EndpointStatement& statement) {
  std::string body = RequestPrefix(statement.request, statement.term);
  body += statement.mode == outcomes::StatementMode::kRead ? ",\"mode\":\"read\"" : ",\"mode\":\"write\"";
  body += statement.autocommit ? ",\"autocommit\":true" : ",\"autocommit\":false";
  AppendIdempotencyKey(body, statement.idempotency_key);
  body += ",\"statement\":";
  body += statement.statement;
  body += "}";
  return Post("/v1/statement", std::move(body));
}

net::HttpRequest CommitMessage(outcomes::RequestId request, Term term, std::string_view idempotency_key) {
  std::string body = RequestPrefix(request, term);
  AppendIdempotencyKey(body, idempotency_key);
  return Post("/v1/commit", body + "}");
}

net::HttpRequest RollbackMessage(outcomes::RequestId request, Term term) {
  return Post("/v1/rollback", RequestPrefix(request, term) + "}");
}

net::HttpRequest PositionMessage(std::optional<std::uint64_t> after, std::chrono::milliseconds wait) {
  std::string target = "/v1/position";
  if (after) {
    target += "?after=" + std::to_string(*after) + "&wait_ms=" + std::to_string(wait.count());
  }
  return net::HttpRequest{"GET", std::move(target), {}, {}};
}

net::HttpRequest ConfigureMessage(const replicas::GroupRecord& record) {
  Json instances = Json::array();
  for (const replicas::Instance& instance : record.instances) {
    instances.push_back(Json{{"endpoint", instance.endpoint}, {"address", instance.address}});
  }
  const Json body{{"term", record.term}, {"primary", record.primary}, {"instances", std::move(instances)}};
  return Post("/v1/configure", body.dump());
}

net::HttpRequest OutcomeMessage(std::string_view idempotency_key, Term term) {
  return net::HttpRequest{
      "GET", "/v1/outcome?key=" + net::EncodePathSegment(idempotency_key) + "&term=" + std::to_string(term), {}, {}};
}

EndpointReply ParseEndpointReply(const net::HttpResponse& response) {
  const Json body = json::Parse(response.body, kDocument);
  const json::ObjectReader reader(body, kDocument);
  EndpointReply reply;
  if (response.status != kStatusOk) {
    reply.refusal = FindRefusal(reader.String("type"));
    if (!reply.refusal || reader.StringOr("outcome", "") != "not_run") {
      throw ParseError(kDocument, "type", "a known refusal type together with the outcome not_run");
    }
    reply.request = reader.Has("request_id") ? ParseRequestId(reader.String("request_id")) : 0;
    return reply;
  }
  reply.request = ParseRequestId(reader.String("request_id"));
  reply.result = reader.Has("result") ? reader.Member("result").dump() : "null";
  reply.term = reader.Unsigned("term");
  reply.position = replicas::ParseLogPosition(reader.Object("position"));
  reply.replayed = reader.BoolOr("replayed", false);
  return reply;
}

KeyOutcome ParseKeyOutcome(const net::HttpResponse& response) {
  const Json body = json::Parse(response.body, kDocument);
  const json::ObjectReader reader(body, kDocument);
  KeyOutcome outcome;
  outcome.known = reader.Bool("known");
  if (outcome.known) {
    outcome.result = reader.Has("result") ? reader.Member("result").dump() : "null";
    outcome.position = replicas::ParseLogPosition(reader.Object("position"));
  }
  return outcome;
}

Term ParseKnownTerm(const net::HttpResponse& response) {
  const Json body = json::Parse(response.body, kDocument);
  return json::ObjectReader(body, kDocument).UnsignedOr("term", 0);
}

}  // namespace amaranthlane::daemon
