#include "daemon/group_work.h"

#include <utility>

#include "core/outcomes/outcome_errors.h"
#include "core/scheduling/scheduling_errors.h"
#include "daemon/end_reasons.h"
#include "daemon/read_request.h"
#include "logging/log.h"

namespace amaranthlane::daemon {

namespace {

// Separates the caller's name from its idempotency key. Caller names can't contain it, so that keys of different
// callers never collide.
constexpr char kKeySeparator = ':';
// How long an endpoint's reply is awaited beyond the request's deadline. The request table ends the request at the
// deadline by itself.
constexpr std::chrono::seconds kReplyMargin{5};

scheduling::SchedulerSettings MakeSchedulerSettings(const Settings& settings) {
  scheduling::SchedulerSettings scheduler;
  scheduler.policy = scheduling::ParsePolicyKind(settings.scheduling_policy);
  // The first-come policy is the baseline: it serves in order of arrival and refuses no statement because of its
  // deadline.
  scheduler.refuse_unmeetable = scheduler.policy != scheduling::PolicyKind::kFirstCome;
  return scheduler;
}

}  // namespace

GroupWork::GroupWork(GroupContext& context, const GroupName& group, GroupSupervisor& supervisor)
    : context(context),
      group(group),
      supervisor(supervisor),
      scheduler(MakeSchedulerSettings(context.settings)),
      requests(outcomes::RequestTableSettings{}, context.generator()),
      endpoints(context.loop, context.connection_ids),
      transactions(context, group, supervisor, this->endpoints, this->open,
                   TransactionRunner::Host{
                       [this](outcomes::RequestId id, WorkReply reply) { this->Complete(id, std::move(reply)); },
                       [this](outcomes::RequestId id, bool ran_to_end) { this->ReleaseSlot(id, ran_to_end); }}) {}

GroupWork::~GroupWork() = default;

void GroupWork::Submit(WorkRequest request, WorkCallback callback) {
  const TimePoint now = BootClock::now();
  const outcomes::RequestId id = this->next_request++;
  OpenWork& work = this->open[id];
  work.id = id;
  work.arrival = now;
  work.callback = std::move(callback);
  if (this->context.tracer != nullptr) {
    work.span = tracing::StartSpan(*this->context.tracer, "leader", request.traceparent);
  }
  if (!request.idempotency_key.empty()) {
    work.endpoint_key = request.caller + kKeySeparator + request.idempotency_key;
  }
  work.request = std::move(request);
  this->Open(work, now);
  this->DispatchWaiting(now);
}

void GroupWork::Open(OpenWork& work, TimePoint now) {
  switch (work.request.kind) {
    case WorkKind::kStatement:
      this->OpenStatement(work, now);
      return;
    case WorkKind::kBegin:
      this->transactions.Begin(work, now);
      return;
    case WorkKind::kOutcomeQuery:
      this->QueryOutcome(work, now);
      return;
    case WorkKind::kTransactionStatement:
    case WorkKind::kCommit:
    case WorkKind::kRollback:
      if (this->transactions.Accept(work, now)) {
        this->Queue(work, now);
      }
      return;
  }
}

void GroupWork::OpenStatement(OpenWork& work, TimePoint now) {
  outcomes::Request request;
  request.id = work.id;
  request.caller = work.request.caller;
  request.idempotency_key = work.request.idempotency_key;
  request.requirements = work.request.requirements;
  request.mode = work.request.mode;
  request.deadline = work.request.deadline;
  try {
    this->requests.Open(request);
  } catch (const outcomes::MissingIdempotencyKeyError&) {
    this->Complete(work.id, MakeFailedReply(WorkProblem::kMissingKey));
    return;
  }
  this->Queue(work, now);
}

void GroupWork::QueryOutcome(const OpenWork& work, TimePoint now) {
  const auto primary = this->endpoints.IndexOf(this->supervisor.Promotion().Primary());
  if (!this->supervisor.Promotion().MaySend() || !primary || now >= this->valid_until) {
    this->Complete(work.id, MakeFailedReply(WorkProblem::kTermMoved));
    return;
  }
  const auto connection =
      std::make_shared<net::HttpConnection>(this->context.loop, this->endpoints.PoolOf(*primary).Target());
  const Term term = this->supervisor.Promotion().CurrentTerm();
  connection->Call(
      OutcomeMessage(work.endpoint_key, term), work.request.deadline,
      [this, alive = std::weak_ptr<bool>(this->alive), connection, id = work.id, term](const net::CallResult& result) {
        if (!alive.expired()) {
          this->FinishOutcomeQuery(id, term, result);
        }
      });
}

void GroupWork::FinishOutcomeQuery(outcomes::RequestId id, Term term, const net::CallResult& result) {
  WorkReply reply = MakeFailedReply(WorkProblem::kConnectionLost, Outcome::kUnknown);
  try {
    if (result.status == net::CallStatus::kAnswered && BootClock::now() < this->valid_until) {
      const KeyOutcome outcome = ParseKeyOutcome(result.response);
      if (outcome.known && this->MayReturnOutcome(term, outcome.position)) {
        reply.outcome = Outcome::kDone;
        reply.problem = WorkProblem::kNone;
        reply.result = outcome.result;
        reply.replayed = true;
        reply.position = outcome.position;
      }
    }
  } catch (const Error&) {
    // The reply is malformed, so the key's outcome stays unknown.
  }
  this->Complete(id, std::move(reply));
}

bool GroupWork::MayReturnOutcome(Term term, const LogPosition& position) {
  // The acknowledgement level that the key's write required isn't known here, so the stronger one applies: a replica
  // must hold the commit.
  return this->supervisor.Replicas().IsReplicated(term, position) &&
         this->supervisor.MayAcknowledge(AcknowledgementLevel::kReplicated, term, position);
}

std::vector<replicas::InstanceLoad> GroupWork::EndpointLoads() const {
  std::vector<replicas::InstanceLoad> loads;
  for (std::size_t index = 0; index < this->endpoints.Rows().size(); ++index) {
    const auto endpoint = static_cast<scheduling::EndpointIndex>(index);
    loads.push_back({this->endpoints.NameOf(endpoint), static_cast<std::uint32_t>(this->scheduler.Running(endpoint))});
  }
  return loads;
}

std::optional<scheduling::EndpointSet> GroupWork::EligibleFor(OpenWork& work, TimePoint now) {
  if (!IsAutocommitRead(work.request) || work.must_use_primary) {
    return scheduling::kPrimaryBit;
  }
  // The loads are needed only if replicas may serve the read.
  const bool may_use_replicas = work.request.requirements.max_staleness > Duration::zero();
  const std::vector<replicas::InstanceLoad> load =
      may_use_replicas ? this->EndpointLoads() : std::vector<replicas::InstanceLoad>();
  const replicas::ReadChoice choice =
      this->supervisor.Replicas().ChooseReadEndpoint(now, MakeReadRequest(work.request), load);
  switch (choice.outcome) {
    case replicas::ReadOutcome::kPositionLost:
    case replicas::ReadOutcome::kPositionUnknown:
      return std::nullopt;
    case replicas::ReadOutcome::kPrimary:
      return scheduling::kPrimaryBit;
    case replicas::ReadOutcome::kReplica:
      break;
  }
  const auto index = this->endpoints.IndexOf(choice.endpoint);
  return index ? scheduling::EndpointBit(*index) : scheduling::kPrimaryBit;
}

void GroupWork::Queue(OpenWork& work, TimePoint now) {
  const std::optional<scheduling::EndpointSet> eligible = this->EligibleFor(work, now);
  if (!eligible) {
    outcomes::Actions actions;
    this->requests.RefuseQueued(work.id, outcomes::EndReason::kRefusedByEndpoint, now, actions);
    work.reply.problem = WorkProblem::kPositionLost;
    this->ExecuteRequestActions(actions);
    return;
  }
  scheduling::WorkItem item;
  item.id = work.id;
  item.rank = work.request.requirements.rank;
  item.floor = work.request.requirements.floor;
  item.arrival = work.arrival;
  item.deadline = work.request.deadline;
  item.eligible = *eligible;
  item.fallback = *eligible == scheduling::kPrimaryBit ? 0 : scheduling::kPrimaryBit;
  item.bytes = sizeof(OpenWork) + work.request.statement.size();
  scheduling::SchedulerActions actions;
  this->scheduler.Submit(item, now, actions);
  this->ExecuteSchedulerActions(actions, now);
}

void GroupWork::DispatchWaiting(TimePoint now) {
  scheduling::SchedulerActions actions;
  this->scheduler.DispatchWaiting(now, actions);
  this->ExecuteSchedulerActions(actions, now);
}

void GroupWork::ExecuteSchedulerActions(scheduling::SchedulerActions& actions, TimePoint now) {
  for (const scheduling::Refusal& refusal : actions.refusals) {
    const auto found = this->open.find(refusal.id);
    if (found == this->open.end()) {
      continue;
    }
    OpenWork& work = found->second;
    work.reply.retry_after = std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retry_at - now);
    if (work.request.kind != WorkKind::kStatement) {
      this->transactions.Refused(work, now);
      continue;
    }
    outcomes::Actions ended;
    this->requests.RefuseQueued(refusal.id, outcomes::EndReason::kOverload, now, ended);
    this->ExecuteRequestActions(ended);
  }
  for (const scheduling::Dispatch& dispatch : actions.dispatches) {
    this->Dispatch(dispatch, now);
  }
}

