#include "daemon/group_supervisor.h"

#include <utility>

#include "common/error.h"
#include "common/json.h"
#include "daemon/endpoint_protocol.h"
#include "daemon/promotion_names.h"
#include "logging/log.h"

namespace amaranthlane::daemon {

namespace {

constexpr std::chrono::milliseconds kReplicaLongPollDuration{500};
constexpr std::chrono::milliseconds kReplicaProbeTimeout{300};
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusConflict = 409;

promotion::PromotionSettings MakePromotionSettings(const Settings& settings) {
  promotion::PromotionSettings promotion;
  promotion.primary_probe_interval = settings.promotion_probe_interval;
  promotion.progress_timeout = settings.promotion_progress_timeout;
  promotion.replication_stall_timeout = settings.promotion_stall_timeout;
  return promotion;
}

}  // namespace

GroupSupervisor::GroupSupervisor(GroupContext& context, const GroupName& group, const std::string& update_id_prefix,
                                 Listener listener)
    : context(context),
      group(group),
      listener(std::move(listener)),
      replica_table(replicas::ReplicaSettings{}),
      promotion_system(MakePromotionSettings(context.settings), group, update_id_prefix),
      runner(this->promotion_system, [this](const promotion::Action& action) {
        if (!this->stopped) {
          std::visit([this](const auto& typed) { this->Execute(typed); }, action);
        }
      }) {}

void GroupSupervisor::Start() { this->runner.RunNow(); }

void GroupSupervisor::Stop() {
  this->stopped = true;
  for (auto& [endpoint, prober] : this->probers) {
    prober->Stop();
  }
}

void GroupSupervisor::Notify(const promotion::Event& event) {
  if (!this->stopped) {
    this->runner.Notify(event);
  }
}

void GroupSupervisor::Tick(TimePoint now) {
  const std::vector<replicas::AcknowledgementResult> expired = this->replica_table.Tick(now);
  if (!expired.empty()) {
    this->listener.acknowledged(expired);
  }
  this->runner.RunIfDue(now);
  const std::optional<TimePoint> stalled = this->replica_table.StalledSince();
  if (stalled && now - *stalled > this->context.settings.promotion_stall_timeout) {
    this->Notify(promotion::ReplicationStalled{this->replica_table.CurrentTerm()});
  }
}

bool GroupSupervisor::MayAcknowledge(AcknowledgementLevel level, Term term, const LogPosition& position) {
  if (level == AcknowledgementLevel::kReplicated) {
    return this->promotion_system.MayAcknowledge(term, position);
  }
  // A commit with a weaker level may be lost with the primary, so it must not block a promotion to an instance that
  // lacks it.
  return this->promotion_system.MayReturnToCaller(term);
}

replicas::ReplicaTable& GroupSupervisor::Replicas() { return this->replica_table; }

promotion::PromotionSystem& GroupSupervisor::Promotion() { return this->promotion_system; }

void GroupSupervisor::Execute(const promotion::SuspendPrimary& action) {
  logging::Write(logging::Level::kInfo, "sending to the primary is suspended",
                 {{"group", this->group}, {"term", action.term}, {"planned", action.planned ? 1 : 0}});
  this->listener.primary_suspended(action.planned, action.drain_deadline);
}

void GroupSupervisor::Execute(const promotion::ResumePrimary& /*action*/) { this->listener.primary_serving(); }

void GroupSupervisor::Execute(const promotion::FreezeAcknowledgements& /*action*/) {
  this->replica_table.FreezeAcknowledgements();
}

void GroupSupervisor::Execute(const promotion::UnfreezeAcknowledgements& /*action*/) {
  this->listener.acknowledged(this->replica_table.UnfreezeAcknowledgements());
}

void GroupSupervisor::Execute(const promotion::ReplaceConnections& action) {
  logging::Write(logging::Level::kWarning, "open connections do not respond; replacing them",
                 {{"group", this->group}, {"endpoint", action.endpoint}});
  this->listener.replace_connections(action.endpoint);
}

void GroupSupervisor::Execute(const promotion::ProbeInstance& action) {
  const auto connection = std::make_shared<net::HttpConnection>(this->context.loop, net::ParseAddress(action.address));
  const TimePoint sent_at = BootClock::now();
  connection->Call(PositionMessage(std::nullopt, std::chrono::milliseconds(0)), action.deadline,
                   [self = this->shared_from_this(), connection, request = action.request,
                    sent_at](const net::CallResult& result) { self->FinishProbe(request, sent_at, result); });
}

void GroupSupervisor::FinishProbe(promotion::RequestId request, TimePoint sent_at, const net::CallResult& result) {
  if (this->stopped) {
    return;
  }
  if (result.status == net::CallStatus::kAnswered && result.response.status == kStatusOk) {
    try {
      const replicas::PositionReply reply =
          replicas::ParsePositionReply(json::Parse(result.response.body, "position answer"));
      this->listener.acknowledged(this->replica_table.ProbeAnswered(BootClock::now(), sent_at, reply));
      this->Notify(promotion::PositionReceived{request, sent_at, reply});
      return;
    } catch (const ParseError& failure) {
      logging::Write(logging::Level::kWarning, "an instance's position reply is malformed",
                     {{"group", this->group}, {"error", failure.what()}});
    }
  }
  this->Notify(promotion::ProbeFailed{request});
}

void GroupSupervisor::Execute(const promotion::ReadGroupObject& action) {
  this->context.platform.Get(configuration::kDatabaseGroupsKind, this->group,
                             [self = this->shared_from_this(), request = action.request](const PlatformReply& reply) {
                               self->FinishRead(request, reply);
                             });
}

void GroupSupervisor::FinishRead(promotion::RequestId request, const PlatformReply& reply) {
  if (this->stopped) {
    return;
  }
  if (reply.status == PlatformStatus::kDone) {
    try {
      this->Notify(
          promotion::GroupObjectRead{request, reply.object.version, replicas::ParseGroupRecord(reply.object.value)});
      return;
    } catch (const ParseError& failure) {
      logging::Write(logging::Level::kError, "the group's object is malformed",
                     {{"group", this->group}, {"error", failure.what()}});
    }
  }
  this->Notify(promotion::GroupObjectReadFailed{request});
}

void GroupSupervisor::Execute(const promotion::UpdateGroupObject& action) {
  logging::Write(logging::Level::kInfo, "raising the group's term",
                 {{"group", this->group}, {"term", action.record.term}, {"primary", action.record.primary}});
  this->context.platform.Put(configuration::kDatabaseGroupsKind, this->group, action.expected_version,
                             replicas::ToJson(action.record),
                             [self = this->shared_from_this(), record = action.record](const PlatformReply& reply) {
                               self->FinishUpdate(record.update_id, record, reply);
                             });
}

void GroupSupervisor::FinishUpdate(const std::string& update_id, const replicas::GroupRecord& record,
                                   const PlatformReply& reply) {
  if (this->stopped) {
    return;
  }
  if (reply.status == PlatformStatus::kDone) {
    this->ReportGroupObject(reply.version, record);
    this->Notify(promotion::UpdateApplied{update_id, reply.version});
    return;
  }
  if (reply.status == PlatformStatus::kConflict && !reply.object.deleted) {
    try {
      this->Notify(
          promotion::UpdateConflicted{update_id, reply.object.version, replicas::ParseGroupRecord(reply.object.value)});
      return;
    } catch (const ParseError&) {
      // Treated like a missing reply: the promotion system reads the object again.
    }
  }
  this->Notify(promotion::UpdateOutcomeUnknown{update_id});
}

void GroupSupervisor::Execute(const promotion::ConfigureInstance& action) {
  const auto connection = std::make_shared<net::HttpConnection>(this->context.loop, net::ParseAddress(action.address));
  connection->Call(ConfigureMessage(action.record), action.deadline,
                   [self = this->shared_from_this(), connection, request = action.request](
                       const net::CallResult& result) { self->FinishConfigure(request, result); });
}

void GroupSupervisor::FinishConfigure(promotion::RequestId request, const net::CallResult& result) {
  if (this->stopped) {
    return;
  }
  if (result.status == net::CallStatus::kAnswered && result.response.status == kStatusOk) {
    this->Notify(promotion::ConfigureAccepted{request});
    return;
  }
  if (result.status == net::CallStatus::kAnswered && result.response.status == kStatusConflict) {
    try {
      this->Notify(promotion::ConfigureRefused{request, ParseKnownTerm(result.response)});
      return;
    } catch (const ParseError&) {
      // A refusal whose term can't be parsed counts as a failure.
    }
  }
  this->Notify(promotion::ConfigureFailed{request});
}

void GroupSupervisor::Execute(const promotion::RecordAdopted& action) {
  this->ReportGroupObject(action.version, action.record);
  const std::vector<replicas::AcknowledgementResult> ended = this->replica_table.ApplyRecord(action.record);
  this->UpdateProbers(action.record);
  this->listener.record_adopted(action.record);
  this->listener.acknowledged(ended);
}

void GroupSupervisor::ReportGroupObject(ObjectVersion version, const replicas::GroupRecord& record) {
  this->context.object_received(configuration::PlatformObject{configuration::kDatabaseGroupsKind, this->group, version,
                                                              false, replicas::ToJson(record)});
}

void GroupSupervisor::Execute(const promotion::PrimaryChanged& action) {
  logging::Write(logging::Level::kInfo, "the primary is serving",
                 {{"group", this->group}, {"term", action.term}, {"endpoint", action.primary}});
  if (action.base) {
    this->replica_table.SetTermBase(*action.base);
  }
  this->listener.acknowledged(this->replica_table.UnfreezeAcknowledgements());
  this->listener.primary_serving();
}

void GroupSupervisor::Execute(const promotion::StatusChanged& action) {
  logging::Write(
      logging::Level::kInfo, "the promotion phase changed",
      {{"group", this->group}, {"phase", PhaseName(action.phase)}, {"reason", WaitReasonName(action.reason)}});
}

void GroupSupervisor::Execute(const promotion::PlannedChangeEnded& action) {
  this->listener.planned_change_ended(action.outcome);
}

void GroupSupervisor::UpdateProbers(const replicas::GroupRecord& record) {
  for (const replicas::Instance& instance : record.instances) {
    std::shared_ptr<InstanceProber>& prober = this->probers[instance.endpoint];
    if (prober == nullptr || this->prober_addresses[instance.endpoint] != instance.address) {
      if (prober != nullptr) {
        prober->Stop();
      }
      prober = this->MakeProber(instance);
      this->prober_addresses[instance.endpoint] = instance.address;
    }
    const bool primary = instance.endpoint == record.primary;
    prober->Run(primary
                    ? ProbeMode{false, this->context.settings.promotion_probe_interval, std::chrono::milliseconds(0),
                                this->context.settings.promotion_progress_timeout}
                    : ProbeMode{true, std::chrono::milliseconds(0), kReplicaLongPollDuration, kReplicaProbeTimeout});
  }
}

std::shared_ptr<InstanceProber> GroupSupervisor::MakeProber(const replicas::Instance& instance) {
  const std::weak_ptr<GroupSupervisor> weak = this->weak_from_this();
  InstanceProber::Listener prober_listener;
  prober_listener.sent = [weak, endpoint = instance.endpoint](TimePoint sent_at) {
    if (const std::shared_ptr<GroupSupervisor> self = weak.lock()) {
      self->replica_table.ProbeSent(endpoint, sent_at);
    }
  };
  prober_listener.answered = [weak](TimePoint sent_at, const replicas::PositionReply& reply) {
    if (const std::shared_ptr<GroupSupervisor> self = weak.lock()) {
      self->listener.acknowledged(self->replica_table.ProbeAnswered(BootClock::now(), sent_at, reply));
      self->Notify(promotion::PositionReceived{0, sent_at, reply});
    }
  };
  prober_listener.failed = [weak, endpoint = instance.endpoint](TimePoint sent_at) {
    if (const std::shared_ptr<GroupSupervisor> self = weak.lock()) {
      self->replica_table.ProbeFailed(endpoint, sent_at);
      self->Notify(promotion::ConnectionUnresponsive{endpoint});
    }
  };
  return std::make_shared<InstanceProber>(this->context.loop, net::ParseAddress(instance.address),
                                          this->context.traffic, std::move(prober_listener));
}

}  // namespace amaranthlane::daemon
