#include <algorithm>
#include <charconv>
#include <utility>
#include <variant>

#include "common/error.h"
#include "common/json.h"
#include "core/rendezvous.h"
#include "proxy/node.h"

// A node's part in coordination: its messages to and from peers, and the promotions that it orders as the coordinator.
namespace amaranthlane::proxy {

namespace {

constexpr char kHeartbeatTarget[] = "/peer/beat";
constexpr char kRecordNoticeTarget[] = "/peer/notice";
constexpr char kConfigurationTarget[] = "/peer/configuration";
constexpr char kDirectoryTarget[] = "/peer/directory";
constexpr std::size_t kConnectionsPerPeer = 2;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
// How long statements may go on at a primary that is being replaced. At an unreachable one they are ended at once.
constexpr std::chrono::milliseconds kReleaseTimeout{1500};

// The number of members that report positions to each VM. A VM that gets reports from neither queries the primary
// itself.
constexpr std::size_t kMembersReportingPositions = 2;
// The shortest interval at which members update the list of live VMs.
constexpr std::chrono::milliseconds kMinFleetUpdateInterval{300};
// In a large fleet the interval grows by this time per VM, up to the maximum, because a change of the list makes every
// VM recompute its plans.
constexpr std::chrono::milliseconds kFleetUpdateIntervalPerVm{6};
constexpr std::chrono::milliseconds kMaxFleetUpdateInterval{1200};
// How recently a VM must have sent a heartbeat to count as live.
constexpr std::chrono::milliseconds kAliveTimeout{1400};

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

// Throws ParseError.
std::uint64_t ParseNumber(const char* parameter, const std::string& text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw ParseError("directory request", parameter, "a whole number");
  }
  return number;
}

// VMs of earlier builds send no era. Throws ParseError.
StoreRevision ParseRevision(const std::string& target) {
  const std::string era = net::QueryParameter(target, "era");
  return {era.empty() ? 0 : ParseNumber("era", era), ParseNumber("since", net::QueryParameter(target, "since"))};
}

net::HttpRequest PostJson(const char* target, const nlohmann::json& body) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = body.dump();
  return request;
}

}  // namespace

void Node::TickCoordination(TimePoint now) {
  coordination::Actions actions;
  const coordination::CoordinationRecord* record = this->coordination.Record();
  if (record == nullptr || !record->IsMember(this->settings.vm)) {
    this->member_since.reset();
  } else if (!this->member_since) {
    this->member_since = now;
  }
  // A new member gets the heartbeats of the other VMs one by one. With many groups it waits until it knows all VMs, as
  // it would otherwise make itself a gateway of every group.
  const bool knows_all_vms = this->member_since && (this->dispatchers.size() <= gateways::kMaxGroupsServedByEveryVm ||
                                                    now > *this->member_since + kAliveTimeout);
  if (knows_all_vms && now >= this->next_fleet_update) {
    const std::chrono::milliseconds interval = kFleetUpdateIntervalPerVm * this->fleet.size();
    this->next_fleet_update = now + std::clamp(interval, kMinFleetUpdateInterval, kMaxFleetUpdateInterval);
    std::vector<gateways::FleetVm> alive = this->coordination.Grants().AliveSince(now - kAliveTimeout);
    std::erase_if(alive, [this](const gateways::FleetVm& vm) { return vm.vm == this->settings.vm; });
    alive.push_back({this->settings.vm, this->settings.relay_address, this->settings.data_centre, true,
                     this->settings.processor_share});
    this->UpdateFleet(std::move(alive));
  }
  if (record != nullptr) {
    store_sync::Actions sync_actions;
    this->store_sync.Tick(record->IsMember(this->settings.vm), now, sync_actions);
    this->PerformStoreSync(sync_actions, now);
  }
  this->coordination.Report(this->MakeReport(now), now, actions);
  this->coordination.Tick(now, actions);
  if (record == nullptr || now < this->coordination.LeaseExpiry()) {
    this->without_lease_since.reset();
  } else if (!this->without_lease_since) {
    this->without_lease_since = now;
  }
  failover::Actions orders;
  if (this->directory_known && this->coordination.Record() != nullptr) {
    this->failover.Tick(this->known_directory, this->synchronous_replicas, this->coordination, now, actions, orders);
  }
  this->Perform(actions);
  this->PerformFailover(orders, now);
}

