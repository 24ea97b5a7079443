#include "daemon/control_plane.h"

#include <array>
#include <utility>

#include "common/error.h"
#include "common/json.h"
#include "core/replicas/group_record.h"
#include "daemon/problem.h"
#include "logging/log.h"

namespace amaranthlane::daemon {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kHeartbeatTimeout{1000};
constexpr std::chrono::milliseconds kWitnessRequestTimeout{1000};
constexpr std::chrono::milliseconds kDifferencesTimeout{2000};
// How often the platform's list of VMs is read: by relays, by other VMs, and after a failed read.
constexpr std::chrono::seconds kRelayVmListInterval{5};
constexpr std::chrono::seconds kVmListInterval{30};
constexpr std::chrono::seconds kVmListRetryInterval{1};
constexpr unsigned kStatusOk = 200;

net::HttpResponse MalformedResponse(const ParseError& failure) {
  return ProblemResponse(400, "invalid-message", failure.what());
}

bool IsOk(const net::CallResult& result) {
  return result.status == net::CallStatus::kAnswered && result.response.status == kStatusOk;
}

leadership::LeadershipSettings LeadershipSettingsOf(const Settings& settings) {
  leadership::LeadershipSettings leadership;
  leadership.renewal_interval = settings.leadership_renewal_interval;
  leadership.grant_duration = settings.leadership_grant_duration;
  leadership.clock_drift_margin = settings.leadership_clock_drift_margin;
  leadership.holder_timeout = settings.leadership_detection_timeout;
  return leadership;
}

membership::Self MembershipSelfOf(const Settings& settings, Incarnation incarnation) {
  return membership::Self{
      settings.vm, incarnation, settings.data_centre, settings.region,
      settings.advertised_peers_address.empty() ? settings.peers_address : settings.advertised_peers_address};
}

}  // namespace

ControlPlane::ControlPlane(const Settings& settings, Incarnation incarnation, TimePoint started_at,
                           PlatformClient& platform, PeerClient& peers, Listener listener)
    : settings(settings),
      self{settings.vm, incarnation},
      witness_silent_until(started_at + settings.leadership_grant_duration),
      platform(platform),
      peers(peers),
      listener(std::move(listener)),
      membership_system(MembershipSelfOf(settings, incarnation), membership::MembershipSettings{}, started_at),
      leadership_system(this->self, LeadershipSettingsOf(settings), started_at),
      distribution_system(configuration::Member{settings.vm, settings.data_centre}, this->store, incarnation),
      edit_system(settings.vm, incarnation),
      membership_runner(this->membership_system,
                        [this](const membership::Action& action) {
                          std::visit([this](const auto& typed) { this->Execute(typed); }, action);
                        }),
      leadership_runner(this->leadership_system,
                        [this](const leadership::Action& action) {
                          std::visit([this](const auto& typed) { this->Execute(typed); }, action);
                        }),
      distribution_runner(this->distribution_system,
                          [this](const configuration::DistributionAction& action) {
                            std::visit([this](const auto& typed) { this->Execute(typed); }, action);
                          }),
      edit_runner(this->edit_system, [this](const configuration::EditAction& action) {
        std::visit([this](const auto& typed) { this->Execute(typed); }, action);
      }) {}

void ControlPlane::Start() {
  this->membership_runner.Notify(membership::SeedsConfigured{this->settings.seeds});
  this->Execute(membership::MembershipChanged{});
  this->Tick(BootClock::now());
}

void ControlPlane::Tick(TimePoint now) {
  this->membership_runner.RunIfDue(now);
  this->leadership_runner.RunIfDue(now);
  this->distribution_runner.RunIfDue(now);
  this->edit_runner.RunIfDue(now);
  this->ProcessStoreChanges();
  this->PollVmList(now);
}

void ControlPlane::AnnounceLeaving() {
  this->leaving = true;
  this->membership_runner.Notify(membership::DrainStarted{});
  this->Execute(membership::MembershipChanged{});
}

void ControlPlane::ReleaseLeadership() { this->leadership_runner.Notify(leadership::DrainStarted{}); }

// --- Membership ---

