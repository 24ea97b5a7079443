#include "client/caller.h"

#include <algorithm>
#include <array>
#include <utility>

#include "common/error.h"
#include "core/outcomes/retry_rule.h"
#include "core/sessions/session_errors.h"

namespace amaranthlane::client {

namespace {

// Problems that another attempt can't mend.
constexpr std::array<std::string_view, 10> kFinalProblems = {
    "key-conflict",    "invalid-statement", "missing-idempotency-key", "position-lost", "unknown-group",
    "invalid-request", "unknown-caller",    "invalid-session-token",   "unknown-call",  "invalid-idempotency-key"};

constexpr char kOverload[] = "overload";

}  // namespace

void Session::Merge(const std::string& text) {
  if (text.empty()) {
    return;
  }
  try {
    this->token.Merge(sessions::SessionToken::Parse(text));
    this->text = this->token.Encode();
  } catch (const sessions::TokenError&) {
    return;
  }
}

const std::string& Session::Token() const { return this->text; }

struct Caller::Call {
  Call(boost::asio::io_context& loop, Session& session) : session(session), timer(loop) {}

  Session& session;
  Statement statement;
  Callback callback;
  boost::asio::steady_timer timer;
  StatementResult result;
  std::size_t vm = 0;
  // An attempt was sent, and nothing says that it didn't run.
  bool may_have_run = false;
};

Caller::Caller(boost::asio::io_context& loop, const CallerSettings& settings)
    : loop(loop), settings(settings), generator(settings.seed) {
  for (const net::Address& vm : settings.vms) {
    this->pools.push_back(std::make_unique<net::HttpPool>(loop, vm, settings.connections_per_vm));
  }
}

void Caller::Execute(Session& session, Statement statement, Callback callback) {
  const std::size_t vm = this->generator() % this->pools.size();
  this->ExecuteAt(vm, session, std::move(statement), std::move(callback));
}

void Caller::ExecuteAt(std::size_t vm, Session& session, Statement statement, Callback callback) {
  auto call = std::make_shared<Call>(this->loop, session);
  call->statement = std::move(statement);
  if (call->statement.mode == outcomes::StatementMode::kWrite && call->statement.idempotency_key.empty()) {
    call->statement.idempotency_key = this->DrawKey();
  }
  call->result.idempotency_key = call->statement.idempotency_key;
  call->callback = std::move(callback);
  call->vm = vm % this->pools.size();
  this->Attempt(call);
}

std::string Caller::DrawKey() { return std::to_string(this->generator()) + "-" + std::to_string(this->generator()); }

void Caller::Attempt(const CallPointer& call) {
  const TimePoint now = BootClock::now();
  ++call->result.attempts;
  const TimePoint limit = std::min(call->statement.deadline, now + this->settings.attempt_limit);
  this->pools[call->vm]->Call(AttemptMessage(call->statement, this->settings.bearer_key, call->session.Token(), now),
                              limit, [this, call](const net::CallResult& result) { this->Finish(call, result); });
}

void Caller::Finish(const CallPointer& call, const net::CallResult& result) {
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
        attempt = ParseAttempt(result.response);
      } catch (const ParseError&) {
        attempt.result.problem = "malformed-answer";
      }
      break;
  }
  this->Settle(call, attempt);
}

void Caller::Settle(const CallPointer& call, const AttemptResult& attempt) {
  call->session.Merge(attempt.session_token);
  const std::uint32_t attempts = call->result.attempts;
  const std::string key = call->result.idempotency_key;
  call->result = attempt.result;
  call->result.attempts = attempts;
  call->result.idempotency_key = key;
  if (attempt.outcome == Outcome::kDone) {
    this->End(call, Outcome::kDone);
    return;
  }
  if (attempt.outcome != Outcome::kNotRun) {
    call->may_have_run = true;
  }
  if (this->MayRepeat(*call, attempt)) {
    this->Repeat(call);
    return;
  }
  this->End(call, call->may_have_run ? Outcome::kUnknown : Outcome::kNotRun);
}

bool Caller::MayRepeat(const Call& call, const AttemptResult& attempt) const {
  const std::string& problem = attempt.result.problem;
  if (BootClock::now() >= call.statement.deadline) {
    return false;
  }
  if (std::find(kFinalProblems.begin(), kFinalProblems.end(), problem) != kFinalProblems.end()) {
    return false;
  }
  if (problem == kOverload && !this->settings.retry_overload) {
    return false;
  }
  // A write always has a key here, and the key decides; a read may be repeated anyway.
  return true;
}

void Caller::Repeat(const CallPointer& call) {
  const TimePoint now = BootClock::now();
  const Duration delay = outcomes::BackoffDelay(call->result.attempts, this->generator);
  if (now + delay >= call->statement.deadline) {
    this->End(call, call->may_have_run ? Outcome::kUnknown : Outcome::kNotRun);
    return;
  }
  call->vm = (call->vm + 1) % this->pools.size();
  call->timer.expires_after(delay);
  call->timer.async_wait([this, call](boost::system::error_code error) {
    if (!error) {
      this->Attempt(call);
    }
  });
}

void Caller::End(const CallPointer& call, Outcome outcome) {
  call->result.outcome = outcome;
  call->callback(call->result);
}

}  // namespace amaranthlane::client
