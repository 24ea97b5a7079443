#include "daemon/work.h"

#include <algorithm>
#include <array>
#include <utility>

#include "common/error.h"
#include "common/json.h"
#include "common/json_text.h"

namespace amaranthlane::daemon {

namespace {

using Json = nlohmann::json;

constexpr char kRequestDocument[] = "work request";
constexpr char kReplyDocument[] = "work reply";

constexpr std::array<std::string_view, 6> kKindNames = {
    "statement", "begin", "transaction_statement", "commit", "rollback", "outcome_query",
};

// In the order of WorkProblem.
constexpr std::array<std::string_view, 23> kProblemNames = {
    "none",
    "not-leader",
    "overload",
    "deadline-passed",
    "connection-lost",
    "term-moved",
    "leadership-lost",
    "shutdown",
    "refused-by-endpoint",
    "key-conflict",
    "invalid-statement",
    "missing-idempotency-key",
    "position-lost",
    "transaction-not-found",
    "transaction-busy",
    "transaction-ended",
    "too-many-transactions",
    "no-leader",
    "unknown-group",
    "unknown-caller",
    "invalid-request",
    "invalid-session-token",
    "starting",
};

std::chrono::milliseconds ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

Json ToJson(const ServiceRequirements& requirements) {
  return Json{{"rank", RankName(requirements.rank)},
              {"freshness_ms", ToMilliseconds(requirements.max_staleness).count()},
              {"acknowledgement", AcknowledgementLevelName(requirements.acknowledgement)},
              {"read_your_writes", requirements.read_your_writes},
              {"idempotent", requirements.idempotent},
              {"time_limit_ms", ToMilliseconds(requirements.time_limit).count()},
              {"floor", requirements.floor}};
}

ServiceRequirements ParseRequirements(const Json& value) {
  const json::ObjectReader reader(value, kRequestDocument);
  ServiceRequirements requirements;
  requirements.rank = ParseRank(reader.String("rank"));
  requirements.max_staleness = reader.Milliseconds("freshness_ms");
  requirements.acknowledgement = ParseAcknowledgementLevel(reader.String("acknowledgement"));
  requirements.read_your_writes = reader.Bool("read_your_writes");
  requirements.idempotent = reader.Bool("idempotent");
  requirements.time_limit = reader.Milliseconds("time_limit_ms");
  requirements.floor = std::clamp(reader.Number("floor"), 0.0, 1.0);
  return requirements;
}

Json ToJson(const LogPosition& position) { return Json{{"term", position.term}, {"offset", position.offset}}; }

LogPosition ParsePosition(const Json& value, const char* document) {
  const json::ObjectReader reader(value, document);
  return LogPosition{reader.Unsigned("term"), reader.Unsigned("offset")};
}

template <std::size_t kCount>
std::size_t IndexOf(const std::array<std::string_view, kCount>& names, std::string_view name, const char* document) {
  const auto* const found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) {
    throw ParseError(document, std::string(name), "a known name");
  }
  return static_cast<std::size_t>(found - names.begin());
}

bool HasStatement(WorkKind kind) { return kind == WorkKind::kStatement || kind == WorkKind::kTransactionStatement; }

Outcome ParseOutcome(std::string_view name) {
  for (const Outcome outcome : {Outcome::kDone, Outcome::kNotRun, Outcome::kUnknown}) {
    if (OutcomeName(outcome) == name) {
      return outcome;
    }
  }
  throw ParseError(kReplyDocument, "outcome", "done, not_run or unknown");
}

Json ToJson(const scheduling::PressureReport& report) {
  Json rows = Json::array();
  for (const auto& targets : report.pressures) {
    for (const scheduling::RankPressure& pressure : targets) {
      rows.push_back(Json{{"wait_ms", ToMilliseconds(pressure.estimated_wait).count()},
                          {"service_ms", ToMilliseconds(pressure.expected_service_time).count()},
                          {"admission", pressure.admission_fraction}});
    }
  }
  return rows;
}

scheduling::PressureReport ParsePressure(const Json& rows) {
  scheduling::PressureReport report;
  if (rows.size() != kRankCount * scheduling::kTargetKindCount) {
    throw ParseError(kReplyDocument, "pressure", "one element for each rank and target");
  }
  std::size_t index = 0;
  for (auto& targets : report.pressures) {
    for (scheduling::RankPressure& pressure : targets) {
      const json::ObjectReader reader(rows[index], kReplyDocument);
      pressure.estimated_wait = reader.Milliseconds("wait_ms");
      pressure.expected_service_time = reader.Milliseconds("service_ms");
      pressure.admission_fraction = std::clamp(reader.Number("admission"), 0.0, 1.0);
      ++index;
    }
  }
  return report;
}

}  // namespace

