#include "client/caller.h"

#include <algorithm>
#include <array>
#include <utility>

#include "common/error.h"
#include "core/outcomes/retry_rule.h"
#include "core/sessions/session_errors.h"

namespace amaranthlane::client {

namespace {

// Types of problems that a retry can't resolve.
constexpr std::array<std::string_view, 10> kNonRetryableProblems = {
    "key-conflict",    "invalid-statement", "missing-idempotency-key", "position-lost", "unknown-group",
    "invalid-request", "unknown-caller",    "invalid-session-token",   "unknown-call",  "invalid-idempotency-key"};

constexpr char kInvalidStatement[] = "invalid-statement";
constexpr char kOverload[] = "overload";

}  // namespace

void Session::Merge(const std::string& token) {
  if (token.empty()) {
    return;
  }
  try {
    this->token.Merge(sessions::SessionToken::Parse(token));
    this->encoded = this->token.Encode();
  } catch (const sessions::TokenError&) {
    return;
  }
}

const std::string& Session::Token() const { return this->encoded; }

struct Caller::PendingStatement {
  PendingStatement(boost::asio::io_context& loop, Session& session) : session(session), timer(loop) {}

  Session& session;
  Statement statement;
  Callback callback;
  boost::asio::steady_timer timer;
  StatementResult result;
  std::size_t vm_index = 0;
  // True once an attempt has ended without proof that the statement did not run.
  bool may_have_run = false;
};

Caller::Caller(boost::asio::io_context& loop, const CallerSettings& settings)
    : loop(loop), settings(settings), generator(settings.seed) {
  for (const net::Address& vm : settings.vms) {
    this->pools.push_back(std::make_unique<net::HttpPool>(loop, vm, settings.connections_per_vm));
  }
}

void Caller::Execute(Session& session, Statement statement, Callback callback) {
  const std::size_t vm_index = this->generator() % this->pools.size();
  this->ExecuteAt(vm_index, session, std::move(statement), std::move(callback));
}

void Caller::ExecuteAt(std::size_t vm_index, Session& session, Statement statement, Callback callback) {
  auto pending = std::make_shared<PendingStatement>(this->loop, session);
  pending->statement = std::move(statement);
  if (pending->statement.mode == outcomes::StatementMode::kWrite && pending->statement.idempotency_key.empty()) {
    pending->statement.idempotency_key = this->GenerateIdempotencyKey();
  }
  pending->result.idempotency_key = pending->statement.idempotency_key;
  pending->callback = std::move(callback);
  pending->vm_index = vm_index % this->pools.size();
  if (!IsWellFormed(pending->statement)) {
    pending->result.problem = kInvalidStatement;
    boost::asio::post(this->loop, [this, pending] { this->Complete(pending, Outcome::kNotRun); });
    return;
  }
  this->StartAttempt(pending);
}

std::string Caller::GenerateIdempotencyKey() {
  return std::to_string(this->generator()) + "-" + std::to_string(this->generator());
}

void Caller::StartAttempt(const PendingPointer& pending) {
  const TimePoint now = BootClock::now();
  ++pending->result.attempts;
  const TimePoint attempt_deadline = std::min(pending->statement.deadline, now + this->settings.attempt_timeout);
  this->pools[pending->vm_index]->Call(
      BuildStatementRequest(pending->statement, this->settings.bearer_key, pending->session.Token(), now),
      attempt_deadline, [this, pending](const net::CallResult& result) { this->HandleHttpResult(pending, result); });
}

void Caller::HandleHttpResult(const PendingPointer& pending, const net::CallResult& result) {
  AttemptResult attempt;
  switch (result.status) {
    case net::CallStatus::kNotSent:
      attempt.outcome = Outcome::kNotRun;
      attempt.result.problem = "not-sent";
      break;
    case net::CallStatus::kBroken:
      attempt.result.problem = "connection-broken";
      break;
    case net::CallStatus::kTimedOut:
      attempt.result.problem = "no-answer";
      break;
    case net::CallStatus::kAnswered:
      try {
        attempt = ParseStatementResponse(result.response);
      } catch (const ParseError&) {
        attempt.result.problem = "malformed-answer";
      }
      break;
  }
  this->HandleAttemptResult(pending, attempt);
}

void Caller::HandleAttemptResult(const PendingPointer& pending, const AttemptResult& attempt) {
  pending->session.Merge(attempt.session_token);
  const std::uint32_t attempts = pending->result.attempts;
  const std::string key = pending->result.idempotency_key;
  pending->result = attempt.result;
  pending->result.attempts = attempts;
  pending->result.idempotency_key = key;
  if (attempt.outcome == Outcome::kDone) {
    this->Complete(pending, Outcome::kDone);
    return;
  }
  if (attempt.outcome != Outcome::kNotRun) {
    pending->may_have_run = true;
  }
  if (this->CanRetry(*pending, attempt)) {
    this->ScheduleRetry(pending);
    return;
  }
  this->Complete(pending, pending->may_have_run ? Outcome::kUnknown : Outcome::kNotRun);
}

bool Caller::CanRetry(const PendingStatement& pending, const AttemptResult& attempt) const {
  const std::string& problem = attempt.result.problem;
  if (BootClock::now() >= pending.statement.deadline) {
    return false;
  }
  if (std::find(kNonRetryableProblems.begin(), kNonRetryableProblems.end(), problem) != kNonRetryableProblems.end()) {
    return false;
  }
  if (problem == kOverload && !this->settings.retry_overload) {
    return false;
  }
  // Retries are safe: every write has an idempotency key by now, which prevents a second run, and reads have no effect.
  return true;
}

void Caller::ScheduleRetry(const PendingPointer& pending) {
  const TimePoint now = BootClock::now();
  const Duration delay = outcomes::BackoffDelay(pending->result.attempts, this->generator);
  if (now + delay >= pending->statement.deadline) {
    this->Complete(pending, pending->may_have_run ? Outcome::kUnknown : Outcome::kNotRun);
    return;
  }
  pending->vm_index = (pending->vm_index + 1) % this->pools.size();
  pending->timer.expires_after(delay);
  pending->timer.async_wait([this, pending](boost::system::error_code error) {
    if (!error) {
      this->StartAttempt(pending);
    }
  });
}

void Caller::Complete(const PendingPointer& pending, Outcome outcome) {
  pending->result.outcome = outcome;
  pending->callback(pending->result);
}

}  // namespace amaranthlane::client
