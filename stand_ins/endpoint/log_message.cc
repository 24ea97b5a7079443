#include "stand_ins/endpoint/log_message.h"

#include <utility>

#include "common/json.h"
#include "stand_ins/endpoint/messages.h"

namespace amaranthlane::stand_ins {

namespace {

LogEntry ParseLogEntry(const nlohmann::json& value) {
  const json::ObjectReader reader(value, "log entry");
  LogEntry entry;
  entry.term = reader.Unsigned("term");
  for (const nlohmann::json& element : reader.Array("writes")) {
    const json::ObjectReader write(element, "row write");
    entry.writes.push_back({write.String("key"), write.Member("value").dump()});
  }
  if (reader.Has("idempotency_key")) {
    entry.idempotency_key = reader.String("idempotency_key");
    entry.statement = reader.String("statement");
    entry.result = reader.Member("result").dump();
  }
  return entry;
}

}  // namespace

std::string FormatLogEntry(const LogEntry& entry) {
  std::string text = R"({"term":)" + std::to_string(entry.term) + R"(,"writes":[)";
  for (const RowWrite& write : entry.writes) {
    text += &write == &entry.writes.front() ? R"({"key":)" : R"(,{"key":)";
    AppendJsonString(text, write.key);
    text += R"(,"value":)" + write.value + "}";
  }
  text += ']';
  if (!entry.idempotency_key.empty()) {
    text += R"(,"idempotency_key":)";
    AppendJsonString(text, entry.idempotency_key);
    text += R"(,"statement":)";
    AppendJsonString(text, entry.statement);
    text += R"(,"result":)" + entry.result;
  }
  return text + "}";
}

LogResponse ParseLogResponse(const std::string& body) {
  const nlohmann::json value = json::Parse(body, "log response");
  const json::ObjectReader reader(value, "log response");
  LogResponse response;
  response.term = reader.Unsigned("term");
  for (const nlohmann::json& element : reader.Array("entries")) {
    response.entries.push_back(ParseLogEntry(element));
  }
  return response;
}

}  // namespace amaranthlane::stand_ins
