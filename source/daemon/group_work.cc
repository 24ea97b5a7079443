#include "daemon/group_work.h"

#include <utility>

#include "core/outcomes/outcome_errors.h"
#include "core/scheduling/scheduling_errors.h"
#include "daemon/end_reasons.h"
#include "daemon/read_request.h"
#include "logging/log.h"

namespace amaranthlane::daemon {

namespace {

// Names of callers hold no such character, so that no two callers' keys meet.
constexpr char kKeySeparator = ':';
// Beyond the caller's deadline the table of requests has ended the request itself.
constexpr std::chrono::seconds kAnswerMargin{5};

scheduling::SchedulerSettings SchedulerSettingsOf(const Settings& settings) {
  scheduling::SchedulerSettings scheduler;
  scheduler.policy = scheduling::ParsePolicyKind(settings.scheduling_policy);
  // A queue in order of arrival that refuses nothing is the plain baseline.
  scheduler.refuse_unmeetable = scheduler.policy != scheduling::PolicyKind::kFirstCome;
  return scheduler;
}

}  // namespace

GroupWork::GroupWork(GroupContext& context, const GroupName& group, GroupSupervisor& supervisor)
    : context(context),
      group(group),
      supervisor(supervisor),
      scheduler(SchedulerSettingsOf(context.settings)),
      requests(outcomes::RequestTableSettings{}, context.generator()),
      endpoints(context.loop, context.connection_numbers),
      transactions(context, group, supervisor, this->endpoints, this->open,
                   TransactionRunner::Host{
                       [this](outcomes::RequestId id, WorkAnswer answer) { this->Answer(id, std::move(answer)); },
                       [this](outcomes::RequestId id, bool ran_to_end) { this->FreeSlot(id, ran_to_end); }}) {}

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
    this->Answer(work.id, MakeRefusal(WorkProblem::kMissingKey));
    return;
  }
  this->Queue(work, now);
}

void GroupWork::QueryOutcome(const OpenWork& work, TimePoint now) {
  const auto primary = this->endpoints.IndexOf(this->supervisor.Promotion().Primary());
  if (!this->supervisor.Promotion().MaySend() || !primary || now >= this->valid_until) {
    this->Answer(work.id, MakeRefusal(WorkProblem::kTermMoved));
    return;
  }
  const auto connection =
      std::make_shared<net::HttpConnection>(this->context.loop, this->endpoints.LinkOf(*primary).Target());
  const Term term = this->supervisor.Promotion().CurrentTerm();
  connection->Call(
      OutcomeMessage(work.endpoint_key, term), work.request.deadline,
      [this, alive = std::weak_ptr<bool>(this->alive), connection, id = work.id, term](const net::CallResult& result) {
        if (!alive.expired()) {
          this->OutcomeLearned(id, term, result);
        }
      });
}

void GroupWork::OutcomeLearned(outcomes::RequestId id, Term term, const net::CallResult& result) {
  WorkAnswer answer = MakeRefusal(WorkProblem::kConnectionLost, Outcome::kUnknown);
  try {
    if (result.status == net::CallStatus::kAnswered && BootClock::now() < this->valid_until) {
      const KeyOutcome outcome = ParseKeyOutcome(result.response);
      if (outcome.known && this->MayTellOutcome(term, outcome.position)) {
        answer.outcome = Outcome::kDone;
        answer.problem = WorkProblem::kNone;
        answer.result = outcome.result;
        answer.replayed = true;
        answer.position = outcome.position;
      }
    }
  } catch (const Error&) {
    // Not readable: the key's outcome stays unknown.
  }
  this->Answer(id, std::move(answer));
}

bool GroupWork::MayTellOutcome(Term term, const LogPosition& position) {
  // The key's own obligation isn't known here, so that the stronger one holds: a replica must have the commit.
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
  if (!IsRead(work.request) || work.must_use_primary) {
    return scheduling::kPrimaryBit;
  }
  // The load only matters where there is a choice.
  const bool may_use_replicas = work.request.requirements.max_staleness > Duration::zero();
  const std::vector<replicas::InstanceLoad> load =
      may_use_replicas ? this->EndpointLoads() : std::vector<replicas::InstanceLoad>();
  const replicas::ReadChoice choice =
      this->supervisor.Replicas().ChooseReadEndpoint(now, ReadRequestOf(work.request), load);
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
    work.answer.problem = WorkProblem::kPositionLost;
    this->CarryOutcomes(actions);
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
  this->CarryScheduler(actions, now);
}

void GroupWork::DispatchWaiting(TimePoint now) {
  scheduling::SchedulerActions actions;
  this->scheduler.DispatchWaiting(now, actions);
  this->CarryScheduler(actions, now);
}