void GroupWork::Dispatch(const scheduling::Dispatch& dispatch, TimePoint now) {
  const auto found = this->open.find(dispatch.id);
  if (found == this->open.end()) {
    this->scheduler.Release(dispatch.id, /*ran_to_end=*/false, now);
    return;
  }
  OpenWork& work = found->second;
  work.endpoint = dispatch.endpoint;
  work.sent_at = now;
  work.holds_slot = true;
  if (work.request.kind == WorkKind::kStatement) {
    this->DispatchStatement(work, now);
  } else {
    this->transactions.Dispatched(work, now);
  }
}

void GroupWork::DispatchStatement(OpenWork& work, TimePoint now) {
  const outcomes::RequestId id = work.id;
  EndpointConnectionPool& pool = this->endpoints.PoolOf(work.endpoint);
  const std::optional<outcomes::ConnectionId> connection = pool.Acquire(work.fresh_connection);
  outcomes::Actions actions;
  if (!connection) {
    this->ReleaseSlot(id, /*ran_to_end=*/false);
    this->requests.NotSent(id, now, actions);
    this->ExecuteRequestActions(actions);
    return;
  }
  if (!this->requests.Dispatch(id, *connection, now, actions)) {
    this->ReleaseSlot(id, /*ran_to_end=*/false);
    pool.Release(*connection);
    this->ExecuteRequestActions(actions);
    return;
  }
  this->ExecuteRequestActions(actions);
  this->Send(work, *connection, now);
}

