#include <algorithm>
#include <charconv>
#include <utility>
#include <variant>

#include "common/error.h"
#include "common/json.h"
#include "core/rendezvous.h"
#include "proxy/node.h"

// A node's part in coordination: what it says to its peers, and what it orders while it holds the duty.
namespace amaranthlane::proxy {

namespace {

constexpr char kBeatTarget[] = "/peer/beat";
constexpr char kNoticeTarget[] = "/peer/notice";
constexpr char kConfigurationTarget[] = "/peer/configuration";
constexpr char kDirectoryTarget[] = "/peer/directory";
// How often the same kind of knowledge is fetched from peers.
constexpr std::chrono::milliseconds kFetchInterval{250};
constexpr std::size_t kConnectionsPerPeer = 2;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
// How long statements that are under way at a primary that leaves may go on. One that is out of reach gets none.
constexpr std::chrono::milliseconds kReleaseLimit{1500};

// Without an answer of any member for so long, this VM reads the store itself, at this interval.
constexpr std::chrono::milliseconds kAloneAfter{1200};
constexpr std::chrono::milliseconds kRefreshInterval{2000};
// So many members tell a VM positions; if both are lost it asks the primary itself.
constexpr std::size_t kMembersThatTellPositions = 2;
// How often members look who is alive, and how recently a VM must have sent a beat for that.
constexpr std::chrono::milliseconds kFleetInterval{300};
// The same for each VM of a large fleet, as all plan anew when the fleet changes; at most the longest.
constexpr std::chrono::milliseconds kFleetIntervalPerVm{6};
constexpr std::chrono::milliseconds kLongestFleetInterval{1200};
constexpr std::chrono::milliseconds kAliveWithin{1400};

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

// Throws ParseError.
ObjectVersion ParseRevision(const std::string& text) {
  ObjectVersion revision = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), revision);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw ParseError("directory request", "since", "a revision");
  }
  return revision;
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
  // A new member hears from the others one after the other; with many groups it would take all of them upon itself.
  const bool heard_all = this->member_since && (this->dispatchers.size() <= carriers::kGroupsServedEverywhere ||
                                                now > *this->member_since + kAliveWithin);
  if (heard_all && now >= this->next_fleet_update) {
    const std::chrono::milliseconds wanted = kFleetIntervalPerVm * this->fleet.size();
    this->next_fleet_update = now + std::clamp(wanted, kFleetInterval, kLongestFleetInterval);
    std::vector<carriers::FleetVm> alive = this->coordination.Ledger().AliveSince(now - kAliveWithin);
    std::erase_if(alive, [this](const carriers::FleetVm& vm) { return vm.vm == this->settings.vm; });
    alive.push_back({this->settings.vm, this->settings.relay_address, this->settings.data_centre});
    this->UpdateFleet(std::move(alive));
  }
  const bool alone = record != nullptr && !record->IsMember(this->settings.vm) &&
                     now > this->last_member_reply + kAloneAfter && now >= this->next_refresh;
  if (alone) {
    this->next_refresh = now + kRefreshInterval;
    logging::Write(logging::Level::kInfo, "no member answers; reading the store",
                   {{"configuration_version", this->OwnStoreKnowledge().configuration_version},
                    {"directory_revision", this->directory.revision}});
    this->platform.Refresh();
  }
  this->coordination.Report(this->MakeReport(now), now, actions);
  this->coordination.Tick(now, actions);
  if (record == nullptr || now < this->coordination.RightsUntil()) {
    this->without_promises_since.reset();
  } else if (!this->without_promises_since) {
    this->without_promises_since = now;
  }
  failover::Actions orders;
  if (this->directory_known && this->coordination.Record() != nullptr) {
    this->failover.Tick(this->directory.endpoints, this->synchronous_replicas, this->coordination, now, actions,
                        orders);
  }
  this->Perform(actions);
  this->PerformFailover(orders, now);
}

coordination::LocalReport Node::MakeReport(TimePoint now) {
  coordination::LocalReport report;
  report.leaving = this->shutdown_at.has_value();
  report.fleet_digest = this->fleet_digest;
  report.store = this->OwnStoreKnowledge();
  const coordination::CoordinationRecord* record = this->coordination.Record();
  if (record == nullptr) {
    return report;
  }
  for (const auto& [group, since] : this->changing_since) {
    if (this->OwesRelease(since, this->FindPool(record->groups.at(group).primary), now)) {
      report.busy.push_back(group);
    }
  }
  // Also while a group is changing: the change ends with the former primary only if the VMs reach it again.
  for (const GroupName& group : this->own_groups) {
    const auto state = record->groups.find(group);
    if (state != record->groups.end()) {
      this->ReportReach(group, state->second.primary, report);
    }
  }
  return report;
}