HeartbeatMessage ControlPlane::MakeHeartbeatMessage(membership::Heartbeat heartbeat) const {
  HeartbeatMessage message{std::move(heartbeat), configuration::Summarize(this->store.Digest()), std::nullopt, {}};
  for (const auto& [group, ballot] : this->led_groups) {
    message.led_groups.push_back(LedGroup{group, ballot});
  }
  return message;
}

HeartbeatMessage ControlPlane::MakeHeartbeatMessageWithDigest(membership::Heartbeat heartbeat) const {
  HeartbeatMessage message = this->MakeHeartbeatMessage(std::move(heartbeat));
  message.configuration = this->store.Digest();
  return message;
}

void ControlPlane::Execute(const membership::SendHeartbeat& action) {
  this->SendHeartbeatMessage(action.address, this->MakeHeartbeatMessage(action.heartbeat));
}

void ControlPlane::SendHeartbeatMessage(const std::string& address, const HeartbeatMessage& message) {
  this->peers.SendControlMessage(address, "/v1/peer/beat", FormatHeartbeatMessage(message),
                                 BootClock::now() + kHeartbeatTimeout, [this](const net::CallResult& result) {
                                   if (!IsOk(result)) {
                                     return;
                                   }
                                   try {
                                     this->ProcessHeartbeatMessage(ParseHeartbeatMessage(result.response.body));
                                   } catch (const ParseError& failure) {
                                     logging::Write(logging::Level::kWarning, "malformed heartbeat reply from a peer",
                                                    {{"error", failure.what()}});
                                   }
                                 });
}

void ControlPlane::HandleHeartbeat(const std::string& body, const net::HttpServer::ResponseCallback& respond) {
  try {
    const HeartbeatMessage message = ParseHeartbeatMessage(body);
    this->ProcessHeartbeatMessage(message);
    const bool same = configuration::Summarize(this->store.Digest()).hash == message.summary.hash;
    membership::Heartbeat heartbeat = this->membership_system.ReplyTo(message.heartbeat);
    respond(JsonResponse(FormatHeartbeatMessage(same ? this->MakeHeartbeatMessage(std::move(heartbeat))
                                                     : this->MakeHeartbeatMessageWithDigest(std::move(heartbeat)))));
  } catch (const ParseError& failure) {
    respond(MalformedResponse(failure));
  }
}

void ControlPlane::ProcessHeartbeatMessage(const HeartbeatMessage& message) {
  const membership::DigestEntry& sender = message.heartbeat.sender;
  if (sender.vm == this->self.vm) {
    return;
  }
  this->membership_runner.Notify(membership::HeartbeatReceived{message.heartbeat});
  this->ProcessConfigurationDigest(message);
  for (const LedGroup& led_group : message.led_groups) {
    this->leadership_runner.Notify(
        leadership::HolderReported{led_group.group, led_group.ballot, {sender.vm, sender.incarnation}});
  }
}

void ControlPlane::ProcessConfigurationDigest(const HeartbeatMessage& message) {
  const VmName& vm = message.heartbeat.sender.vm;
  if (message.configuration) {
    this->NotifyDistribution(configuration::PeerDigestReceived{vm, *message.configuration});
    return;
  }
  configuration::ConfigurationDigest digest = this->store.Digest();
  if (configuration::Summarize(digest).hash == message.summary.hash) {
    digest.complete_through = message.summary.complete_through;
    this->NotifyDistribution(configuration::PeerDigestReceived{vm, std::move(digest)});
  }
}

void ControlPlane::Execute(const membership::MembershipChanged& /*action*/) {
  leadership::VmsChanged vms;
  configuration::MembersChanged members;
  vms.vms.push_back(leadership::VmView{this->self.vm, this->self.incarnation, this->settings.data_centre,
                                       this->settings.region, true, this->leaving});
  members.members.push_back(configuration::Member{this->self.vm, this->settings.data_centre});
  for (const auto& [name, row] : this->membership_system.Vms()) {
    const bool live = row.liveness == membership::Liveness::kLive;
    vms.vms.push_back(leadership::VmView{name, row.incarnation, row.data_centre, row.region, live, row.Leaving()});
    if (live && !row.Leaving()) {
      members.members.push_back(configuration::Member{name, row.data_centre});
    }
  }
  this->leadership_runner.Notify(std::move(vms));
  this->NotifyDistribution(std::move(members));
}

void ControlPlane::Execute(const membership::VmTerminated& action) {
  this->leadership_runner.Notify(leadership::VmsTerminated{{action.vm}});
}