coordination::LocalReport Node::MakeReport(TimePoint now) {
  coordination::LocalReport report;
  report.leaving = this->shutdown_at.has_value();
  report.fleet_digest = this->fleet_digest;
  report.store = this->store_sync.Versions();
  report.store_currency = this->store_sync.Currency();
  const coordination::CoordinationRecord* record = this->coordination.Record();
  if (record == nullptr) {
    return report;
  }
  for (const auto& [group, since] : this->changing_since) {
    if (this->StillUsesPrimary(since, this->FindPool(record->groups.at(group).primary), now)) {
      report.groups_in_use.push_back(group);
    }
  }
  // Groups that are changing their primary are included: the former primary can stay only if VMs reach it again.
  for (const GroupName& group : this->connected_groups) {
    const auto state = record->groups.find(group);
    if (state != record->groups.end()) {
      this->ReportReachability(group, state->second.primary, report);
    }
  }
  return report;
}

void Node::UpdateChangingGroups(TimePoint now) {
  std::map<GroupName, TimePoint> changing;
  for (const auto& [group, state] : this->coordination.Record()->groups) {
    if (state.changing) {
      const auto known = this->changing_since.find(group);
      changing.emplace(group, known == this->changing_since.end() ? now : known->second);
    }
  }
  this->changing_since = std::move(changing);
}

bool Node::StillUsesPrimary(TimePoint changing_from, EndpointPool* primary, TimePoint now) {
  if (primary == nullptr || primary->InUseCount() == 0) {
    return false;
  }
  if (primary->Reachable() && now < changing_from + kReleaseTimeout) {
    return true;
  }
  primary->CloseAll();
  return false;
}

void Node::ReportReachability(const GroupName& group, const EndpointName& primary,
                              coordination::LocalReport& report) const {
  bool any_reachable = false;
  std::vector<EndpointName> unreachable;
  for (const auto& [name, pool] : this->dispatchers.at(group)->Pools()) {
    if (pool->Passive()) {
      continue;
    }
    any_reachable = any_reachable || pool->Reachable();
    if (!pool->Reachable()) {
      unreachable.push_back(name);
    } else if (name == primary) {
      report.reachable_groups.push_back(group);
    }
  }
  if (any_reachable) {
    report.unreachable_endpoints.insert(report.unreachable_endpoints.end(), unreachable.begin(), unreachable.end());
  }
}

void Node::Perform(coordination::Actions& actions) {
  const Overloaded perform = {
      [this](const coordination::SendHeartbeat& action) { this->PerformHeartbeat(action); },
      [this](const coordination::SendRecordNotice& action) { this->PerformRecordNotice(action); },
      [this](const coordination::ReadRecord&) { this->PerformRead(); },
      [this](const coordination::WriteRecord& action) { this->PerformWrite(action); },
      [this](const coordination::RecordAdopted& action) { this->OnRecordAdopted(action.source); },
      [](const coordination::Decision& action) {
        logging::Write(logging::Level::kInfo, action.event, {{"why", action.reason}});
      }};
  for (const coordination::Action& action : std::exchange(actions, {})) {
    std::visit(perform, action);
  }
}

void Node::PerformHeartbeat(const coordination::SendHeartbeat& action) {
  const TimePoint sent_at = BootClock::now();
  const VmName member = action.member.vm;
  this->PeerPool(action.member.address)
      .Call(PostJson(kHeartbeatTarget, ToJson(action.heartbeat)),
            sent_at + coordination::CoordinationSettings{}.reply_timeout,
            [this, member, address = action.member.address, sent_at](const net::CallResult& result) {
              const TimePoint now = BootClock::now();
              coordination::Actions actions;
              try {
                if (result.status != net::CallStatus::kAnswered) {
                  this->coordination.OnHeartbeatFailed(member, result.refused, now);
                  return;
                }
                const coordination::HeartbeatReply reply =
                    coordination::ParseHeartbeatReply(json::Parse(result.response.body, "heartbeat reply"));
                this->coordination.OnHeartbeatReply(member, reply, sent_at, now, actions);
                this->OnFleetView(reply.fleet_view, sent_at);
                store_sync::Actions sync_actions;
                this->store_sync.OnMemberReply(address, reply, sent_at, now, sync_actions);
                this->PerformStoreSync(sync_actions, now);
              } catch (const ParseError& failure) {
                logging::Write(logging::Level::kWarning, "malformed heartbeat reply from a member",
                               {{"vm", member}, {"why", failure.what()}});
                this->coordination.OnHeartbeatFailed(member, false, now);
              }
              this->Perform(actions);
            });
}

