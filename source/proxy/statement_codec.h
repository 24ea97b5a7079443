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

// The messages of callers and endpoints, independent of the wire format.
namespace amaranthlane::proxy {

// A caller opens its session. `credential` is its API key, or any name where no keys are required; in a relayed session
// it may stand for a key (access::RelayedCredential).
struct OpenSession {
  std::string database;
  std::string credential;
};
struct CloseSession {};
// A frame that is not a valid message.
struct MalformedMessage {
  std::string reason;
};
using CallerMessage = std::variant<OpenSession, statements::Statement, CloseSession, MalformedMessage>;

// One message of an endpoint.
struct EndpointMessage {
  // kUnforwardable: a row or completion in which a caller's reader may find other messages.
  enum class Kind : std::uint8_t { kRow, kComplete, kFailure, kReady, kUnforwardable, kMalformed };
  Kind kind = Kind::kMalformed;
  // For kRow.
  std::string row;
  // For kFailure.
  statements::FailureCode code = statements::FailureCode::kFailed;
  std::string text;
  // For kReady.
  statements::TransactionStatus state = statements::TransactionStatus::kIdle;
  std::optional<LogPosition> position;
};

// Encodes and parses messages. A message is one frame, whose end FrameLength finds.
class StatementCodec {
 public:
  virtual ~StatementCodec() = default;

  // The length of the first frame in `bytes` with its terminator, in bytes; 0 while it is incomplete. Only the
  // terminator matters, so that `bytes` may begin anywhere in the frame.
  virtual std::size_t FrameLength(std::string_view bytes) const = 0;
  // True when a message that holds `bytes` is malformed, whatever else it holds. They hold no terminator, but may end
  // with a part of one.
  virtual bool MakesMalformed(std::string_view bytes) const = 0;
  virtual CallerMessage ParseCallerMessage(std::string_view frame) const = 0;
  virtual EndpointMessage ParseEndpointMessage(std::string_view frame) const = 0;

  // Messages to callers.
  virtual std::string EncodeReady(statements::TransactionStatus state) const = 0;
  // Answers a statement that the proxy completed itself.
  virtual std::string EncodeComplete() const = 0;
  virtual std::string EncodeFailure(statements::FailureCode code, std::string_view text) const = 0;

  // A caller's message that every build refuses as malformed. A relaying VM sends it in place of a malformed one.
  virtual std::string EncodeMalformedMessage() const = 0;
  // A caller's opening message, for the gateway that its session is relayed to.
  virtual std::string EncodeOpenSession(const OpenSession& open) const = 0;

  // Messages to endpoints.
  // `identity`: on whose behalf the connection is used, an organisation or a VM.
  virtual std::string EncodeConnect(const GroupName& group, const std::string& identity,
                                    const EndpointName& endpoint) const = 0;
  // The caller's statement, with its id and text. A prepared statement is executed under `endpoint_statement_name`, its
  // name at the endpoint. The endpoint rejects the statement unless its log has reached `min_position`.
  virtual std::string EncodeStatement(const statements::Statement& statement,
                                      const std::optional<LogPosition>& min_position,
                                      const std::string& endpoint_statement_name) const = 0;
  virtual std::string EncodeRestoreStep(const statements::RestoreStep& step) const = 0;
  virtual std::string EncodeRollback() const = 0;
  virtual std::string EncodeStatusQuery() const = 0;
  virtual std::string EncodeStepDown(Term term) const = 0;
  // Parses the row that answers EncodeStatusQuery(). Throws ParseError.
  virtual failover::EndpointStatus ParseStatus(std::string_view row) const = 0;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_STATEMENT_CODEC_H_
