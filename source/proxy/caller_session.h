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
#include "core/statements/session_replay.h"
#include "core/statements/statement.h"
#include "proxy/graceful_close.h"
#include "proxy/session.h"
#include "proxy/session_context.h"

namespace amaranthlane::proxy {

// One caller's connection: its values, prepared statements and transaction, and the statement that is under way. Used
// on one thread.
class CallerSession : public Session, public std::enable_shared_from_this<CallerSession> {
 public:
  // `may_relay`: another VM may serve the session. Sessions that were passed on once stay.
  CallerSession(boost::asio::ip::tcp::socket socket, SessionContext& context, bool may_relay);

  // `beginning` are bytes that the caller has sent already.
  void Start(std::string initial_bytes = {});

  // Ends the opening when no configuration comes, a transaction that rests, and a farewell without an answer.
  void Tick(TimePoint now) override;
  bool CloseIfIdle(const std::string& reason) override;
  // The caller is told at its next statement.
  void AbortTransaction(const std::string& reason) override;
  void Close() override;
  bool Closed() const override;

 private:
  // The statement under way.
  struct Operation {
    statements::Statement statement;
    Route route;
    TimePoint received_at;
    TimePoint deadline;
    // Times that the statement went to an endpoint and may have run there, the present one included.
    int attempts = 0;
    // Times that an endpoint turned it away unrun.
    int rejections = 0;
    // True once the statement itself was sent to an endpoint in the present attempt.
    bool sent = false;
    // It may have run at some endpoint.
    bool may_have_run = false;
    std::uint64_t request_id = 0;
    EndpointName endpoint;
    EndpointName avoided_endpoint;
    std::optional<LogPosition> at_least;
    std::shared_ptr<EndpointConnection> connection;
    TimePoint granted_at;
  };
  // A transaction that the caller has begun. `connection` is null until its first statement goes to an endpoint.
  struct Transaction {
    statements::Statement begin_statement;
    std::shared_ptr<EndpointConnection> connection;
    TimePoint idle_since;
    // A statement other than reads was passed on.
    bool has_writes = false;
    bool failed = false;
    std::string failure_reason;
  };

  void Read();
  void OnBytes();
  // Answers what comes after the farewell.
  void OnBytesWhileClosing();
  // Handles one frame; false ends the session.
  bool HandleFrame(const std::string& frame);
  void OnOpenSession(const OpenSession& message);
  void TryOpen();
  // Hands the session to a carrier. Returns false when it is served here.
  bool Relay(const Route& route);
  void OnStatement(const statements::Statement& statement);
  void OnBegin(const statements::Statement& statement);
  void OnSessionChange(const statements::Statement& statement);
  void EndTransactionLocally(const statements::Statement& statement);
  void StartOperation(const statements::Statement& statement);

  void RequestConnection(TimePoint not_before);
  void OnGrant(const Grant& grant);
  void OnRefusal(const Refusal& refusal);
  void SetUpConnection();
  void SendBegin();
  void SendStatement();
  void SendStatementLater(Duration pause);
  void OnAnswer(ExchangeStatus status, const std::vector<EndpointAnswer>& answers);
  void OnSuccess(const EndpointAnswer& answer);
  void OnEndpointFailure(const EndpointAnswer& answer);
  void OnLostAnswer(ExchangeStatus status);
  // Gives the connection back, or closes it, and looks for another one. Returns false when the limits are reached.
  bool Retry(TimePoint not_before);
  // The same after an endpoint turned the statement or its transaction away unrun with this code.
  bool RetryAfterRejection(statements::FailureCode code);
  void ReturnConnection();
  bool Writes(const statements::Statement& statement) const;
  const statements::PreparedStatement* FindPrepared(const statements::Statement& statement) const;
  bool IsAutocommit() const;
  TimePoint AnswerDeadline() const;

  void FailStatement(statements::FailureCode code, const std::string& reason);
  void FailTransaction(const std::string& reason);
  void FailCommit(statements::FailureCode code, const std::string& reason);
  void CompleteStatement(const std::string& frames, statements::SessionState state);
  void ReportFinished(const std::string& outcome, const std::string& reason, bool failed);
  void Send(std::string bytes);
  void Write();
  void ReleaseTransactionConnection(bool rolled_back);
  void RollBackAndRelease(const std::shared_ptr<EndpointConnection>& connection, const GroupName& group);
  statements::SessionState CurrentStatus() const;

  boost::asio::ip::tcp::socket socket;
  SessionContext& context;
  std::array<char, 4096> read_buffer{};
  std::string received;
  std::string pending_output;
  std::string write_buffer;
  bool write_in_progress = false;
  bool close_after_write = false;
  bool reading = false;
  bool closed = false;
  bool may_relay = false;

  std::optional<OpenSession> pending_open;
  std::string open_frame;
  TimePoint open_deadline;
  std::string database;
  GroupName group;
  statements::SessionValues values;
  std::map<std::string, statements::PreparedStatement> prepared;
  std::optional<LogPosition> last_commit_position;
  std::optional<Transaction> transaction;
  std::optional<Operation> operation;
  std::optional<GracefulClose> graceful_close;
  TimePoint graceful_close_deadline;
  // Distinguishes the present operation's callbacks from those of earlier ones.
  std::uint64_t generation = 0;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_CALLER_SESSION_H_
