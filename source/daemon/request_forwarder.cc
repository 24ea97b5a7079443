#include "daemon/request_forwarder.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>
#include <vector>

#include "common/error.h"
#include "core/outcomes/outcome_errors.h"
#include "core/outcomes/retry_rule.h"
#include "core/sessions/session_errors.h"
#include "daemon/problem.h"

namespace amaranthlane::daemon {

namespace {

constexpr char kBearerPrefix[] = "Bearer ";
constexpr std::size_t kBearerPrefixLength = sizeof(kBearerPrefix) - 1;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
// How long a peer's reply is awaited beyond the request's deadline. The leader replies by the deadline at the latest;
// the rest is for the transfer of the reply.
constexpr std::chrono::milliseconds kPeerReplyMargin{250};

std::string_view BearerKey(const net::HttpRequest& request) {
  std::string_view header = net::FindHeader(request.headers, "Authorization");
  if (!header.starts_with(kBearerPrefix)) {
    return {};
  }
  return header.substr(kBearerPrefixLength);
}

bool InTransaction(WorkKind kind) {
  return kind == WorkKind::kTransactionStatement || kind == WorkKind::kCommit || kind == WorkKind::kRollback;
}

outcomes::ForwardEvent EventOf(const WorkReply& reply) {
  const bool leader_changed = reply.problem == WorkProblem::kLeadershipLost || reply.problem == WorkProblem::kTermMoved;
  switch (reply.outcome) {
    case Outcome::kDone:
      return outcomes::ForwardEvent::kAnsweredDone;
    case Outcome::kNotRun:
      return leader_changed || reply.problem == WorkProblem::kNotLeader ? outcomes::ForwardEvent::kNotLeader
                                                                        : outcomes::ForwardEvent::kAnsweredNotRun;
    case Outcome::kUnknown:
      return leader_changed ? outcomes::ForwardEvent::kLostAfterSend : outcomes::ForwardEvent::kAnsweredUnknown;
  }
  return outcomes::ForwardEvent::kAnsweredUnknown;
}

}  // namespace

// A caller's request that has not been answered yet.
struct RequestForwarder::Call {
  Call(boost::asio::io_context& loop, net::HttpServer::ResponseCallback respond)
      : respond(std::move(respond)), timer(loop) {}

