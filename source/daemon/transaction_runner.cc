#include "daemon/transaction_runner.h"

#include <utility>

#include "common/error.h"
#include "core/transactions/transaction_errors.h"
#include "daemon/end_reasons.h"
#include "logging/log.h"

namespace amaranthlane::daemon {

namespace {

// How long an endpoint's reply is awaited beyond the call's deadline. The transaction table ends the call at the
// deadline by itself. Also how long the replication of a commit is awaited.
constexpr std::chrono::seconds kReplyMargin{5};
constexpr std::chrono::milliseconds kOutcomeQueryTimeout{500};

transactions::CallKind CallKindOf(WorkKind kind) {
  switch (kind) {
    case WorkKind::kCommit:
      return transactions::CallKind::kCommit;
    case WorkKind::kRollback:
      return transactions::CallKind::kRollback;
    case WorkKind::kStatement:
    case WorkKind::kBegin:
    case WorkKind::kTransactionStatement:
    case WorkKind::kOutcomeQuery:
      return transactions::CallKind::kStatement;
  }
  return transactions::CallKind::kStatement;
}

}  // namespace

TransactionRunner::TransactionRunner(GroupContext& context, const GroupName& group, GroupSupervisor& supervisor,
                                     EndpointTable& endpoints, OpenWorkTable& open, Host host)
    : context(context),
      group(group),
      supervisor(supervisor),
      endpoints(endpoints),
      open(open),
      host(std::move(host)),
      table(transactions::TransactionTableSettings{}),
      quota(scheduling::ConnectionQuotaSettings{}) {}

void TransactionRunner::Begin(const OpenWork& work, TimePoint now) {
  const auto primary = this->endpoints.IndexOf(this->supervisor.Promotion().Primary());
  if (!this->supervisor.Promotion().MaySend() || !primary) {
    this->host.complete(work.id, MakeFailedReply(WorkProblem::kTermMoved));
    return;
  }
  if (!this->quota.TryAcquire(work.request.requirements.rank)) {
    this->host.complete(work.id, MakeFailedReply(WorkProblem::kTooManyTransactions));
    return;
  }
  EndpointConnectionPool& pool = this->endpoints.PoolOf(*primary);
  const auto connection = pool.Acquire(/*fresh=*/false);
  if (!connection) {
    this->quota.ReleaseOne();
    this->host.complete(work.id, MakeFailedReply(WorkProblem::kTooManyTransactions));
    return;
  }
  transactions::NewTransaction transaction;
  transaction.id = {this->context.generator(), this->context.generator()};
  transaction.owner = work.request.caller;
  transaction.group = this->group;
  transaction.connection = *connection;
  transaction.rank = work.request.requirements.rank;
  transaction.acknowledgement = work.request.requirements.acknowledgement;
  transaction.term = this->supervisor.Promotion().CurrentTerm();
  WorkReply reply;
  try {
    this->table.Open(transaction, now);
    reply.outcome = Outcome::kDone;
    reply.transaction = transaction.id;
    reply.endpoint = this->endpoints.NameOf(*primary);
  } catch (const Error&) {
    this->quota.ReleaseOne();
    pool.Release(*connection);
    reply = MakeFailedReply(WorkProblem::kTooManyTransactions);
  }
  this->host.complete(work.id, std::move(reply));
}

bool TransactionRunner::Accept(const OpenWork& work, TimePoint now) {
  transactions::TransactionCall call;
  call.transaction = work.request.transaction;
  call.caller = work.request.caller;
  call.request = work.id;
  call.kind = CallKindOf(work.request.kind);
  call.deadline = work.request.deadline;
  call.idempotency_key = work.request.idempotency_key;
  try {
    this->table.AddCall(call, now);
    return true;
  } catch (const transactions::TransactionNotFoundError&) {
    this->host.complete(work.id, MakeFailedReply(WorkProblem::kTransactionNotFound));
  } catch (const transactions::TransactionBusyError&) {
    this->host.complete(work.id, MakeFailedReply(WorkProblem::kTransactionBusy));
  }
  return false;
}

void TransactionRunner::Dispatched(const OpenWork& work, TimePoint now) {
  transactions::TransactionActions actions;
  const outcomes::RequestId id = work.id;
  if (!this->table.StartCall(work.request.transaction, id, now, actions)) {
    this->host.release_slot(id, /*ran_to_end=*/false);
  }
  this->ExecuteAll(actions);
}

void TransactionRunner::Refused(const OpenWork& work, TimePoint now) {
  transactions::TransactionActions actions;
  this->table.RefuseCall(work.request.transaction, work.id, now, actions);
  this->ExecuteAll(actions);
}

void TransactionRunner::SetValidUntil(TimePoint until) { this->table.SetLeadershipValidUntil(until); }

void TransactionRunner::TermMoved(const replicas::GroupRecord& record, TimePoint now) {
  transactions::TransactionActions actions;
  this->table.TermMoved(record.term, now, actions);
  this->ExecuteAll(actions);
}

void TransactionRunner::ReplicationReached(Term synced_term, std::uint64_t offset, TimePoint now) {
  transactions::TransactionActions actions;
  this->table.ReplicationReached(synced_term, offset, now, actions);
  this->ExecuteAll(actions);
}

void TransactionRunner::ConnectionLost(outcomes::ConnectionId connection, TimePoint now) {
  transactions::TransactionActions actions;
  this->table.ConnectionLost(connection, now, actions);
  this->ExecuteAll(actions);
}

void TransactionRunner::LeadershipEnded(TimePoint now) {
  transactions::TransactionActions actions;
  this->table.LeadershipEnded(now, actions);
  this->ExecuteAll(actions);
}

void TransactionRunner::Drain(TimePoint until, TimePoint now) { this->table.Drain(until, now); }

void TransactionRunner::Tick(TimePoint now) {
  while (!this->pending_outcome_queries.empty() && this->pending_outcome_queries.begin()->first <= now) {
    const transactions::QueryCommitOutcome due = this->pending_outcome_queries.begin()->second;
    this->pending_outcome_queries.erase(this->pending_outcome_queries.begin());
    this->QueryOutcome(due);
  }
  if (this->table.NextDeadline() > now) {
    return;
  }
  transactions::TransactionActions actions;
  this->table.Tick(now, actions);
  this->ExecuteAll(actions);
}

std::size_t TransactionRunner::OpenTransactions() const { return this->table.OpenTransactions(); }

void TransactionRunner::ExecuteAll(const transactions::TransactionActions& actions) {
  for (const transactions::TransactionAction& action : actions) {
    std::visit([this](const auto& typed) { this->Execute(typed); }, action);
  }
}

net::HttpRequest TransactionRunner::MakeMessage(const transactions::SendCall& action, const OpenWork& work) const {
  switch (action.kind) {
    case transactions::CallKind::kCommit:
      return CommitMessage(action.request, action.term, work.endpoint_key);
    case transactions::CallKind::kRollback:
      return RollbackMessage(action.request, action.term);
    case transactions::CallKind::kStatement:
      break;
  }
  return StatementMessage(
      EndpointStatement{action.request, action.term, work.request.mode, work.request.statement, {}, false});
}

void TransactionRunner::Execute(const transactions::SendCall& action) {
  const auto found = this->open.find(action.request);
  EndpointConnectionPool* pool = this->endpoints.FindPoolOfConnection(action.connection);
  if (found == this->open.end() || pool == nullptr) {
    this->Finish(action.request, action.connection, net::CallResult{net::CallStatus::kBroken, {}});
    return;
  }
  pool->Call(action.connection, this->MakeMessage(action, found->second), found->second.request.deadline + kReplyMargin,
             [this, alive = std::weak_ptr<bool>(this->alive), request = action.request](
                 outcomes::ConnectionId connection, const net::CallResult& result) {
               if (!alive.expired()) {
                 this->Finish(request, connection, result);
               }
             });
}

void TransactionRunner::Finish(outcomes::RequestId request, outcomes::ConnectionId connection,
                               const net::CallResult& result) {
  this->host.release_slot(request, result.status == net::CallStatus::kAnswered);
  if (result.status == net::CallStatus::kAnswered) {
    try {
      this->HandleReply(request, connection, ParseEndpointReply(result.response));
      return;
    } catch (const ParseError&) {
      // A malformed reply is treated like a lost connection, because no later reply on the connection can be trusted.
    }
  }
  this->ConnectionLost(connection, BootClock::now());
}

void TransactionRunner::HandleReply(outcomes::RequestId request, outcomes::ConnectionId connection,
                                    const EndpointReply& endpoint_reply) {
  const TimePoint now = BootClock::now();
  transactions::TransactionActions actions;
  outcomes::DeliveryResult delivery = outcomes::DeliveryResult::kAccepted;
  if (endpoint_reply.refusal) {
    delivery = this->table.RefusedByEndpoint({connection, request, *endpoint_reply.refusal}, now, actions);
  } else {
    const auto found = this->open.find(request);
    if (found != this->open.end()) {
      found->second.reply.result = endpoint_reply.result;
      found->second.reply.replayed = endpoint_reply.replayed;
    }
    const outcomes::EndpointAnswer endpoint_answer{connection, endpoint_reply.request, endpoint_reply.term,
                                                   endpoint_reply.position, endpoint_reply.replayed};
    delivery = this->table.Answered(endpoint_answer, now, actions);
  }
  this->ExecuteAll(actions);
  if (delivery == outcomes::DeliveryResult::kMismatched) {
    logging::Write(logging::Level::kError, "an endpoint's reply matches no open call", {{"group", this->group}});
  }
}

void TransactionRunner::Execute(const transactions::CloseTransactionConnection& action) {
  this->quota.ReleaseOne();
  if (EndpointConnectionPool* pool = this->endpoints.FindPoolOfConnection(action.connection)) {
    pool->Close(action.connection);
  }
}

void TransactionRunner::Execute(const transactions::ReturnConnection& action) {
  this->quota.ReleaseOne();
  if (EndpointConnectionPool* pool = this->endpoints.FindPoolOfConnection(action.connection)) {
    pool->Release(action.connection);
  }
}

void TransactionRunner::Execute(const transactions::AwaitCommitReplication& action) {
  const TimePoint now = BootClock::now();
  const Term term = this->supervisor.Promotion().CurrentTerm();
  const auto known = this->supervisor.Replicas().AwaitReplicated(0, term, action.position, now + kReplyMargin);
  if (known && known->replication == replicas::Replication::kReplicated) {
    this->ReplicationReached(term, action.position.offset, now);
  }
}

void TransactionRunner::Execute(const transactions::AnswerCall& action) {
  // A call whose connection was closed gets no reply from the endpoint, so its slot is released here.
  this->host.release_slot(action.request, /*ran_to_end=*/false);
  const auto found = this->open.find(action.request);
  if (found == this->open.end()) {
    return;
  }
  WorkReply reply = std::move(found->second.reply);
  reply.outcome = action.outcome;
  reply.problem = ProblemOf(action.reason);
  reply.position = action.position;
  reply.transaction = action.transaction;
  reply.endpoint = this->supervisor.Promotion().Primary();
  const bool committed = action.kind == transactions::CallKind::kCommit && action.outcome == Outcome::kDone;
  const AcknowledgementLevel level = found->second.request.requirements.acknowledgement;
  // The current term applies, because the table ends calls that were answered under an older term when the term
  // changes.
  const Term term = this->supervisor.Promotion().CurrentTerm();
  if (committed && !this->supervisor.MayAcknowledge(level, term, action.position)) {
    reply = MakeFailedReply(WorkProblem::kTermMoved, Outcome::kUnknown);
  }
  this->host.complete(action.request, std::move(reply));
}

void TransactionRunner::Execute(const transactions::QueryCommitOutcome& action) {
  this->pending_outcome_queries.emplace(action.not_before, action);
}

void TransactionRunner::QueryOutcome(const transactions::QueryCommitOutcome& action) {
  const auto primary = this->endpoints.IndexOf(this->supervisor.Promotion().Primary());
  const auto commit = this->open.find(action.commit);
  if (!primary || commit == this->open.end()) {
    return;
  }
  const auto connection =
      std::make_shared<net::HttpConnection>(this->context.loop, this->endpoints.PoolOf(*primary).Target());
  connection->Call(OutcomeMessage(commit->second.endpoint_key, action.term), BootClock::now() + kOutcomeQueryTimeout,
                   [this, alive = std::weak_ptr<bool>(this->alive), connection, action](const net::CallResult& result) {
                     if (!alive.expired()) {
                       this->FinishOutcomeQuery(action, result);
                     }
                   });
}

void TransactionRunner::FinishOutcomeQuery(const transactions::QueryCommitOutcome& action,
                                           const net::CallResult& result) {
  std::optional<LogPosition> position;
  if (result.status == net::CallStatus::kAnswered) {
    try {
      const KeyOutcome outcome = ParseKeyOutcome(result.response);
      const auto commit = this->open.find(action.commit);
      if (outcome.known && commit != this->open.end()) {
        position = outcome.position;
        commit->second.reply.result = outcome.result;
        commit->second.reply.replayed = true;
      }
    } catch (const ParseError&) {
      // The reply is malformed, so the commit's outcome stays unknown.
    }
  }
  transactions::TransactionActions actions;
  this->table.CommitOutcomeLearned(action.transaction, action.term, position, BootClock::now(), actions);
  this->ExecuteAll(actions);
}

}  // namespace amaranthlane::daemon