bool Node::ReportsPositionsTo(const VmName& requester) const {
  const coordination::CoordinationRecord* record = this->coordination.Record();
  const std::size_t members = record == nullptr ? 0 : record->members.size();
  if (members <= kMembersReportingPositions) {
    return true;
  }
  const std::size_t member_index = record->MemberIndex(this->settings.vm);
  const std::size_t first = RendezvousHash("positions", requester) % members;
  return (member_index + members - first) % members < kMembersReportingPositions;
}

coordination::FleetView Node::MakeFleetView(const coordination::HeartbeatRequest& heartbeat, TimePoint now) const {
  coordination::FleetView fleet_view;
  const coordination::CoordinationRecord* record = this->coordination.Record();
  if (record != nullptr && record->IsMember(this->settings.vm) && heartbeat.fleet_digest != this->fleet_digest) {
    fleet_view.fleet = this->fleet;
  }
  if (!this->ReportsPositionsTo(heartbeat.vm)) {
    return fleet_view;
  }
  const auto reported = this->reported_groups.find(heartbeat.vm);
  for (const std::vector<GroupName>* groups :
       {&this->groups_reported_to_all, reported == this->reported_groups.end() ? nullptr : &reported->second}) {
    for (const GroupName& group : groups == nullptr ? std::vector<GroupName>{} : *groups) {
      const statements::PositionHistory& history = this->dispatchers.at(group)->History();
      const std::optional<LogPosition> newest = history.NewestPosition();
      if (newest) {
        fleet_view.positions.push_back({group, *newest, now - history.LastQueriedAt()});
      }
    }
  }
  return fleet_view;
}

void Node::OnFleetView(const coordination::FleetView& fleet_view, TimePoint sent_at) {
  for (const coordination::PrimaryPosition& known : fleet_view.positions) {
    Dispatcher* dispatcher = this->FindDispatcher(known.group);
    if (dispatcher != nullptr) {
      dispatcher->AddMemberPosition(sent_at - known.age, known.position);
    }
  }
  const coordination::CoordinationRecord* record = this->coordination.Record();
  if (!fleet_view.fleet.empty() && record != nullptr && !record->IsMember(this->settings.vm)) {
    this->UpdateFleet(fleet_view.fleet);
  }
}

void Node::PerformStoreSync(const store_sync::Actions& actions, TimePoint now) {
  const coordination::StoreVersions& own = this->store_sync.Versions();
  const Overloaded perform = {
      [&](const store_sync::FetchConfiguration& action) {
        logging::Write(logging::Level::kInfo, "a peer has a newer configuration",
                       {{"peer", action.address},
                        {"own_version", own.configuration_version},
                        {"peer_version", action.peer_version}});
        this->FetchFromPeer(action.address, kConfigurationTarget, now,
                            [this, address = action.address](const nlohmann::json& document) {
                              if (!HasOrganisations(document)) {
                                // The peer runs an earlier build.
                                this->platform.Refresh();
                                return;
                              }
                              this->OnConfiguration(ParseConfigurationMessage(document), address);
                            });
      },
      [&](const store_sync::FetchDirectory& action) {
        logging::Write(logging::Level::kInfo, "a peer has a newer directory",
                       {{"peer", action.address},
                        {"own_revision", own.directory_revision.revision},
                        {"own_era", own.directory_revision.era},
                        {"peer_revision", action.peer_revision.revision},
                        {"peer_era", action.peer_revision.era}});
        const StoreRevision since = this->full_directory_needed ? StoreRevision{} : own.directory_revision;
        const std::string target = std::string(kDirectoryTarget) + "?since=" + std::to_string(since.revision) +
                                   "&era=" + std::to_string(since.era);
        this->FetchFromPeer(action.address, target, now, [this](const nlohmann::json& document) {
          std::optional<DirectorySnapshot> update = ApplyUpdate(ParseDirectoryMessage(document), this->directory);
          this->full_directory_needed = !update;
          if (update) {
            this->OnDirectory(std::move(*update));
          }
        });
      },
      [&](const store_sync::ReadStore&) {
        logging::Write(logging::Level::kInfo, "no member confirms this VM's copies; reading the store",
                       {{"configuration_version", own.configuration_version},
                        {"directory_revision", own.directory_revision.revision}});
        this->platform.Refresh();
      }};
  for (const store_sync::Action& action : actions) {
    std::visit(perform, action);
  }
}