void GroupWork::CarryScheduler(scheduling::SchedulerActions& actions, TimePoint now) {
  for (const scheduling::Refusal& refusal : actions.refusals) {
    const auto found = this->open.find(refusal.id);
    if (found == this->open.end()) {
      continue;
    }
    OpenWork& work = found->second;
    work.answer.retry_after = std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retry_at - now);
    if (work.request.kind != WorkKind::kStatement) {
      this->transactions.Refused(work, now);
      continue;
    }
    outcomes::Actions ended;
    this->requests.RefuseQueued(refusal.id, outcomes::EndReason::kOverload, now, ended);
    this->CarryOutcomes(ended);
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
  EndpointLink& link = this->endpoints.LinkOf(work.endpoint);
  const std::optional<outcomes::ConnectionId> connection = link.Acquire(work.fresh_connection);
  outcomes::Actions actions;
  if (!connection) {
    this->FreeSlot(id, /*ran_to_end=*/false);
    this->requests.NotSent(id, now, actions);
    this->CarryOutcomes(actions);
    return;
  }
  if (!this->requests.Dispatch(id, *connection, now, actions)) {
    this->FreeSlot(id, /*ran_to_end=*/false);
    link.Release(*connection);
    this->CarryOutcomes(actions);
    return;
  }
  this->CarryOutcomes(actions);
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
  this->endpoints.LinkOf(work.endpoint)
      .Call(connection, std::move(message), work.request.deadline + kAnswerMargin,
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
  std::optional<EndpointName> silent;
  if (found != this->open.end() && result.status != net::CallStatus::kAnswered) {
    silent = this->endpoints.NameOf(found->second.endpoint);
  }
  if (found != this->open.end() && result.status == net::CallStatus::kNotSent) {
    this->TakeRefusal(found->second, connection, outcomes::EndpointRefusalReason::kBusy, now);
  } else if (found == this->open.end() || !this->TryTakeReply(found->second, connection, result, now)) {
    this->LoseConnection(connection, now);
  }
  // Last, since the promotion may end any work.
  if (silent) {
    this->supervisor.Notify(promotion::ConnectionUnresponsive{*silent});
  }
  this->DispatchWaiting(now);
}

bool GroupWork::TryTakeReply(OpenWork& work, outcomes::ConnectionId connection, const net::CallResult& result,
                             TimePoint now) {
  if (result.status != net::CallStatus::kAnswered) {
    return false;
  }
  EndpointReply reply;
  try {
    reply = ParseEndpointReply(result.response);
  } catch (const ParseError& failure) {
    logging::Write(logging::Level::kWarning, "an endpoint's answer is malformed",
                   {{"group", this->group}, {"error", failure.what()}});
    return false;
  }
  this->TakeReply(work, connection, reply, now);
  return true;
}

void GroupWork::LoseConnection(outcomes::ConnectionId connection, TimePoint now) {
  outcomes::Actions actions;
  this->requests.ConnectionLost(connection, now, actions);
  this->CarryOutcomes(actions);
  if (EndpointLink* link = this->endpoints.LinkOfConnection(connection)) {
    link->Close(connection);
  }
}

void GroupWork::TakeReply(OpenWork& work, outcomes::ConnectionId connection, const EndpointReply& reply,
                          TimePoint now) {
  if (reply.refusal) {
    this->TakeRefusal(work, connection, *reply.refusal, now);
    return;
  }
  const EndpointName& endpoint = this->endpoints.NameOf(work.endpoint);
  if (IsRead(work.request)) {
    const replicas::ReadReply read{endpoint, reply.term, reply.position, work.sent_at};
    this->supervisor.Replicas().ReadFinished(endpoint, now - work.sent_at);
    if (reply.request == work.id &&
        !this->supervisor.Replicas().MayReturnToCaller(now, ReadRequestOf(work.request), read)) {
      work.answer_discarded = true;
      work.must_use_primary = true;
      this->TakeRefusal(work, connection, outcomes::EndpointRefusalReason::kBusy, now);
      return;
    }
    const auto age = this->supervisor.Replicas().AgeBound(now, read);
    work.answer.age_bound =
        std::chrono::ceil<std::chrono::milliseconds>(age.value_or(Duration(std::chrono::milliseconds(0))));
  }
  work.answer.result = reply.result;
  work.answer.endpoint = endpoint;
  work.answer.from_replica = endpoint != this->supervisor.Promotion().Primary();
  outcomes::EndpointAnswer answer;
  answer.connection = connection;
  answer.request = reply.request;
  answer.term = reply.term;
  answer.position = reply.position;
  answer.replayed = reply.replayed;
  outcomes::Actions actions;
  this->requests.Answered(answer, now, actions);
  this->CarryOutcomes(actions);
}

void GroupWork::TakeRefusal(OpenWork& work, outcomes::ConnectionId connection, outcomes::EndpointRefusalReason reason,
                            TimePoint now) {
  const EndpointName endpoint = this->endpoints.NameOf(work.endpoint);
  outcomes::Actions actions;
  this->requests.RefusedByEndpoint(outcomes::EndpointRefusal{connection, work.id, reason}, now, actions);
  this->CarryOutcomes(actions);
  if (reason == outcomes::EndpointRefusalReason::kStaleTerm) {
    this->supervisor.Notify(promotion::HigherTermSeen{endpoint, this->supervisor.Promotion().CurrentTerm() + 1});
  }
}

void GroupWork::CarryOutcomes(const outcomes::Actions& actions) {
  for (const outcomes::Action& action : actions) {
    std::visit([this](const auto& typed) { this->Carry(typed); }, action);
  }
}

void GroupWork::Carry(const outcomes::Requeue& action) {
  this->delayed.emplace(action.not_before,
                        DelayedWork{action.request, action.must_use_primary, action.fresh_connection});
}

void GroupWork::Carry(const outcomes::WithdrawQueued& action) { this->scheduler.Withdraw(action.request); }

void GroupWork::Carry(const outcomes::CloseConnection& action) {
  EndpointLink* link = this->endpoints.LinkOfConnection(action.connection);
  if (link == nullptr) {
    return;
  }
  link->Close(action.connection);
  for (const EndpointRow& row : this->endpoints.Rows()) {
    if (row.link.get() == link) {
      this->supervisor.Notify(promotion::ConnectionUnresponsive{EndpointName(row.name)});
      return;
    }
  }
}

void GroupWork::Carry(const outcomes::ReleaseAttempt& action) {
  this->FreeSlot(action.request, action.ran_to_end);
  if (EndpointLink* link = this->endpoints.LinkOfConnection(action.connection)) {
    link->Release(action.connection);
  }
}

void GroupWork::Carry(const outcomes::AwaitReplication& action) {
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

void GroupWork::Carry(const outcomes::AnswerCaller& action) {
  const auto found = this->open.find(action.request);
  if (found == this->open.end()) {
    return;
  }
  OpenWork& work = found->second;
  WorkAnswer answer = std::move(work.answer);
  if (answer.problem == WorkProblem::kNone) {
    answer.problem = ProblemOf(action.reason);
  }
  answer.outcome = action.outcome;
  answer.position = action.position;
  answer.replayed = action.replayed;
  const bool written = work.request.mode == outcomes::StatementMode::kWrite && action.outcome == Outcome::kDone;
  const AcknowledgementLevel level = work.request.requirements.acknowledgement;
  if (written && !this->supervisor.MayAcknowledge(level, work.sent_term, action.position)) {
    answer = MakeRefusal(WorkProblem::kTermMoved, Outcome::kUnknown);
  }
  if (work.answer_discarded && answer.outcome == Outcome::kNotRun) {
    answer.outcome = Outcome::kUnknown;
  }
  this->Answer(action.request, std::move(answer));
}

void GroupWork::FreeSlot(outcomes::RequestId id, bool ran_to_end) {
  const auto found = this->open.find(id);
  if (found != this->open.end() && found->second.holds_slot) {
    found->second.holds_slot = false;
    this->scheduler.Release(id, ran_to_end, BootClock::now());
  }
}

void GroupWork::Answer(outcomes::RequestId id, WorkAnswer answer) {
  const auto found = this->open.find(id);
  if (found == this->open.end()) {
    return;
  }
  this->FreeSlot(id, /*ran_to_end=*/false);
  this->scheduler.Withdraw(id);
  const OpenWork ended = std::move(found->second);
  this->open.erase(found);
  if (ended.span != nullptr && tracing::ContextOf(*ended.span).sampled) {
    ended.span->SetTag("group", this->group);
    ended.span->SetTag("endpoint", answer.endpoint);
    ended.span->SetTag("outcome", std::string(OutcomeName(answer.outcome)));
    ended.span->Finish();
  }
  ended.callback(std::move(answer));
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
  this->CarryOutcomes(actions);
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
  EndpointLink& link = this->endpoints.LinkOf(*index);
  link.CloseIdle();
  const TimePoint now = BootClock::now();
  for (const outcomes::ConnectionId connection : link.InUse()) {
    outcomes::Actions actions;
    this->requests.ConnectionLost(connection, now, actions);
    this->CarryOutcomes(actions);
    this->transactions.ConnectionLost(connection, now);
    link.Close(connection);
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
    this->CarryOutcomes(actions);
    this->transactions.ReplicationReached(term, result.position.offset, now);
  }
}

void GroupWork::LeadershipEnded() {
  const TimePoint now = BootClock::now();
  outcomes::Actions actions;
  this->requests.LeadershipEnded(now, actions);
  this->CarryOutcomes(actions);
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
    this->CarryOutcomes(actions);
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
