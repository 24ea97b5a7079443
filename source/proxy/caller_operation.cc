#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <utility>

#include "proxy/caller_session.h"

// How a statement gets a connection, runs at an endpoint, and is answered or retried.
namespace amaranthlane::proxy {

using statements::FailureCode;
using statements::Statement;
using statements::StatementKind;
using statements::TransactionStatus;

namespace {

// Attempts per statement, without those that the endpoint rejected.
constexpr int kMaxAttempts = 5;
// The share of its timeout that a statement may wait for a connection, so that its caller has time left to retry. A
// read that is retried after an attempt that may have run may wait for the same share of the remaining time.
constexpr double kConnectionWaitShare = 0.4;
// The share of its target latency after which an unanswered read is sent to another endpoint. The delay is multiplied
// by the number of attempts.
constexpr double kRetryTargetShare = 0.6;
// Lower bounds of that delay; the second one is a multiple of the endpoint's expected latency. They prevent busy
// endpoints from getting the same read twice.
constexpr std::chrono::milliseconds kMinRetryDelay{150};
constexpr int kRetryLatencyFactor = 4;
// How long the commands that precede a statement may take; they cause no work at the endpoint.
constexpr std::chrono::milliseconds kConnectionSetupTimeout{250};
// Delays before a rejected statement is tried again, the second one after the rejection of a write by a replica.
constexpr std::chrono::milliseconds kRejectionRetryDelay{15};
constexpr std::chrono::milliseconds kReadOnlyRetryDelay{30};
// How often endpoints may reject a statement. Usually the statement's timeout ends the attempts first.
constexpr int kMaxRejections = 60;
// A connection that was idle for longer is checked with a command that has no effect before it carries a write.
constexpr std::chrono::milliseconds kIdleCheckThreshold{1000};
// How long the rollback of an abandoned transaction may take.
constexpr std::chrono::milliseconds kRollbackTimeout{500};

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

void CallerSession::RequestPermit() {
  this->operation->permit_request = this->context.AcquirePermit(
      this->organisation, [weak = this->weak_from_this(), generation = this->generation](const Refusal* refusal) {
        const std::shared_ptr<CallerSession> self = weak.lock();
        if (self == nullptr || self->generation != generation) {
          return;
        }
        self->operation->permit_request = 0;
        if (refusal == nullptr) {
          self->RequestConnection(BootClock::now());
        } else {
          self->OnRefusal(*refusal);
        }
      });
  if (this->operation->permit_request == 0) {
    this->RequestConnection(this->operation->received_at);
  }
}

void CallerSession::RequestConnection(TimePoint not_before) {
  Operation& current = *this->operation;
  Dispatcher* dispatcher = this->context.FindDispatcher(this->group);
  if (dispatcher == nullptr) {
    this->OnRefusal({"no endpoint of the group is known", std::chrono::milliseconds(500)});
    return;
  }
  const Route& route = current.route;
  ConnectionRequest request;
  request.rank = route.rank;
  const TimePoint wait_start = current.may_have_run ? BootClock::now() : current.received_at;
  request.deadline = wait_start + Scale(current.deadline - wait_start, kConnectionWaitShare);
  request.not_before = not_before;
  const bool read_write_transaction =
      this->transaction && this->transaction->begin_statement.kind == StatementKind::kBegin;
  request.needs_primary =
      read_write_transaction || this->Writes(current.statement) || route.consistency == ReadConsistency::kPrimary;
  request.max_staleness = route.max_staleness;
  if (route.consistency == ReadConsistency::kReadYourWrites) {
    request.session_position = this->last_commit_position;
  }
  request.avoided_endpoint = current.avoided_endpoint;
  request.values = this->values;
  request.organisation = this->organisation;
  current.sent = false;
  ++current.attempts;
  current.request_id = dispatcher->Submit(
      std::move(request),
      [weak = this->weak_from_this(), generation = this->generation](const Grant* grant, const Refusal* refusal) {
        const std::shared_ptr<CallerSession> self = weak.lock();
        if (self == nullptr || self->generation != generation) {
          return;
        }
        self->operation->request_id = 0;
        if (grant != nullptr) {
          self->OnGrant(*grant);
        } else {
          self->OnRefusal(*refusal);
        }
      });
  this->context.ScheduleDispatch();
}

void CallerSession::OnGrant(const Grant& grant) {
  Operation& current = *this->operation;
  current.connection = grant.connection;
  current.endpoint = grant.connection->Endpoint().name;
  current.min_position = grant.min_position;
  current.granted_at = BootClock::now();
  if (this->RefuseForChangedAccess()) {
    return;
  }
  this->SetUpConnection();
}

void CallerSession::OnRefusal(const Refusal& refusal) {
  const auto retry_after_ms = std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retry_after).count();
  const std::string reason = "retry_after_ms=" + std::to_string(retry_after_ms) + " " + refusal.reason;
  const bool ran = this->operation->may_have_run;
  const FailureCode code = ran ? FailureCode::kTimedOut : FailureCode::kNotRun;
  this->EndTransactionAfterRefusal(refusal.reason);
  this->FailStatement(code, reason);
}

void CallerSession::EndTransactionAfterRefusal(const std::string& reason) {
  if (this->transaction && this->operation->statement.kind == StatementKind::kCommit) {
    this->transaction.reset();
  } else if (this->transaction) {
    this->transaction->failed = true;
    this->transaction->failure_reason = reason;
  }
}

// Gives the connection the session's values and the prepared statement, then sends BEGIN or the statement.
void CallerSession::SetUpConnection() {
  Operation& current = *this->operation;
  std::vector<statements::RestoreStep> steps =
      statements::PlanRestore(current.connection->session_state, this->values, this->FindPrepared(current.statement));
  const TimePoint now = BootClock::now();
  const bool long_idle = now > current.connection->idle_since + kIdleCheckThreshold;
  if (steps.empty() && long_idle && this->IsAutocommit() && this->Writes(current.statement)) {
    steps.push_back({statements::RestoreStep::Kind::kReset, {}, {}, {}});
    statements::ConnectionSessionState cleared;
    for (statements::RestoreStep& step :
         statements::PlanRestore(cleared, this->values, this->FindPrepared(current.statement))) {
      steps.push_back(std::move(step));
    }
  }
  if (steps.empty()) {
    this->SendBegin();
    return;
  }
  std::string messages;
  for (const statements::RestoreStep& step : steps) {
    messages += this->context.Codec().EncodeRestoreStep(step);
  }
  const std::size_t count = steps.size();
  current.connection->Exchange(
      std::move(messages), count, std::min(current.deadline, now + kConnectionSetupTimeout),
      [self = this->shared_from_this(), generation = this->generation, steps = std::move(steps)](
          ExchangeStatus status, const std::vector<EndpointAnswer>& answers) {
        if (self->generation != generation) {
          return;
        }
        const bool succeeded =
            status == ExchangeStatus::kAnswered &&
            std::none_of(answers.begin(), answers.end(), [](const auto& answer) { return answer.failed; });
        if (succeeded) {
          for (const statements::RestoreStep& step : steps) {
            statements::ApplyRestoreStep(step, self->operation->connection->session_state);
          }
          self->SendBegin();
          return;
        }
        if (self->transaction && self->transaction->connection != nullptr) {
          self->FailTransaction("the connection to the endpoint was lost");
          return;
        }
        self->operation->connection->Close();
        if (!self->Retry(BootClock::now())) {
          self->OnRefusal({"no endpoint accepted the session's values and prepared statement", kRejectionRetryDelay});
        }
      });
}

void CallerSession::SendBegin() {
  if (!this->transaction || this->transaction->connection != nullptr) {
    this->SendStatement();
    return;
  }
  Operation& current = *this->operation;
  const TimePoint now = BootClock::now();
  current.connection->in_transaction = true;
  current.connection->Exchange(
      this->context.Codec().EncodeStatement(this->transaction->begin_statement, current.min_position, {}), 1,
      std::min(current.deadline, now + kConnectionSetupTimeout),
      [self = this->shared_from_this(), generation = this->generation](ExchangeStatus status,
                                                                       const std::vector<EndpointAnswer>& answers) {
        if (self->generation != generation) {
          return;
        }
        const std::shared_ptr<EndpointConnection> connection = self->operation->connection;
        if (status == ExchangeStatus::kAnswered && !answers.front().failed &&
            answers.front().state == TransactionStatus::kInTransaction) {
          self->transaction->connection = connection;
          self->operation->min_position.reset();
          self->SendStatement();
          return;
        }
        bool retrying = false;
        if (status == ExchangeStatus::kAnswered && answers.front().failed) {
          connection->in_transaction = answers.front().state != TransactionStatus::kIdle;
          retrying = self->RetryAfterRejection(answers.front().code);
        } else {
          connection->Close();
          retrying = self->Retry(BootClock::now());
        }
        if (!retrying) {
          self->OnRefusal({"no endpoint could begin the transaction", kRejectionRetryDelay});
        }
      });
}

TimePoint CallerSession::AnswerDeadline() const {
  const Operation& current = *this->operation;
  const bool retryable = this->IsAutocommit() && !this->Writes(current.statement);
  if (!retryable || current.attempts >= kMaxAttempts - 1) {
    return current.deadline;
  }
  const TimePoint now = BootClock::now();
  Duration retry_delay = std::max<Duration>(kMinRetryDelay, Scale(current.route.target_latency, kRetryTargetShare));
  Dispatcher* dispatcher = this->context.FindDispatcher(this->group);
  EndpointPool* pool = dispatcher == nullptr ? nullptr : dispatcher->Pool(current.endpoint);
  if (pool != nullptr) {
    retry_delay = std::max(retry_delay, pool->ExpectedLatency(now) * kRetryLatencyFactor);
  }
  return std::min(current.deadline, now + retry_delay * current.attempts);
}

void CallerSession::SendStatement() {
  Operation& current = *this->operation;
  const statements::PreparedStatement* known = this->FindPrepared(current.statement);
  const std::string name = known == nullptr ? std::string() : statements::EndpointStatementName(*known);
  std::string message = this->context.Codec().EncodeStatement(current.statement, current.min_position, name);
  if (message.size() > kMaxMessageBytes) {
    this->RejectLargeStatement();
    return;
  }
  current.sent = true;
  if (this->transaction && (this->Writes(current.statement))) {
    this->transaction->has_writes = true;
  }
  current.connection->Exchange(std::move(message), 1, this->AnswerDeadline(),
                               [self = this->shared_from_this(), generation = this->generation](
                                   ExchangeStatus status, const std::vector<EndpointAnswer>& answers) {
                                 if (self->generation == generation) {
                                   self->OnAnswer(status, answers);
                                 }
                               });
}

// The message to the endpoint may be longer than that of the caller, by a position or the name of a prepared statement.
void CallerSession::RejectLargeStatement() {
  const std::string reason = "the message to the endpoint exceeds 1 MiB";
  if (this->transaction) {
    this->FailTransaction(reason);
    return;
  }
  this->ReturnConnection();
  this->FailStatement(FailureCode::kTooLarge, reason);
}

void CallerSession::SendStatementLater(Duration delay) {
  auto timer = std::make_shared<boost::asio::steady_timer>(this->socket.get_executor(), delay);
  timer->async_wait([self = this->shared_from_this(), generation = this->generation, timer](boost::system::error_code) {
    if (self->generation == generation) {
      self->SendStatement();
    }
  });
}

void CallerSession::OnAnswer(ExchangeStatus status, const std::vector<EndpointAnswer>& answers) {
  if (status != ExchangeStatus::kAnswered) {
    this->OnLostAnswer(status);
    return;
  }
  const EndpointAnswer& answer = answers.front();
  Operation& current = *this->operation;
  Dispatcher* dispatcher = this->context.FindDispatcher(this->group);
  const TimePoint now = BootClock::now();
  if (dispatcher != nullptr) {
    if (answer.position) {
      dispatcher->UpdatePosition(current.endpoint, current.connection->SentAt(), *answer.position, now);
    }
    EndpointPool* pool = dispatcher->Pool(current.endpoint);
    if (pool != nullptr && !answer.failed && current.min_position) {
      pool->MarkCaughtUp();
    }
    if (pool != nullptr && !answer.failed) {
      pool->RecordLatency(now - current.connection->SentAt(), now);
    }
  }
  if (answer.failed) {
    this->OnEndpointFailure(answer);
  } else {
    this->OnSuccess(answer);
  }
}

void CallerSession::OnSuccess(const EndpointAnswer& answer) {
  Operation& current = *this->operation;
  const StatementKind kind = current.statement.kind;
  const bool ends_transaction = kind == StatementKind::kCommit || kind == StatementKind::kRollback;
  const bool commits = kind == StatementKind::kCommit ? this->transaction->has_writes
                                                      : this->IsAutocommit() && this->Writes(current.statement);
  if (commits && !this->context.MayAcknowledgeCommit(this->group, current.endpoint, BootClock::now())) {
    current.connection->Close();
    if (ends_transaction) {
      this->ReturnConnection();
      this->transaction.reset();
    }
    this->FailStatement(FailureCode::kOutcomeUnknown,
                        "this VM lost its lease on the primary before the answer arrived");
    return;
  }
  if (commits && answer.position) {
    this->last_commit_position = std::max(this->last_commit_position.value_or(LogPosition{}), *answer.position);
  }
  const std::string frames = answer.frames;
  if (ends_transaction) {
    this->ReleaseTransactionConnection(answer.state == TransactionStatus::kIdle);
    this->transaction.reset();
  } else if (this->transaction) {
    this->transaction->idle_since = BootClock::now();
    if (answer.state != TransactionStatus::kInTransaction) {
      this->FailTransaction("the endpoint ended the transaction");
      return;
    }
  } else {
    current.connection->in_transaction = answer.state != TransactionStatus::kIdle;
    this->ReturnConnection();
  }
  this->ReportFinished("done", "", false);
  this->CompleteStatement(frames, this->CurrentStatus());
}

void CallerSession::OnEndpointFailure(const EndpointAnswer& answer) {
  Operation& current = *this->operation;
  const TimePoint now = BootClock::now();
  const std::string reason = current.endpoint + " answered: " + std::string(statements::FailureCodeName(answer.code)) +
                             (answer.text.empty() ? "" : " " + answer.text);
  if (this->transaction) {
    const bool committing = current.statement.kind == StatementKind::kCommit;
    if (answer.code == FailureCode::kNotRun && answer.state == TransactionStatus::kInTransaction &&
        now < current.deadline) {
      // The transaction is intact, so the statement can be retried on the same connection.
      this->SendStatementLater(kRejectionRetryDelay);
      return;
    }
    if (committing && !statements::DidNotRun(answer.code) && this->transaction->has_writes) {
      this->FailCommit(FailureCode::kOutcomeUnknown, reason);
      return;
    }
    if (committing) {
      this->FailCommit(FailureCode::kAborted, reason);
      return;
    }
    this->FailTransaction(reason);
    return;
  }
  current.connection->in_transaction = answer.state != TransactionStatus::kIdle;
  if (statements::DidNotRun(answer.code)) {
    if (!this->RetryAfterRejection(answer.code)) {
      this->ReturnConnection();
      this->FailStatement(current.may_have_run ? FailureCode::kTimedOut : FailureCode::kNotRun, reason);
    }
    return;
  }
  current.may_have_run = true;
  current.avoided_endpoint = current.endpoint;
  const bool permanent = answer.permanent || answer.code == FailureCode::kMalformed ||
                         answer.code == FailureCode::kTooLarge || answer.code == FailureCode::kDenied;
  if (permanent || this->Writes(current.statement) || !this->Retry(now)) {
    this->ReturnConnection();
    this->FailStatement(answer.code, reason);
  }
}

// Ends the transaction after a COMMIT that did not succeed.
void CallerSession::FailCommit(FailureCode code, const std::string& reason) {
  this->ReturnConnection();
  this->transaction.reset();
  this->FailStatement(code, reason);
}

void CallerSession::OnLostAnswer(ExchangeStatus status) {
  Operation& current = *this->operation;
  const bool timed_out = status == ExchangeStatus::kTimedOut;
  const std::string reason = current.endpoint + (timed_out ? " did not answer in time" : " closed the connection");
  if (this->transaction) {
    const bool committing = current.statement.kind == StatementKind::kCommit;
    if (committing && this->transaction->has_writes) {
      this->FailCommit(FailureCode::kOutcomeUnknown, reason);
      return;
    }
    if (current.statement.kind == StatementKind::kRollback) {
      // The endpoint rolls back when the connection ends, so the ROLLBACK has succeeded.
      this->ReturnConnection();
      this->transaction.reset();
      this->ReportFinished("done", reason, false);
      this->CompleteStatement(this->context.Codec().EncodeComplete(), TransactionStatus::kIdle);
      return;
    }
    if (committing) {
      this->FailCommit(FailureCode::kAborted, reason);
      return;
    }
    this->FailTransaction(reason);
    return;
  }
  current.may_have_run = true;
  current.avoided_endpoint = current.endpoint;
  if (this->Writes(current.statement)) {
    this->ReturnConnection();
    this->FailStatement(FailureCode::kOutcomeUnknown, reason);
    return;
  }
  if (!this->Retry(BootClock::now())) {
    this->ReturnConnection();
    this->FailStatement(FailureCode::kTimedOut, reason);
  }
}

bool CallerSession::RetryAfterRejection(FailureCode code) {
  Operation& current = *this->operation;
  Dispatcher* dispatcher = this->context.FindDispatcher(this->group);
  EndpointPool* pool = dispatcher == nullptr ? nullptr : dispatcher->Pool(current.endpoint);
  TimePoint not_before = BootClock::now();
  switch (code) {
    case FailureCode::kLagging:
      if (pool != nullptr) {
        pool->MarkLagging(not_before);
      }
      break;
    case FailureCode::kUnknownStatement:
      current.connection->session_state.prepared.clear();
      break;
    case FailureCode::kReadOnly:
      not_before += kReadOnlyRetryDelay;
      break;
    default:
      not_before += kRejectionRetryDelay;
      current.avoided_endpoint = current.endpoint;
      break;
  }
  --current.attempts;
  if (++current.rejections > kMaxRejections) {
    return false;
  }
  return this->Retry(not_before);
}

bool CallerSession::Retry(TimePoint not_before) {
  Operation& current = *this->operation;
  this->ReturnConnection();
  if (current.attempts >= kMaxAttempts || not_before >= current.deadline) {
    return false;
  }
  ++this->generation;
  this->RequestConnection(not_before);
  return true;
}

// Returns the connection of the operation or of the transaction to its pool, which closes it if it is busy or inside a
// transaction.
void CallerSession::ReturnConnection() {
  std::shared_ptr<EndpointConnection> connection;
  if (this->operation) {
    connection = std::exchange(this->operation->connection, nullptr);
  }
  if (this->transaction && this->transaction->connection != nullptr) {
    connection = std::exchange(this->transaction->connection, nullptr);
  }
  if (connection == nullptr) {
    return;
  }
  Dispatcher* dispatcher = this->context.FindDispatcher(this->group);
  EndpointPool* pool = dispatcher == nullptr ? nullptr : dispatcher->Pool(connection->Endpoint().name);
  if (pool == nullptr) {
    connection->Close();
    return;
  }
  pool->Release(connection, BootClock::now());
}

// Returns the transaction's connection to its pool, after a rollback unless the endpoint has `ended` the transaction.
void CallerSession::ReleaseTransactionConnection(bool ended) {
  const std::shared_ptr<EndpointConnection> connection = std::exchange(this->transaction->connection, nullptr);
  if (this->operation) {
    this->operation->connection = nullptr;
  }
  if (connection == nullptr) {
    return;
  }
  Dispatcher* dispatcher = this->context.FindDispatcher(this->group);
  EndpointPool* pool = dispatcher == nullptr ? nullptr : dispatcher->Pool(connection->Endpoint().name);
  if (pool == nullptr) {
    connection->Close();
    return;
  }
  if (ended) {
    connection->in_transaction = false;
    pool->Release(connection, BootClock::now());
    return;
  }
  if (connection->Busy() || connection->Closed()) {
    pool->Release(connection, BootClock::now());
    return;
  }
  this->RollBackAndRelease(connection, this->group);
}

void CallerSession::RollBackAndRelease(const std::shared_ptr<EndpointConnection>& connection,
                                       const GroupName& owning_group) {
  SessionContext& node = this->context;
  connection->Exchange(
      this->context.Codec().EncodeRollback(), 1, BootClock::now() + kRollbackTimeout,
      [&node, connection, owning_group](ExchangeStatus status, const std::vector<EndpointAnswer>& answers) {
        const bool ended = status == ExchangeStatus::kAnswered && !answers.front().failed &&
                           answers.front().state == TransactionStatus::kIdle;
        connection->in_transaction = !ended;
        Dispatcher* dispatcher = node.FindDispatcher(owning_group);
        EndpointPool* pool = dispatcher == nullptr ? nullptr : dispatcher->Pool(connection->Endpoint().name);
        if (pool != nullptr) {
          pool->Release(connection, BootClock::now());
        } else {
          connection->Close();
        }
      });
}

}  // namespace amaranthlane::proxy