void Node::NoteChangingGroups(TimePoint now) {
  std::map<GroupName, TimePoint> changing;
  for (const auto& [group, state] : this->coordination.Record()->groups) {
    if (state.changing) {
      const auto known = this->changing_since.find(group);
      changing.emplace(group, known == this->changing_since.end() ? now : known->second);
    }
  }
  this->changing_since = std::move(changing);
}

bool Node::OwesRelease(TimePoint changing_from, EndpointPool* primary, TimePoint now) {
  if (primary == nullptr || primary->InUse() == 0) {
    return false;
  }
  if (primary->Reachable() && now < changing_from + kReleaseLimit) {
    return true;
  }
  primary->CloseAll();
  return false;
}

void Node::ReportReach(const GroupName& group, const EndpointName& primary, coordination::LocalReport& report) const {
  bool any_answers = false;
  std::vector<EndpointName> silent;
  for (const auto& [name, pool] : this->dispatchers.at(group)->Pools()) {
    if (pool->Passive()) {
      continue;
    }
    any_answers = any_answers || pool->Reachable();
    if (!pool->Reachable()) {
      silent.push_back(name);
    } else if (name == primary) {
      report.reaches.push_back(group);
    }
  }
  if (any_answers) {
    report.suspects.insert(report.suspects.end(), silent.begin(), silent.end());
  }
}

void Node::Perform(coordination::Actions& actions) {
  const Overloaded perform = {
      [this](const coordination::SendBeat& action) { this->PerformBeat(action); },
      [this](const coordination::SendNotice& action) { this->PerformNotice(action); },
      [this](const coordination::ReadRecord&) { this->PerformRead(); },
      [this](const coordination::WriteRecord& action) { this->PerformWrite(action); },
      [this](const coordination::RecordAdopted& action) { this->OnRecordAdopted(action.source); },
      [](const coordination::Decision& action) {
        logging::Write(logging::Level::kInfo, action.what, {{"why", action.why}});
      }};
  for (const coordination::Action& action : std::exchange(actions, {})) {
    std::visit(perform, action);
  }
}

void Node::PerformBeat(const coordination::SendBeat& action) {
  const TimePoint sent_at = BootClock::now();
  const VmName member = action.member.vm;
  this->PeerPool(action.member.address)
      .Call(PostJson(kBeatTarget, ToJson(action.beat)), sent_at + coordination::CoordinationSettings{}.answer_limit,
            [this, member, address = action.member.address, sent_at](const net::CallResult& result) {
              const TimePoint now = BootClock::now();
              coordination::Actions actions;
              try {
                if (result.status != net::CallStatus::kAnswered) {
                  this->coordination.OnBeatFailed(member, result.refused, now);
                  return;
                }
                const coordination::BeatReply reply =
                    coordination::ParseBeatReply(json::Parse(result.response.body, "beat reply"));
                this->last_member_reply = now;
                this->coordination.OnBeatReply(member, reply, sent_at, now, actions);
                this->OnKnowledge(reply.knowledge, sent_at);
                this->CatchUpWith(address, reply.store, now);
              } catch (const ParseError& failure) {
                logging::Write(logging::Level::kWarning, "peer's reply makes no sense",
                               {{"vm", member}, {"why", failure.what()}});
                this->coordination.OnBeatFailed(member, false, now);
              }
              this->Perform(actions);
            });
}

bool Node::TellsPositionsTo(const VmName& asker) const {
  const coordination::CoordinationRecord* record = this->coordination.Record();
  const std::size_t members = record == nullptr ? 0 : record->members.size();
  if (members <= kMembersThatTellPositions) {
    return true;
  }
  const std::size_t place = record->Place(this->settings.vm);
  const std::size_t first = RendezvousHash("positions", asker) % members;
  return (place + members - first) % members < kMembersThatTellPositions;
}

