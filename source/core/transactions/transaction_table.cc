#include "core/transactions/transaction_table.h"

#include <algorithm>

#include "core/transactions/transaction_errors.h"

namespace amaranthlane::transactions {

using outcomes::DeliveryResult;
using outcomes::EndpointAnswer;
using outcomes::EndpointRefusal;

namespace {

// Interval between two queries for the outcome of a commit in doubt.
constexpr Duration kOutcomeQueryInterval = std::chrono::milliseconds(50);

}  // namespace

TransactionTable::TransactionTable(const TransactionTableSettings& settings) : settings(settings) {}

void TransactionTable::Open(const NewTransaction& transaction, TimePoint now) {
  if (this->drain_deadline != kNever) {
    throw TransactionsDrainingError();
  }
  if (this->entries.size() >= this->settings.max_transactions) {
    throw TooManyTransactionsError();
  }
  if (this->entries.contains(transaction.id) || this->connections.contains(transaction.connection)) {
    throw TransactionInUseError();
  }
  Entry& entry = this->entries[transaction.id];
  entry.transaction = transaction;
  entry.total_deadline = now + this->settings.total_timeout;
  this->connections.emplace(transaction.connection, transaction.id);
  this->BecomeIdle(entry, now);
}

void TransactionTable::AddCall(const TransactionCall& call, TimePoint /*now*/) {
  Entry* entry = this->Find(call.transaction);
  if (entry == nullptr || entry->transaction.owner != call.caller) {
    throw TransactionNotFoundError();
  }
  if (entry->state != State::kIdle) {
    throw TransactionBusyError();
  }
  entry->call = call;
  this->SetState(*entry, State::kCallWaiting);
}

bool TransactionTable::StartCall(const TransactionId& transaction, RequestId request, TimePoint now,
                                 TransactionActions& actions) {
  Entry* entry = this->Find(transaction);
  if (entry == nullptr || entry->state != State::kCallWaiting || entry->call.request != request) {
    return false;
  }
  if (!this->LeadershipValid(now)) {
    this->Terminate(*entry, TransactionEndReason::kLeadershipLost, now, actions);
    return false;
  }
  if (now >= entry->next_deadline) {
    this->HandleDeadline(*entry, now, actions);
    return false;
  }
  this->SetState(*entry, State::kCallSent);
  actions.push_back(SendCall{.transaction = transaction,
                             .request = request,
                             .connection = entry->transaction.connection,
                             .kind = entry->call.kind,
                             .term = entry->transaction.term});
  return true;
}

void TransactionTable::RefuseCall(const TransactionId& transaction, RequestId request, TimePoint now,
                                  TransactionActions& actions) {
  Entry* entry = this->Find(transaction);
  if (entry != nullptr && entry->state == State::kCallWaiting && entry->call.request == request) {
    this->AnswerOpenCall(*entry, Outcome::kNotRun, TransactionEndReason::kOverload, actions);
    this->BecomeIdle(*entry, now);
  }
}

DeliveryResult TransactionTable::Answered(const EndpointAnswer& answer, TimePoint now, TransactionActions& actions) {
  Entry* entry = this->FindSent(answer.connection, answer.request);
  if (entry == nullptr) {
    return this->HandleMismatch(answer.connection, now, actions);
  }
  if (answer.term != entry->transaction.term) {
    this->Terminate(*entry, TransactionEndReason::kTermMoved, now, actions);
    return DeliveryResult::kAccepted;
  }
  if (entry->call.kind == CallKind::kStatement) {
    if (!this->LeadershipValid(now)) {
      this->Terminate(*entry, TransactionEndReason::kLeadershipLost, now, actions);
      return DeliveryResult::kAccepted;
    }
    entry->position = answer.position;
    this->AnswerOpenCall(*entry, Outcome::kDone, TransactionEndReason::kAnswered, actions);
    this->BecomeIdle(*entry, now);
    return DeliveryResult::kAccepted;
  }
  this->ReturnToPool(*entry, actions);
  if (entry->call.kind == CallKind::kRollback) {
    this->End(*entry, Outcome::kDone, TransactionEndReason::kAnswered, actions);
  } else {
    this->FinishCommit(*entry, answer.position, now, actions);
  }
  return DeliveryResult::kAccepted;
}

DeliveryResult TransactionTable::RefusedByEndpoint(const EndpointRefusal& refusal, TimePoint now,
                                                   TransactionActions& actions) {
  Entry* entry = this->FindSent(refusal.connection, refusal.request);
  if (entry == nullptr) {
    return this->HandleMismatch(refusal.connection, now, actions);
  }
  // The refusal proves that the call did not run, even if it is a commit, so it is handled like a call that was never
  // sent.
  this->SetState(*entry, State::kCallWaiting);
  this->Terminate(*entry, TransactionEndReason::kRefusedByEndpoint, now, actions);
  return DeliveryResult::kAccepted;
}

void TransactionTable::CommitOutcomeLearned(const TransactionId& transaction, Term queried_term,
                                            const std::optional<LogPosition>& position, TimePoint now,
                                            TransactionActions& actions) {
  Entry* entry = this->Find(transaction);
  // A deposed primary may know a commit that its successor doesn't have.
  if (entry == nullptr || entry->state != State::kCommitInDoubt || queried_term != this->term) {
    return;
  }
  if (position) {
    this->FinishCommit(*entry, *position, now, actions);
  } else {
    this->QueryOutcomeOrEnd(*entry, TransactionEndReason::kConnectionLost, now + kOutcomeQueryInterval, now, actions);
  }
}

void TransactionTable::ReplicationReached(Term synced_term, std::uint64_t offset, TimePoint now,
                                          TransactionActions& actions) {
  if (synced_term != this->term) {
    return;
  }
  while (!this->awaited_offsets.empty() && this->awaited_offsets.begin()->offset <= offset) {
    this->AcknowledgeCommit(*this->Find(this->awaited_offsets.begin()->transaction), now, actions);
  }
}

void TransactionTable::ConnectionLost(ConnectionId connection, TimePoint now, TransactionActions& actions) {
  if (Entry* entry = this->FindByConnection(connection); entry != nullptr) {
    this->Terminate(*entry, TransactionEndReason::kConnectionLost, now, actions);
  }
}

void TransactionTable::CallerGone(const std::string& owner, TimePoint now, TransactionActions& actions) {
  for (const TransactionId& id : this->AllIds()) {
    Entry& entry = *this->Find(id);
    if (entry.transaction.owner == owner && !this->CommitSent(entry)) {
      this->Terminate(entry, TransactionEndReason::kCallerGone, now, actions);
    }
  }
}

void TransactionTable::SetLeadershipValidUntil(TimePoint until) { this->leadership_valid_until = until; }

void TransactionTable::LeadershipEnded(TimePoint now, TransactionActions& actions) {
  this->leadership_valid_until = TimePoint::min();
  this->TerminateAll(TransactionEndReason::kLeadershipLost, now, actions);
}

void TransactionTable::TermMoved(Term term, TimePoint now, TransactionActions& actions) {
  if (term > this->term) {
    this->term = term;
    this->TerminateAll(TransactionEndReason::kTermMoved, now, actions);
  }
}

void TransactionTable::Drain(TimePoint until, TimePoint now) {
  this->drain_deadline = std::max(until, now);
  for (const TransactionId& id : this->AllIds()) {
    Entry& entry = *this->Find(id);
    entry.total_deadline = std::min(entry.total_deadline, this->drain_deadline);
    this->SetState(entry, entry.state);
  }
}

void TransactionTable::Tick(TimePoint now, TransactionActions& actions) {
  while (!this->deadlines.empty() && this->deadlines.begin()->time <= now) {
    this->HandleDeadline(*this->Find(this->deadlines.begin()->transaction), now, actions);
  }
}

TimePoint TransactionTable::NextDeadline() const {
  return this->deadlines.empty() ? kNever : this->deadlines.begin()->time;
}

std::size_t TransactionTable::OpenTransactions() const { return this->entries.size(); }

TransactionTable::Entry* TransactionTable::Find(const TransactionId& transaction) {
  const auto found = this->entries.find(transaction);
  return found == this->entries.end() ? nullptr : &found->second;
}

TransactionTable::Entry* TransactionTable::FindByConnection(ConnectionId connection) {
  const auto found = this->connections.find(connection);
  return found == this->connections.end() ? nullptr : this->Find(found->second);
}

TransactionTable::Entry* TransactionTable::FindSent(ConnectionId connection, RequestId request) {
  Entry* entry = this->FindByConnection(connection);
  const bool runs = entry != nullptr && entry->state == State::kCallSent && entry->call.request == request;
  return runs ? entry : nullptr;
}

DeliveryResult TransactionTable::HandleMismatch(ConnectionId connection, TimePoint now, TransactionActions& actions) {
  if (Entry* entry = this->FindByConnection(connection); entry != nullptr) {
    this->Terminate(*entry, TransactionEndReason::kConnectionLost, now, actions);
  } else {
    actions.push_back(CloseTransactionConnection{.transaction = {}, .connection = connection});
  }
  return DeliveryResult::kMismatched;
}

bool TransactionTable::LeadershipValid(TimePoint now) const { return now < this->leadership_valid_until; }

bool TransactionTable::CommitSent(const Entry& entry) const {
  return !entry.connection_open || (entry.state == State::kCallSent && entry.call.kind == CallKind::kCommit);
}

void TransactionTable::SetState(Entry& entry, State state) {
  entry.state = state;
  TimePoint next_deadline = state == State::kIdle ? entry.idle_deadline : entry.call.deadline;
  if (!this->CommitSent(entry)) {
    next_deadline = std::min(next_deadline, entry.total_deadline);
  }
  this->deadlines.erase({.time = entry.next_deadline, .transaction = entry.transaction.id});
  entry.next_deadline = next_deadline;
  this->deadlines.insert({.time = next_deadline, .transaction = entry.transaction.id});
}

void TransactionTable::BecomeIdle(Entry& entry, TimePoint now) {
  entry.idle_deadline = now + this->settings.idle_timeout;
  this->SetState(entry, State::kIdle);
}

void TransactionTable::AnswerOpenCall(const Entry& entry, Outcome outcome, TransactionEndReason reason,
                                      TransactionActions& actions) {
  actions.push_back(AnswerCall{.transaction = entry.transaction.id,
                               .request = entry.call.request,
                               .kind = entry.call.kind,
                               .outcome = outcome,
                               .reason = reason,
                               .position = entry.position});
}

void TransactionTable::FinishCommit(Entry& entry, const LogPosition& position, TimePoint now,
                                    TransactionActions& actions) {
  entry.position = position;
  this->SetState(entry, State::kAwaitingReplication);
  this->awaited_offsets.insert({.offset = position.offset, .transaction = entry.transaction.id});
  if (entry.transaction.acknowledgement == AcknowledgementLevel::kPrimary || !this->LeadershipValid(now)) {
    this->AcknowledgeCommit(entry, now, actions);
  } else {
    actions.push_back(AwaitCommitReplication{.transaction = entry.transaction.id, .position = position});
  }
}

void TransactionTable::AcknowledgeCommit(Entry& entry, TimePoint now, TransactionActions& actions) {
  if (this->LeadershipValid(now)) {
    this->End(entry, Outcome::kDone, TransactionEndReason::kAnswered, actions);
  } else {
    this->End(entry, Outcome::kUnknown, TransactionEndReason::kLeadershipLost, actions);
  }
}

void TransactionTable::CloseConnection(Entry& entry, TransactionActions& actions) {
  if (entry.connection_open) {
    entry.connection_open = false;
    this->connections.erase(entry.transaction.connection);
    actions.push_back(
        CloseTransactionConnection{.transaction = entry.transaction.id, .connection = entry.transaction.connection});
  }
}

void TransactionTable::ReturnToPool(Entry& entry, TransactionActions& actions) {
  entry.connection_open = false;
  this->connections.erase(entry.transaction.connection);
  actions.push_back(ReturnConnection{.transaction = entry.transaction.id, .connection = entry.transaction.connection});
}

void TransactionTable::Terminate(Entry& entry, TransactionEndReason reason, TimePoint now,
                                 TransactionActions& actions) {
  const bool call_open = entry.state == State::kCallWaiting || entry.state == State::kCallSent;
  const bool commit_sent = this->CommitSent(entry);
  this->CloseConnection(entry, actions);
  if (commit_sent) {
    this->QueryOutcomeOrEnd(entry, reason, now, now, actions);
    return;
  }
  if (call_open) {
    const Outcome outcome = entry.call.kind == CallKind::kRollback ? Outcome::kDone : Outcome::kNotRun;
    this->AnswerOpenCall(entry, outcome, reason, actions);
  }
  this->Remove(entry);
}

void TransactionTable::QueryOutcomeOrEnd(Entry& entry, TransactionEndReason reason, TimePoint not_before, TimePoint now,
                                         TransactionActions& actions) {
  this->awaited_offsets.erase({.offset = entry.position.offset, .transaction = entry.transaction.id});
  const bool may_query = !entry.call.idempotency_key.empty() && this->LeadershipValid(now);
  if (may_query && not_before < entry.call.deadline) {
    this->SetState(entry, State::kCommitInDoubt);
    actions.push_back(QueryCommitOutcome{.transaction = entry.transaction.id,
                                         .commit = entry.call.request,
                                         .term = this->term,
                                         .not_before = not_before});
  } else {
    this->End(entry, Outcome::kUnknown, reason, actions);
  }
}

void TransactionTable::End(Entry& entry, Outcome outcome, TransactionEndReason reason, TransactionActions& actions) {
  this->AnswerOpenCall(entry, outcome, reason, actions);
  this->Remove(entry);
}

void TransactionTable::Remove(Entry& entry) {
  this->awaited_offsets.erase({.offset = entry.position.offset, .transaction = entry.transaction.id});
  this->deadlines.erase({.time = entry.next_deadline, .transaction = entry.transaction.id});
  this->entries.erase(entry.transaction.id);
}

void TransactionTable::HandleDeadline(Entry& entry, TimePoint now, TransactionActions& actions) {
  const bool total_passed = entry.connection_open && now >= entry.total_deadline;
  const bool drained = now >= this->drain_deadline;
  const TransactionEndReason total_reason =
      drained ? TransactionEndReason::kDrained : TransactionEndReason::kTotalDeadline;
  switch (entry.state) {
    case State::kIdle:
      this->Terminate(entry, total_passed ? total_reason : TransactionEndReason::kIdleDeadline, now, actions);
      return;
    case State::kCallWaiting:
      if (total_passed) {
        this->Terminate(entry, total_reason, now, actions);
        return;
      }
      // The call was not sent, so the transaction is intact and stays open.
      this->AnswerOpenCall(entry, Outcome::kNotRun, TransactionEndReason::kCallDeadline, actions);
      this->BecomeIdle(entry, now);
      return;
    case State::kCallSent:
      this->Terminate(entry, now >= entry.call.deadline ? TransactionEndReason::kCallDeadline : total_reason, now,
                      actions);
      return;
    case State::kAwaitingReplication:
    case State::kCommitInDoubt:
      this->End(entry, Outcome::kUnknown, TransactionEndReason::kCallDeadline, actions);
      return;
  }
}

void TransactionTable::TerminateAll(TransactionEndReason reason, TimePoint now, TransactionActions& actions) {
  for (const TransactionId& id : this->AllIds()) {
    this->Terminate(*this->Find(id), reason, now, actions);
  }
}

std::vector<TransactionId> TransactionTable::AllIds() const {
  std::vector<TransactionId> ids;
  ids.reserve(this->entries.size());
  for (const auto& [id, entry] : this->entries) {
    ids.push_back(id);
  }
  return ids;
}

}  // namespace amaranthlane::transactions
