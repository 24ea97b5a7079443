#include "proxy/caller_session.h"

#include <boost/asio/write.hpp>
#include <utility>

#include "proxy/socket_options.h"

namespace amaranthlane::proxy {

using statements::FailureCode;
using statements::Statement;
using statements::StatementKind;
using statements::TransactionStatus;

namespace {

constexpr std::size_t kMaximumFrameBytes = 1U << 20U;
// How long a caller waits for its session while the node has no configuration yet.
constexpr std::chrono::milliseconds kOpeningLimit{1500};

}  // namespace

CallerSession::CallerSession(boost::asio::ip::tcp::socket socket, SessionContext& context, bool may_relay)
    : socket(std::move(socket)), context(context), may_relay(may_relay) {}

void CallerSession::Start(std::string beginning) {
  SetSocketOptions(this->socket);
  this->received = std::move(beginning);
  this->OnBytes();
}

void CallerSession::Read() {
  if (this->reading || this->closed) {
    return;
  }
  this->reading = true;
  this->socket.async_read_some(boost::asio::buffer(this->chunk),
                               [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
                                 self->reading = false;
                                 if (error) {
                                   self->Close();
                                   return;
                                 }
                                 self->received.append(self->chunk.data(), size);
                                 self->OnBytes();
                               });
}

// One message is handled at a time; more bytes wait until it is answered.
void CallerSession::OnBytes() {
  const std::shared_ptr<CallerSession> alive = this->shared_from_this();
  if (this->farewell) {
    this->OnFarewellBytes();
    return;
  }
  while (!this->closed && !this->operation && !this->opening && !this->close_after_write) {
    const std::size_t length = this->context.Codec().FrameLength(this->received);
    if (length == 0) {
      break;
    }
    const std::string frame = this->received.substr(0, length);
    this->opening_frame = this->database.empty() ? frame : std::string();
    this->received.erase(0, length);
    if (!this->Handle(frame)) {
      return;
    }
  }
  if (this->received.size() > kMaximumFrameBytes) {
    this->Send(this->context.Codec().Failure(FailureCode::kTooLarge, "message over 1 MiB"));
    this->close_after_write = true;
    return;
  }
  // Reading goes on during an operation, so that a caller that leaves is noticed.
  this->Read();
}

void CallerSession::OnFarewellBytes() {
  const std::string answer = this->farewell->OnBytes(std::exchange(this->received, {}));
  if (!answer.empty()) {
    this->Send(answer);
  }
  if (!this->farewell->Done()) {
    this->Read();
  } else if (this->write_under_way) {
    this->close_after_write = true;
  } else {
    this->Close();
  }
}

bool CallerSession::Handle(const std::string& frame) {
  const CallerMessage message = this->context.Codec().ParseCallerMessage(frame);
  if (const auto* open = std::get_if<OpenSession>(&message)) {
    if (!this->database.empty()) {
      this->Send(this->context.Codec().Failure(FailureCode::kMalformed, "the session is open already"));
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
    this->Send(this->context.Codec().Failure(FailureCode::kMalformed, malformed->why) +
               (this->database.empty() ? "" : this->context.Codec().Ready(this->State())));
    this->close_after_write = this->database.empty();
    return !this->close_after_write;
  }
  if (this->database.empty()) {
    this->Send(this->context.Codec().Failure(FailureCode::kMalformed, "the session isn't open"));
    this->close_after_write = true;
    return false;
  }
  this->OnStatement(std::get<Statement>(message));
  return true;
}

void CallerSession::OnOpenSession(const OpenSession& message) {
  this->opening = message;
  this->opening_limit = BootClock::now() + kOpeningLimit;
  this->TryOpen();
}

void CallerSession::TryOpen() {
  const Configuration* configuration = this->context.CurrentConfiguration();
  if (configuration == nullptr) {
    if (BootClock::now() >= this->opening_limit) {
      this->opening.reset();
      this->Send(this->context.Codec().Failure(FailureCode::kNotRun, "retry_after_ms=500 no configuration yet"));
      this->close_after_write = true;
    }
    return;
  }
  const OpenSession message = std::move(*this->opening);
  this->opening.reset();
  const auto route = configuration->routes.find(message.database);
  if (route == configuration->routes.end()) {
    StatementEnd end;
    end.database = message.database;
    end.kind = "open";
    end.outcome = statements::FailureCodeName(FailureCode::kUnknownDatabase);
    end.failed = true;
    end.configuration_version = configuration->version;
    this->context.OnStatementEnd(end);
    this->Send(this->context.Codec().Failure(FailureCode::kUnknownDatabase, message.database));
    this->close_after_write = true;
    return;
  }
  if (this->Relay(route->second)) {
    return;
  }
  this->database = message.database;
  this->group = route->second.group;
  this->Send(this->context.Codec().Ready(TransactionStatus::kIdle));
}

bool CallerSession::Relay(const Route& route) {
  // A socket that is being read can't be handed over.
  if (!this->may_relay || this->reading) {
    return false;
  }
  std::vector<std::string> gateways = this->context.CarriersOf(route.group);
  if (gateways.empty()) {
    return false;
  }
  this->closed = true;
  this->context.Relay(std::move(this->socket), this->opening_frame + this->received, std::move(gateways),
                      route.statement_limit);
  return true;
}

void CallerSession::OnStatement(const Statement& statement) {
  if (this->transaction && this->transaction->failed && statement.kind != StatementKind::kCommit &&
      statement.kind != StatementKind::kRollback) {
    this->Send(this->context.Codec().Failure(FailureCode::kMalformed, "the transaction failed; end it") +
               this->context.Codec().Ready(TransactionStatus::kFailedTransaction));
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
        this->EndWithoutEndpoint(statement);
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

// A transaction goes to an endpoint with its first statement. Until then it needs no connection, and what it reads is
// fresher than what it is owed.
void CallerSession::OnBegin(const Statement& statement) {
  if (this->transaction) {
    this->Send(this->context.Codec().Failure(FailureCode::kMalformed, "a transaction is open already") +
               this->context.Codec().Ready(this->State()));
    return;
  }
  const Configuration* configuration = this->context.CurrentConfiguration();
  if (configuration->routes.count(this->database) == 0) {
    this->Send(this->context.Codec().Failure(FailureCode::kUnknownDatabase, this->database));
    this->close_after_write = true;
    return;
  }
  this->transaction = Transaction{};
  this->transaction->begin = statement;
  this->transaction->resting_since = BootClock::now();
  this->Send(this->context.Codec().Complete() + this->context.Codec().Ready(TransactionStatus::kInTransaction));
}

void CallerSession::OnSessionChange(const Statement& statement) {
  if (statement.kind == StatementKind::kSetValue) {
    this->values[statement.name] = statement.argument;
  } else if (statement.kind == StatementKind::kPrepare) {
    this->prepared[statement.name] = {statement.writes, statement.argument};
  } else if (this->prepared.erase(statement.name) == 0) {
    this->Send(this->context.Codec().Failure(FailureCode::kUnknownStatement, statement.name) +
               this->context.Codec().Ready(this->State()));
    return;
  }
  this->Send(this->context.Codec().Complete() + this->context.Codec().Ready(this->State()));
}

// Ends a transaction that holds no connection, or none.
void CallerSession::EndWithoutEndpoint(const Statement& statement) {
  const bool open = this->transaction.has_value();
  const std::string why = open ? this->transaction->why_failed : "no transaction is open";
  this->transaction.reset();
  if (statement.kind == StatementKind::kRollback && open) {
    this->Send(this->context.Codec().Complete() + this->context.Codec().Ready(TransactionStatus::kIdle));
    return;
  }
  const FailureCode code = open ? FailureCode::kAborted : FailureCode::kMalformed;
  this->Send(this->context.Codec().Failure(code, why) + this->context.Codec().Ready(TransactionStatus::kIdle));
}

bool CallerSession::Writes(const Statement& statement) const {
  if (statement.kind == StatementKind::kWrite) {
    return true;
  }
  const statements::PreparedStatement* known = this->Prepared(statement);
  return known != nullptr && known->writes;
}

const statements::PreparedStatement* CallerSession::Prepared(const Statement& statement) const {
  if (statement.kind != StatementKind::kExecute) {
    return nullptr;
  }
  const auto found = this->prepared.find(statement.name);
  return found == this->prepared.end() ? nullptr : &found->second;
}

bool CallerSession::SingleStatement() const { return !this->transaction; }

void CallerSession::StartOperation(const Statement& statement) {
  const TimePoint now = BootClock::now();
  const Configuration* configuration = this->context.CurrentConfiguration();
  const auto route = configuration->routes.find(this->database);
  const bool pinned = this->transaction && this->transaction->connection != nullptr;
  if (route == configuration->routes.end() && !pinned) {
    this->Send(this->context.Codec().Failure(FailureCode::kUnknownDatabase, this->database));
    this->close_after_write = true;
    return;
  }
  ++this->serial;
  this->operation = Operation{};
  this->operation->statement = statement;
  this->operation->received_at = now;
  if (route != configuration->routes.end()) {
    this->operation->route = route->second;
    if (!pinned) {
      this->group = route->second.group;
    }
  }
  this->operation->limit = now + this->operation->route.statement_limit;
  if (statement.kind == StatementKind::kExecute && this->Prepared(statement) == nullptr) {
    this->FailStatement(FailureCode::kUnknownStatement, statement.name);
    return;
  }
  if (pinned) {
    if (this->transaction->connection->Closed()) {
      this->FailTransaction("the connection to the endpoint ended");
      return;
    }
    this->operation->connection = this->transaction->connection;
    this->operation->endpoint = this->transaction->connection->Endpoint().name;
    this->operation->granted_at = now;
    if (statement.kind == StatementKind::kCommit && this->transaction->wrote &&
        !this->context.MayAcknowledge(this->group, this->operation->endpoint, now)) {
      // Its answer could not be passed on, so it isn't sent: then nothing is kept, and the caller may repeat all of it.
      this->FailCommit(FailureCode::kAborted, "the right to use the primary ended before the commit");
      return;
    }
    this->BringUp();
    return;
  }
  this->Acquire(now);
}

statements::TransactionStatus CallerSession::State() const {
  if (!this->transaction) {
    return TransactionStatus::kIdle;
  }
  return this->transaction->failed ? TransactionStatus::kFailedTransaction : TransactionStatus::kInTransaction;
}

void CallerSession::Complete(const std::string& frames, TransactionStatus state) {
  this->operation.reset();
  this->Send(frames + this->context.Codec().Ready(state));
  this->OnBytes();
}

void CallerSession::ReportEnd(const std::string& outcome, const std::string& why, bool failed) {
  const Operation& ended = *this->operation;
  static constexpr std::array<const char*, 10> kKinds = {"begin", "begin read", "commit",  "rollback", "read",
                                                         "write", "set",        "prepare", "execute",  "deallocate"};
  StatementEnd end;
  end.id = ended.statement.id;
  end.database = this->database;
  end.kind = kKinds.at(static_cast<std::size_t>(ended.statement.kind));
  end.outcome = outcome;
  end.why = why;
  end.endpoint = ended.endpoint;
  end.rank = ended.route.rank;
  end.failed = failed;
  end.attempts = ended.attempts;
  end.turned_away = ended.turned_away;
  end.target = std::chrono::duration_cast<std::chrono::microseconds>(ended.route.target);
  const TimePoint granted = ended.granted_at == TimePoint() ? BootClock::now() : ended.granted_at;
  end.waited = std::chrono::duration_cast<std::chrono::microseconds>(granted - ended.received_at);
  end.took = std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now() - ended.received_at);
  const Configuration* configuration = this->context.CurrentConfiguration();
  end.configuration_version = configuration == nullptr ? 0 : configuration->version;
  end.record_version = this->context.RecordVersion();
  this->context.OnStatementEnd(end);
}

// The failure of a statement outside a transaction, or of the end of one.
void CallerSession::FailStatement(FailureCode code, const std::string& why) {
  this->ReportEnd(std::string(statements::FailureCodeName(code)), why, true);
  this->Complete(this->context.Codec().Failure(code, why), this->State());
}

// The transaction can't go on. Its connection is closed, which rolls it back, so that nothing of it is kept.
void CallerSession::FailTransaction(const std::string& why) {
  this->DropConnection();
  this->transaction->failed = true;
  this->transaction->why_failed = why;
  this->FailStatement(FailureCode::kAborted, why);
}

void CallerSession::Send(std::string bytes) {
  if (this->closed) {
    return;
  }
  this->outgoing += bytes;
  if (!this->write_under_way) {
    this->Write();
  }
}

void CallerSession::Write() {
  this->write_under_way = true;
  this->writing = std::exchange(this->outgoing, {});
  boost::asio::async_write(this->socket, boost::asio::buffer(this->writing),
                           [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                             self->write_under_way = false;
                             const bool done = self->outgoing.empty();
                             if (error || (done && self->close_after_write)) {
                               self->Close();
                             } else if (!done) {
                               self->Write();
                             }
                           });
}

void CallerSession::Tick(TimePoint now) {
  if (this->farewell) {
    if (now >= this->farewell_limit) {
      this->Close();
    }
    return;
  }
  if (this->opening) {
    this->TryOpen();
    if (!this->opening) {
      this->OnBytes();
    }
    return;
  }
  const Configuration* configuration = this->context.CurrentConfiguration();
  if (configuration != nullptr && !this->operation && this->transaction && this->transaction->connection != nullptr &&
      now > this->transaction->resting_since + configuration->idle_transaction_limit) {
    this->AbortTransaction("the transaction rested too long");
  }
}

bool CallerSession::CloseIfIdle(const std::string& why) {
  const bool idle = !this->operation && !this->opening && !this->transaction && !this->write_under_way;
  if (!this->closed && !this->farewell && idle) {
    this->farewell.emplace(this->context, why);
    this->farewell_limit = BootClock::now() + kFarewellLimit;
    this->Send(this->farewell->Greeting());
    this->OnFarewellBytes();
  }
  return this->closed;
}

void CallerSession::AbortTransaction(const std::string& why) {
  if (this->operation || !this->transaction || this->transaction->failed) {
    return;
  }
  this->ReleaseTransaction(false);
  this->transaction->failed = true;
  this->transaction->why_failed = why;
}

void CallerSession::Close() {
  if (this->closed) {
    return;
  }
  const std::shared_ptr<CallerSession> alive = this->shared_from_this();
  this->closed = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  ++this->serial;
  if (this->operation) {
    if (this->operation->work != 0) {
      Dispatcher* dispatcher = this->context.FindDispatcher(this->group);
      if (dispatcher != nullptr) {
        dispatcher->Cancel(this->operation->work);
      }
    }
    if (this->operation->connection != nullptr) {
      this->DropConnection();
    }
    this->operation.reset();
  }
  if (this->transaction) {
    this->ReleaseTransaction(false);
    this->transaction.reset();
  }
}

bool CallerSession::Closed() const { return this->closed; }

}  // namespace amaranthlane::proxy