void GroupWork::Send(OpenWork& work, outcomes::ConnectionId connection, TimePoint now) {
  EndpointStatement statement;
  statement.request = work.id;
  statement.term = this->supervisor.Promotion().CurrentTerm();
  statement.mode = work.request.mode;
  statement.statement = work.request.statement;
  statement.idempotency_key = work.endpoint_key;
  work.sent_at = now;
  work.sent_term = statement.term;
  net::HttpRequest message = StatementMessage(statement);
  if (work.span != nullptr && tracing::ContextOf(*work.span).sampled) {
    message.headers.push_back({"traceparent", tracing::FormatTraceparent(tracing::ContextOf(*work.span))});
  }
  this->endpoints.PoolOf(work.endpoint)
      .Call(connection, std::move(message), work.request.deadline + kReplyMargin,
            [this, alive = std::weak_ptr<bool>(this->alive), id = work.id](outcomes::ConnectionId connection,
                                                                           const net::CallResult& result) {
              if (!alive.expired()) {
                this->Finish(id, connection, result);
              }
            });
}

void GroupWork::Finish(outcomes::RequestId id, outcomes::ConnectionId connection, const net::CallResult& result) {
  const TimePoint now = BootClock::now();
  const auto found = this->open.find(id);
  std::optional<EndpointName> unresponsive;
  if (found != this->open.end() && result.status != net::CallStatus::kAnswered) {
    unresponsive = this->endpoints.NameOf(found->second.endpoint);
  }
  if (found != this->open.end() && result.status == net::CallStatus::kNotSent) {
    this->HandleRefusal(found->second, connection, outcomes::EndpointRefusalReason::kBusy, now);
  } else if (found == this->open.end() || !this->TryHandleReply(found->second, connection, result, now)) {
    this->HandleConnectionLoss(connection, now);
  }
  // Notified last, because the promotion system may end any open work.
  if (unresponsive) {
    this->supervisor.Notify(promotion::ConnectionUnresponsive{*unresponsive});
  }
  this->DispatchWaiting(now);
}