  outcomes::RequestId id = 0;
  WorkRequest work;
  outcomes::ForwardedRequest forwarded;
  sessions::SessionToken token;
  net::HttpServer::ResponseCallback respond;
  boost::asio::steady_timer timer;
  std::unique_ptr<opentracing::Span> span;
  std::string kind;
  TimePoint arrival;
  // The VM that the current attempt was forwarded to, and the attempt's number. Late replies to earlier attempts are
  // ignored.
  VmName leader;
  std::uint64_t attempt = 0;
};

RequestForwarder::RequestForwarder(boost::asio::io_context& loop, const Settings& settings, ControlPlane& control_plane,
                                   PeerClient& peers, metrics::Registry& metrics,
                                   std::shared_ptr<tracing::RingTracer> tracer, std::mt19937_64& generator, Host host)
    : loop(loop),
      settings(settings),
      control_plane(control_plane),
      peers(peers),
      tracer(std::move(tracer)),
      generator(generator),
      host(std::move(host)),
      metrics(metrics),
      forwarding(generator()) {}

void RequestForwarder::ObjectsChanged() {
  this->callers.Refresh(this->control_plane.Objects());
  this->resolver.Refresh(this->control_plane.Objects());
}

void RequestForwarder::Handle(const net::HttpRequest& request, net::HttpServer::ResponseCallback respond) {
  const CallPointer call = this->Parse(request, respond);
  if (call != nullptr) {
    this->Forward(call);
  }
}

RequestForwarder::CallPointer RequestForwarder::Parse(const net::HttpRequest& request,
                                                      net::HttpServer::ResponseCallback& respond) {
  // Callers, groups and service requirements are unknown until this VM has received the complete configuration.
  if (this->control_plane.Objects().CompleteThrough() == 0) {
    respond(WorkProblemResponse(MakeFailedReply(WorkProblem::kStarting), ""));
    return nullptr;
  }
  const std::string* caller = this->callers.Authenticate(BearerKey(request));
  if (caller == nullptr) {
    respond(WorkProblemResponse(MakeFailedReply(WorkProblem::kUnknownCaller), ""));
    return nullptr;
  }
  try {
    const CallerRequest parsed = ParseCallerRequest(request);
    auto call = std::make_shared<Call>(this->loop, std::move(respond));
    call->arrival = BootClock::now();
    call->span = tracing::StartSpan(*this->tracer, "entry", net::FindHeader(request.headers, "traceparent"));
    call->work.caller = *caller;
    if (!this->Resolve(*call, parsed, net::FindHeader(request.headers, "Session-Token"))) {
      return nullptr;
    }
    return call;
  } catch (const UnknownCallError& failure) {
    respond(ProblemResponse(kStatusNotFound, "unknown-call", failure.what()));
  } catch (const outcomes::InvalidIdempotencyKeyError& failure) {
    respond(ProblemResponse(400, "invalid-idempotency-key", failure.what()));
  } catch (const ParseError& failure) {
    respond(ProblemResponse(400, "invalid-request", failure.what()));
  }
  return nullptr;
}

bool RequestForwarder::Resolve(Call& call, const CallerRequest& request, std::string_view session_token) {
  if (this->control_plane.Objects().Find(configuration::kDatabaseGroupsKind, request.group) == nullptr) {
    call.respond(WorkProblemResponse(MakeFailedReply(WorkProblem::kUnknownGroup), ""));
    return false;
  }
  const auto mode = request.mode == outcomes::StatementMode::kRead ? configuration::AccessMode::kRead
                                                                   : configuration::AccessMode::kWrite;
  WorkRequest& work = call.work;
  call.kind = request.kind;
  work.requirements = this->resolver.Resolve({work.caller, request.group, request.kind, mode});
  work.kind = request.work;
  work.group = request.group;
  work.mode = request.mode;
  work.statement = request.statement;
  work.idempotency_key = request.idempotency_key;
  work.transaction = request.transaction;
  work.data_centre = this->settings.data_centre;
  const Duration limit = request.time_limit ? std::min<Duration>(*request.time_limit, work.requirements.time_limit)
                                            : work.requirements.time_limit;
  work.deadline = call.arrival + limit;
  try {
    call.token = sessions::SessionToken::Parse(session_token);
    work.token = call.token.PositionOf(work.group);
    if (work.kind == WorkKind::kStatement) {
      outcomes::CheckIdempotencyKey(work.requirements, work.mode, work.idempotency_key);
    }
  } catch (const sessions::TokenError&) {
    call.respond(WorkProblemResponse(MakeFailedReply(WorkProblem::kInvalidToken), ""));
    return false;
  } catch (const outcomes::MissingIdempotencyKeyError&) {
    call.respond(WorkProblemResponse(MakeFailedReply(WorkProblem::kMissingKey), ""));
    return false;
  }
  work.traceparent = tracing::FormatTraceparent(tracing::ContextOf(*call.span));
  call.id = this->next_call++;
  outcomes::Request& forwarded = call.forwarded.request;
  forwarded.id = call.id;
  forwarded.caller = work.caller;
  forwarded.idempotency_key = work.idempotency_key;
  forwarded.requirements = work.requirements;
  // Opening a transaction may be repeated like a read, because a transaction that is not used ends by itself.
  const bool repeatable = work.kind == WorkKind::kBegin || work.kind == WorkKind::kOutcomeQuery;
  forwarded.mode = repeatable ? outcomes::StatementMode::kRead : work.mode;
  forwarded.deadline = work.deadline;
  return true;
}

void RequestForwarder::Forward(const CallPointer& call) {
  const TimePoint now = BootClock::now();
  if (!outcomes::ForwardingPolicy::TryStartAttempt(call->forwarded, now)) {
    this->Decide(call, outcomes::ForwardEvent::kDeadlinePassed, MakeFailedReply(WorkProblem::kDeadlinePassed));
    return;
  }
  const std::optional<VmName> leader = this->control_plane.Leadership().CurrentLeader(call->work.group);
  if (!leader) {
    this->Decide(call, outcomes::ForwardEvent::kNotSent, MakeFailedReply(WorkProblem::kNoLeader));
    return;
  }
  const std::uint64_t attempt = ++call->attempt;
  call->leader = *leader;
  GroupLeader* local = *leader == this->settings.vm ? this->host.local_leader(call->work.group) : nullptr;
  if (local != nullptr) {
    local->Submit(call->work, [this, call, attempt](WorkReply reply) {
      if (attempt == call->attempt) {
        this->HandleReply(call, std::move(reply));
      }
    });
    return;
  }
  this->ForwardToPeer(call, *leader);
}

void RequestForwarder::ForwardToPeer(const CallPointer& call, const VmName& leader) {
  const TimePoint now = BootClock::now();
  const std::string address = this->control_plane.AddressOf(leader);
  if (address.empty()) {
    this->Decide(call, outcomes::ForwardEvent::kNotSent, MakeFailedReply(WorkProblem::kNoLeader));
    return;
  }
  const bool may_use_replicas = call->work.kind == WorkKind::kStatement &&
                                call->work.mode == outcomes::StatementMode::kRead &&
                                call->work.requirements.max_staleness > Duration::zero();
  const auto target = may_use_replicas ? scheduling::TargetKind::kReplicas : scheduling::TargetKind::kPrimary;
  const auto refusal = this->admission.Check(call->work.group, call->work.requirements.rank, target,
                                             call->work.deadline, now, this->generator);
  if (refusal) {
    WorkReply reply = MakeFailedReply(WorkProblem::kOverload);
    reply.retry_after = std::chrono::duration_cast<std::chrono::milliseconds>(refusal->retry_at - now);
    // Only this attempt is known not to have run; an earlier one may have run.
    this->Decide(call, outcomes::ForwardEvent::kAnsweredNotRun, std::move(reply));
    return;
  }
  std::vector<net::HttpHeader> headers = {{"traceparent", call->work.traceparent}, {"from-vm", this->settings.vm}};
  this->forwarded[call->id] = call;
  this->peers.ForwardWork(address, FormatWorkRequest(call->work, now), std::move(headers),
                          call->work.deadline + kPeerReplyMargin,
                          [this, call, attempt = call->attempt](const net::CallResult& result) {
                            if (attempt == call->attempt) {
                              this->HandlePeerResult(call, result);
                            }
                          });
}

void RequestForwarder::HandlePeerResult(const CallPointer& call, const net::CallResult& result) {
  this->forwarded.erase(call->id);
  if (result.status == net::CallStatus::kNotSent) {
    this->Decide(call, outcomes::ForwardEvent::kNotSent, MakeFailedReply(WorkProblem::kNoLeader));
    return;
  }
  if (result.status == net::CallStatus::kAnswered && result.response.status == kStatusOk) {
    try {
      WorkReply reply = ParseWorkReply(result.response.body);
      if (reply.pressure) {
        this->admission.RecordReport(call->work.group, *reply.pressure, BootClock::now());
      }
      this->HandleReply(call, std::move(reply));
      return;
    } catch (const ParseError&) {
      // A malformed reply is treated like a missing one.
    }
  }
  this->Decide(call, outcomes::ForwardEvent::kLostAfterSend,
               MakeFailedReply(WorkProblem::kConnectionLost, Outcome::kUnknown));
}

void RequestForwarder::HandleReply(const CallPointer& call, WorkReply reply) {
  const outcomes::ForwardEvent event = EventOf(reply);
  this->Decide(call, event, std::move(reply));
}

void RequestForwarder::Decide(const CallPointer& call, outcomes::ForwardEvent event, WorkReply reply) {
  // Calls of a transaction are never forwarded again, because a transaction exists only at the leader that opened it.
  if (InTransaction(call->work.kind)) {
    if (reply.problem == WorkProblem::kNotLeader || reply.problem == WorkProblem::kNoLeader) {
      reply.problem = WorkProblem::kTransactionEnded;
    }
    this->Finish(call, std::move(reply));
    return;
  }
  const outcomes::ForwardDecision decision = this->forwarding.Decide(call->forwarded, event, BootClock::now());
  if (decision.kind == outcomes::ForwardDecisionKind::kForwardAgain) {
    this->ScheduleForward(call, decision.not_before);
    return;
  }
  reply.outcome = decision.outcome;
  this->Finish(call, std::move(reply));
}

void RequestForwarder::ScheduleForward(const CallPointer& call, TimePoint not_before) {
  call->timer.expires_after(not_before - BootClock::now());
  call->timer.async_wait([this, call](boost::system::error_code error) {
    if (!error) {
      this->Forward(call);
    }
  });
}

void RequestForwarder::Tick(TimePoint /*now*/) {
  std::vector<CallPointer> abandoned;
  for (const auto& [id, call] : this->forwarded) {
    const std::optional<VmName> leader = this->control_plane.Leadership().CurrentLeader(call->work.group);
    if (leader && *leader != call->leader) {
      abandoned.push_back(call);
    }
  }
  for (const CallPointer& call : abandoned) {
    ++call->attempt;
    this->forwarded.erase(call->id);
    this->Decide(call, outcomes::ForwardEvent::kLostAfterSend,
                 MakeFailedReply(WorkProblem::kLeadershipLost, Outcome::kUnknown));
  }
}

void RequestForwarder::Finish(const CallPointer& call, WorkReply reply) {
  this->metrics.CountRequest(call->work.requirements.rank, reply.outcome, BootClock::now() - call->arrival);
  if (tracing::ContextOf(*call->span).sampled) {
    call->span->SetTag("group", call->work.group);
    call->span->SetTag("leader", call->leader);
    call->span->SetTag("outcome", std::string(OutcomeName(reply.outcome)));
  }
  call->span->Finish();
  if (reply.outcome == Outcome::kDone) {
    call->respond(this->SuccessResponse(*call, reply));
    if (call->work.kind == WorkKind::kStatement && call->work.mode == outcomes::StatementMode::kRead) {
      this->metrics.CountRead(reply.from_replica);
    }
  } else {
    call->respond(WorkProblemResponse(reply, call->work.idempotency_key));
  }
}

net::HttpResponse RequestForwarder::SuccessResponse(Call& call, const WorkReply& reply) const {
  net::HttpResponse response = JsonResponse(FormatSuccessBody(call.work, call.kind, reply));
  if (call.work.kind == WorkKind::kBegin) {
    return response;
  }
  const bool wrote = call.work.kind == WorkKind::kCommit ||
                     (call.work.kind == WorkKind::kStatement && call.work.mode == outcomes::StatementMode::kWrite) ||
                     call.work.kind == WorkKind::kOutcomeQuery;
  if (wrote && reply.position.term != 0) {
    call.token.Merge(call.work.group, reply.position);
  }
  response.headers.push_back({"Session-Token", call.token.Encode()});
  return response;
}

}  // namespace amaranthlane::daemon
