#include "proxy/caller_session.h"

#include <boost/asio/write.hpp>
#include <utility>

#include "common/error.h"
#include "logging/log.h"
#include "proxy/socket_options.h"

namespace amaranthlane::proxy {

using statements::FailureCode;
using statements::Statement;
using statements::StatementKind;
using statements::TransactionStatus;

namespace {

// How long a statement of an open session waits until this VM has the newest configuration.
constexpr std::chrono::milliseconds kStatementHoldTimeout{400};

}  // namespace

CallerSession::CallerSession(boost::asio::ip::tcp::socket socket, SessionContext& context, SessionSource source)
    : socket(std::move(socket)),
      context(context),
      reader(context.Codec(), source == SessionSource::kRelay ? NoticePolicy::kAccept : NoticePolicy::kReject),
      source(source) {}

void CallerSession::Start(std::string initial_bytes) {
  SetSocketOptions(this->socket);
  this->OnReceived(initial_bytes);
}

void CallerSession::Read() {
  if (this->reading || this->closed) {
    return;
  }
  this->reading = true;
  this->socket.async_read_some(boost::asio::buffer(this->read_buffer),
                               [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
                                 self->reading = false;
                                 if (error) {
                                   self->Close();
                                   return;
                                 }
                                 self->OnReceived(std::string_view(self->read_buffer.data(), size));
                               });
}

void CallerSession::OnReceived(std::string_view bytes) {
  if (this->close_after_write && !this->graceful_close) {
    this->Read();
    return;
  }
  if (this->graceful_close) {
    this->OnBytesWhileClosing(bytes);
    return;
  }
  this->reader.Append(bytes);
  this->OnBytes();
}

void CallerSession::OnBytes() {
  // A statement that ends at once calls this from within HandleMessages, whose loop goes on with the next one.
  if (this->handling_messages) {
    return;
  }
  const std::shared_ptr<CallerSession> alive = this->shared_from_this();
  this->handling_messages = true;
  this->HandleMessages();
  this->handling_messages = false;
}

// Handles one message at a time. Further bytes are kept until it is answered.
void CallerSession::HandleMessages() {
  if (this->graceful_close) {
    this->OnBytesWhileClosing({});
    return;
  }
  while (!this->closed && !this->operation && !this->pending_open && !this->held_statement &&
         !this->close_after_write) {
    if (this->EndBetweenMessages()) {
      this->OnBytesWhileClosing({});
      return;
    }
    const std::optional<Frame> frame = this->reader.Next();
    if (!frame) {
      break;
    }
    if (frame->kind == Frame::Kind::kNotice) {
      this->OnRelayNotice(frame->bytes);
      continue;
    }
    this->open_frame = this->database.empty() ? frame->bytes : std::string();
    if (!this->HandleFrame(frame->bytes)) {
      return;
    }
  }
  if (this->reader.TooLarge()) {
    this->RejectIncompleteMessage(FailureCode::kTooLarge, "message exceeds 1 MiB");
    return;
  }
  if (this->reader.Full()) {
    // Reading goes on when the running statement has ended and the messages after it are handled.
    return;
  }
  // Reading continues during an operation to detect a caller that disconnects. A session that may still be relayed must
  // not have a pending read.
  if (!this->pending_open || this->source != SessionSource::kCaller) {
    this->Read();
  }
}

void CallerSession::OnRelayNotice(const std::string& notice) {
  try {
    const KnownConfiguration known = ParseRelayNotice(notice);
    this->noticed_version = std::max(this->noticed_version.value_or(0), known.version);
    this->context.LearnConfiguration(known);
  } catch (const ParseError& failure) {
    logging::Write(logging::Level::kWarning, "malformed notice on a relayed session", {{"why", failure.what()}});
  }
}

void CallerSession::SendRelayNotice() {
  const KnownConfiguration& newest = this->context.NewestConfiguration();
  if (this->noticed_version && newest.version > *this->noticed_version) {
    this->noticed_version = newest.version;
    this->Send(EncodeRelayNotice(newest));
  }
}

void CallerSession::OnBytesWhileClosing(std::string_view bytes) {
  const std::string answer = this->graceful_close->OnBytes(bytes);
  if (!answer.empty()) {
    this->Send(answer);
  }
  if (!this->graceful_close->Done()) {
    this->Read();
  } else if (this->write_in_progress) {
    this->close_after_write = true;
  } else {
    this->Close();
  }
}

bool CallerSession::HandleFrame(const std::string& frame) {
  const CallerMessage message = this->context.Codec().ParseCallerMessage(frame);
  if (const auto* open = std::get_if<OpenSession>(&message)) {
    if (!this->database.empty()) {
      this->Send(this->context.Codec().EncodeFailure(FailureCode::kMalformed, "the session is already open"));
      this->close_after_write = true;
      return false;
    }
    this->OnOpenSession(*open);
    return true;
  }
  if (std::holds_alternative<CloseSession>(message)) {
    this->Close();
    return false;
  }
  if (const auto* malformed = std::get_if<MalformedMessage>(&message)) {
    this->ReportRejectedMessage(FailureCode::kMalformed, malformed->reason);
    this->Send(this->context.Codec().EncodeFailure(FailureCode::kMalformed, malformed->reason) +
               (this->database.empty() ? "" : this->context.Codec().EncodeReady(this->CurrentStatus())));
    this->close_after_write = this->database.empty();
    return !this->close_after_write;
  }
  if (this->database.empty()) {
    this->Send(this->context.Codec().EncodeFailure(FailureCode::kMalformed, "the session is not open"));
    this->close_after_write = true;
    return false;
  }
  this->OnStatement(std::get<Statement>(message));
  return true;
}

void CallerSession::ReportRejectedMessage(FailureCode code, const std::string& reason) {
  const std::string prefix = this->source == SessionSource::kRelay ? "relayed: " : "";
  this->context.ReportRejectedMessage(this->database, code, prefix + reason);
}

void CallerSession::RejectIncompleteMessage(FailureCode code, const std::string& reason) {
  this->ReportRejectedMessage(code, reason);
  this->Send(this->context.Codec().EncodeFailure(code, reason) +
             (this->database.empty() ? "" : this->context.Codec().EncodeReady(TransactionStatus::kIdle)));
  this->close_after_write = true;
}

bool CallerSession::DependsOnRoute(const Statement& statement) const {
  const bool pinned = this->transaction && this->transaction->connection != nullptr;
  switch (statement.kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute:
      return !pinned;
    default:
      return false;
  }
}

void CallerSession::ServeHeldStatement(TimePoint now) {
  if (this->context.ConfigurationIsNewest()) {
    const Statement statement = std::move(*this->held_statement);
    this->held_statement.reset();
    this->OnStatement(statement);
    this->OnBytes();
  } else if (now >= this->hold_deadline) {
    this->operation = Operation{};
    this->operation->statement = std::move(*this->held_statement);
    this->operation->received_at = this->hold_deadline - kStatementHoldTimeout;
    this->held_statement.reset();
    this->FailRefusedTransaction();
    this->OnRefusal({"this VM does not have the newest configuration", kStatementHoldTimeout});
  }
}

void CallerSession::FailRefusedTransaction() {
  const Statement& refused = this->operation->statement;
  if (refused.kind == StatementKind::kBegin || refused.kind == StatementKind::kBeginReadOnly) {
    this->transaction = Transaction{};
    this->transaction->begin_statement = refused;
    this->transaction->idle_since = BootClock::now();
  }
}

void CallerSession::OnStatement(const Statement& statement) {
  if (this->transaction && this->transaction->failed && statement.kind != StatementKind::kCommit &&
      statement.kind != StatementKind::kRollback) {
    this->Send(
        this->context.Codec().EncodeFailure(FailureCode::kMalformed, "the transaction has failed and must be ended") +
        this->context.Codec().EncodeReady(TransactionStatus::kFailedTransaction));
    return;
  }
  if (this->DependsOnRoute(statement)) {
    this->SendRelayNotice();
    if (!this->context.ConfigurationIsNewest()) {
      this->held_statement = statement;
      this->hold_deadline = BootClock::now() + kStatementHoldTimeout;
      return;
    }
  }
  const bool pinned = this->transaction && this->transaction->connection != nullptr;
  if (!this->HasAccess() || (pinned && this->OrganisationChanged())) {
    this->Deny(statement);
    return;
  }
  switch (statement.kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      this->OnBegin(statement);
      return;
    case StatementKind::kSetValue:
    case StatementKind::kPrepare:
    case StatementKind::kDeallocate:
      this->OnSessionChange(statement);
      return;
    case StatementKind::kRollback:
    case StatementKind::kCommit:
      if (!this->transaction || this->transaction->failed ||
          (statement.kind == StatementKind::kRollback && this->transaction->connection == nullptr)) {
        this->EndTransactionLocally(statement);
        return;
      }
      this->StartOperation(statement);
      return;
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute:
      this->StartOperation(statement);
      return;
  }
}

// Answers BEGIN without an endpoint. It is sent to one together with the transaction's first statement: until then the
// transaction needs no connection, and its reads, which start later, are only fresher than required.
void CallerSession::OnBegin(const Statement& statement) {
  if (this->transaction) {
    this->Send(this->context.Codec().EncodeFailure(FailureCode::kMalformed, "a transaction is already open") +
               this->context.Codec().EncodeReady(this->CurrentStatus()));
    return;
  }
  const Configuration* configuration = this->context.CurrentConfiguration();
  if (configuration->routes.count(this->database) == 0) {
    this->Send(this->context.Codec().EncodeFailure(FailureCode::kUnknownDatabase, this->database));
    this->close_after_write = true;
    return;
  }
  this->transaction = Transaction{};
  this->transaction->begin_statement = statement;
  this->transaction->idle_since = BootClock::now();
  this->Send(this->context.Codec().EncodeComplete() +
             this->context.Codec().EncodeReady(TransactionStatus::kInTransaction));
}

bool CallerSession::FitsEndpoint(const Statement& preparation) const {
  statements::RestoreStep step;
  step.kind = statements::RestoreStep::Kind::kPrepare;
  step.prepared = {preparation.writes, preparation.argument};
  step.name = statements::EndpointStatementName(step.prepared);
  return this->context.Codec().EncodeRestoreStep(step).size() <= kMaxMessageBytes;
}

void CallerSession::OnSessionChange(const Statement& statement) {
  if (statement.kind == StatementKind::kSetValue) {
    this->values[statement.name] = statement.argument;
  } else if (statement.kind == StatementKind::kPrepare && !this->FitsEndpoint(statement)) {
    this->Send(
        this->context.Codec().EncodeFailure(FailureCode::kTooLarge, "the message to the endpoint exceeds 1 MiB") +
        this->context.Codec().EncodeReady(this->CurrentStatus()));
    return;
  } else if (statement.kind == StatementKind::kPrepare) {
    this->prepared[statement.name] = {statement.writes, statement.argument};
  } else if (this->prepared.erase(statement.name) == 0) {
    this->Send(this->context.Codec().EncodeFailure(FailureCode::kUnknownStatement, statement.name) +
               this->context.Codec().EncodeReady(this->CurrentStatus()));
    return;
  }
  this->Send(this->context.Codec().EncodeComplete() + this->context.Codec().EncodeReady(this->CurrentStatus()));
}

// Answers COMMIT or ROLLBACK without an endpoint: no transaction is open, or it has failed, or it is rolled back before
// its first statement.
void CallerSession::EndTransactionLocally(const Statement& statement) {
  const bool open = this->transaction.has_value();
  const std::string reason = open ? this->transaction->failure_reason : "no transaction is open";
  this->transaction.reset();
  if (statement.kind == StatementKind::kRollback && open) {
    this->Send(this->context.Codec().EncodeComplete() + this->context.Codec().EncodeReady(TransactionStatus::kIdle));
    return;
  }
  const FailureCode code = open ? FailureCode::kAborted : FailureCode::kMalformed;
  this->Send(this->context.Codec().EncodeFailure(code, reason) +
             this->context.Codec().EncodeReady(TransactionStatus::kIdle));
}

bool CallerSession::Writes(const Statement& statement) const {
  if (statement.kind == StatementKind::kWrite) {
    return true;
  }
  const statements::PreparedStatement* known = this->FindPrepared(statement);
  return known != nullptr && known->writes;
}

const statements::PreparedStatement* CallerSession::FindPrepared(const Statement& statement) const {
  if (statement.kind != StatementKind::kExecute) {
    return nullptr;
  }
  const auto found = this->prepared.find(statement.name);
  return found == this->prepared.end() ? nullptr : &found->second;
}

bool CallerSession::IsAutocommit() const { return !this->transaction; }

void CallerSession::StartOperation(const Statement& statement) {
  const TimePoint now = BootClock::now();
  const Configuration* configuration = this->context.CurrentConfiguration();
  const auto route = configuration->routes.find(this->database);
  const bool pinned = this->transaction && this->transaction->connection != nullptr;
  if (route == configuration->routes.end() && !pinned) {
    this->Send(this->context.Codec().EncodeFailure(FailureCode::kUnknownDatabase, this->database));
    this->close_after_write = true;
    return;
  }
  ++this->generation;
  this->operation = Operation{};
  this->operation->statement = statement;
  this->operation->received_at = now;
  if (route != configuration->routes.end()) {
    this->operation->route = route->second;
    if (!pinned) {
      this->group = route->second.group;
      this->organisation = this->Authorize(*configuration).organisation;
    }
  }
  this->operation->deadline = now + this->operation->route.statement_timeout;
  if (statement.kind == StatementKind::kExecute && this->FindPrepared(statement) == nullptr) {
    this->FailStatement(FailureCode::kUnknownStatement, statement.name);
    return;
  }
  if (pinned) {
    if (this->transaction->connection->Closed()) {
      this->FailTransaction("the connection to the endpoint was lost");
      return;
    }
    this->operation->connection = this->transaction->connection;
    this->operation->endpoint = this->transaction->connection->Endpoint().name;
    this->operation->granted_at = now;
    if (statement.kind == StatementKind::kCommit && this->transaction->has_writes &&
        !this->context.MayAcknowledgeCommit(this->group, this->operation->endpoint, now)) {
      // The commit could not be acknowledged, so it isn't sent: the transaction is rolled back, and the caller can
      // safely retry it.
      this->FailCommit(FailureCode::kAborted, "this VM lost its lease on the primary before the commit");
      return;
    }
    this->SetUpConnection();
    return;
  }
  this->RequestPermit();
}

statements::TransactionStatus CallerSession::CurrentStatus() const {
  if (!this->transaction) {
    return TransactionStatus::kIdle;
  }
  return this->transaction->failed ? TransactionStatus::kFailedTransaction : TransactionStatus::kInTransaction;
}

void CallerSession::CompleteStatement(const std::string& frames, TransactionStatus state) {
  this->operation.reset();
  this->Send(frames + this->context.Codec().EncodeReady(state));
  this->OnBytes();
}

void CallerSession::ReportFinished(const std::string& outcome, const std::string& reason, bool failed) {
  const Operation& ended = *this->operation;
  static constexpr std::array<const char*, 10> kKinds = {"begin", "begin read", "commit",  "rollback", "read",
                                                         "write", "set",        "prepare", "execute",  "deallocate"};
  StatementReport report;
  report.id = ended.statement.id;
  report.database = this->database;
  report.organisation = this->organisation;
  report.kind = kKinds.at(static_cast<std::size_t>(ended.statement.kind));
  report.outcome = outcome;
  report.reason = reason;
  report.endpoint = ended.endpoint;
  report.rank = ended.route.rank;
  report.failed = failed;
  report.attempts = ended.attempts;
  report.rejections = ended.rejections;
  report.target_latency = std::chrono::duration_cast<std::chrono::microseconds>(ended.route.target_latency);
  const TimePoint granted = ended.granted_at == TimePoint() ? BootClock::now() : ended.granted_at;
  report.wait_time = std::chrono::duration_cast<std::chrono::microseconds>(granted - ended.received_at);
  report.duration = std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now() - ended.received_at);
  const Configuration* configuration = this->context.CurrentConfiguration();
  report.configuration_version = configuration == nullptr ? 0 : configuration->version;
  report.record_version = this->context.RecordVersion();
  this->context.OnStatementFinished(report);
}