coordination::MemberKnowledge Node::Knowledge(const coordination::Beat& beat, TimePoint now) const {
  coordination::MemberKnowledge knowledge;
  const coordination::CoordinationRecord* record = this->coordination.Record();
  if (record != nullptr && record->IsMember(this->settings.vm) && beat.fleet_digest != this->fleet_digest) {
    knowledge.fleet = this->fleet;
  }
  if (!this->TellsPositionsTo(beat.vm)) {
    return knowledge;
  }
  const auto told = this->told_groups.find(beat.vm);
  for (const std::vector<GroupName>* groups :
       {&this->groups_told_to_all, told == this->told_groups.end() ? nullptr : &told->second}) {
    for (const GroupName& group : groups == nullptr ? std::vector<GroupName>{} : *groups) {
      const statements::PositionHistory& history = this->dispatchers.at(group)->History();
      const std::optional<LogPosition> newest = history.Newest();
      if (newest) {
        knowledge.positions.push_back({group, *newest, now - history.LastAsked()});
      }
    }
  }
  return knowledge;
}

void Node::OnKnowledge(const coordination::MemberKnowledge& knowledge, TimePoint asked_at) {
  for (const coordination::KnownPosition& known : knowledge.positions) {
    Dispatcher* dispatcher = this->FindDispatcher(known.group);
    if (dispatcher != nullptr) {
      dispatcher->NoteMemberPosition(asked_at - known.age, known.position);
    }
  }
  const coordination::CoordinationRecord* record = this->coordination.Record();
  if (!knowledge.fleet.empty() && record != nullptr && !record->IsMember(this->settings.vm)) {
    this->UpdateFleet(knowledge.fleet);
  }
}

coordination::StoreKnowledge Node::OwnStoreKnowledge() const {
  return {this->configuration ? this->configuration->version : 0, this->directory.revision, this->directory_digest};
}

void Node::CatchUpWith(const std::string& address, const coordination::StoreKnowledge& store, TimePoint now) {
  const coordination::StoreKnowledge own = this->OwnStoreKnowledge();
  if (store.configuration_version > own.configuration_version && now >= this->next_configuration_fetch) {
    this->next_configuration_fetch = now + kFetchInterval;
    logging::Write(
        logging::Level::kInfo, "a peer acts on a newer configuration",
        {{"peer", address}, {"own_version", own.configuration_version}, {"peer_version", store.configuration_version}});
    this->Fetch(address, kConfigurationTarget, now,
                [this](const nlohmann::json& document) { this->OnConfiguration(ParseConfigurationMessage(document)); });
  }
  const bool newer = store.directory_revision > own.directory_revision && !store.directory_digest.empty();
  if (newer && store.directory_digest != own.directory_digest && now >= this->next_directory_fetch) {
    this->next_directory_fetch = now + kFetchInterval;
    logging::Write(
        logging::Level::kInfo, "a peer knows a newer directory",
        {{"peer", address}, {"own_revision", own.directory_revision}, {"peer_revision", store.directory_revision}});
    const ObjectVersion since = this->whole_directory_wanted ? 0 : own.directory_revision;
    this->Fetch(address, std::string(kDirectoryTarget) + "?since=" + std::to_string(since), now,
                [this](const nlohmann::json& document) {
                  std::optional<KnownDirectory> update = Apply(ParseDirectoryMessage(document), this->directory);
                  this->whole_directory_wanted = !update;
                  if (update) {
                    this->OnDirectory(std::move(*update));
                  }
                });
  }
}

void Node::Fetch(const std::string& address, const std::string& target, TimePoint now,
                 std::function<void(const nlohmann::json&)> apply) {
  net::HttpRequest request;
  request.method = "GET";
  request.target = target;
  this->PeerPool(address).Call(
      std::move(request), now + coordination::CoordinationSettings{}.answer_limit,
      [apply = std::move(apply), address](const net::CallResult& result) {
        if (result.status != net::CallStatus::kAnswered || result.response.status != net::HttpResponse{}.status) {
          // The next beat tells again what the peer has.
          return;
        }
        try {
          apply(json::Parse(result.response.body, "peer's knowledge"));
        } catch (const ParseError& failure) {
          logging::Write(logging::Level::kWarning, "a peer's knowledge makes no sense",
                         {{"peer", address}, {"why", failure.what()}});
        }
      });
}

void Node::PerformNotice(const coordination::SendNotice& action) {
  const TimePoint deadline = BootClock::now() + coordination::CoordinationSettings{}.answer_limit;
  // A VM that misses the notice hears of the record with its next beat.
  this->PeerPool(action.address)
      .Call(PostJson(kNoticeTarget, ToJson(action.record)), deadline, [](const net::CallResult&) {});
}

