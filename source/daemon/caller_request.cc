#include "daemon/caller_request.h"

#include <nlohmann/json.hpp>
#include <vector>

#include "common/error.h"
#include "common/json.h"
#include "common/json_text.h"
#include "core/outcomes/retry_rule.h"

namespace amaranthlane::daemon {

namespace {

using Json = nlohmann::json;

constexpr char kDocument[] = "request";
constexpr char kNameSeparator = '~';

void ParseStatementFields(const Json& body, CallerRequest& request) {
  const json::ObjectReader reader(body, kDocument);
  request.mode = outcomes::ParseStatementMode(reader.String("mode"));
  request.statement = reader.Object("statement").dump();
  if (reader.Has("time_limit_ms")) {
    request.time_limit = reader.Milliseconds("time_limit_ms");
  }
}

void ParseTransactionName(const std::string& name, CallerRequest& request) {
  const std::size_t group_end = name.find(kNameSeparator);
  const std::size_t kind_end = name.rfind(kNameSeparator);
  if (group_end == kind_end) {
    throw ParseError(kDocument, "transaction", "a transaction name GROUP~KIND~ID");
  }
  request.group = name.substr(0, group_end);
  request.kind = name.substr(group_end + 1, kind_end - group_end - 1);
  request.transaction = transactions::ParseTransactionId(name.substr(kind_end + 1));
}

CallerRequest ParseGroupCall(const std::vector<std::string>& segments, const net::HttpRequest& request) {
  CallerRequest parsed;
  parsed.group = segments[2];
  if (segments.size() == 5 && segments[3] == "outcomes" && request.method == "GET") {
    parsed.work = WorkKind::kOutcomeQuery;
    parsed.idempotency_key = segments[4];
    return parsed;
  }
  const bool statement = segments.size() == 4 && segments[3] == "statements";
  const bool begin = segments.size() == 4 && segments[3] == "transactions";
  if (request.method != "POST" || (!statement && !begin)) {
    throw UnknownCallError();
  }
  const Json body = json::Parse(request.body, kDocument);
  parsed.kind = json::ObjectReader(body, kDocument).String("kind");
  if (begin) {
    parsed.work = WorkKind::kBegin;
  } else {
    ParseStatementFields(body, parsed);
  }
  return parsed;
}

CallerRequest ParseTransactionCall(const std::vector<std::string>& segments, const net::HttpRequest& request) {
  CallerRequest parsed;
  if (request.method != "POST" || segments.size() != 4) {
    throw UnknownCallError();
  }
  ParseTransactionName(segments[2], parsed);
  if (segments[3] == "statements") {
    parsed.work = WorkKind::kTransactionStatement;
    ParseStatementFields(json::Parse(request.body, kDocument), parsed);
  } else if (segments[3] == "commit") {
    parsed.work = WorkKind::kCommit;
  } else if (segments[3] == "rollback") {
    parsed.work = WorkKind::kRollback;
  } else {
    throw UnknownCallError();
  }
  return parsed;
}

}  // namespace

UnknownCallError::UnknownCallError() : Error("the callers' interface has no call with this method and path") {}

CallerRequest ParseCallerRequest(const net::HttpRequest& request) {
  const std::vector<std::string> segments = net::PathSegments(net::TargetPath(request.target));
  if (segments.size() < 4 || segments[0] != "v1") {
    throw UnknownCallError();
  }
  if (segments[1] != "groups" && segments[1] != "transactions") {
    throw UnknownCallError();
  }
  CallerRequest parsed =
      segments[1] == "groups" ? ParseGroupCall(segments, request) : ParseTransactionCall(segments, request);
  if (parsed.work != WorkKind::kOutcomeQuery) {
    parsed.idempotency_key = std::string(net::FindHeader(request.headers, "Idempotency-Key"));
  }
  outcomes::CheckIdempotencyKeyFormat(parsed.idempotency_key);
  return parsed;
}

std::string FormatTransactionName(const GroupName& group, const std::string& kind,
                                  const transactions::TransactionId& id) {
  return group + kNameSeparator + kind + kNameSeparator + transactions::FormatTransactionId(id);
}

std::string FormatSuccessBody(const WorkRequest& work, const std::string& kind, const WorkReply& reply) {
  std::string body = "{\"outcome\":\"done\"";
  if (work.kind == WorkKind::kBegin) {
    return body + ",\"transaction\":" + json::QuoteJson(FormatTransactionName(work.group, kind, reply.transaction)) +
           "}";
  }
  body += ",\"result\":" + reply.result;
  body += reply.replayed ? ",\"replayed\":true" : ",\"replayed\":false";
  body += ",\"served_by\":{\"endpoint\":" + json::QuoteJson(reply.endpoint) + ",\"role\":";
  body += reply.from_replica ? "\"replica\"}" : "\"primary\"}";
  body += ",\"age_bound_ms\":" + std::to_string(reply.age_bound.count());
  return body + ",\"position\":{\"term\":" + std::to_string(reply.position.term) +
         ",\"offset\":" + std::to_string(reply.position.offset) + "}}";
}

}  // namespace amaranthlane::daemon