void Node::FetchFromPeer(const std::string& address, const std::string& target, TimePoint now,
                         std::function<void(const nlohmann::json&)> apply) {
  net::HttpRequest request;
  request.method = "GET";
  request.target = target;
  this->PeerPool(address).Call(
      std::move(request), now + coordination::CoordinationSettings{}.reply_timeout,
      [apply = std::move(apply), address](const net::CallResult& result) {
        if (result.status != net::CallStatus::kAnswered || result.response.status != net::HttpResponse{}.status) {
          // The peer's next heartbeat or heartbeat reply reports its newer versions again.
          return;
        }
        try {
          apply(json::Parse(result.response.body, "peer's configuration or directory"));
        } catch (const ParseError& failure) {
          logging::Write(logging::Level::kWarning, "malformed configuration or directory from a peer",
                         {{"peer", address}, {"why", failure.what()}});
        }
      });
}

void Node::PerformRecordNotice(const coordination::SendRecordNotice& action) {
  const TimePoint deadline = BootClock::now() + coordination::CoordinationSettings{}.reply_timeout;
  // A VM that misses the notice learns of the record with its next heartbeat.
  this->PeerPool(action.address)
      .Call(PostJson(kRecordNoticeTarget, ToJson(action.record)), deadline, [](const net::CallResult&) {});
}

void Node::PerformRead() {
  this->platform.ReadRecord([this](bool answered, const std::optional<coordination::CoordinationRecord>& record,
                                   const StoreRevision& revision) {
    const TimePoint now = BootClock::now();
    if (!answered) {
      this->coordination.OnReadFailed(now);
      return;
    }
    coordination::Actions actions;
    this->coordination.OnRecordRead(record, revision, now, actions);
    this->Perform(actions);
  });
}

void Node::PerformWrite(const coordination::WriteRecord& action) {
  this->platform.WriteRecord(
      action.record, action.expected_revision,
      [this, version = action.record.version, update_id = action.record.update_id](coordination::WriteResult result,
                                                                                   const StoreRevision& revision) {
        static constexpr std::array<const char*, 4> kResults = {"written", "conflict", "refused", "unknown"};
        logging::Write(logging::Level::kInfo, "coordination record write finished",
                       {{"result", kResults.at(static_cast<std::size_t>(result))},
                        {"version", version},
                        {"era", revision.era},
                        {"revision", revision.revision}});
        coordination::Actions actions;
        this->coordination.OnRecordWritten(update_id, result, revision, BootClock::now(), actions);
        this->Perform(actions);
      });
}

void Node::OnRecordAdopted(const std::string& source) {
  const coordination::CoordinationRecord& record = *this->coordination.Record();
  std::string members;
  for (const coordination::Member& member : record.members) {
    members += (members.empty() ? "" : " ") + member.vm;
  }
  std::string changed;
  for (const auto& [name, state] : record.groups) {
    if (state.changed_at > this->adopted_version) {
      changed += (changed.empty() ? "" : " ") + name + "=" + state.primary + "@" + std::to_string(state.term) +
                 (state.changing ? " changing" : "") + (state.unconfirmed ? " unconfirmed" : "");
    }
  }
  logging::Write(logging::Level::kInfo, "coordination record adopted",
                 {{"source", source},
                  {"version", record.version},
                  {"former_version", std::exchange(this->adopted_version, record.version)},
                  {"store_era", record.store_era},
                  {"epoch", record.epoch},
                  {"token", record.fencing_token},
                  {"members", members},
                  {"changed_groups", changed}});
  failover::Actions failover_actions;
  this->failover.OnRecordAdopted(this->coordination, BootClock::now(), failover_actions);
  this->PerformFailover(failover_actions, BootClock::now());
  this->UpdateChangingGroups(BootClock::now());
  this->platform.SetWatching(record.IsMember(this->settings.vm));
  coordination::Actions actions;
  const TimePoint now = BootClock::now();
  this->coordination.Report(this->MakeReport(now), now, actions);
  this->Perform(actions);
  this->ScheduleDispatch();
}

