#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <utility>

#include "proxy/caller_session.h"

// The way of one statement to an endpoint and back.
namespace amaranthlane::proxy {

using statements::FailureCode;
using statements::Statement;
using statements::StatementKind;
using statements::TransactionStatus;

namespace {

// A statement is tried at so many endpoints.
constexpr int kMaximumAttempts = 5;
// The share of its time limit that a statement may wait for a connection; its caller has time to come back then. A read
// that is repeated, as its endpoint gave no answer, has the same share of what is left.
constexpr double kWaitingShare = 0.4;
// The share of its target after which a read that isn't answered is sent to another endpoint.
constexpr double kRepeatAfterTarget = 0.6;
// It is never repeated sooner, nor before so many times what the endpoint's statements take now: a busy endpoint must
// not get the same work twice.
constexpr std::chrono::milliseconds kRepeatAfterAtLeast{150};
constexpr int kRepeatAfterLatencies = 4;
// How long the commands before a statement, which take an endpoint no work, may take.
constexpr std::chrono::milliseconds kBringUpLimit{250};
// Pauses before work is tried again that an endpoint turned away.
constexpr std::chrono::milliseconds kBusyPause{15};
constexpr std::chrono::milliseconds kWrongPrimaryPause{30};
// Times that endpoints may turn a statement away; its time limit usually ends the trying first.
constexpr int kMaximumTurnedAway = 60;
// A connection that rested so long is tried with a harmless command before a write goes over it.
constexpr std::chrono::milliseconds kRestedConnection{1000};
// How long the rollback of an abandoned transaction may take.
constexpr std::chrono::milliseconds kRollbackLimit{500};

Duration Share(Duration whole, double share) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(whole.count()) * share));
}

}  // namespace

void CallerSession::Acquire(TimePoint not_before) {
  Operation& current = *this->operation;
  Dispatcher* dispatcher = this->context.FindDispatcher(this->group);
  if (dispatcher == nullptr) {
    this->OnRefusal({"no endpoint is known", std::chrono::milliseconds(500)});
    return;
  }
  const Route& route = current.route;
  Work work;
  work.rank = route.rank;
  const TimePoint waits_from = current.may_have_run ? BootClock::now() : current.received_at;
  work.refuse_at = waits_from + Share(current.limit - waits_from, kWaitingShare);
  work.not_before = not_before;
  const bool plain_transaction = this->transaction && this->transaction->begin.kind == StatementKind::kBegin;
  work.needs_primary =
      plain_transaction || this->Writes(current.statement) || route.freshness == ReadFreshness::kPrimary;
  work.greatest_age = route.greatest_age;
  if (route.freshness == ReadFreshness::kOwnWrites) {
    work.own_position = this->last_commit;
  }
  work.avoid = current.avoid;
  work.values = this->values;
  current.sent = false;
  ++current.attempts;
  current.work = dispatcher->Submit(std::move(work), [weak = this->weak_from_this(), serial = this->serial](
                                                         const Grant* grant, const Refusal* refusal) {
    const std::shared_ptr<CallerSession> self = weak.lock();
    if (self == nullptr || self->serial != serial) {
      return;
    }
    self->operation->work = 0;
    if (grant != nullptr) {
      self->OnGrant(*grant);
    } else {
      self->OnRefusal(*refusal);
    }
  });
  this->context.PumpSoon();
}

void CallerSession::OnGrant(const Grant& grant) {
  Operation& current = *this->operation;
  current.connection = grant.connection;
  current.endpoint = grant.connection->Endpoint().name;
  current.at_least = grant.at_least;
  current.granted_at = BootClock::now();
  this->BringUp();
}

void CallerSession::OnRefusal(const Refusal& refusal) {
  const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retry_after).count();
  const std::string why = "retry_after_ms=" + std::to_string(after) + " " + refusal.why;
  const bool ran = this->operation->may_have_run;
  const FailureCode code = ran ? FailureCode::kTimedOut : FailureCode::kNotRun;
  if (this->transaction && this->operation->statement.kind == StatementKind::kCommit) {
    this->transaction.reset();
  } else if (this->transaction) {
    this->transaction->failed = true;
    this->transaction->why_failed = refusal.why;
  }
  this->FailStatement(code, why);
}

