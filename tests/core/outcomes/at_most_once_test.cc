#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>

#include "core/outcomes/endpoint_model.h"
#include "core/outcomes/forwarding_policy.h"
#include "core/outcomes/request_table.h"

namespace amaranthlane::outcomes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The kinds of requests that an interleaving mixes.
enum class RequestKind : std::uint8_t { kRead, kIdempotentWrite, kKeyedWrite, kUnkeyedWrite };
constexpr int kKindCount = 4;

Request MakeRequest(RequestId id, TimePoint deadline) {
  const auto kind = static_cast<RequestKind>(id % kKindCount);
  Request request;
  request.id = id;
  request.mode = kind == RequestKind::kRead ? StatementMode::kRead : StatementMode::kWrite;
  request.requirements.idempotent = kind == RequestKind::kIdempotentWrite;
  request.requirements.acknowledgement =
      id % 8 < kKindCount ? AcknowledgementLevel::kReplicated : AcknowledgementLevel::kPrimary;
  request.idempotency_key = kind == RequestKind::kKeyedWrite ? "key-" + std::to_string(id) : "";
  request.deadline = deadline;
  return request;
}

// Drives a request table and a model of its endpoint through a random sequence of events, and checks what callers are
// told.
class Interleaving {
 public:
  explicit Interleaving(std::uint64_t seed) : table({.progress_timeout = milliseconds(300)}, seed) {
    this->table.SetLeadershipValidUntil(this->now + seconds(3600));
    this->table.TermMoved(this->term, this->now, this->actions);
  }

  void Step(std::uint32_t choice) {
    const std::uint32_t pick = choice / 16;
    switch (choice % 16) {
      case 0:
      case 1:
        this->OpenRequest();
        break;
      case 2:
      case 3:
      case 4:
        this->Send(pick);
        break;
      case 5:
      case 6:
        this->AnswerOne(pick, /*wrong_connection=*/false);
        break;
      case 7:
        this->AnswerOne(pick, /*wrong_connection=*/true);
        break;
      case 8:
        this->RefuseOne(pick);
        break;
      case 9:
        this->table.ConnectionLost(this->MessageAt(pick).connection, this->now, this->actions);
        break;
      case 10:
        this->RunWithoutAnswer(pick);
        break;
      case 11:
        this->now += milliseconds(pick % 400);
        this->table.Tick(this->now, this->actions);
        break;
      case 12:
        this->table.TermMoved(this->term += pick % 8 == 0 ? 1 : 0, this->now, this->actions);
        break;
      case 13:
        this->table.ReplicationReached(this->term, pick % (this->endpoint.log.size() + 1), this->now, this->actions);
        break;
      case 14:
        this->table.RefuseQueued(pick % this->next_request, EndReason::kOverload, this->now, this->actions);
        break;
      default:
        this->table.CallerGone(pick % (4 * this->next_request), this->now, this->actions);
        break;
    }
    this->Apply();
  }

  void Finish() {
    this->table.Shutdown(this->now, this->actions);
    this->Apply();
    this->endpoint.RunUnhandled();
    for (const auto& [request, effects] : this->endpoint.effects) {
      const auto kind = static_cast<RequestKind>(request % kKindCount);
      RC_ASSERT(effects <= 1 || kind == RequestKind::kRead || kind == RequestKind::kIdempotentWrite);
    }
    for (const auto& [request, answer] : this->answers) {
      RC_ASSERT(answer.outcome != Outcome::kNotRun || this->endpoint.effects[request] == 0);
      if (answer.outcome == Outcome::kDone) {
        RC_ASSERT(answer.position.offset > 0U);
        RC_ASSERT(this->endpoint.log[answer.position.offset - 1] == request);
      }
    }
    RC_ASSERT(this->table.OpenRequests() == 0U);
    RC_ASSERT(this->table.NextDeadline() == kNever);
  }

 private:
  void OpenRequest() {
    const RequestId id = this->next_request++;
    this->requests[id] = MakeRequest(id, this->now + seconds(1));
    this->table.Open(this->requests[id]);
    this->queued.push_back(id);
  }

  void Send(std::uint32_t pick) {
    if (this->queued.empty()) {
      return;
    }
    const RequestId id = this->queued[pick % this->queued.size()];
    std::erase(this->queued, id);
    const ConnectionId connection = this->next_connection++;
    if (this->table.Dispatch(id, connection, this->now, this->actions)) {
      this->endpoint.Send(this->requests[id], connection);
    }
  }