void Node::PerformFailover(const failover::Actions& actions, TimePoint now) {
  const Overloaded perform = {
      [this, now](const failover::QueryStatus& action) {
        EndpointPool* pool = this->FindPool(action.endpoint);
        if (pool != nullptr) {
          pool->QueryStatus(now);
        }
      },
      [this, now](const failover::QueryDepartedEndpoint& action) { this->QueryDepartedEndpoint(action, now); },
      [this, now](const failover::StepDown& action) {
        EndpointPool* pool = this->FindPool(action.endpoint);
        if (pool != nullptr) {
          pool->SendStepDown(action.term, now);
        }
      },
      [this](const failover::OrderPromotion& action) {
        this->platform.Promote(action, this->settings.vm, [this, action](failover::PromotionResult result) {
          static constexpr std::array<const char*, 3> kResults = {"accepted", "refused", "failed"};
          logging::Write(logging::Level::kInfo, "promotion order finished",
                         {{"group", action.group},
                          {"endpoint", action.endpoint},
                          {"token", action.fencing_token},
                          {"result", kResults.at(static_cast<std::size_t>(result))}});
          this->failover.OnPromotionResult(action.group, action.endpoint, result, BootClock::now());
        });
      },
      [this](const failover::CancelPromotions&) {
        logging::Write(logging::Level::kInfo, "ending the promotion orders in flight", {});
        this->platform.CancelPromotions();
      },
      [](const failover::ChangeStep& action) {
        logging::Write(logging::Level::kInfo, action.step, {{"group", action.group}, {"why", action.reason}});
      }};
  for (const failover::Action& action : actions) {
    std::visit(perform, action);
  }
}

void Node::AnswerPeerRequest(const net::HttpRequest& request, const net::HttpServer::ResponseCallback& answer) {
  net::HttpResponse response;
  coordination::Actions actions;
  const TimePoint now = BootClock::now();
  try {
    if (request.target == kHeartbeatTarget) {
      const coordination::HeartbeatRequest heartbeat =
          coordination::ParseHeartbeatRequest(json::Parse(request.body, "beat"));
      coordination::HeartbeatReply reply = this->coordination.OnHeartbeat(heartbeat, now, actions);
      reply.fleet_view = this->MakeFleetView(heartbeat, now);
      store_sync::Actions sync_actions;
      this->store_sync.OnPeerVersions(heartbeat.address, heartbeat.store, now, sync_actions);
      this->PerformStoreSync(sync_actions, now);
      response.body = ToJson(reply).dump();
    } else if (request.target == kConfigurationTarget && this->configuration) {
      response.body = ToJson(*this->configuration).dump();
    } else if (net::TargetPath(request.target) == kDirectoryTarget && this->directory_known) {
      const StoreRevision since = ParseRevision(request.target);
      response.body = ToJson(this->directory_change_log.ChangesSince(since, this->directory)).dump();
    } else if (request.target == quotas::kPermitTarget) {
      response.body = this->AnswerPermitRequest(json::Parse(request.body, "permit request"), now).dump();
    } else if (request.target == kRecordNoticeTarget) {
      this->coordination.OnRecordNotice(coordination::ParseCoordinationRecord(json::Parse(request.body, "notice")), now,
                                        actions);
      response.body = "{}";
    } else {
      response.status = kNotFound;
    }
  } catch (const ParseError& failure) {
    logging::Write(logging::Level::kWarning, "malformed message from a peer", {{"why", failure.what()}});
    response.status = kBadRequest;
  }
  answer(std::move(response));
  this->Perform(actions);
}

net::HttpPool& Node::PeerPool(const std::string& address) {
  auto& pool = this->peer_pools[address];
  if (pool == nullptr) {
    pool = std::make_unique<net::HttpPool>(this->loop, net::ParseAddress(address), kConnectionsPerPeer);
  }
  return *pool;
}

}  // namespace amaranthlane::proxy