// Gives the connection the session's values and prepared statement, then goes on.
void CallerSession::BringUp() {
  Operation& current = *this->operation;
  std::vector<statements::RestoreStep> steps =
      statements::PlanRestore(current.connection->contents, this->values, this->Prepared(current.statement));
  const TimePoint now = BootClock::now();
  const bool rested = now > current.connection->idle_since + kRestedConnection;
  if (steps.empty() && rested && this->SingleStatement() && this->Writes(current.statement)) {
    steps.push_back({statements::RestoreStep::Kind::kReset, {}, {}, {}});
    statements::ConnectionSessionState cleared;
    for (statements::RestoreStep& step :
         statements::PlanRestore(cleared, this->values, this->Prepared(current.statement))) {
      steps.push_back(std::move(step));
    }
  }
  if (steps.empty()) {
    this->SendBegin();
    return;
  }
  std::string messages;
  for (const statements::RestoreStep& step : steps) {
    messages += this->context.Codec().Replay(step);
  }
  const std::size_t count = steps.size();
  current.connection->Exchange(std::move(messages), count, std::min(current.limit, now + kBringUpLimit),
                               [self = this->shared_from_this(), serial = this->serial, steps = std::move(steps)](
                                   ExchangeStatus status, const std::vector<EndpointAnswer>& answers) {
                                 if (self->serial != serial) {
                                   return;
                                 }
                                 const bool good = status == ExchangeStatus::kAnswered &&
                                                   std::none_of(answers.begin(), answers.end(),
                                                                [](const auto& answer) { return answer.failed; });
                                 if (good) {
                                   for (const statements::RestoreStep& step : steps) {
                                     statements::ApplyRestoreStep(step, self->operation->connection->contents);
                                   }
                                   self->SendBegin();
                                   return;
                                 }
                                 if (self->transaction && self->transaction->connection != nullptr) {
                                   self->FailTransaction("the connection to the endpoint ended");
                                   return;
                                 }
                                 self->operation->connection->Close();
                                 if (!self->TryAgain(BootClock::now())) {
                                   self->OnRefusal({"no endpoint took the session's values", kBusyPause});
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
  current.connection->Exchange(this->context.Codec().Forward(this->transaction->begin, current.at_least, {}), 1,
                               std::min(current.limit, now + kBringUpLimit),
                               [self = this->shared_from_this(), serial = this->serial](
                                   ExchangeStatus status, const std::vector<EndpointAnswer>& answers) {
                                 if (self->serial != serial) {
                                   return;
                                 }
                                 const std::shared_ptr<EndpointConnection> connection = self->operation->connection;
                                 if (status == ExchangeStatus::kAnswered && !answers.front().failed &&
                                     answers.front().state == TransactionStatus::kInTransaction) {
                                   self->transaction->connection = connection;
                                   self->operation->at_least.reset();
                                   self->SendStatement();
                                   return;
                                 }
                                 bool again = false;
                                 if (status == ExchangeStatus::kAnswered && answers.front().failed) {
                                   connection->in_transaction = answers.front().state != TransactionStatus::kIdle;
                                   again = self->TryAgainAfter(answers.front().code);
                                 } else {
                                   connection->Close();
                                   again = self->TryAgain(BootClock::now());
                                 }
                                 if (!again) {
                                   self->OnRefusal({"no endpoint began the transaction", kBusyPause});
                                 }
                               });
}

TimePoint CallerSession::AnswerDeadline() const {
  const Operation& current = *this->operation;
  const bool repeatable = this->SingleStatement() && !this->Writes(current.statement);
  if (!repeatable || current.attempts >= kMaximumAttempts - 1) {
    return current.limit;
  }
  const TimePoint now = BootClock::now();
  Duration patience = std::max<Duration>(kRepeatAfterAtLeast, Share(current.route.target, kRepeatAfterTarget));
  Dispatcher* dispatcher = this->context.FindDispatcher(this->group);
  EndpointPool* pool = dispatcher == nullptr ? nullptr : dispatcher->Pool(current.endpoint);
  if (pool != nullptr) {
    patience = std::max(patience, pool->TypicalLatency(now) * kRepeatAfterLatencies);
  }
  return std::min(current.limit, now + patience * current.attempts);
}

void CallerSession::SendStatement() {
  Operation& current = *this->operation;
  current.sent = true;
  if (this->transaction && (this->Writes(current.statement))) {
    this->transaction->wrote = true;
  }
  const statements::PreparedStatement* known = this->Prepared(current.statement);
  const std::string name = known == nullptr ? std::string() : statements::EndpointStatementName(*known);
  current.connection->Exchange(this->context.Codec().Forward(current.statement, current.at_least, name), 1,
                               this->AnswerDeadline(),
                               [self = this->shared_from_this(), serial = this->serial](
                                   ExchangeStatus status, const std::vector<EndpointAnswer>& answers) {
                                 if (self->serial == serial) {
                                   self->OnAnswer(status, answers);
                                 }
                               });
}

void CallerSession::SendStatementLater(Duration pause) {
  auto timer = std::make_shared<boost::asio::steady_timer>(this->socket.get_executor(), pause);
  timer->async_wait([self = this->shared_from_this(), serial = this->serial, timer](boost::system::error_code) {
    if (self->serial == serial) {
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
      dispatcher->NotePosition(current.endpoint, current.connection->SentAt(), *answer.position, now);
    }
    EndpointPool* pool = dispatcher->Pool(current.endpoint);
    if (pool != nullptr && !answer.failed && current.at_least) {
      pool->NoteCaughtUp();
    }
    if (pool != nullptr && !answer.failed) {
      pool->NoteLatency(now - current.connection->SentAt(), now);
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
  const bool ends = kind == StatementKind::kCommit || kind == StatementKind::kRollback;
  const bool commits = kind == StatementKind::kCommit ? this->transaction->wrote
                                                      : this->SingleStatement() && this->Writes(current.statement);
  if (commits && !this->context.MayAcknowledge(this->group, current.endpoint, BootClock::now())) {
    current.connection->Close();
    if (ends) {
      this->DropConnection();
      this->transaction.reset();
    }
    this->FailStatement(FailureCode::kOutcomeUnknown, "the right to use the primary ended before its answer came");
    return;
  }
  if (commits && answer.position) {
    this->last_commit = std::max(this->last_commit.value_or(LogPosition{}), *answer.position);
  }
  const std::string frames = answer.frames;
  if (ends) {
    this->ReleaseTransaction(answer.state == TransactionStatus::kIdle);
    this->transaction.reset();
  } else if (this->transaction) {
    this->transaction->resting_since = BootClock::now();
    if (answer.state != TransactionStatus::kInTransaction) {
      this->FailTransaction("the endpoint ended the transaction");
      return;
    }
  } else {
    current.connection->in_transaction = answer.state != TransactionStatus::kIdle;
    this->DropConnection();
  }
  this->ReportEnd("done", "", false);
  this->Complete(frames, this->State());
}

void CallerSession::OnEndpointFailure(const EndpointAnswer& answer) {
  Operation& current = *this->operation;
  const TimePoint now = BootClock::now();
  const std::string why = current.endpoint + " answered: " + std::string(statements::FailureCodeName(answer.code)) +
                          (answer.text.empty() ? "" : " " + answer.text);
  if (this->transaction) {
    const bool committing = current.statement.kind == StatementKind::kCommit;
    if (answer.code == FailureCode::kNotRun && answer.state == TransactionStatus::kInTransaction &&
        now < current.limit) {
      // The transaction stands; the same statement may follow on the same connection.
      this->SendStatementLater(kBusyPause);
      return;
    }
    if (committing && !statements::DidNotRun(answer.code) && this->transaction->wrote) {
      this->FailCommit(FailureCode::kOutcomeUnknown, why);
      return;
    }
    if (committing) {
      this->FailCommit(FailureCode::kAborted, why);
      return;
    }
    this->FailTransaction(why);
    return;
  }
  current.connection->in_transaction = answer.state != TransactionStatus::kIdle;
  if (statements::DidNotRun(answer.code)) {
    if (!this->TryAgainAfter(answer.code)) {
      this->DropConnection();
      this->FailStatement(current.may_have_run ? FailureCode::kTimedOut : FailureCode::kNotRun, why);
    }
    return;
  }
  current.may_have_run = true;
  current.avoid = current.endpoint;
  const bool lasting = answer.code == FailureCode::kMalformed || answer.code == FailureCode::kTooLarge ||
                       answer.code == FailureCode::kDenied;
  if (lasting || this->Writes(current.statement) || !this->TryAgain(now)) {
    this->DropConnection();
    this->FailStatement(answer.code, why);
  }
}

// The transaction ends with a COMMIT that gave no success.
void CallerSession::FailCommit(FailureCode code, const std::string& why) {
  this->DropConnection();
  this->transaction.reset();
  this->FailStatement(code, why);
}

void CallerSession::OnLostAnswer(ExchangeStatus status) {
  Operation& current = *this->operation;
  const bool timed_out = status == ExchangeStatus::kTimedOut;
  const std::string why = current.endpoint + (timed_out ? " gave no answer in time" : " broke the connection");
  if (this->transaction) {
    const bool committing = current.statement.kind == StatementKind::kCommit;
    if (committing && this->transaction->wrote) {
      this->FailCommit(FailureCode::kOutcomeUnknown, why);
      return;
    }
    if (current.statement.kind == StatementKind::kRollback) {
      // A connection that ends rolls back, which is what was asked for.
      this->DropConnection();
      this->transaction.reset();
      this->ReportEnd("done", why, false);
      this->Complete(this->context.Codec().Complete(), TransactionStatus::kIdle);
      return;
    }
    if (committing) {
      this->FailCommit(FailureCode::kAborted, why);
      return;
    }
    this->FailTransaction(why);
    return;
  }
  current.may_have_run = true;
  current.avoid = current.endpoint;
  if (this->Writes(current.statement)) {
    this->DropConnection();
    this->FailStatement(FailureCode::kOutcomeUnknown, why);
    return;
  }
  if (!this->TryAgain(BootClock::now())) {
    this->DropConnection();
    this->FailStatement(FailureCode::kTimedOut, why);
  }
}

bool CallerSession::TryAgainAfter(FailureCode code) {
  Operation& current = *this->operation;
  Dispatcher* dispatcher = this->context.FindDispatcher(this->group);
  EndpointPool* pool = dispatcher == nullptr ? nullptr : dispatcher->Pool(current.endpoint);
  TimePoint not_before = BootClock::now();
  switch (code) {
    case FailureCode::kLagging:
      if (pool != nullptr) {
        pool->NoteLagging(not_before);
      }
      break;
    case FailureCode::kUnknownStatement:
      current.connection->contents.prepared.clear();
      break;
    case FailureCode::kReadOnly:
      not_before += kWrongPrimaryPause;
      break;
    default:
      not_before += kBusyPause;
      current.avoid = current.endpoint;
      break;
  }
  --current.attempts;
  if (++current.turned_away > kMaximumTurnedAway) {
    return false;
  }
  return this->TryAgain(not_before);
}

bool CallerSession::TryAgain(TimePoint not_before) {
  Operation& current = *this->operation;
  this->DropConnection();
  if (current.attempts >= kMaximumAttempts || not_before >= current.limit) {
    return false;
  }
  ++this->serial;
  this->Acquire(not_before);
  return true;
}

// Gives the operation's connection back to its pool, which closes what isn't clean.
void CallerSession::DropConnection() {
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

// Lets go of the transaction's connection; it is rolled back first unless the endpoint has ended the transaction.
void CallerSession::ReleaseTransaction(bool ended) {
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
  this->RollBack(connection, this->group);
}

void CallerSession::RollBack(const std::shared_ptr<EndpointConnection>& connection, const GroupName& owner) {
  SessionContext& node = this->context;
  connection->Exchange(this->context.Codec().Rollback(), 1, BootClock::now() + kRollbackLimit,
                       [&node, connection, owner](ExchangeStatus status, const std::vector<EndpointAnswer>& answers) {
                         const bool ended = status == ExchangeStatus::kAnswered && !answers.front().failed &&
                                            answers.front().state == TransactionStatus::kIdle;
                         connection->in_transaction = !ended;
                         Dispatcher* dispatcher = node.FindDispatcher(owner);
                         EndpointPool* pool =
                             dispatcher == nullptr ? nullptr : dispatcher->Pool(connection->Endpoint().name);
                         if (pool != nullptr) {
                           pool->Release(connection, BootClock::now());
                         } else {
                           connection->Close();
                         }
                       });
}

}  // namespace amaranthlane::proxy