void ControlPlane::PollVmList(TimePoint now) {
  if (now < this->next_vm_list_at) {
    return;
  }
  this->next_vm_list_at = now + kVmListRetryInterval;
  this->platform.ListVms([this](const PlatformReply& reply) {
    this->UpdatePlatformReachable(reply.status);
    if (reply.status != PlatformStatus::kDone) {
      return;
    }
    const bool relay = this->distribution_system.IsRelay();
    this->next_vm_list_at = BootClock::now() + (relay ? kRelayVmListInterval : kVmListInterval);
    this->membership_runner.Notify(membership::PlatformListReceived{reply.vms});
  });
}

// --- Leadership ---

void ControlPlane::Execute(const leadership::SendGrantRequest& action) {
  const TimePoint sent_at = BootClock::now();
  const std::string address = this->AddressOf(action.witness);
  if (address.empty()) {
    return;
  }
  this->peers.SendControlMessage(
      address, "/v1/peer/promise", leadership::ToJson(action.request).dump(), sent_at + kWitnessRequestTimeout,
      [this, sent_at](const net::CallResult& result) {
        if (!IsOk(result)) {
          return;
        }
        try {
          const Json body = json::Parse(result.response.body, "promise answer");
          this->leadership_runner.Notify(leadership::GrantReplyReceived{sent_at, leadership::ParseGrantReply(body)});
        } catch (const ParseError& failure) {
          logging::Write(logging::Level::kWarning, "malformed grant reply from a witness", {{"error", failure.what()}});
        }
      });
}

void ControlPlane::HandleGrantRequest(const std::string& body, net::HttpServer::ResponseCallback respond) {
  try {
    const leadership::GrantRequest request = leadership::ParseGrantRequest(json::Parse(body, "promise request"));
    const std::uint64_t reply_id = this->next_reply_id++;
    this->pending_replies[reply_id] = std::move(respond);
    this->leadership_runner.Notify(leadership::GrantRequestReceived{reply_id, request});
  } catch (const ParseError& failure) {
    respond(MalformedResponse(failure));
  }
}

void ControlPlane::Execute(const leadership::SendGrantReply& action) {
  const auto pending_reply = this->pending_replies.extract(action.reply_id);
  if (!pending_reply.empty()) {
    pending_reply.mapped()(JsonResponse(leadership::ToJson(action.reply).dump()));
  }
}

void ControlPlane::Execute(const leadership::SendCloseRequest& action) {
  const TimePoint sent_at = BootClock::now();
  const std::string address = this->AddressOf(action.witness);
  if (address.empty()) {
    return;
  }
  this->peers.SendControlMessage(
      address, "/v1/peer/close", leadership::ToJson(action.request).dump(), sent_at + kWitnessRequestTimeout,
      [this, sent_at](const net::CallResult& result) {
        if (!IsOk(result)) {
          return;
        }
        try {
          const Json body = json::Parse(result.response.body, "close answer");
          this->leadership_runner.Notify(leadership::CloseReplyReceived{sent_at, leadership::ParseCloseReply(body)});
        } catch (const ParseError& failure) {
          logging::Write(logging::Level::kWarning, "malformed close reply from a witness", {{"error", failure.what()}});
        }
      });
}

void ControlPlane::HandleCloseRequest(const std::string& body, net::HttpServer::ResponseCallback respond) {
  try {
    const leadership::CloseRequest request = leadership::ParseCloseRequest(json::Parse(body, "close request"));
    const std::uint64_t reply_id = this->next_reply_id++;
    this->pending_replies[reply_id] = std::move(respond);
    this->leadership_runner.Notify(leadership::CloseRequestReceived{reply_id, request});
  } catch (const ParseError& failure) {
    respond(MalformedResponse(failure));
  }
}

void ControlPlane::Execute(const leadership::SendCloseReply& action) {
  const auto pending_reply = this->pending_replies.extract(action.reply_id);
  if (!pending_reply.empty()) {
    pending_reply.mapped()(JsonResponse(leadership::ToJson(action.reply).dump()));
  }
}

void ControlPlane::Execute(const leadership::RejectRequest& action) {
  const auto pending_reply = this->pending_replies.extract(action.reply_id);
  if (!pending_reply.empty()) {
    pending_reply.mapped()(
        ProblemResponse(503, "witness-silent", "this VM has just started and makes no lease grants yet"));
  }
}

