#ifndef AMARANTHLANE_PROXY_CALLER_SESSION_H_
#define AMARANTHLANE_PROXY_CALLER_SESSION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "core/statements/session_restore.h"
#include "core/statements/statement.h"
#include "proxy/frame_reader.h"
#include "proxy/graceful_close.h"
#include "proxy/session.h"
#include "proxy/session_context.h"

namespace amaranthlane::proxy {

// Where a session that this VM serves comes from.
enum class SessionSource : std::uint8_t {
  // A caller. The session may be relayed to a gateway.
  kCaller,
  // A caller. No gateway has accepted the session.
  kCallerWithoutGateway,
  // Another VM, which relays it to this one.
  kRelay,
};

// A caller's session that this VM serves: its session values, prepared statements and transaction, and the statement
// that is being executed. Used on one thread.
class CallerSession : public Session, public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(boost::asio::ip::tcp::socket socket, SessionContext& context, SessionSource source);

  // `initial_bytes` are bytes that the caller has already sent.
  void Start(std::string initial_bytes = {});

  // Limits the time that the session's opening or a statement may wait for the newest configuration, the time that a
  // transaction may be idle, and the time that the caller may take to react to the close notice.
  void Tick(TimePoint now) override;
  bool CloseWhenIdle(const std::string& reason) override;
  // The caller learns of it when it sends its next statement.
  void AbortTransaction(const std::string& reason) override;
  void Close() override;
  bool Closed() const override;

 private:
  // The statement that is being executed.
  struct Operation {
    statements::Statement statement;
    Route route;
    TimePoint received_at;
    TimePoint deadline;
    // Attempts at an endpoint, the current one included, without those that were rejected.
    int attempts = 0;
    // How often an endpoint rejected the statement without running it.
    int rejections = 0;
    // True once the statement itself has been sent to an endpoint in the current attempt.
    bool sent = false;
    // True when an earlier attempt may have run the statement.
    bool may_have_run = false;
    std::uint64_t request_id = 0;
    // The request for a permit that it waits for; 0: none.
    quotas::OperationId permit_request = 0;
    EndpointName endpoint;
    EndpointName avoided_endpoint;
    std::optional<LogPosition> min_position;
    std::shared_ptr<EndpointConnection> connection;
    TimePoint granted_at;
  };
  // A transaction that the caller has begun. `connection` is null until its first statement goes to an endpoint.
  struct Transaction {
    statements::Statement begin_statement;
    std::shared_ptr<EndpointConnection> connection;
    TimePoint idle_since;
    // A statement that writes was sent to the endpoint.
    bool has_writes = false;
    bool failed = false;
    std::string failure_reason;
  };

  void Read();
  void OnReceived(std::string_view bytes);
  // Handles the messages that have been received, as far as the session may go on.
  void OnBytes();
  void HandleMessages();
  void AbortOpenTransaction(const std::string& reason);
  // Between two messages: aborts the transaction and begins the graceful close if they were asked for. Returns true
  // when no further message may be handled.
  bool EndBetweenMessages();
  // Handles bytes that arrive after the close notice was sent.
  void OnBytesWhileClosing(std::string_view bytes);
  // Handles a notice of the relaying VM.
  void OnRelayNotice(const std::string& notice);
  // Tells the relaying VM of a newer configuration than the one that either side has mentioned.
  void SendRelayNotice();
  // Handles one frame. Returns false when no further frame may be handled.
  bool HandleFrame(const std::string& frame);
  // Logs and counts a message that is no statement and was refused.
  void ReportRejectedMessage(statements::FailureCode code, const std::string& reason);
  // Answers a message whose end isn't awaited with a failure, and closes the session.
  void RejectIncompleteMessage(statements::FailureCode code, const std::string& reason);
  void OnOpenSession(const OpenSession& message);
  void TryOpen();
  void RefuseOpening(const std::string& wanted_database, statements::FailureCode code, const std::string& reason);
  // Hands the session over to be relayed to a gateway. Returns false when this VM serves it.
  bool Relay(const Route& route, const OrganisationName& for_organisation);
  // Limits how long the opening waits for the newest configuration.
  void CheckOpenDeadline(TimePoint now);
  // True when the route in force decides how the statement is served, so that it must be the newest one.
  bool DependsOnRoute(const statements::Statement& statement) const;
  void ServeHeldStatement(TimePoint now);
  // Begins a transaction that has failed if the operation's statement is a BEGIN, which is then refused. The statements
  // that its caller has sent ahead would run by themselves otherwise, though nothing of the transaction may be kept.
  void FailRefusedTransaction();
  void OnStatement(const statements::Statement& statement);
  void OnBegin(const statements::Statement& statement);
  void OnSessionChange(const statements::Statement& statement);
  // True when the statement to prepare can be sent to an endpoint.
  bool FitsEndpoint(const statements::Statement& preparation) const;
  void EndTransactionLocally(const statements::Statement& statement);
  void StartOperation(const statements::Statement& statement);
  // Whether the session's key may use the route now, and on behalf of which organisation.
  access::AccessDecision Authorize(const Configuration& configuration) const;
  bool HasAccess() const;
  // True when the key belongs to another organisation than when the running operation or transaction began.
  bool OrganisationChanged() const;
  // Answers a statement of a session whose key gives no access, and ends its transaction.
  void Deny(const statements::Statement& statement);
  // Refuses the running statement, which was granted a connection but hasn't been sent, if the key has lost its access
  // or belongs to another organisation now. Returns whether it did.
  bool RefuseForChangedAccess();
  // The running statement is refused: ends the transaction if it is COMMIT, otherwise marks it as failed.
  void EndTransactionAfterRefusal(const std::string& reason);

