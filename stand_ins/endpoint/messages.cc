#include "stand_ins/endpoint/messages.h"

#include <algorithm>
#include <utility>

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::stand_ins {

namespace {

constexpr std::uint64_t kDefaultListLimit = 100;
constexpr unsigned char kFirstPrintable = 0x20;

Statement ParseStatement(const nlohmann::json& value) {
  const json::ObjectReader reader(value, "statement");
  const std::string operation = reader.String("op");
  Statement statement;
  statement.canonical_text = value.dump();
  if (operation == "put") {
    statement.operation = Operation::kPut;
    statement.key = reader.String("key");
    statement.value = reader.Member("value").dump();
  } else if (operation == "get") {
    statement.operation = Operation::kGet;
    statement.key = reader.String("key");
  } else if (operation == "add") {
    statement.operation = Operation::kAdd;
    statement.key = reader.String("key");
    const nlohmann::json& amount = reader.Member("amount");
    if (!amount.is_number_integer()) {
      throw ParseError("statement", "amount", "a whole number");
    }
    statement.amount = amount.get<std::int64_t>();
  } else if (operation == "list") {
    statement.operation = Operation::kList;
    statement.key = reader.String("prefix");
    statement.limit = reader.UnsignedOr("limit", kDefaultListLimit);
  } else {
    throw ParseError("statement", "op", "put, get, add or list");
  }
  return statement;
}

bool ParseWriteMode(const std::string& mode) {
  if (mode != "read" && mode != "write") {
    throw ParseError("statement request", "mode", "read or write");
  }
  return mode == "write";
}

}  // namespace

bool Statement::IsWrite() const { return this->operation == Operation::kPut || this->operation == Operation::kAdd; }

StatementRequest ParseStatementRequest(const std::string& body) {
  const nlohmann::json value = json::Parse(body, "statement request");
  const json::ObjectReader reader(value, "statement request");
  StatementRequest request;
  request.request_id = reader.Member("request_id").dump();
  request.term = reader.Unsigned("term");
  request.write_mode = ParseWriteMode(reader.String("mode"));
  request.autocommit = reader.BoolOr("autocommit", false);
  request.statement = ParseStatement(reader.Object("statement"));
  request.idempotency_key = reader.StringOr("idempotency_key", "");
  if (request.statement.IsWrite() && !request.write_mode) {
    throw ParseError("statement request", "mode", "write for a statement that writes");
  }
  return request;
}

TransactionEndRequest ParseTransactionEndRequest(const std::string& body) {
  const nlohmann::json value = json::Parse(body, "end request");
  const json::ObjectReader reader(value, "end request");
  return {reader.Member("request_id").dump(), reader.Unsigned("term"), reader.StringOr("idempotency_key", "")};
}

ConfigureRequest ParseConfigureRequest(const std::string& body) {
  const nlohmann::json value = json::Parse(body, "configure request");
  const json::ObjectReader reader(value, "configure request");
  ConfigureRequest request = {reader.Unsigned("term"), reader.String("primary"), {}};
  for (const nlohmann::json& element : reader.Array("instances")) {
    const json::ObjectReader instance(element, "instance");
    request.instances.push_back({instance.String("endpoint"), instance.String("address")});
  }
  return request;
}

void AppendJsonString(std::string& output, const std::string& text) {
  const bool plain = std::all_of(text.begin(), text.end(), [](char letter) {
    return static_cast<unsigned char>(letter) >= kFirstPrintable && letter != '"' && letter != '\\';
  });
  if (!plain) {
    output += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return;
  }
  output += '"';
  output += text;
  output += '"';
}

}  // namespace amaranthlane::stand_ins