void ControlPlane::Execute(const leadership::UpdateRecord& action) {
  const Json value = leadership::ToJson(action.record);
  this->platform.Put(
      configuration::kLeadershipKind, action.group, action.expected_version, value,
      [this, group = action.group, update_id = action.record.update_id, value](const PlatformReply& reply) {
        this->UpdatePlatformReachable(reply.status);
        leadership::UpdateCompleted completed{group, update_id, leadership::UpdateResult::kUnknown, reply.version, {}};
        if (reply.status == PlatformStatus::kDone) {
          completed.result = leadership::UpdateResult::kApplied;
          this->HandlePlatformObject({configuration::kLeadershipKind, group, reply.version, false, value});
        } else if (reply.status == PlatformStatus::kConflict) {
          try {
            if (!reply.object.deleted) {
              completed.current = leadership::ParseLeadershipRecord(reply.object.value);
            }
            completed.result = leadership::UpdateResult::kConflict;
          } catch (const ParseError& failure) {
            logging::Write(logging::Level::kError, "malformed leadership record",
                           {{"group", group}, {"error", failure.what()}});
          }
        }
        this->leadership_runner.Notify(std::move(completed));
      });
}

void ControlPlane::Execute(const leadership::ReadRecord& action) {
  this->platform.Get(
      configuration::kLeadershipKind, action.group, [this, group = action.group](const PlatformReply& reply) {
        this->UpdatePlatformReachable(reply.status);
        if (reply.status == PlatformStatus::kDone) {
          this->HandlePlatformObject(reply.object);
          return;
        }
        if (reply.status == PlatformStatus::kNotFound) {
          this->leadership_runner.Notify(
              leadership::RecordSeen{group, reply.version, std::nullopt, leadership::RecordSource::kPlatform});
          return;
        }
        this->leadership_runner.Notify(leadership::ReadFailed{group});
      });
}

void ControlPlane::Execute(const leadership::BecameLeader& action) {
  logging::Write(logging::Level::kInfo, "became leader",
                 {{"group", action.group}, {"epoch", action.ballot.epoch}, {"rank", action.ballot.rank}});
  this->led_groups[action.group] = action.ballot;
  this->listener.became_leader(action.group, action.ballot, action.valid_until);
}

void ControlPlane::Execute(const leadership::ValidityExtended& action) {
  this->led_groups[action.group] = action.ballot;
  this->listener.validity_extended(action.group, action.valid_until);
}

void ControlPlane::Execute(const leadership::LostLeadership& action) {
  logging::Write(logging::Level::kInfo, "lost leadership", {{"group", action.group}});
  this->led_groups.erase(action.group);
  this->listener.lost_leadership(action.group);
}

void ControlPlane::UpdatePlatformReachable(PlatformStatus status) {
  const bool reachable = status != PlatformStatus::kUnknown && status != PlatformStatus::kNotSent;
  if (reachable == this->platform_reachable) {
    return;
  }
  this->platform_reachable = reachable;
  logging::Write(logging::Level::kWarning, reachable ? "platform reachable again" : "platform unreachable");
  this->leadership_runner.Notify(leadership::PlatformReachable{reachable});
}

// --- Configuration ---

void ControlPlane::NotifyDistribution(configuration::DistributionEvent event) {
  this->distribution_runner.Notify(std::move(event));
  this->ProcessStoreChanges();
}

void ControlPlane::ProcessStoreChanges() {
  const std::uint64_t groups = this->store.Revision(configuration::kDatabaseGroupsKind);
  const std::uint64_t records = this->store.Revision(configuration::kLeadershipKind);
  if (groups != this->applied_groups_revision) {
    this->applied_groups_revision = groups;
    leadership::GroupsChanged changed;
    this->store.ForEach(configuration::kDatabaseGroupsKind, [&changed](const configuration::PlatformObject& object) {
      try {
        changed.groups.push_back({object.name, replicas::ParseGroupRecord(object.value).region});
      } catch (const ParseError& failure) {
        logging::Write(logging::Level::kError, "malformed database group object",
                       {{"group", object.name}, {"error", failure.what()}});
      }
    });
    this->leadership_runner.Notify(std::move(changed));
  }
  if (records != this->applied_leadership_revision) {
    this->applied_leadership_revision = records;
    this->store.ForEach(configuration::kLeadershipKind, [this](const configuration::PlatformObject& object) {
      this->ReportLeadershipRecord(object, leadership::RecordSource::kPeer);
    });
    this->UpdateHeartbeatPeers();
  }
  this->listener.objects_changed();
}

