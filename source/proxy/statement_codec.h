#ifndef AMARANTHLANE_PROXY_STATEMENT_CODEC_H_
#define AMARANTHLANE_PROXY_STATEMENT_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/failover/endpoint_status.h"
#include "core/statements/session_restore.h"
#include "core/statements/statement.h"
#include "core/types.h"

// What callers and endpoints say, independent of the bytes that carry it.
namespace amaranthlane::proxy {

// A caller opens its session.
struct OpenSession {
  std::string database;
  std::string who;
};
struct CloseSession {};
// Bytes that are no message. `id` is set when the message names one.
struct MalformedMessage {
  std::string why;
};
using CallerMessage = std::variant<OpenSession, statements::Statement, CloseSession, MalformedMessage>;

// One message of an endpoint.
struct EndpointMessage {
  enum class Kind : std::uint8_t { kRow, kComplete, kFailure, kReady, kMalformed };
  Kind kind = Kind::kMalformed;
  // The row's content.
  std::string row;
  // For kFailure.
  statements::FailureCode code = statements::FailureCode::kFailed;
  std::string text;
  // For kReady.
  statements::TransactionStatus state = statements::TransactionStatus::kIdle;
  std::optional<LogPosition> position;
};

// Turns messages into bytes and back. Each message is a frame that ends where FrameLength says.
class StatementCodec {
 public:
  virtual ~StatementCodec() = default;

  // The length of the first frame in `bytes`, its end mark included; 0 when it isn't whole yet.
  virtual std::size_t FrameLength(std::string_view bytes) const = 0;
  virtual CallerMessage ParseCallerMessage(std::string_view frame) const = 0;
  virtual EndpointMessage ParseEndpointMessage(std::string_view frame) const = 0;

  // To callers.
  virtual std::string Ready(statements::TransactionStatus state) const = 0;
  // A statement that the proxy completed itself.
  virtual std::string Complete() const = 0;
  virtual std::string Failure(statements::FailureCode code, std::string_view text) const = 0;

  // To endpoints.
  virtual std::string Connect(const GroupName& group, const VmName& who, const EndpointName& endpoint) const = 0;
  // The caller's statement, with its id and text; a prepared statement is executed under `endpoint_name`. The endpoint
  // refuses it unless its log has `at_least`.
  virtual std::string Forward(const statements::Statement& statement, const std::optional<LogPosition>& at_least,
                              const std::string& endpoint_name) const = 0;
  virtual std::string Replay(const statements::RestoreStep& step) const = 0;
  virtual std::string Rollback() const = 0;
  virtual std::string Status() const = 0;
  virtual std::string StepDown(Term term) const = 0;
  // Reads the row that answers Status(); throws ParseError.
  virtual failover::EndpointStatus ParseStatus(std::string_view row) const = 0;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_STATEMENT_CODEC_H_
