#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_MESSAGES_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthlane::stand_ins {

enum class Operation : std::uint8_t { kPut, kGet, kAdd, kList };

// A statement of the stand-in's database.
struct Statement {
  Operation operation = Operation::kGet;
  // The row key, or the key prefix for kList.
  std::string key;
  // The JSON text that `put` stores.
  std::string value;
  std::int64_t amount = 0;
  std::uint64_t limit = 0;
  // The statement as canonical JSON text, compared when an idempotency key is repeated.
  std::string canonical_text;

  bool IsWrite() const;
};

// The body of /v1/statement.
struct StatementRequest {
  // The request id as JSON text.
  std::string request_id;
  std::uint64_t term = 0;
  bool write_mode = false;
  bool autocommit = false;
  Statement statement;
  // Empty: none.
  std::string idempotency_key;
};

// The body of /v1/commit and /v1/rollback.
struct TransactionEndRequest {
  std::string request_id;
  std::uint64_t term = 0;
  std::string idempotency_key;
};

struct InstanceAddress {
  std::string endpoint;
  std::string address;
};

// The body of /v1/configure.
struct ConfigureRequest {
  std::uint64_t term = 0;
  std::string primary;
  std::vector<InstanceAddress> instances;
};

// The parse functions throw ParseError.
StatementRequest ParseStatementRequest(const std::string& body);
TransactionEndRequest ParseTransactionEndRequest(const std::string& body);
ConfigureRequest ParseConfigureRequest(const std::string& body);

// Appends `text` as a JSON string.
void AppendJsonString(std::string& output, const std::string& text);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_MESSAGES_H_