std::string_view WorkProblemName(WorkProblem problem) { return kProblemNames[static_cast<std::size_t>(problem)]; }

WorkProblem ParseWorkProblem(std::string_view name) {
  return static_cast<WorkProblem>(IndexOf(kProblemNames, name, kReplyDocument));
}

WorkReply MakeFailedReply(WorkProblem problem, Outcome outcome) {
  WorkReply reply;
  reply.problem = problem;
  reply.outcome = outcome;
  return reply;
}

std::string FormatWorkRequest(const WorkRequest& request, TimePoint now) {
  Json message{{"work", kKindNames[static_cast<std::size_t>(request.kind)]},
               {"caller", request.caller},
               {"group", request.group},
               {"mode", outcomes::StatementModeName(request.mode)},
               {"statement", request.statement},
               {"obligation", ToJson(request.requirements)},
               {"left_ms", std::max<std::int64_t>(ToMilliseconds(request.deadline - now).count(), 0)},
               {"data_centre", request.data_centre}};
  if (!request.idempotency_key.empty()) {
    message["idempotency_key"] = request.idempotency_key;
  }
  if (request.token) {
    message["token"] = ToJson(*request.token);
  }
  if (request.kind != WorkKind::kStatement) {
    message["transaction"] = transactions::FormatTransactionId(request.transaction);
  }
  return message.dump();
}

WorkRequest ParseWorkRequest(std::string_view text, TimePoint now) {
  const Json message = json::Parse(text, kRequestDocument);
  const json::ObjectReader reader(message, kRequestDocument);
  WorkRequest request;
  request.kind = static_cast<WorkKind>(IndexOf(kKindNames, reader.String("work"), kRequestDocument));
  request.caller = reader.String("caller");
  request.group = reader.String("group");
  request.mode = outcomes::ParseStatementMode(reader.String("mode"));
  request.statement = reader.String("statement");
  if (HasStatement(request.kind) && !json::IsObjectText(request.statement)) {
    throw ParseError(kRequestDocument, "statement", "the text of a JSON object");
  }
  request.requirements = ParseRequirements(reader.Object("obligation"));
  request.deadline = now + reader.Milliseconds("left_ms");
  request.data_centre = reader.String("data_centre");
  request.idempotency_key = reader.StringOr("idempotency_key", "");
  if (reader.Has("token")) {
    request.token = ParsePosition(reader.Object("token"), kRequestDocument);
  }
  if (reader.Has("transaction")) {
    request.transaction = transactions::ParseTransactionId(reader.String("transaction"));
  }
  return request;
}

std::string FormatWorkReply(const WorkReply& reply) {
  Json message{{"outcome", OutcomeName(reply.outcome)}, {"problem", WorkProblemName(reply.problem)}};
  if (reply.outcome == Outcome::kDone) {
    message["result"] = reply.result;
    message["replayed"] = reply.replayed;
    message["endpoint"] = reply.endpoint;
    message["from_replica"] = reply.from_replica;
    message["age_bound_ms"] = reply.age_bound.count();
    message["position"] = ToJson(reply.position);
    message["transaction"] = transactions::FormatTransactionId(reply.transaction);
  } else {
    message["retry_after_ms"] = reply.retry_after.count();
  }
  if (reply.pressure) {
    message["pressure"] = ToJson(*reply.pressure);
  }
  return message.dump();
}

WorkReply ParseWorkReply(std::string_view text) {
  const Json message = json::Parse(text, kReplyDocument);
  const json::ObjectReader reader(message, kReplyDocument);
  WorkReply reply;
  reply.outcome = ParseOutcome(reader.String("outcome"));
  reply.problem = ParseWorkProblem(reader.String("problem"));
  if (reply.outcome == Outcome::kDone) {
    reply.result = reader.String("result");
    reply.replayed = reader.Bool("replayed");
    reply.endpoint = reader.String("endpoint");
    reply.from_replica = reader.Bool("from_replica");
    reply.age_bound = reader.Milliseconds("age_bound_ms");
    reply.position = ParsePosition(reader.Object("position"), kReplyDocument);
    reply.transaction = transactions::ParseTransactionId(reader.String("transaction"));
  }
  reply.retry_after = reader.MillisecondsOr("retry_after_ms", std::chrono::milliseconds(0));
  if (reader.Has("pressure")) {
    reply.pressure = ParsePressure(reader.Array("pressure"));
  }
  return reply;
}

}  // namespace amaranthlane::daemon