// Answers the statement with a failure; the state of the transaction stays as it is.
void CallerSession::FailStatement(FailureCode code, const std::string& reason) {
  this->ReportFinished(std::string(statements::FailureCodeName(code)), reason, true);
  this->CompleteStatement(this->context.Codec().EncodeFailure(code, reason), this->CurrentStatus());
}

// Marks the transaction as failed. Its connection is closed, so the endpoint rolls it back and nothing of it is kept.
void CallerSession::FailTransaction(const std::string& reason) {
  this->ReturnConnection();
  this->transaction->failed = true;
  this->transaction->failure_reason = reason;
  this->FailStatement(FailureCode::kAborted, reason);
}

void CallerSession::Send(std::string bytes) {
  if (this->closed) {
    return;
  }
  this->pending_output += bytes;
  if (!this->write_in_progress) {
    this->Write();
  }
}

void CallerSession::Write() {
  this->write_in_progress = true;
  this->write_buffer = std::exchange(this->pending_output, {});
  boost::asio::async_write(this->socket, boost::asio::buffer(this->write_buffer),
                           [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                             self->write_in_progress = false;
                             self->graceful_close_deadline = BootClock::now() + kGracefulCloseTimeout;
                             const bool done = self->pending_output.empty();
                             if (error) {
                               self->Close();
                             } else if (done && self->close_after_write) {
                               self->Linger();
                             } else if (!done) {
                               self->Write();
                             }
                           });
}

