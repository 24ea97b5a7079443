#include "daemon/group_leader.h"

#include <utility>

#include "daemon/promotion_names.h"

namespace amaranthlane::daemon {

namespace {

using Json = nlohmann::json;

const char* RoleName(replicas::Role role) {
  switch (role) {
    case replicas::Role::kPrimary:
      return "primary";
    case replicas::Role::kReplica:
      return "replica";
    case replicas::Role::kUnconfigured:
      return "unconfigured";
  }
  return "unconfigured";
}

}  // namespace

GroupLeader::GroupLeader(GroupContext& context, const GroupName& group, const std::string& update_id_prefix,
                         TimePoint valid_until)
    : group(group),
      valid_until(valid_until),
      supervisor(std::make_shared<GroupSupervisor>(context, group, update_id_prefix, this->MakeListener())),
      work(context, group, *this->supervisor) {
  this->work.SetValidUntil(valid_until);
  this->supervisor->Start();
}

GroupLeader::~GroupLeader() {
  this->supervisor->Stop();
  this->work.LeadershipEnded();
}

GroupSupervisor::Listener GroupLeader::MakeListener() {
  GroupSupervisor::Listener listener;
  listener.record_adopted = [this](const replicas::GroupRecord& record) { this->work.RecordAdopted(record); };
  listener.primary_suspended = [this](bool planned, TimePoint drain_deadline) {
    this->work.PrimarySuspended(planned, drain_deadline);
  };
  listener.primary_serving = [this] { this->work.PrimaryServing(); };
  listener.replace_connections = [this](const EndpointName& endpoint) { this->work.ReplaceConnections(endpoint); };
  listener.acknowledged = [this](const std::vector<replicas::AcknowledgementResult>& results) {
    this->work.Acknowledged(results);
  };
  listener.planned_change_ended = [this](promotion::PlannedOutcome outcome) {
    if (this->promote_callback) {
      std::exchange(this->promote_callback, nullptr)(outcome);
    }
  };
  return listener;
}

void GroupLeader::Submit(WorkRequest request, WorkCallback callback) {
  const TimePoint now = BootClock::now();
  const bool continues = request.kind != WorkKind::kStatement && request.kind != WorkKind::kBegin;
  if (now >= this->valid_until || (this->draining && !continues)) {
    callback(MakeFailedReply(WorkProblem::kNotLeader));
    return;
  }
  if (request.token && request.token->term > this->supervisor->Promotion().CurrentTerm()) {
    this->supervisor->Notify(promotion::HigherTermSeen{"", request.token->term});
  }
  this->work.Submit(std::move(request), std::move(callback));
}

void GroupLeader::Promote(const std::optional<EndpointName>& target, PromoteCallback callback) {
  if (this->promote_callback) {
    callback(promotion::PlannedOutcome::kBusy);
    return;
  }
  this->promote_callback = std::move(callback);
  this->supervisor->Notify(promotion::PromoteRequested{target});
}

void GroupLeader::SetValidUntil(TimePoint until) {
  this->valid_until = until;
  this->work.SetValidUntil(until);
}

void GroupLeader::GroupObjectReceived(ObjectVersion version, const replicas::GroupRecord& record) {
  this->supervisor->Notify(promotion::GroupObjectRead{0, version, record});
}

void GroupLeader::Drain(TimePoint until) {
  this->draining = true;
  this->work.Drain(until);
}

void GroupLeader::Tick(TimePoint now) {
  this->supervisor->Tick(now);
  this->work.Tick(now);
}

bool GroupLeader::Idle() const { return this->work.Idle(); }

scheduling::PressureReport GroupLeader::Pressure(TimePoint now) { return this->work.Pressure(now); }

Json GroupLeader::Status(TimePoint now) {
  const promotion::PromotionSystem& promotion = this->supervisor->Promotion();
  Json instances = Json::array();
  for (const replicas::InstanceState& instance : this->supervisor->Replicas().Instances()) {
    const auto age = this->supervisor->Replicas().AgeBound(now, instance.instance.endpoint);
    Json row{{"endpoint", instance.instance.endpoint},
             {"role", RoleName(instance.role)},
             {"term", instance.term},
             {"offset", instance.position.offset},
             {"leaving", instance.instance.leaving}};
    if (age) {
      row["age_bound_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
    }
    instances.push_back(std::move(row));
  }
  Json waiting;
  for (const Rank rank : kRanks) {
    waiting[std::string(RankName(rank))] = this->work.Waiting(rank);
  }
  return Json{{"group", this->group},
              {"term", promotion.CurrentTerm()},
              {"primary", promotion.Primary()},
              {"phase", PhaseName(promotion.CurrentPhase())},
              {"instances", std::move(instances)},
              {"waiting", std::move(waiting)}};
}

}  // namespace amaranthlane::daemon