void ControlPlane::UpdateHeartbeatPeers() {
  const leadership::HeartbeatPeers heartbeat_peers = this->leadership_system.ListHeartbeatPeers();
  this->membership_runner.Notify(membership::HeartbeatPeersChanged{heartbeat_peers.send_to, heartbeat_peers.hear_from});
}

void ControlPlane::ReportLeadershipRecord(const configuration::PlatformObject& object,
                                          leadership::RecordSource source) {
  leadership::RecordSeen seen{object.name, object.version, std::nullopt, source};
  try {
    if (!object.deleted) {
      seen.record = leadership::ParseLeadershipRecord(object.value);
    }
    this->leadership_runner.Notify(std::move(seen));
  } catch (const ParseError& failure) {
    logging::Write(logging::Level::kError, "malformed leadership record",
                   {{"group", object.name}, {"error", failure.what()}});
  }
}

void ControlPlane::ReportLeadershipRecords(const std::vector<configuration::PlatformObject>& objects) {
  for (const configuration::PlatformObject& object : objects) {
    if (object.kind == configuration::kLeadershipKind) {
      this->ReportLeadershipRecord(object, leadership::RecordSource::kPlatform);
    }
  }
}

void ControlPlane::HandlePlatformObject(configuration::PlatformObject object) {
  this->ReportLeadershipRecords({object});
  this->NotifyDistribution(configuration::ObjectReceived{std::move(object)});
}

void ControlPlane::Execute(const configuration::OpenWatch& action) {
  this->platform.Watch(action.kinds, action.after, action.wait, [this, id = action.id](PlatformReply reply) {
    this->UpdatePlatformReachable(reply.status);
    if (reply.status != PlatformStatus::kDone) {
      this->NotifyDistribution(configuration::WatchFailed{id});
      return;
    }
    this->ReportLeadershipRecords(reply.objects);
    this->NotifyDistribution(configuration::WatchSucceeded{id, reply.version, std::move(reply.objects)});
  });
}

void ControlPlane::Execute(const configuration::CloseWatch& /*action*/) { this->platform.CloseWatch(); }

void ControlPlane::Execute(const configuration::ListObjects& action) {
  this->platform.List(action.kind, [this, id = action.id, kind = action.kind](PlatformReply reply) {
    this->UpdatePlatformReachable(reply.status);
    if (reply.status != PlatformStatus::kDone) {
      this->NotifyDistribution(configuration::ListFailed{id});
      return;
    }
    this->ReportLeadershipRecords(reply.objects);
    this->NotifyDistribution(configuration::ListSucceeded{id, kind, reply.version, std::move(reply.objects)});
  });
}

void ControlPlane::Execute(const configuration::ReadObject& action) {
  this->platform.Get(action.kind, action.name, [this, kind = action.kind, name = action.name](PlatformReply reply) {
    this->UpdatePlatformReachable(reply.status);
    if (reply.status == PlatformStatus::kDone || reply.status == PlatformStatus::kNotFound) {
      this->HandlePlatformObject(std::move(reply.object));
      return;
    }
    this->NotifyDistribution(configuration::ReadFailed{kind, name});
  });
}

void ControlPlane::Execute(const configuration::SendDigest& action) {
  membership::Heartbeat heartbeat = this->membership_system.ReplyTo({});
  const HeartbeatMessage message = action.allow_summary ? this->MakeHeartbeatMessage(std::move(heartbeat))
                                                        : this->MakeHeartbeatMessageWithDigest(std::move(heartbeat));
  for (const VmName& vm : action.to) {
    const std::string address = this->AddressOf(vm);
    if (!address.empty()) {
      this->SendHeartbeatMessage(address, message);
    }
  }
}