bool GroupWork::TryHandleReply(OpenWork& work, outcomes::ConnectionId connection, const net::CallResult& result,
                               TimePoint now) {
  if (result.status != net::CallStatus::kAnswered) {
    return false;
  }
  EndpointReply reply;
  try {
    reply = ParseEndpointReply(result.response);
  } catch (const ParseError& failure) {
    logging::Write(logging::Level::kWarning, "an endpoint's reply is malformed",
                   {{"group", this->group}, {"error", failure.what()}});
    return false;
  }
  this->HandleReply(work, connection, reply, now);
  return true;
}

void GroupWork::HandleConnectionLoss(outcomes::ConnectionId connection, TimePoint now) {
  outcomes::Actions actions;
  this->requests.ConnectionLost(connection, now, actions);
  this->ExecuteRequestActions(actions);
  if (EndpointConnectionPool* pool = this->endpoints.FindPoolOfConnection(connection)) {
    pool->Close(connection);
  }
}

void GroupWork::HandleReply(OpenWork& work, outcomes::ConnectionId connection, const EndpointReply& endpoint_reply,
                            TimePoint now) {
  if (endpoint_reply.refusal) {
    this->HandleRefusal(work, connection, *endpoint_reply.refusal, now);
    return;
  }
  const EndpointName& endpoint = this->endpoints.NameOf(work.endpoint);
  if (IsAutocommitRead(work.request)) {
    const replicas::ReadReply read{endpoint, endpoint_reply.term, endpoint_reply.position, work.sent_at};
    this->supervisor.Replicas().ReadFinished(endpoint, now - work.sent_at);
    if (endpoint_reply.request == work.id &&
        !this->supervisor.Replicas().MayReturnToCaller(now, MakeReadRequest(work.request), read)) {
      work.result_discarded = true;
      work.must_use_primary = true;
      this->HandleRefusal(work, connection, outcomes::EndpointRefusalReason::kBusy, now);
      return;
    }
    const auto age = this->supervisor.Replicas().AgeBound(now, read);
    work.reply.age_bound =
        std::chrono::ceil<std::chrono::milliseconds>(age.value_or(Duration(std::chrono::milliseconds(0))));
  }
  work.reply.result = endpoint_reply.result;
  work.reply.endpoint = endpoint;
  work.reply.from_replica = endpoint != this->supervisor.Promotion().Primary();
  outcomes::EndpointAnswer endpoint_answer;
  endpoint_answer.connection = connection;
  endpoint_answer.request = endpoint_reply.request;
  endpoint_answer.term = endpoint_reply.term;
  endpoint_answer.position = endpoint_reply.position;
  endpoint_answer.replayed = endpoint_reply.replayed;
  outcomes::Actions actions;
  this->requests.Answered(endpoint_answer, now, actions);
  this->ExecuteRequestActions(actions);
}

void GroupWork::HandleRefusal(OpenWork& work, outcomes::ConnectionId connection, outcomes::EndpointRefusalReason reason,
                              TimePoint now) {
  const EndpointName endpoint = this->endpoints.NameOf(work.endpoint);
  outcomes::Actions actions;
  this->requests.RefusedByEndpoint(outcomes::EndpointRefusal{connection, work.id, reason}, now, actions);
  this->ExecuteRequestActions(actions);
  if (reason == outcomes::EndpointRefusalReason::kStaleTerm) {
    this->supervisor.Notify(promotion::HigherTermSeen{endpoint, this->supervisor.Promotion().CurrentTerm() + 1});
  }
}

void GroupWork::ExecuteRequestActions(const outcomes::Actions& actions) {
  for (const outcomes::Action& action : actions) {
    std::visit([this](const auto& typed) { this->Execute(typed); }, action);
  }
}

