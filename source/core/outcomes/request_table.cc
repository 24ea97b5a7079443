#include "core/outcomes/request_table.h"

#include <algorithm>

#include "core/outcomes/outcome_errors.h"
#include "core/outcomes/retry_rule.h"

namespace amaranthlane::outcomes {

RequestTable::RequestTable(const RequestTableSettings& settings, std::uint64_t seed)
    : settings(settings), generator(seed) {}

void RequestTable::Open(const Request& request) {
  const auto [inserted_entry, inserted] = this->entries.try_emplace(request.id);
  if (!inserted) {
    throw DuplicateRequestError(request.id);
  }
  inserted_entry->second.request = request;
  this->SetNextDeadline(inserted_entry->second, request.deadline);
}

void RequestTable::SetLeadershipValidUntil(TimePoint until) { this->leadership_valid_until = until; }

void RequestTable::TermMoved(Term term, TimePoint now, Actions& actions) {
  if (term <= this->term) {
    return;
  }
  this->term = term;
  for (const RequestId id : this->AllIds()) {
    Entry& entry = *this->Find(id);
    if (entry.state == State::kSent) {
      actions.push_back(CloseConnection{.connection = entry.connection});
      this->HandleLostAttempt(entry, EndReason::kTermMoved, now, actions);
    } else if (entry.state == State::kAwaitingReplication) {
      // The new primary may or may not have the commit.
      entry.may_have_run = true;
      this->awaited_offsets.erase({.offset = entry.position.offset, .request = id});
      this->RetryOrEnd(entry, EndReason::kTermMoved, now, actions);
    }
  }
}

bool RequestTable::Dispatch(RequestId request, ConnectionId connection, TimePoint now, Actions& actions) {
  Entry* entry = this->Find(request);
  if (entry == nullptr || entry->state != State::kQueued) {
    return false;
  }
  if (now >= entry->request.deadline) {
    this->Terminate(*entry, EndReason::kDeadlinePassed, actions);
    return false;
  }
  if (!this->LeadershipValid(now)) {
    this->Terminate(*entry, EndReason::kLeadershipLost, actions);
    return false;
  }
  if (!this->connections.try_emplace(connection, request).second) {
    throw ConnectionInUseError(connection);
  }
  entry->state = State::kSent;
  entry->connection = connection;
  ++entry->attempts;
  entry->sent_term = this->term;
  entry->progress_deadline = now + this->settings.progress_timeout;
  this->SetNextDeadline(*entry, std::min(entry->request.deadline, entry->progress_deadline));
  return true;
}

void RequestTable::NotSent(RequestId request, TimePoint now, Actions& actions) {
  Entry* entry = this->Find(request);
  if (entry != nullptr && entry->state == State::kQueued) {
    ++entry->attempts;
    this->ReturnToQueue(*entry, /*fresh_connection=*/false, EndReason::kConnectionLost, now, actions);
  }
}

void RequestTable::RefuseQueued(RequestId request, EndReason reason, TimePoint /*now*/, Actions& actions) {
  Entry* entry = this->Find(request);
  if (entry != nullptr && entry->state == State::kQueued) {
    this->End(*entry, entry->may_have_run ? Outcome::kUnknown : Outcome::kNotRun, reason, actions);
  }
}

DeliveryResult RequestTable::Answered(const EndpointAnswer& answer, TimePoint now, Actions& actions) {
  Entry* entry = this->FindSent(answer.connection, answer.request);
  if (entry == nullptr) {
    return this->HandleMismatch(answer.connection, now, actions);
  }
  this->ReleaseConnection(*entry, /*ran_to_end=*/true, actions);
  entry->position = answer.position;
  entry->replayed = answer.replayed;
  if (answer.term != entry->sent_term) {
    entry->may_have_run = true;
    this->RetryOrEnd(*entry, EndReason::kTermMoved, now, actions);
    return DeliveryResult::kAccepted;
  }
  const Request& request = entry->request;
  const bool await_replica = request.mode == StatementMode::kWrite &&
                             request.requirements.acknowledgement == AcknowledgementLevel::kReplicated;
  if (await_replica && !entry->caller_gone && this->LeadershipValid(now)) {
    entry->state = State::kAwaitingReplication;
    this->awaited_offsets.insert({.offset = answer.position.offset, .request = request.id});
    this->SetNextDeadline(*entry, request.deadline);
    actions.push_back(AwaitReplication{.request = request.id, .position = answer.position});
  } else {
    this->Acknowledge(*entry, now, actions);
  }
  return DeliveryResult::kAccepted;
}

DeliveryResult RequestTable::RefusedByEndpoint(const EndpointRefusal& refusal, TimePoint now, Actions& actions) {
  Entry* entry = this->FindSent(refusal.connection, refusal.request);
  if (entry == nullptr) {
    return this->HandleMismatch(refusal.connection, now, actions);
  }
  this->ReleaseConnection(*entry, /*ran_to_end=*/false, actions);
  entry->state = State::kQueued;
  // The refusal concerns only this attempt; an earlier one may still run.
  const Outcome outcome = entry->may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  if (refusal.reason == EndpointRefusalReason::kKeyConflict) {
    this->End(*entry, outcome, EndReason::kKeyConflict, actions);
  } else if (refusal.reason == EndpointRefusalReason::kInvalidStatement) {
    this->End(*entry, outcome, EndReason::kInvalidStatement, actions);
  } else {
    this->ReturnToQueue(*entry, /*fresh_connection=*/false, EndReason::kRefusedByEndpoint, now, actions);
  }
  return DeliveryResult::kAccepted;
}

void RequestTable::ConnectionLost(ConnectionId connection, TimePoint now, Actions& actions) {
  const auto found = this->connections.find(connection);
  if (found != this->connections.end()) {
    this->HandleLostAttempt(*this->Find(found->second), EndReason::kConnectionLost, now, actions);
  }
}

void RequestTable::ReplicationReached(Term synced_term, std::uint64_t offset, TimePoint now, Actions& actions) {
  if (synced_term != this->term) {
    return;
  }
  while (!this->awaited_offsets.empty() && this->awaited_offsets.begin()->offset <= offset) {
    Entry& entry = *this->Find(this->awaited_offsets.begin()->request);
    this->awaited_offsets.erase(this->awaited_offsets.begin());
    this->Acknowledge(entry, now, actions);
  }
}

void RequestTable::CallerGone(RequestId request, TimePoint /*now*/, Actions& actions) {
  Entry* entry = this->Find(request);
  if (entry == nullptr) {
    return;
  }
  entry->caller_gone = true;
  if (entry->state != State::kSent) {
    this->Terminate(*entry, EndReason::kCallerGone, actions);
  }
}

void RequestTable::LeadershipEnded(TimePoint /*now*/, Actions& actions) {
  this->leadership_valid_until = TimePoint::min();
  for (const RequestId id : this->AllIds()) {
    this->Terminate(*this->Find(id), EndReason::kLeadershipLost, actions);
  }
}

void RequestTable::Shutdown(TimePoint /*now*/, Actions& actions) {
  for (const RequestId id : this->AllIds()) {
    this->Terminate(*this->Find(id), EndReason::kShutdown, actions);
  }
}

void RequestTable::Tick(TimePoint now, Actions& actions) {
  while (!this->deadlines.empty() && this->deadlines.begin()->time <= now) {
    this->HandleDeadline(*this->Find(this->deadlines.begin()->request), now, actions);
  }
}

TimePoint RequestTable::NextDeadline() const {
  return this->deadlines.empty() ? kNever : this->deadlines.begin()->time;
}

std::size_t RequestTable::OpenRequests() const { return this->entries.size(); }

RequestTable::Entry* RequestTable::Find(RequestId request) {
  const auto found = this->entries.find(request);
  return found == this->entries.end() ? nullptr : &found->second;
}

RequestTable::Entry* RequestTable::FindSent(ConnectionId connection, RequestId request) {
  const auto found = this->connections.find(connection);
  return found == this->connections.end() || found->second != request ? nullptr : this->Find(request);
}

DeliveryResult RequestTable::HandleMismatch(ConnectionId connection, TimePoint now, Actions& actions) {
  actions.push_back(CloseConnection{.connection = connection});
  this->ConnectionLost(connection, now, actions);
  return DeliveryResult::kMismatched;
}

bool RequestTable::LeadershipValid(TimePoint now) const { return now < this->leadership_valid_until; }

void RequestTable::SetNextDeadline(Entry& entry, TimePoint next_deadline) {
  this->deadlines.erase({.time = entry.next_deadline, .request = entry.request.id});
  entry.next_deadline = next_deadline;
  this->deadlines.insert({.time = next_deadline, .request = entry.request.id});
}

void RequestTable::ReleaseConnection(Entry& entry, bool ran_to_end, Actions& actions) {
  this->connections.erase(entry.connection);
  actions.push_back(
      ReleaseAttempt{.request = entry.request.id, .connection = entry.connection, .ran_to_end = ran_to_end});
}

void RequestTable::Acknowledge(Entry& entry, TimePoint now, Actions& actions) {
  if (this->LeadershipValid(now)) {
    this->End(entry, Outcome::kDone, EndReason::kAnswered, actions);
  } else {
    this->End(entry, Outcome::kUnknown, EndReason::kLeadershipLost, actions);
  }
}

void RequestTable::ReturnToQueue(Entry& entry, bool fresh_connection, EndReason reason, TimePoint now,
                                 Actions& actions) {
  const TimePoint not_before = now + BackoffDelay(entry.attempts, this->generator);
  const bool leadership_valid = this->LeadershipValid(now);
  if (!leadership_valid || not_before >= entry.request.deadline || entry.caller_gone) {
    const Outcome outcome = entry.may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
    this->End(entry, outcome, leadership_valid ? reason : EndReason::kLeadershipLost, actions);
    return;
  }
  entry.state = State::kQueued;
  this->SetNextDeadline(entry, entry.request.deadline);
  actions.push_back(Requeue{.request = entry.request.id,
                            .not_before = not_before,
                            .must_use_primary = entry.may_have_run && entry.request.mode == StatementMode::kWrite,
                            .fresh_connection = fresh_connection});
}

void RequestTable::RetryOrEnd(Entry& entry, EndReason reason, TimePoint now, Actions& actions) {
  if (MayRepeat(entry.request)) {
    this->ReturnToQueue(entry, /*fresh_connection=*/true, reason, now, actions);
  } else {
    this->End(entry, Outcome::kUnknown, reason, actions);
  }
}

void RequestTable::HandleLostAttempt(Entry& entry, EndReason reason, TimePoint now, Actions& actions) {
  entry.may_have_run = true;
  this->ReleaseConnection(entry, /*ran_to_end=*/false, actions);
  this->RetryOrEnd(entry, reason, now, actions);
}

void RequestTable::End(Entry& entry, Outcome outcome, EndReason reason, Actions& actions) {
  if (!entry.caller_gone) {
    actions.push_back(AnswerCaller{.request = entry.request.id,
                                   .outcome = outcome,
                                   .reason = reason,
                                   .position = entry.position,
                                   .replayed = entry.replayed});
  }
  this->deadlines.erase({.time = entry.next_deadline, .request = entry.request.id});
  this->entries.erase(entry.request.id);
}

void RequestTable::Terminate(Entry& entry, EndReason reason, Actions& actions) {
  Outcome outcome = Outcome::kUnknown;
  switch (entry.state) {
    case State::kQueued:
      actions.push_back(WithdrawQueued{.request = entry.request.id});
      outcome = entry.may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
      break;
    case State::kSent:
      actions.push_back(CloseConnection{.connection = entry.connection});
      this->ReleaseConnection(entry, /*ran_to_end=*/false, actions);
      break;
    case State::kAwaitingReplication:
      this->awaited_offsets.erase({.offset = entry.position.offset, .request = entry.request.id});
      break;
  }
  this->End(entry, outcome, reason, actions);
}

void RequestTable::HandleDeadline(Entry& entry, TimePoint now, Actions& actions) {
  if (now >= entry.request.deadline) {
    this->Terminate(entry, EndReason::kDeadlinePassed, actions);
  } else {
    // The connection is silent; anything that it still delivers must be ignored.
    actions.push_back(CloseConnection{.connection = entry.connection});
    this->HandleLostAttempt(entry, EndReason::kConnectionLost, now, actions);
  }
}

std::vector<RequestId> RequestTable::AllIds() const {
  std::vector<RequestId> ids;
  ids.reserve(this->entries.size());
  for (const auto& [id, entry] : this->entries) {
    ids.push_back(id);
  }
  return ids;
}

}  // namespace amaranthlane::outcomes