void CallerSession::Linger() {
  if (this->closed) {
    return;
  }
  this->linger_deadline = BootClock::now() + kLingerTimeout;
  boost::system::error_code ignored;
  this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  this->Read();
}

void CallerSession::Tick(TimePoint now) {
  if (now >= this->linger_deadline) {
    this->Close();
    return;
  }
  if (this->graceful_close) {
    if (!this->write_in_progress && now >= this->graceful_close_deadline) {
      this->Close();
    }
    return;
  }
  if (this->pending_open) {
    this->TryOpen();
    if (!this->pending_open && !this->closed) {
      this->OnBytes();
    }
    return;
  }
  if (this->held_statement) {
    this->ServeHeldStatement(now);
    return;
  }
  if (!this->operation && !this->close_after_write && now >= this->reader.MalformedDeadline()) {
    this->RejectIncompleteMessage(FailureCode::kMalformed, "control character in a message without an end");
    return;
  }
  const Configuration* configuration = this->context.CurrentConfiguration();
  if (configuration != nullptr && !this->operation && this->transaction && this->transaction->connection != nullptr &&
      now > this->transaction->idle_since + configuration->idle_transaction_timeout) {
    this->AbortOpenTransaction("the transaction was idle for too long");
  }
}

bool CallerSession::CloseWhenIdle(const std::string& reason) {
  this->closing_reason = reason;
  if (!this->graceful_close && this->EndBetweenMessages()) {
    this->OnBytesWhileClosing({});
  }
  return this->closed;
}