void GroupWork::Execute(const outcomes::Requeue& action) {
  this->delayed.emplace(action.not_before,
                        DelayedWork{action.request, action.must_use_primary, action.fresh_connection});
}

void GroupWork::Execute(const outcomes::WithdrawQueued& action) { this->scheduler.Withdraw(action.request); }

void GroupWork::Execute(const outcomes::CloseConnection& action) {
  EndpointConnectionPool* pool = this->endpoints.FindPoolOfConnection(action.connection);
  if (pool == nullptr) {
    return;
  }
  pool->Close(action.connection);
  for (const EndpointRow& row : this->endpoints.Rows()) {
    if (row.pool.get() == pool) {
      this->supervisor.Notify(promotion::ConnectionUnresponsive{EndpointName(row.name)});
      return;
    }
  }
}

void GroupWork::Execute(const outcomes::ReleaseAttempt& action) {
  this->ReleaseSlot(action.request, action.ran_to_end);
  if (EndpointConnectionPool* pool = this->endpoints.FindPoolOfConnection(action.connection)) {
    pool->Release(action.connection);
  }
}

void GroupWork::Execute(const outcomes::AwaitReplication& action) {
  const auto found = this->open.find(action.request);
  if (found == this->open.end()) {
    return;
  }
  const auto known = this->supervisor.Replicas().AwaitReplicated(action.request, found->second.sent_term,
                                                                 action.position, found->second.request.deadline);
  if (known) {
    this->Acknowledged({*known});
  }
}

void GroupWork::Execute(const outcomes::AnswerCaller& action) {
  const auto found = this->open.find(action.request);
  if (found == this->open.end()) {
    return;
  }
  OpenWork& work = found->second;
  WorkReply reply = std::move(work.reply);
  if (reply.problem == WorkProblem::kNone) {
    reply.problem = ProblemOf(action.reason);
  }
  reply.outcome = action.outcome;
  reply.position = action.position;
  reply.replayed = action.replayed;
  const bool written = work.request.mode == outcomes::StatementMode::kWrite && action.outcome == Outcome::kDone;
  const AcknowledgementLevel level = work.request.requirements.acknowledgement;
  if (written && !this->supervisor.MayAcknowledge(level, work.sent_term, action.position)) {
    reply = MakeFailedReply(WorkProblem::kTermMoved, Outcome::kUnknown);
  }
  if (work.result_discarded && reply.outcome == Outcome::kNotRun) {
    reply.outcome = Outcome::kUnknown;
  }
  this->Complete(action.request, std::move(reply));
}

void GroupWork::ReleaseSlot(outcomes::RequestId id, bool ran_to_end) {
  const auto found = this->open.find(id);
  if (found != this->open.end() && found->second.holds_slot) {
    found->second.holds_slot = false;
    this->scheduler.Release(id, ran_to_end, BootClock::now());
  }
}

void GroupWork::Complete(outcomes::RequestId id, WorkReply reply) {
  const auto found = this->open.find(id);
  if (found == this->open.end()) {
    return;
  }
  this->ReleaseSlot(id, /*ran_to_end=*/false);
  this->scheduler.Withdraw(id);
  const OpenWork ended = std::move(found->second);
  this->open.erase(found);
  if (ended.span != nullptr && tracing::ContextOf(*ended.span).sampled) {
    ended.span->SetTag("group", this->group);
    ended.span->SetTag("endpoint", reply.endpoint);
    ended.span->SetTag("outcome", std::string(OutcomeName(reply.outcome)));
    ended.span->Finish();
  }
  ended.callback(std::move(reply));
  this->ReportIdlePrimary();
}

void GroupWork::SetValidUntil(TimePoint until) {
  this->valid_until = until;
  this->requests.SetLeadershipValidUntil(until);
  this->transactions.SetValidUntil(until);
}

void GroupWork::RecordAdopted(const replicas::GroupRecord& record) {
  const TimePoint now = BootClock::now();
  this->endpoints.Apply(record, this->scheduler);
  outcomes::Actions actions;
  this->requests.TermMoved(record.term, now, actions);
  this->ExecuteRequestActions(actions);
  this->transactions.TermMoved(record, now);
}

