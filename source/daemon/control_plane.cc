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

constexpr std::chrono::milliseconds kBeatLimit{1000};
constexpr std::chrono::milliseconds kPromiseLimit{1000};
constexpr std::chrono::milliseconds kObjectsLimit{2000};
// How often the platform's list of VMs is read, by relays and by the others.
constexpr std::chrono::seconds kRelayListInterval{5};
constexpr std::chrono::seconds kListInterval{30};
constexpr std::chrono::seconds kListRetry{1};
constexpr unsigned kStatusOk = 200;

net::HttpResponse MalformedResponse(const ParseError& failure) {
  return ProblemResponse(400, "invalid-message", failure.what());
}

bool Answered(const net::CallResult& result) {
  return result.status == net::CallStatus::kAnswered && result.response.status == kStatusOk;
}

leadership::LeadershipSettings LeadershipSettingsOf(const Settings& settings) {
  leadership::LeadershipSettings leadership;
  leadership.beat = settings.leadership_renewal_interval;
  leadership.promise_length = settings.leadership_grant_duration;
  leadership.margin = settings.leadership_clock_drift_margin;
  leadership.holder_silence = settings.leadership_detection_timeout;
  return leadership;
}

membership::Self MembershipSelf(const Settings& settings, Incarnation incarnation) {
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
      membership_system(MembershipSelf(settings, incarnation), membership::MembershipSettings{}, started_at),
      leadership_system(this->self, LeadershipSettingsOf(settings), started_at),
      distribution_system(configuration::Member{settings.vm, settings.data_centre}, this->store, incarnation),
      edit_system(settings.vm, incarnation),
      membership_runner(this->membership_system,
                        [this](const membership::Action& action) {
                          std::visit([this](const auto& typed) { this->Carry(typed); }, action);
                        }),
      leadership_runner(this->leadership_system,
                        [this](const leadership::Action& action) {
                          std::visit([this](const auto& typed) { this->Carry(typed); }, action);
                        }),
      distribution_runner(this->distribution_system,
                          [this](const configuration::DistributionAction& action) {
                            std::visit([this](const auto& typed) { this->Carry(typed); }, action);
                          }),
      edit_runner(this->edit_system, [this](const configuration::EditAction& action) {
        std::visit([this](const auto& typed) { this->Carry(typed); }, action);
      }) {}

void ControlPlane::Start() {
  this->membership_runner.Notify(membership::SeedsGiven{this->settings.seeds});
  this->Carry(membership::MembershipChanged{});
  this->Tick(BootClock::now());
}

void ControlPlane::Tick(TimePoint now) {
  this->membership_runner.RunIfDue(now);
  this->leadership_runner.RunIfDue(now);
  this->distribution_runner.RunIfDue(now);
  this->edit_runner.RunIfDue(now);
  this->StoreChanged();
  this->PollVmList(now);
}

void ControlPlane::AnnounceLeaving() {
  this->leaving = true;
  this->membership_runner.Notify(membership::DrainStarted{});
  this->Carry(membership::MembershipChanged{});
}

void ControlPlane::ReleaseLeadership() { this->leadership_runner.Notify(leadership::DrainStarted{}); }

// --- Membership ---

Beat ControlPlane::MakeBeat(membership::Heartbeat heartbeat) const {
  Beat beat{std::move(heartbeat), configuration::Summarize(this->store.Digest()), std::nullopt, {}};
  for (const auto& [group, ballot] : this->led) {
    beat.leads.push_back(LedGroup{group, ballot});
  }
  return beat;
}

Beat ControlPlane::MakeBeatWithDigest(membership::Heartbeat heartbeat) const {
  Beat beat = this->MakeBeat(std::move(heartbeat));
  beat.configuration = this->store.Digest();
  return beat;
}

void ControlPlane::Carry(const membership::SendHeartbeat& action) {
  this->SendBeat(action.address, this->MakeBeat(action.heartbeat));
}

void ControlPlane::SendBeat(const std::string& address, const Beat& beat) {
  this->peers.Control(
      address, "/v1/peer/beat", BeatText(beat), BootClock::now() + kBeatLimit, [this](const net::CallResult& result) {
        if (!Answered(result)) {
          return;
        }
        try {
          this->TakeBeat(ParseBeat(result.response.body));
        } catch (const ParseError& failure) {
          logging::Write(logging::Level::kWarning, "a peer's beat is malformed", {{"error", failure.what()}});
        }
      });
}

void ControlPlane::HandleBeat(const std::string& body, const net::HttpServer::ResponseCallback& answer) {
  try {
    const Beat beat = ParseBeat(body);
    this->TakeBeat(beat);
    const bool same = configuration::Summarize(this->store.Digest()).hash == beat.summary.hash;
    membership::Heartbeat heartbeat = this->membership_system.AnswerTo(beat.heartbeat);
    answer(JsonResponse(
        BeatText(same ? this->MakeBeat(std::move(heartbeat)) : this->MakeBeatWithDigest(std::move(heartbeat)))));
  } catch (const ParseError& failure) {
    answer(MalformedResponse(failure));
  }
}

void ControlPlane::TakeBeat(const Beat& beat) {
  const membership::DigestEntry& sender = beat.heartbeat.sender;
  if (sender.vm == this->self.vm) {
    return;
  }
  this->membership_runner.Notify(membership::HeartbeatReceived{beat.heartbeat});
  this->TakeConfiguration(beat);
  for (const LedGroup& led_group : beat.leads) {
    this->leadership_runner.Notify(
        leadership::HolderHeard{led_group.group, led_group.ballot, {sender.vm, sender.incarnation}});
  }
}

void ControlPlane::TakeConfiguration(const Beat& beat) {
  const VmName& vm = beat.heartbeat.sender.vm;
  if (beat.configuration) {
    this->NotifyDistribution(configuration::PeerDigestReceived{vm, *beat.configuration});
    return;
  }
  configuration::ConfigurationDigest digest = this->store.Digest();
  if (configuration::Summarize(digest).hash == beat.summary.hash) {
    digest.complete_through = beat.summary.complete_through;
    this->NotifyDistribution(configuration::PeerDigestReceived{vm, std::move(digest)});
  }
}

void ControlPlane::Carry(const membership::MembershipChanged& /*action*/) {
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

void ControlPlane::Carry(const membership::VmTerminated& action) {
  this->leadership_runner.Notify(leadership::VmsTerminated{{action.vm}});
}

void ControlPlane::PollVmList(TimePoint now) {
  if (now < this->next_vm_list) {
    return;
  }
  this->next_vm_list = now + kListRetry;
  this->platform.ListVms([this](const PlatformReply& reply) {
    this->TakePlatformStatus(reply.status);
    if (reply.status != PlatformStatus::kDone) {
      return;
    }
    const bool relay = this->distribution_system.IsRelay();
    this->next_vm_list = BootClock::now() + (relay ? kRelayListInterval : kListInterval);
    this->membership_runner.Notify(membership::PlatformListSeen{reply.vms});
  });
}

// --- Leadership ---

void ControlPlane::Carry(const leadership::SendPromiseRequest& action) {
  const TimePoint sent_at = BootClock::now();
  const std::string address = this->AddressOf(action.witness);
  if (address.empty()) {
    return;
  }
  this->peers.Control(
      address, "/v1/peer/promise", leadership::ToJson(action.request).dump(), sent_at + kPromiseLimit,
      [this, sent_at](const net::CallResult& result) {
        if (!Answered(result)) {
          return;
        }
        try {
          const Json body = json::Parse(result.response.body, "promise answer");
          this->leadership_runner.Notify(
              leadership::PromiseAnswerReceived{sent_at, leadership::ParsePromiseAnswer(body)});
        } catch (const ParseError& failure) {
          logging::Write(logging::Level::kWarning, "a promise answer is malformed", {{"error", failure.what()}});
        }
      });
}

void ControlPlane::HandlePromise(const std::string& body, net::HttpServer::ResponseCallback answer) {
  try {
    const leadership::PromiseRequest request = leadership::ParsePromiseRequest(json::Parse(body, "promise request"));
    const std::uint64_t reply = this->next_reply++;
    this->open_replies[reply] = std::move(answer);
    this->leadership_runner.Notify(leadership::PromiseRequestReceived{reply, request});
  } catch (const ParseError& failure) {
    answer(MalformedResponse(failure));
  }
}

void ControlPlane::Carry(const leadership::AnswerPromise& action) {
  const auto reply = this->open_replies.extract(action.reply_id);
  if (!reply.empty()) {
    reply.mapped()(JsonResponse(leadership::ToJson(action.answer).dump()));
  }
}

void ControlPlane::Carry(const leadership::SendCloseRequest& action) {
  const TimePoint sent_at = BootClock::now();
  const std::string address = this->AddressOf(action.witness);
  if (address.empty()) {
    return;
  }
  this->peers.Control(
      address, "/v1/peer/close", leadership::ToJson(action.request).dump(), sent_at + kPromiseLimit,
      [this, sent_at](const net::CallResult& result) {
        if (!Answered(result)) {
          return;
        }
        try {
          const Json body = json::Parse(result.response.body, "close answer");
          this->leadership_runner.Notify(leadership::CloseAnswerReceived{sent_at, leadership::ParseCloseAnswer(body)});
        } catch (const ParseError& failure) {
          logging::Write(logging::Level::kWarning, "a close answer is malformed", {{"error", failure.what()}});
        }
      });
}

void ControlPlane::HandleClose(const std::string& body, net::HttpServer::ResponseCallback answer) {
  try {
    const leadership::CloseRequest request = leadership::ParseCloseRequest(json::Parse(body, "close request"));
    const std::uint64_t reply = this->next_reply++;
    this->open_replies[reply] = std::move(answer);
    this->leadership_runner.Notify(leadership::CloseRequestReceived{reply, request});
  } catch (const ParseError& failure) {
    answer(MalformedResponse(failure));
  }
}

void ControlPlane::Carry(const leadership::AnswerClose& action) {
  const auto reply = this->open_replies.extract(action.reply_id);
  if (!reply.empty()) {
    reply.mapped()(JsonResponse(leadership::ToJson(action.answer).dump()));
  }
}

void ControlPlane::Carry(const leadership::DropRequest& action) {
  const auto reply = this->open_replies.extract(action.reply_id);
  if (!reply.empty()) {
    reply.mapped()(ProblemResponse(503, "witness-silent", "this VM restarted and makes no promises yet"));
  }
}

void ControlPlane::Carry(const leadership::UpdateRecord& action) {
  const Json value = leadership::ToJson(action.record);
  this->platform.Put(
      configuration::kLeadershipKind, action.group, action.expected_version, value,
      [this, group = action.group, update_id = action.record.update_id, value](const PlatformReply& reply) {
        this->TakePlatformStatus(reply.status);
        leadership::UpdateAnswered answered{group, update_id, leadership::UpdateResult::kLost, reply.version, {}};
        if (reply.status == PlatformStatus::kDone) {
          answered.result = leadership::UpdateResult::kApplied;
          this->ObjectLearned({configuration::kLeadershipKind, group, reply.version, false, value});
        } else if (reply.status == PlatformStatus::kConflict) {
          try {
            if (!reply.object.deleted) {
              answered.current = leadership::ParseLeadershipRecord(reply.object.value);
            }
            answered.result = leadership::UpdateResult::kConflict;
          } catch (const ParseError& failure) {
            logging::Write(logging::Level::kError, "a leadership record is malformed",
                           {{"group", group}, {"error", failure.what()}});
          }
        }
        this->leadership_runner.Notify(std::move(answered));
      });
}

void ControlPlane::Carry(const leadership::ReadRecord& action) {
  this->platform.Get(
      configuration::kLeadershipKind, action.group, [this, group = action.group](const PlatformReply& reply) {
        this->TakePlatformStatus(reply.status);
        if (reply.status == PlatformStatus::kDone) {
          this->ObjectLearned(reply.object);
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

void ControlPlane::Carry(const leadership::BecameLeader& action) {
  logging::Write(logging::Level::kInfo, "became leader",
                 {{"group", action.group}, {"epoch", action.ballot.epoch}, {"rank", action.ballot.rank}});
  this->led[action.group] = action.ballot;
  this->listener.became_leader(action.group, action.ballot, action.valid_until);
}

void ControlPlane::Carry(const leadership::ValidityExtended& action) {
  this->led[action.group] = action.ballot;
  this->listener.validity_extended(action.group, action.valid_until);
}

void ControlPlane::Carry(const leadership::LostLeadership& action) {
  logging::Write(logging::Level::kInfo, "lost leadership", {{"group", action.group}});
  this->led.erase(action.group);
  this->listener.lost_leadership(action.group);
}

void ControlPlane::TakePlatformStatus(PlatformStatus status) {
  const bool reachable = status != PlatformStatus::kLost && status != PlatformStatus::kNotSent;
  if (reachable == this->platform_reachable) {
    return;
  }
  this->platform_reachable = reachable;
  logging::Write(logging::Level::kWarning, reachable ? "the platform answers again" : "the platform does not answer");
  this->leadership_runner.Notify(leadership::PlatformReachable{reachable});
}

// --- Configuration ---

void ControlPlane::NotifyDistribution(configuration::DistributionEvent event) {
  this->distribution_runner.Notify(std::move(event));
  this->StoreChanged();
}

void ControlPlane::StoreChanged() {
  const std::uint64_t groups = this->store.Revision(configuration::kDatabaseGroupsKind);
  const std::uint64_t records = this->store.Revision(configuration::kLeadershipKind);
  if (groups != this->groups_revision) {
    this->groups_revision = groups;
    leadership::GroupsChanged changed;
    this->store.ForEach(configuration::kDatabaseGroupsKind, [&changed](const configuration::PlatformObject& object) {
      try {
        changed.groups.push_back({object.name, replicas::ParseGroupRecord(object.value).region});
      } catch (const ParseError& failure) {
        logging::Write(logging::Level::kError, "a database group's object is malformed",
                       {{"group", object.name}, {"error", failure.what()}});
      }
    });
    this->leadership_runner.Notify(std::move(changed));
  }
  if (records != this->leadership_revision) {
    this->leadership_revision = records;
    this->store.ForEach(configuration::kLeadershipKind, [this](const configuration::PlatformObject& object) {
      this->SeeRecord(object, leadership::RecordSource::kPeer);
    });
    this->UpdateCloseVms();
  }
  this->listener.objects_changed();
}

void ControlPlane::UpdateCloseVms() {
  const leadership::CloseVms close = this->leadership_system.ListCloseVms();
  this->membership_runner.Notify(membership::CloseVmsChanged{close.send_to, close.hear_from});
}

void ControlPlane::SeeRecord(const configuration::PlatformObject& object, leadership::RecordSource source) {
  leadership::RecordSeen seen{object.name, object.version, std::nullopt, source};
  try {
    if (!object.deleted) {
      seen.record = leadership::ParseLeadershipRecord(object.value);
    }
    this->leadership_runner.Notify(std::move(seen));
  } catch (const ParseError& failure) {
    logging::Write(logging::Level::kError, "a leadership record is malformed",
                   {{"group", object.name}, {"error", failure.what()}});
  }
}

void ControlPlane::TakePlatformObjects(const std::vector<configuration::PlatformObject>& objects) {
  for (const configuration::PlatformObject& object : objects) {
    if (object.kind == configuration::kLeadershipKind) {
      this->SeeRecord(object, leadership::RecordSource::kPlatform);
    }
  }
}

void ControlPlane::ObjectLearned(configuration::PlatformObject object) {
  this->TakePlatformObjects({object});
  this->NotifyDistribution(configuration::ObjectLearned{std::move(object)});
}

void ControlPlane::Carry(const configuration::OpenWatch& action) {
  this->platform.Watch(action.kinds, action.after, action.wait, [this, id = action.id](PlatformReply reply) {
    this->TakePlatformStatus(reply.status);
    if (reply.status != PlatformStatus::kDone) {
      this->NotifyDistribution(configuration::WatchFailed{id});
      return;
    }
    this->TakePlatformObjects(reply.objects);
    this->NotifyDistribution(configuration::WatchAnswered{id, reply.version, std::move(reply.objects)});
  });
}

void ControlPlane::Carry(const configuration::CloseWatch& /*action*/) { this->platform.CloseWatch(); }

void ControlPlane::Carry(const configuration::ListObjects& action) {
  this->platform.List(action.kind, [this, id = action.id, kind = action.kind](PlatformReply reply) {
    this->TakePlatformStatus(reply.status);
    if (reply.status != PlatformStatus::kDone) {
      this->NotifyDistribution(configuration::ListFailed{id});
      return;
    }
    this->TakePlatformObjects(reply.objects);
    this->NotifyDistribution(configuration::ListAnswered{id, kind, reply.version, std::move(reply.objects)});
  });
}

void ControlPlane::Carry(const configuration::ReadObject& action) {
  this->platform.Get(action.kind, action.name, [this, kind = action.kind, name = action.name](PlatformReply reply) {
    this->TakePlatformStatus(reply.status);
    if (reply.status == PlatformStatus::kDone || reply.status == PlatformStatus::kNotFound) {
      this->ObjectLearned(std::move(reply.object));
      return;
    }
    this->NotifyDistribution(configuration::ReadFailed{kind, name});
  });
}

void ControlPlane::Carry(const configuration::SendDigest& action) {
  membership::Heartbeat heartbeat = this->membership_system.AnswerTo({});
  const Beat beat =
      action.summary ? this->MakeBeat(std::move(heartbeat)) : this->MakeBeatWithDigest(std::move(heartbeat));
  for (const VmName& vm : action.to) {
    const std::string address = this->AddressOf(vm);
    if (!address.empty()) {
      this->SendBeat(address, beat);
    }
  }
}

void ControlPlane::Carry(const configuration::PullDifferences& action) {
  const std::string address = this->AddressOf(action.peer);
  if (address.empty()) {
    this->NotifyDistribution(configuration::DifferencesFailed{action.id, action.peer});
    return;
  }
  this->peers.Control(address, "/v1/peer/objects", configuration::ToJson(action.request).dump(),
                      BootClock::now() + kObjectsLimit,
                      [this, id = action.id, peer = action.peer](const net::CallResult& result) {
                        if (Answered(result)) {
                          try {
                            const Json body = json::Parse(result.response.body, "differences answer");
                            this->NotifyDistribution(configuration::DifferencesReceived{
                                id, peer, configuration::ParseDifferencesAnswer(body)});
                            return;
                          } catch (const ParseError& failure) {
                            logging::Write(logging::Level::kWarning, "a peer's differences are malformed",
                                           {{"peer", peer}, {"error", failure.what()}});
                          }
                        }
                        this->NotifyDistribution(configuration::DifferencesFailed{id, peer});
                      });
}

void ControlPlane::HandleObjects(const std::string& body, const net::HttpServer::ResponseCallback& answer) {
  try {
    const configuration::DifferencesRequest request =
        configuration::ParseDifferencesRequest(json::Parse(body, "differences request"));
    answer(JsonResponse(configuration::ToJson(this->distribution_system.Answer(request)).dump()));
  } catch (const ParseError& failure) {
    answer(MalformedResponse(failure));
  }
}

// --- Edits ---

void ControlPlane::SubmitEdit(configuration::Edit edit, TimePoint deadline, EditCallback callback) {
  const std::uint64_t number = this->next_edit++;
  this->open_edits[number] = std::move(callback);
  this->edit_runner.Notify(configuration::EditSubmitted{number, std::move(edit), deadline});
}

void ControlPlane::Carry(const configuration::EditWrite& action) {
  const auto finish = [this, edit = action.edit](const PlatformReply& reply) {
    this->TakePlatformStatus(reply.status);
    if (reply.status == PlatformStatus::kDone) {
      this->edit_runner.Notify(configuration::EditWriteAnswered{edit, reply.version});
    } else if (reply.status == PlatformStatus::kConflict) {
      this->edit_runner.Notify(configuration::EditWriteConflicted{edit, reply.object});
    } else {
      this->edit_runner.Notify(configuration::EditWriteFailed{edit, reply.status != PlatformStatus::kNotSent});
    }
  };
  if (action.remove) {
    this->platform.Delete(action.kind, action.name, action.expected_version, finish);
  } else {
    this->platform.Put(action.kind, action.name, action.expected_version, action.value, finish);
  }
}

void ControlPlane::Carry(const configuration::EditRead& action) {
  this->platform.Get(action.kind, action.name, [this, edit = action.edit](const PlatformReply& reply) {
    this->TakePlatformStatus(reply.status);
    if (reply.status == PlatformStatus::kDone || reply.status == PlatformStatus::kNotFound) {
      this->edit_runner.Notify(configuration::EditReadAnswered{edit, reply.object});
    } else {
      this->edit_runner.Notify(configuration::EditReadFailed{edit});
    }
  });
}

void ControlPlane::Carry(const configuration::EditEnded& action) {
  if (const auto* applied = std::get_if<configuration::EditApplied>(&action.result)) {
    this->ObjectLearned(applied->object);
  }
  const auto callback = this->open_edits.extract(action.edit);
  if (!callback.empty()) {
    callback.mapped()(action.result);
  }
}

// --- Queries ---

const configuration::ObjectStore& ControlPlane::Objects() const { return this->store; }

const leadership::LeadershipSystem& ControlPlane::Leadership() const { return this->leadership_system; }

const membership::MembershipSystem& ControlPlane::Membership() const { return this->membership_system; }

std::vector<configuration::InForceEntry> ControlPlane::InForce() const { return this->distribution_system.InForce(); }

std::string ControlPlane::AddressOf(const VmName& vm) const {
  const auto found = this->membership_system.Vms().find(vm);
  return found == this->membership_system.Vms().end() ? std::string() : found->second.address;
}

bool ControlPlane::PlatformReachable() const { return this->platform_reachable; }

TimePoint ControlPlane::WitnessSilentUntil() const { return this->witness_silent_until; }

}  // namespace amaranthlane::daemon