void CallerSession::AbortTransaction(const std::string& reason) {
  this->abort_reason = reason;
  this->AbortOpenTransaction(reason);
}

void CallerSession::AbortOpenTransaction(const std::string& reason) {
  if (this->operation || this->held_statement || !this->transaction || this->transaction->failed) {
    return;
  }
  this->ReleaseTransactionConnection(false);
  this->transaction->failed = true;
  this->transaction->failure_reason = reason;
}

bool CallerSession::EndBetweenMessages() {
  if (this->closed || this->operation || this->pending_open || this->held_statement || this->close_after_write) {
    return false;
  }
  if (!this->abort_reason.empty()) {
    this->AbortOpenTransaction(this->abort_reason);
  }
  if (this->closing_reason.empty() || this->transaction) {
    return false;
  }
  this->graceful_close.emplace(this->context, this->closing_reason, std::move(this->reader));
  this->Send(this->graceful_close->CloseNotice());
  return true;
}

void CallerSession::Close() {
  if (this->closed) {
    return;
  }
  const std::shared_ptr<CallerSession> alive = this->shared_from_this();
  this->closed = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  ++this->generation;
  if (this->operation) {
    this->context.CancelPermit(this->operation->permit_request);
    if (this->operation->request_id != 0) {
      Dispatcher* dispatcher = this->context.FindDispatcher(this->group);
      if (dispatcher != nullptr) {
        dispatcher->Cancel(this->operation->request_id);
      }
    }
    if (this->operation->connection != nullptr) {
      this->ReturnConnection();
    }
    this->operation.reset();
  }
  if (this->transaction) {
    this->ReleaseTransactionConnection(false);
    this->transaction.reset();
  }
}

bool CallerSession::Closed() const { return this->closed; }

}  // namespace amaranthlane::proxy
