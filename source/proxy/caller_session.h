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
#include "proxy/session.h"
#include "proxy/session_context.h"
#include "proxy/session_farewell.h"

namespace amaranthlane::proxy {

// One caller's connection: its values, prepared statements and transaction, and the statement that is under way. Used
// on one thread.
class CallerSession : public Session, public std::enable_shared_from_this<CallerSession> {
 public:
  // `may_relay`: another VM may serve the session. Sessions that were passed on once stay.
  CallerSession(boost::asio::ip::tcp::socket socket, SessionContext& context, bool may_relay);

  // `beginning` are bytes that the caller has sent already.
  void Start(std::string beginning = {});

  // Ends the opening when no configuration comes, a transaction that rests, and a farewell without an answer.
  void Tick(TimePoint now) override;
  bool CloseIfIdle(const std::string& why) override;
  // The caller is told at its next statement.
  void AbortTransaction(const std::string& why) override;
  void Close() override;
  bool Closed() const override;

 private:
  // The statement under way.
  struct Operation {
    statements::Statement statement;
    Route route;
    TimePoint received_at;
    TimePoint limit;
    // Times that the statement went to an endpoint and may have run there, the present one included.
    int attempts = 0;
    // Times that an endpoint turned it away unrun.
    int turned_away = 0;
    // True once the statement itself was sent to an endpoint in the present attempt.
    bool sent = false;
    // It may have run at some endpoint.
    bool may_have_run = false;
    std::uint64_t work = 0;
    EndpointName endpoint;
    EndpointName avoid;
    std::optional<LogPosition> at_least;
    std::shared_ptr<EndpointConnection> connection;
    TimePoint granted_at;
  };
  // A transaction that the caller has begun. `connection` is null until its first statement goes to an endpoint.
  struct Transaction {
    statements::Statement begin;
    std::shared_ptr<EndpointConnection> connection;
    TimePoint resting_since;
    // A statement other than reads was passed on.
    bool wrote = false;
    bool failed = false;
    std::string why_failed;
  };

  void Read();
  void OnBytes();
  // Answers what comes after the farewell.
  void OnFarewellBytes();
  // Handles one frame; false ends the session.
  bool Handle(const std::string& frame);
  void OnOpenSession(const OpenSession& message);
  void TryOpen();
  // Hands the session to a carrier. Returns false when it is served here.
  bool Relay(const Route& route);
  void OnStatement(const statements::Statement& statement);
  void OnBegin(const statements::Statement& statement);
  void OnSessionChange(const statements::Statement& statement);
  void EndWithoutEndpoint(const statements::Statement& statement);
  void StartOperation(const statements::Statement& statement);

  void Acquire(TimePoint not_before);
  void OnGrant(const Grant& grant);
  void OnRefusal(const Refusal& refusal);
  void BringUp();
  void SendBegin();
  void SendStatement();
  void SendStatementLater(Duration pause);
  void OnAnswer(ExchangeStatus status, const std::vector<EndpointAnswer>& answers);
  void OnSuccess(const EndpointAnswer& answer);
  void OnEndpointFailure(const EndpointAnswer& answer);
  void OnLostAnswer(ExchangeStatus status);
  // Gives the connection back, or closes it, and looks for another one. Returns false when the limits are reached.
  bool TryAgain(TimePoint not_before);
  // The same after an endpoint turned the statement or its transaction away unrun with this code.
  bool TryAgainAfter(statements::FailureCode code);
  void DropConnection();
  bool Writes(const statements::Statement& statement) const;
  const statements::PreparedStatement* Prepared(const statements::Statement& statement) const;
  bool SingleStatement() const;
  TimePoint AnswerDeadline() const;

  void FailStatement(statements::FailureCode code, const std::string& why);
  void FailTransaction(const std::string& why);
  void FailCommit(statements::FailureCode code, const std::string& why);
  void Complete(const std::string& frames, statements::TransactionStatus state);
  void ReportEnd(const std::string& outcome, const std::string& why, bool failed);
  void Send(std::string bytes);
  void Write();
  void ReleaseTransaction(bool rolled_back);
  void RollBack(const std::shared_ptr<EndpointConnection>& connection, const GroupName& group);
  statements::TransactionStatus State() const;

  boost::asio::ip::tcp::socket socket;
  SessionContext& context;
  std::array<char, 4096> chunk{};
  std::string received;
  std::string outgoing;
  std::string writing;
  bool write_under_way = false;
  bool close_after_write = false;
  bool reading = false;
  bool closed = false;
  bool may_relay = false;

  std::optional<OpenSession> opening;
  std::string opening_frame;
  TimePoint opening_limit;
  std::string database;
  GroupName group;
  statements::SessionValues values;
  std::map<std::string, statements::PreparedStatement> prepared;
  std::optional<LogPosition> last_commit;
  std::optional<Transaction> transaction;
  std::optional<Operation> operation;
  std::optional<SessionFarewell> farewell;
  TimePoint farewell_limit;
  // Distinguishes the present operation's callbacks from those of earlier ones.
  std::uint64_t serial = 0;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_CALLER_SESSION_H_