void GroupWork::PrimarySuspended(bool planned, TimePoint drain_deadline) {
  this->scheduler.SetPrimary(std::nullopt);
  if (planned) {
    this->drain_deadline = drain_deadline;
    this->ReportIdlePrimary();
  }
}

void GroupWork::PrimaryServing() {
  this->drain_deadline.reset();
  const auto primary = this->endpoints.IndexOf(this->supervisor.Promotion().Primary());
  this->scheduler.SetPrimary(primary);
  this->DispatchWaiting(BootClock::now());
}

void GroupWork::ReplaceConnections(const EndpointName& endpoint) {
  const auto index = this->endpoints.IndexOf(endpoint);
  if (!index) {
    return;
  }
  EndpointConnectionPool& pool = this->endpoints.PoolOf(*index);
  pool.CloseIdle();
  const TimePoint now = BootClock::now();
  for (const outcomes::ConnectionId connection : pool.InUse()) {
    outcomes::Actions actions;
    this->requests.ConnectionLost(connection, now, actions);
    this->ExecuteRequestActions(actions);
    this->transactions.ConnectionLost(connection, now);
    pool.Close(connection);
  }
  this->DispatchWaiting(now);
}

void GroupWork::Acknowledged(const std::vector<replicas::AcknowledgementResult>& results) {
  const TimePoint now = BootClock::now();
  const Term term = this->supervisor.Replicas().CurrentTerm();
  for (const replicas::AcknowledgementResult& result : results) {
    if (result.replication != replicas::Replication::kReplicated) {
      continue;
    }
    outcomes::Actions actions;
    this->requests.ReplicationReached(term, result.position.offset, now, actions);
    this->ExecuteRequestActions(actions);
    this->transactions.ReplicationReached(term, result.position.offset, now);
  }
}

void GroupWork::LeadershipEnded() {
  const TimePoint now = BootClock::now();
  outcomes::Actions actions;
  this->requests.LeadershipEnded(now, actions);
  this->ExecuteRequestActions(actions);
  this->transactions.LeadershipEnded(now);
}

void GroupWork::Drain(TimePoint until) { this->transactions.Drain(until, BootClock::now()); }

void GroupWork::Tick(TimePoint now) {
  std::vector<DelayedWork> due;
  while (!this->delayed.empty() && this->delayed.begin()->first <= now) {
    due.push_back(this->delayed.begin()->second);
    this->delayed.erase(this->delayed.begin());
  }
  for (const DelayedWork& entry : due) {
    const auto found = this->open.find(entry.id);
    if (found != this->open.end()) {
      found->second.must_use_primary = found->second.must_use_primary || entry.must_use_primary;
      found->second.fresh_connection = entry.fresh_connection;
      this->Queue(found->second, now);
    }
  }
  if (this->requests.NextDeadline() <= now) {
    outcomes::Actions actions;
    this->requests.Tick(now, actions);
    this->ExecuteRequestActions(actions);
  }
  this->transactions.Tick(now);
  this->DispatchWaiting(now);
  this->ReportIdlePrimary();
}

void GroupWork::ReportIdlePrimary() {
  if (!this->drain_deadline) {
    return;
  }
  const auto primary = this->endpoints.IndexOf(this->supervisor.Promotion().Primary());
  const bool running = primary && this->scheduler.Running(*primary) > 0;
  const bool overdue = BootClock::now() >= *this->drain_deadline;
  if ((running || this->transactions.OpenTransactions() > 0) && !overdue) {
    return;
  }
  this->drain_deadline.reset();
  this->supervisor.Notify(promotion::PrimaryIdle{this->supervisor.Promotion().CurrentTerm()});
}

bool GroupWork::Idle() const { return this->open.empty() && this->transactions.OpenTransactions() == 0; }

scheduling::PressureReport GroupWork::Pressure(TimePoint now) { return this->scheduler.Report(now); }

std::size_t GroupWork::Waiting(Rank rank) const { return this->scheduler.Waiting(rank); }

const EndpointTable& GroupWork::Endpoints() const { return this->endpoints; }

}  // namespace amaranthlane::daemon