void ControlPlane::Execute(const configuration::PullDifferences& action) {
  const std::string address = this->AddressOf(action.peer);
  if (address.empty()) {
    this->NotifyDistribution(configuration::DifferencesFailed{action.id, action.peer});
    return;
  }
  this->peers.SendControlMessage(
      address, "/v1/peer/objects", configuration::ToJson(action.request).dump(), BootClock::now() + kDifferencesTimeout,
      [this, id = action.id, peer = action.peer](const net::CallResult& result) {
        if (IsOk(result)) {
          try {
            const Json body = json::Parse(result.response.body, "differences reply");
            this->NotifyDistribution(
                configuration::DifferencesReceived{id, peer, configuration::ParseDifferencesReply(body)});
            return;
          } catch (const ParseError& failure) {
            logging::Write(logging::Level::kWarning, "malformed differences reply from a peer",
                           {{"peer", peer}, {"error", failure.what()}});
          }
        }
        this->NotifyDistribution(configuration::DifferencesFailed{id, peer});
      });
}

void ControlPlane::HandleDifferencesRequest(const std::string& body, const net::HttpServer::ResponseCallback& respond) {
  try {
    const configuration::DifferencesRequest request =
        configuration::ParseDifferencesRequest(json::Parse(body, "differences request"));
    respond(JsonResponse(configuration::ToJson(this->distribution_system.ReplyTo(request)).dump()));
  } catch (const ParseError& failure) {
    respond(MalformedResponse(failure));
  }
}

// --- Edits ---

void ControlPlane::SubmitEdit(configuration::EditRequest edit, TimePoint deadline, EditCallback callback) {
  const std::uint64_t edit_id = this->next_edit_id++;
  this->pending_edits[edit_id] = std::move(callback);
  this->edit_runner.Notify(configuration::EditSubmitted{edit_id, std::move(edit), deadline});
}

void ControlPlane::Execute(const configuration::EditWrite& action) {
  const auto finish = [this, edit_id = action.edit_id](const PlatformReply& reply) {
    this->UpdatePlatformReachable(reply.status);
    if (reply.status == PlatformStatus::kDone) {
      this->edit_runner.Notify(configuration::EditWriteSucceeded{edit_id, reply.version});
    } else if (reply.status == PlatformStatus::kConflict) {
      this->edit_runner.Notify(configuration::EditWriteConflicted{edit_id, reply.object});
    } else {
      this->edit_runner.Notify(configuration::EditWriteFailed{edit_id, reply.status != PlatformStatus::kNotSent});
    }
  };
  if (action.remove) {
    this->platform.Delete(action.kind, action.name, action.expected_version, finish);
  } else {
    this->platform.Put(action.kind, action.name, action.expected_version, action.value, finish);
  }
}

void ControlPlane::Execute(const configuration::EditRead& action) {
  this->platform.Get(action.kind, action.name, [this, edit_id = action.edit_id](const PlatformReply& reply) {
    this->UpdatePlatformReachable(reply.status);
    if (reply.status == PlatformStatus::kDone || reply.status == PlatformStatus::kNotFound) {
      this->edit_runner.Notify(configuration::EditReadSucceeded{edit_id, reply.object});
    } else {
      this->edit_runner.Notify(configuration::EditReadFailed{edit_id});
    }
  });
}

void ControlPlane::Execute(const configuration::EditEnded& action) {
  if (const auto* applied = std::get_if<configuration::EditApplied>(&action.result)) {
    this->HandlePlatformObject(applied->object);
  }
  const auto callback = this->pending_edits.extract(action.edit_id);
  if (!callback.empty()) {
    callback.mapped()(action.result);
  }
}

// --- Queries ---

const configuration::ObjectStore& ControlPlane::Objects() const { return this->store; }

const leadership::LeadershipSystem& ControlPlane::Leadership() const { return this->leadership_system; }

const membership::MembershipSystem& ControlPlane::Membership() const { return this->membership_system; }

std::vector<configuration::AppliedVersion> ControlPlane::AppliedVersions() const {
  return this->distribution_system.AppliedVersions();
}

std::string ControlPlane::AddressOf(const VmName& vm) const {
  const auto found = this->membership_system.Vms().find(vm);
  return found == this->membership_system.Vms().end() ? std::string() : found->second.address;
}

bool ControlPlane::PlatformReachable() const { return this->platform_reachable; }

TimePoint ControlPlane::WitnessSilentUntil() const { return this->witness_silent_until; }

}  // namespace amaranthlane::daemon