void Node::PerformRead() {
  this->platform.ReadRecord(
      [this](bool answered, std::optional<coordination::CoordinationRecord> record, ObjectVersion revision) {
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
      [this, version = action.record.version](coordination::WriteResult result, ObjectVersion revision) {
        static constexpr std::array<const char*, 4> kResults = {"written", "conflict", "refused", "unknown"};
        logging::Write(
            logging::Level::kInfo, "record write ended",
            {{"result", kResults.at(static_cast<std::size_t>(result))}, {"version", version}, {"revision", revision}});
        coordination::Actions actions;
        this->coordination.OnRecordWritten(result, revision, BootClock::now(), actions);
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
                 (state.changing ? " changing" : "");
    }
  }
  logging::Write(logging::Level::kInfo, "record adopted",
                 {{"source", source},
                  {"version", record.version},
                  {"former_version", std::exchange(this->adopted_version, record.version)},
                  {"epoch", record.epoch},
                  {"token", record.fencing_token},
                  {"members", members},
                  {"changed_groups", changed}});
  this->NoteChangingGroups(BootClock::now());
  if (this->last_member_reply == TimePoint()) {
    this->last_member_reply = BootClock::now();
  }
  this->platform.SetWatching(record.IsMember(this->settings.vm));
  coordination::Actions actions;
  const TimePoint now = BootClock::now();
  this->coordination.Report(this->MakeReport(now), now, actions);
  this->Perform(actions);
  this->PumpSoon();
}

void Node::PerformFailover(const failover::Actions& actions, TimePoint now) {
  const Overloaded perform = {
      [this, now](const failover::QueryStatus& action) {
        EndpointPool* pool = this->FindPool(action.endpoint);
        if (pool != nullptr) {
          pool->QueryStatus(now);
        }
      },
      [this, now](const failover::StepDown& action) {
        EndpointPool* pool = this->FindPool(action.endpoint);
        if (pool != nullptr) {
          pool->TellStepDown(action.term, now);
        }
      },
      [this](const failover::OrderPromotion& action) {
        this->platform.Promote(action, this->settings.vm, [this, action](failover::PromotionResult result) {
          static constexpr std::array<const char*, 3> kResults = {"accepted", "refused", "failed"};
          logging::Write(logging::Level::kInfo, "promotion order ended",
                         {{"group", action.group},
                          {"endpoint", action.endpoint},
                          {"token", action.fencing_token},
                          {"result", kResults.at(static_cast<std::size_t>(result))}});
          this->failover.OnPromotionResult(action.group, action.endpoint, result, BootClock::now());
        });
      },
      [](const failover::ChangeStep& action) {
        logging::Write(logging::Level::kInfo, action.step, {{"group", action.group}, {"why", action.why}});
      }};
  for (const failover::Action& action : actions) {
    std::visit(perform, action);
  }
}

void Node::AnswerPeer(const net::HttpRequest& request, const net::HttpServer::ResponseCallback& answer) {
  net::HttpResponse response;
  coordination::Actions actions;
  const TimePoint now = BootClock::now();
  try {
    if (request.target == kBeatTarget) {
      const coordination::Beat beat = coordination::ParseBeat(json::Parse(request.body, "beat"));
      coordination::BeatReply reply = this->coordination.OnBeat(beat, now, actions);
      reply.knowledge = this->Knowledge(beat, now);
      this->CatchUpWith(beat.address, beat.store, now);
      response.body = ToJson(reply).dump();
    } else if (request.target == kConfigurationTarget && this->configuration) {
      response.body = ToJson(*this->configuration).dump();
    } else if (net::TargetPath(request.target) == kDirectoryTarget && this->directory_known) {
      const ObjectVersion since = ParseRevision(net::QueryParameter(request.target, "since"));
      response.body = ToJson(this->directory_changes.Since(since, this->directory)).dump();
    } else if (request.target == kNoticeTarget) {
      this->coordination.OnNotice(coordination::ParseCoordinationRecord(json::Parse(request.body, "notice")), now,
                                  actions);
      response.body = "{}";
    } else {
      response.status = kNotFound;
    }
  } catch (const ParseError& failure) {
    logging::Write(logging::Level::kWarning, "peer's message makes no sense", {{"why", failure.what()}});
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