  EndpointModel::Message MessageAt(std::uint32_t pick) const {
    const auto& messages = this->endpoint.messages;
    EndpointModel::Message none;
    none.handled = true;
    return messages.empty() ? none : messages[pick % messages.size()];
  }

  void AnswerOne(std::uint32_t pick, bool wrong_connection) {
    const EndpointModel::Message message = this->MessageAt(pick);
    if (message.handled) {
      return;
    }
    const std::uint64_t offset = this->endpoint.Run(pick % this->endpoint.messages.size());
    const ConnectionId connection = wrong_connection ? this->MessageAt(pick + 1).connection : message.connection;
    this->table.Answered({.connection = connection,
                          .request = message.request,
                          .term = this->term,
                          .position = {.term = this->term, .offset = offset}},
                         this->now, this->actions);
  }

  void RefuseOne(std::uint32_t pick) {
    if (this->MessageAt(pick).handled) {
      return;
    }
    EndpointModel::Message& message = this->endpoint.messages[pick % this->endpoint.messages.size()];
    message.handled = true;
    const auto reason = pick % 5 == 0 ? EndpointRefusalReason::kInvalidStatement : EndpointRefusalReason::kStaleTerm;
    this->table.RefusedByEndpoint({.connection = message.connection, .request = message.request, .reason = reason},
                                  this->now, this->actions);
  }

  // The message runs, but its answer never arrives.
  void RunWithoutAnswer(std::uint32_t pick) {
    if (!this->MessageAt(pick).handled) {
      this->endpoint.Run(pick % this->endpoint.messages.size());
    }
  }

  void Apply() {
    for (const Action& action : this->actions) {
      if (const auto* requeue = std::get_if<Requeue>(&action)) {
        this->queued.push_back(requeue->request);
      } else if (const auto* withdraw = std::get_if<WithdrawQueued>(&action)) {
        std::erase(this->queued, withdraw->request);
      } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
        RC_ASSERT(this->answers.emplace(answer->request, *answer).second);
      }
    }
    this->actions.clear();
  }

  RequestTable table;
  EndpointModel endpoint;
  Actions actions;
  std::map<RequestId, Request> requests;
  std::map<RequestId, AnswerCaller> answers;
  std::vector<RequestId> queued;
  TimePoint now = TimePoint(std::chrono::hours(1));
  Term term = 1;
  RequestId next_request = 1;
  ConnectionId next_connection = 1;
};

RC_GTEST_PROP(AtMostOnceTest, HoldsAtTheLeaderForAnyInterleaving, (std::uint64_t seed)) {
  const auto script =
      *rc::gen::scale(5.0, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 1U << 16)));
  Interleaving interleaving(seed);
  for (const std::uint32_t choice : script) {
    interleaving.Step(choice);
  }
  interleaving.Finish();
}

RC_GTEST_PROP(AtMostOnceTest, HoldsAtTheEntryVmForAnyForwarding, (std::uint64_t seed)) {
  ForwardingPolicy policy(seed);
  EndpointModel leader;
  const TimePoint start(std::chrono::hours(1));
  ForwardedRequest forwarded{.request = MakeRequest(*rc::gen::inRange<RequestId>(0, kKindCount), start + seconds(2))};
  std::optional<ForwardDecision> end;
  TimePoint now = start;
  while (!end && ForwardingPolicy::TryStartAttempt(forwarded, now)) {
    const auto event = static_cast<ForwardEvent>(*rc::gen::inRange(0, 8));
    if (event != ForwardEvent::kNotSent) {
      const std::size_t index = leader.Send(forwarded.request, forwarded.attempts);
      leader.messages[index].handled = event == ForwardEvent::kNotLeader || event == ForwardEvent::kAnsweredNotRun;
      if (event == ForwardEvent::kAnsweredDone) {
        leader.Run(index);
      }
    }
    const ForwardDecision decision = policy.Decide(forwarded, event, now);
    if (decision.kind == ForwardDecisionKind::kAnswer) {
      end = decision;
    } else {
      now = decision.not_before;
    }
  }
  RC_ASSERT(end.has_value());
  leader.RunUnhandled();
  const int effects = leader.effects[forwarded.request.id];
  const auto kind = static_cast<RequestKind>(forwarded.request.id % kKindCount);
  RC_ASSERT(effects <= 1 || kind == RequestKind::kRead || kind == RequestKind::kIdempotentWrite);
  RC_ASSERT(end->outcome != Outcome::kNotRun || effects == 0);
  RC_ASSERT(end->outcome != Outcome::kDone || effects > 0);
}

}  // namespace
}  // namespace amaranthlane::outcomes