  // Obtains a permit for the operation, then a connection. Retries use the same permit.
  void RequestPermit();
  void RequestConnection(TimePoint not_before);
  void OnGrant(const Grant& grant);
  void OnRefusal(const Refusal& refusal);
  void SetUpConnection();
  void SendBegin();
  void SendStatement();
  void RejectLargeStatement();
  void SendStatementLater(Duration delay);
  void OnAnswer(ExchangeStatus status, const std::vector<EndpointAnswer>& answers);
  void OnSuccess(const EndpointAnswer& answer);
  void OnEndpointFailure(const EndpointAnswer& answer);
  void OnLostAnswer(ExchangeStatus status);
  // Returns the connection to its pool and requests another one. Returns false when the limit of attempts or the
  // deadline is reached.
  bool Retry(TimePoint not_before);
  // The same after an endpoint rejected the statement, or the BEGIN of its transaction, with this code.
  bool RetryAfterRejection(statements::FailureCode code);
  void ReturnConnection();
  bool Writes(const statements::Statement& statement) const;
  const statements::PreparedStatement* FindPrepared(const statements::Statement& statement) const;
  bool IsAutocommit() const;
  TimePoint AnswerDeadline() const;

  void FailStatement(statements::FailureCode code, const std::string& reason);
  void FailTransaction(const std::string& reason);
  void FailCommit(statements::FailureCode code, const std::string& reason);
  void CompleteStatement(const std::string& frames, statements::TransactionStatus state);
  void ReportFinished(const std::string& outcome, const std::string& reason, bool failed);
  void Send(std::string bytes);
  void Write();
  // After the last answer: ends this side of the connection, and drops what the caller still sends until it closes.
  void Linger();
  void ReleaseTransactionConnection(bool ended);
  void RollBackAndRelease(const std::shared_ptr<EndpointConnection>& connection, const GroupName& owning_group);
  statements::TransactionStatus CurrentStatus() const;

  boost::asio::ip::tcp::socket socket;
  SessionContext& context;
  std::array<char, 4096> read_buffer{};
  FrameReader reader;
  std::string pending_output;
  std::string write_buffer;
  bool write_in_progress = false;
  bool close_after_write = false;
  bool handling_messages = false;
  // When a session whose last answer has been sent is closed; kNever before that.
  TimePoint linger_deadline = kNever;
  bool reading = false;
  bool closed = false;
  SessionSource source = SessionSource::kCaller;

  std::optional<OpenSession> pending_open;
  std::string open_frame;
  TimePoint open_deadline;
  std::string database;
  // The digest of the caller's API key, or of what stands in its place where no keys are required; none before the
  // session is open.
  std::optional<access::KeyDigest> key;
  // The organisation of the running operation or transaction; empty: none.
  OrganisationName organisation;
  GroupName group;
  statements::SessionValues values;
  std::map<std::string, statements::PreparedStatement> prepared;
  std::optional<LogPosition> last_commit_position;
  std::optional<Transaction> transaction;
  std::optional<Operation> operation;
  // A statement that waits until this VM has the newest configuration.
  std::optional<statements::Statement> held_statement;
  TimePoint hold_deadline;
  // The newest version of the configuration that the relaying VM or this VM has mentioned in a notice; none: the
  // relaying VM sends no notices.
  std::optional<std::uint64_t> noticed_version;
  // Why the session is to be closed when it is idle, and why its transaction is to be aborted; empty: it isn't.
  std::string closing_reason;
  std::string abort_reason;
  std::optional<GracefulClose> graceful_close;
  // Counts from the end of the write that carried the close notice.
  TimePoint graceful_close_deadline;
  // Increased with each operation and attempt, so that callbacks of earlier ones are recognised and ignored.
  std::uint64_t generation = 0;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_CALLER_SESSION_H_
