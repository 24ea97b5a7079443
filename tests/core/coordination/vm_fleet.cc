#include "core/coordination/vm_fleet.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace amaranthlane::coordination {

namespace {

constexpr std::chrono::milliseconds kStep{10};
constexpr std::chrono::milliseconds kPromotionDuration{300};
constexpr std::chrono::milliseconds kReplyTimeout{600};
// The users' bounds at their smallest deployments.
constexpr std::chrono::milliseconds kContactTime{4000};
constexpr std::chrono::milliseconds kConfigurationTime{3000};
// The longest time until the operator writes a configuration again that a restore of the store has lost.
constexpr std::chrono::milliseconds kRewriteTime{1500};
constexpr store_sync::WatchSettings kWatch;
constexpr std::uint64_t kLogEnd = 5;
const GroupName kGroup = "group-1";

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

VmFleet::VmFleet(std::size_t count, std::uint64_t seed, std::vector<Millicores> shares)
    : random(seed), store_sync_random(seed), now(std::chrono::seconds(100)), shares(std::move(shares)) {
  this->configurations.emplace(1, this->now);
  this->KeepCopy();
  for (std::size_t index = 0; index < count; ++index) {
    this->vms.emplace_back();
    this->vms.back().name = "vm-" + std::to_string(index);
    this->Start(index);
  }
}

void VmFleet::Start(std::size_t index) {
  Vm& vm = this->vms[index];
  ++vm.incarnation;
  vm.alive = true;
  vm.leaving = false;
  vm.system = std::make_unique<CoordinationSystem>(
      Self{vm.name, vm.incarnation, vm.name, vm.name, "dc-" + std::to_string(index % 3),
           this->shares.empty() ? Millicores{} : this->shares.at(index)},
      CoordinationSettings{});
  vm.failover = std::make_unique<failover::PrimaryChangeSystem>(failover::FailoverSettings{});
  vm.known_directory.clear();
  vm.store_sync = std::make_unique<store_sync::StoreSyncSystem>(vm.name, store_sync::StoreSyncSettings{});
  vm.watch = {};
  vm.unread = true;
  vm.next_first_read = this->now;
  vm.disturbed_at = this->now;
}

void VmFleet::RunFor(std::chrono::milliseconds time) {
  const TimePoint end = this->now + time;
  while (this->now < end) {
    this->Step();
  }
}

void VmFleet::Step() {
  this->now += kStep;
  std::vector<Event> due;
  for (auto event = this->events.begin(); event != this->events.end();) {
    if (event->due <= this->now && (event->vm == kNoVm || !this->vms[event->vm].frozen)) {
      due.push_back(std::move(*event));
      event = this->events.erase(event);
    } else {
      ++event;
    }
  }
  for (const Event& event : due) {
    const Vm* vm = event.vm == kNoVm ? nullptr : &this->vms[event.vm];
    if (vm == nullptr || (vm->alive && vm->incarnation == event.incarnation)) {
      event.run();
    }
  }
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    if (this->vms[vm].alive && !this->vms[vm].frozen) {
      this->Tick(vm);
    }
  }
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    this->EndOrders(vm, false);
  }
  this->Replicate();
  this->CheckPrimaryUsers();
  this->CheckConfigurations();
}

bool VmFleet::StoreAnswers(std::size_t vm) const {
  return !this->store_down && !this->vms[vm].isolated && this->vms_without_store.count(vm) == 0;
}

void VmFleet::CheckConfigurations() {
  for (std::size_t index = 0; index < this->vms.size(); ++index) {
    Vm& vm = this->vms[index];
    if (!vm.alive || vm.frozen || this->write_reply_loss > 0 || !this->StoreAnswers(index)) {
      vm.disturbed_at = this->now;
    }
    const std::uint64_t known = this->ConfigurationVersion(index);
    const auto missing = this->configurations.upper_bound(known);
    if (this->now < vm.disturbed_at + kContactTime || missing == this->configurations.end() ||
        this->now <= missing->second + kConfigurationTime || this->violation) {
      continue;
    }
    this->violation = vm.name + " has configuration " + std::to_string(known) + " and lacks " +
                      std::to_string(missing->first) + ", acknowledged more than " +
                      std::to_string(kConfigurationTime.count()) + " ms ago";
  }
}

std::uint64_t VmFleet::ConfigurationVersion(std::size_t vm) const {
  return this->vms[vm].store_sync->Versions().configuration_version;
}

bool VmFleet::IsMember(std::size_t vm) const {
  const CoordinationRecord* record = this->vms[vm].system->Record();
  return record != nullptr && record->IsMember(this->vms[vm].name);
}

void VmFleet::PublishConfiguration() {
  if (!this->store_down) {
    this->stored.configuration = this->configurations.rbegin()->first + 1 + this->store_sync_random() % 3;
    this->configurations.emplace(this->stored.configuration, this->now);
    this->KeepCopy();
  }
}

void VmFleet::KeepCopy() {
  this->copies.push_back(this->stored);
  this->copies.back().since = this->now;
}

void VmFleet::RestoreStore(std::chrono::milliseconds age) {
  const TimePoint copied_at = this->now - age;
  while (this->copies.size() > 1 && this->copies.back().since > copied_at) {
    this->copies.pop_back();
  }
  this->stored = this->copies.back();
  ++this->store_era;
  this->store_down = false;
  for (auto lost = this->configurations.upper_bound(this->stored.configuration); lost != this->configurations.end();
       ++lost) {
    lost->second = TimePoint::max() - kConfigurationTime;
  }
  for (Vm& vm : this->vms) {
    vm.disturbed_at = this->now;
    // Watches are cut off.
    vm.watch.silent = vm.watch.open;
  }
  this->RewriteConfiguration();
}

void VmFleet::RewriteConfiguration() {
  const std::chrono::milliseconds delay{this->store_sync_random() % kRewriteTime.count()};
  this->events.push_back({this->now + delay, kNoVm, 0, [this] {
                            if (this->store_down) {
                              this->RewriteConfiguration();
                              return;
                            }
                            this->stored.configuration = this->configurations.rbegin()->first;
                            for (auto& [version, acknowledged_at] : this->configurations) {
                              acknowledged_at = std::min(acknowledged_at, this->now);
                            }
                            this->KeepCopy();
                          }});
}

std::uint64_t VmFleet::StoredVersion() const {
  return this->stored.records.empty() ? 0 : this->stored.records.rbegin()->second.first.version;
}

void VmFleet::SilenceWatches() {
  for (Vm& vm : this->vms) {
    vm.watch.silent = vm.watch.open;
    vm.disturbed_at = this->now;
  }
}

void VmFleet::TickStoreSync(std::size_t index) {
  Vm& vm = this->vms[index];
  if (vm.unread && this->now >= vm.next_first_read) {
    vm.next_first_read = this->now + kWatch.retry_delay;
    this->ReadConfiguration(index);
  }
  if (vm.system->Record() != nullptr) {
    store_sync::Actions actions;
    vm.store_sync->Tick(this->IsMember(index), this->now, actions);
    this->PerformStoreSync(index, actions);
  }
  this->TickWatch(index);
}

void VmFleet::TickWatch(std::size_t index) {
  Vm& vm = this->vms[index];
  Watch& watch = vm.watch;
  if (!this->IsMember(index) || vm.unread) {
    watch.open = false;
    return;
  }
  if (!watch.open && this->now >= watch.next) {
    watch = {true, false, this->now, this->now, watch.known_version};
  }
  if (!watch.open) {
    return;
  }
  // What the store sends while it can't reach the VM is lost with the connection.
  watch.silent = watch.silent || !this->StoreAnswers(index);
  const std::uint64_t stored = this->stored.configuration;
  const bool answered = !watch.silent && (stored > watch.known_version || this->now >= watch.sent_at + kWatch.wait);
  if (answered) {
    const bool held = stored == watch.known_version;
    const TimePoint current_at = held ? watch.sent_at + kWatch.wait : watch.sent_at;
    watch.known_version = stored;
    vm.system->OnStoreEra(this->store_era, this->now);
    vm.store_sync->SetConfigurationVersion(stored);
    vm.store_sync->ConfirmConfiguration(current_at);
    vm.store_sync->ConfirmDirectory(current_at);
    watch.open = false;
  } else if (this->now >= watch.sent_at + kWatch.wait + kWatch.timeout_margin) {
    watch.open = false;
    watch.next = this->now + kWatch.retry_delay;
  }
}

void VmFleet::PerformStoreSync(std::size_t vm, const store_sync::Actions& actions) {
  const Overloaded perform = {
      [&](const store_sync::FetchConfiguration& action) { this->FetchConfiguration(vm, action); },
      [](const store_sync::FetchDirectory&) {},
      [&](const store_sync::ReadStore&) {
        ++this->store_reads;
        this->ReadConfiguration(vm);
      }};
  for (const store_sync::Action& action : actions) {
    std::visit(perform, action);
  }
}

void VmFleet::FetchConfiguration(std::size_t vm, const store_sync::FetchConfiguration& action) {
  const std::optional<std::size_t> found = this->Find(action.address);
  if (!found || !this->CanDeliver(vm, *found) || !this->vms[*found].alive) {
    return;
  }
  const std::size_t peer = *found;
  const Incarnation incarnation = this->vms[vm].incarnation;
  this->Schedule(peer, this->RandomStoreSyncDelay(), [this, vm, peer, incarnation] {
    const std::uint64_t version = this->ConfigurationVersion(peer);
    if (this->vms[vm].alive && this->vms[vm].incarnation == incarnation) {
      this->Schedule(vm, this->RandomStoreSyncDelay(),
                     [this, vm, version] { this->vms[vm].store_sync->SetConfigurationVersion(version); });
    }
  });
}

void VmFleet::ReadConfiguration(std::size_t vm) {
  if (!this->StoreAnswers(vm)) {
    return;
  }
  this->Schedule(vm, this->RandomStoreSyncDelay(),
                 [this, vm, era = this->store_era, stored = this->stored.configuration, at = this->now] {
                   this->vms[vm].unread = false;
                   this->vms[vm].system->OnStoreEra(era, this->now);
                   this->vms[vm].store_sync->SetConfigurationVersion(stored);
                   this->vms[vm].store_sync->ConfirmConfiguration(at);
                   this->vms[vm].store_sync->ConfirmDirectory(at);
                 });
}

// At no time may a VM use a primary that was replaced.
void VmFleet::CheckPrimaryUsers() {
  for (const Vm& vm : this->vms) {
    const bool uses = vm.alive && vm.system->MayUsePrimary(kGroup, this->now);
    if (uses && vm.system->Record()->groups.at(kGroup).term < this->term && !this->violation) {
      this->violation = vm.name + " may use a primary of term " +
                        std::to_string(vm.system->Record()->groups.at(kGroup).term) + " in term " +
                        std::to_string(this->term);
    }
  }
}

bool VmFleet::Responds(const EndpointName& endpoint, std::size_t vm) const {
  const auto silent = this->unreachable_from.find(endpoint);
  const auto found = this->endpoints.find(endpoint);
  const bool dead = found == this->endpoints.end() || found->second.powerless ||
                    (endpoint == this->primary && !this->primary_responds);
  return !dead && (silent == this->unreachable_from.end() || silent->second.count(vm) == 0);
}

LocalReport VmFleet::MakeReport(std::size_t vm) const {
  LocalReport report;
  report.leaving = this->vms[vm].leaving;
  report.store = this->vms[vm].store_sync->Versions();
  report.store_currency = this->vms[vm].store_sync->Currency();
  const CoordinationRecord* record = this->vms[vm].system->Record();
  if (record == nullptr || record->groups.count(kGroup) == 0) {
    return report;
  }
  const EndpointName& recorded = record->groups.at(kGroup).primary;
  for (const auto& [endpoint, state] : this->endpoints) {
    if (!this->Responds(endpoint, vm)) {
      report.unreachable_endpoints.push_back(endpoint);
    } else if (endpoint == recorded) {
      report.reachable_groups.push_back(kGroup);
    }
  }
  return report;
}

void VmFleet::Tick(std::size_t index) {
  Vm& vm = this->vms[index];
  Actions actions;
  failover::Actions failover_actions;
  vm.system->Report(this->MakeReport(index), this->now, actions);
  vm.system->Tick(this->now, actions);
  const std::map<GroupName, std::uint64_t> synchronous = {{kGroup, this->synchronous_replicas}};
  if (failover::EndpointDirectory directory = this->Directory(); directory != vm.known_directory) {
    vm.known_directory = std::move(directory);
    vm.failover->OnDirectory(vm.known_directory, synchronous, this->now);
  }
  if (vm.system->Record() != nullptr) {
    vm.failover->Tick(this->Directory(), synchronous, *vm.system, this->now, actions, failover_actions);
  }
  this->Perform(index, actions);
  this->PerformFailover(index, failover_actions);
  this->TickStoreSync(index);
}

void VmFleet::Schedule(std::size_t vm, Duration delay, std::function<void()> run) {
  this->events.push_back({this->now + delay, vm, this->vms[vm].incarnation, std::move(run)});
}

Duration VmFleet::RandomDelay() { return std::chrono::milliseconds(1 + this->random() % 30); }

Duration VmFleet::RandomStoreSyncDelay() { return std::chrono::milliseconds(1 + this->store_sync_random() % 30); }

bool VmFleet::Chance(double share) { return std::uniform_real_distribution<double>(0, 1)(this->random) < share; }

std::optional<std::size_t> VmFleet::Find(const VmName& name) const {
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    if (this->vms[vm].name == name) {
      return vm;
    }
  }
  return std::nullopt;
}

void VmFleet::Perform(std::size_t vm, Actions& actions) {
  const Overloaded perform = {
      [&](const SendHeartbeat& action) { this->DeliverHeartbeat(vm, action); },
      [&](const SendRecordNotice& action) {
        const std::optional<std::size_t> found = this->Find(action.vm);
        if (found && this->CanDeliver(vm, *found)) {
          this->Schedule(*found, this->RandomDelay(), [this, to = *found, record = action.record] {
            Actions resulting_actions;
            this->vms[to].system->OnRecordNotice(record, this->now, resulting_actions);
            this->Perform(to, resulting_actions);
          });
        }
      },
      [&](const ReadRecord&) { this->ReadStore(vm); },
      [&](const WriteRecord& action) { this->WriteStore(vm, action); },
      [&](const RecordAdopted&) {
        failover::Actions resulting_actions;
        this->vms[vm].failover->OnRecordAdopted(*this->vms[vm].system, this->now, resulting_actions);
        this->PerformFailover(vm, resulting_actions);
      },
      [](const Decision&) {}};
  for (const Action& action : std::exchange(actions, {})) {
    std::visit(perform, action);
  }
}

void VmFleet::DeliverHeartbeat(std::size_t from, const SendHeartbeat& action) {
  const std::optional<std::size_t> target = this->Find(action.member.vm);
  const TimePoint sent_at = this->now;
  // The sender's timeout, which applies whether the heartbeat or its reply was lost.
  const auto completed = std::make_shared<bool>(false);
  this->Schedule(from, kReplyTimeout, [this, from, completed, member = action.member.vm] {
    if (!std::exchange(*completed, true)) {
      this->vms[from].system->OnHeartbeatFailed(member, false, this->now);
    }
  });
  if (!target || !this->CanDeliver(from, *target) || !this->vms[*target].alive) {
    return;
  }
  const std::size_t to = *target;
  const Incarnation sender_incarnation = this->vms[from].incarnation;
  this->Schedule(
      to, this->RandomDelay(), [this, from, to, sender_incarnation, heartbeat = action.heartbeat, sent_at, completed] {
        Actions resulting_actions;
        const HeartbeatReply reply = this->vms[to].system->OnHeartbeat(heartbeat, this->now, resulting_actions);
        this->Perform(to, resulting_actions);
        store_sync::Actions sync_actions;
        this->vms[to].store_sync->OnPeerVersions(heartbeat.address, heartbeat.store, this->now, sync_actions);
        this->PerformStoreSync(to, sync_actions);
        this->Schedule(from, this->RandomDelay(), [this, from, to, sender_incarnation, reply, sent_at, completed] {
          if (std::exchange(*completed, true) || this->vms[from].incarnation != sender_incarnation) {
            return;
          }
          Actions after;
          this->vms[from].system->OnHeartbeatReply(this->vms[to].name, reply, sent_at, this->now, after);
          this->Perform(from, after);
          store_sync::Actions sync_after;
          this->vms[from].store_sync->OnMemberReply(this->vms[to].name, reply, sent_at, this->now, sync_after);
          this->PerformStoreSync(from, sync_after);
        });
      });
}

void VmFleet::ReadStore(std::size_t vm) {
  if (this->store_down || this->vms[vm].isolated || this->vms_without_store.count(vm) > 0) {
    this->Schedule(vm, kReplyTimeout, [this, vm] { this->vms[vm].system->OnReadFailed(this->now); });
    return;
  }
  this->Schedule(vm, this->RandomDelay(), [this, vm] {
    Actions resulting_actions;
    std::optional<CoordinationRecord> record;
    StoreRevision revision{this->store_era, 0};
    if (!this->stored.records.empty()) {
      const auto& [era, newest] = *this->stored.records.rbegin();
      record = newest.first;
      revision.revision = era == this->store_era ? newest.second : 0;
    }
    this->vms[vm].system->OnRecordRead(record, revision, this->now, resulting_actions);
    this->Perform(vm, resulting_actions);
  });
}

bool VmFleet::ApplyWrite(const WriteRecord& action) {
  const StoreRevision& expected = action.expected_revision;
  const auto found = this->stored.records.find(expected.era);
  if (expected.revision != (found == this->stored.records.end() ? 0 : found->second.second)) {
    return false;
  }
  this->stored.records[expected.era] = {action.record, ++this->stored.revision};
  this->KeepCopy();
  return expected.era == this->store_era;
}

void VmFleet::WriteStore(std::size_t vm, const WriteRecord& action) {
  const auto complete_write = [this, vm, update_id = action.record.update_id](WriteResult result,
                                                                              const StoreRevision& written) {
    return [this, vm, update_id, result, written] {
      Actions resulting_actions;
      this->vms[vm].system->OnRecordWritten(update_id, result, written, this->now, resulting_actions);
      this->Perform(vm, resulting_actions);
    };
  };
  if (this->store_down || this->vms[vm].isolated || this->vms_without_store.count(vm) > 0) {
    this->Schedule(vm, kReplyTimeout, complete_write(WriteResult::kUnknown, {}));
    return;
  }
  if (this->Chance(this->write_reply_loss)) {
    // The write takes effect, now or seconds later, and its writer gets no answer. No VM has to be alive for that.
    if (this->lost_writes_are_delayed && this->Chance(0.5)) {
      this->events.push_back({this->now + std::chrono::milliseconds(1000 + this->random() % 4000), kNoVm, 0,
                              [this, action] { this->ApplyWrite(action); }});
    } else {
      this->ApplyWrite(action);
    }
    this->Schedule(vm, kReplyTimeout, complete_write(WriteResult::kUnknown, {}));
    return;
  }
  const bool written = this->ApplyWrite(action);
  this->Schedule(vm, this->RandomDelay(),
                 complete_write(written ? WriteResult::kWritten : WriteResult::kConflict,
                                {this->store_era, this->stored.revision}));
}

void VmFleet::PerformFailover(std::size_t vm, const failover::Actions& actions) {
  for (const failover::Action& action : actions) {
    if (const auto* query = std::get_if<failover::QueryStatus>(&action)) {
      this->AnswerQuery(vm, query->endpoint);
    } else if (const auto* departed = std::get_if<failover::QueryDepartedEndpoint>(&action)) {
      this->AnswerDepartedQuery(vm, *departed);
    } else if (const auto* order = std::get_if<failover::OrderPromotion>(&action)) {
      this->Promote(vm, *order);
    } else if (std::holds_alternative<failover::CancelPromotions>(action)) {
      this->EndOrders(vm, true);
    }
  }
}

void VmFleet::AnswerQuery(std::size_t vm, const EndpointName& endpoint) {
  if (!this->Responds(endpoint, vm)) {
    return;
  }
  failover::EndpointStatus status;
  status.is_primary = endpoint == this->primary;
  status.term = this->term;
  status.position = this->Position(endpoint);
  this->Schedule(vm, this->RandomDelay(), [this, vm, endpoint, status, sent_at = this->now] {
    this->vms[vm].failover->OnStatus(kGroup, endpoint, status, sent_at);
  });
}

void VmFleet::AnswerDepartedQuery(std::size_t vm, const failover::QueryDepartedEndpoint& query) {
  const EndpointName& endpoint = query.log.endpoint;
  if (this->absent_endpoints.count(endpoint) == 0) {
    this->AnswerQuery(vm, endpoint);
    return;
  }
  this->Schedule(vm, this->RandomDelay(),
                 [this, vm, endpoint] { this->vms[vm].failover->OnEndpointEnded(endpoint, this->now); });
}

void VmFleet::Promote(std::size_t vm, const failover::OrderPromotion& order) {
  ++this->promotions;
  for (const Vm& other : this->vms) {
    const bool both_may_promote = other.alive && other.name != this->vms[vm].name &&
                                  other.system->MayPromote(this->now) && other.system->Released(kGroup, this->now);
    if (both_may_promote && !this->violation) {
      this->violation = other.name + " may promote while " + this->vms[vm].name + " does";
    }
    if (other.alive && other.system->MayUsePrimary(kGroup, this->now) && !this->violation) {
      this->violation = other.name + " may use the primary while " + this->vms[vm].name + " replaces it";
    }
  }
  if (this->cut_from_promotions.count(vm) > 0) {
    this->held_orders.push_back({vm, this->vms[vm].incarnation, order});
  } else {
    this->ReceiveOrder(vm, order);
  }
}

void VmFleet::ReceiveOrder(std::size_t vm, const failover::OrderPromotion& order) {
  if (order.fencing_token < this->highest_token && !this->violation) {
    this->violation = "the platform received an order with token " + std::to_string(order.fencing_token) + " after " +
                      std::to_string(this->highest_token);
  }
  this->highest_token = std::max(this->highest_token, order.fencing_token);
  const auto ordered = this->endpoints.find(order.endpoint);
  const bool runs = ordered != this->endpoints.end() && !ordered->second.powerless;
  this->ReportPromotionResult(vm, order,
                              runs ? failover::PromotionResult::kAccepted : failover::PromotionResult::kRefused,
                              this->RandomDelay());
  // The platform carries out the order even if the VM dies.
  if (runs && order.endpoint != this->primary) {
    this->events.push_back({this->now + kPromotionDuration, kNoVm, 0,
                            [this, endpoint = order.endpoint, started = ordered->second.incarnation] {
                              this->TakeOver(endpoint, started);
                            }});
  }
}

void VmFleet::ReportPromotionResult(std::size_t vm, const failover::OrderPromotion& order,
                                    failover::PromotionResult result, Duration delay) {
  this->Schedule(vm, delay, [this, vm, order, result] {
    this->vms[vm].failover->OnPromotionResult(order.group, order.endpoint, result, this->now);
  });
}

void VmFleet::EndOrders(std::size_t vm, bool all) {
  for (auto held = this->held_orders.begin(); held != this->held_orders.end();) {
    if (held->vm != vm || (!all && this->now < held->order.deadline)) {
      ++held;
      continue;
    }
    if (held->incarnation == this->vms[vm].incarnation) {
      this->ReportPromotionResult(vm, held->order, failover::PromotionResult::kFailed, Duration::zero());
    }
    held = this->held_orders.erase(held);
  }
}

void VmFleet::TakeOver(const EndpointName& endpoint, Incarnation started) {
  const auto found = this->endpoints.find(endpoint);
  // An endpoint that has started again, or has lost power, knows nothing of the order.
  if (found == this->endpoints.end() || found->second.incarnation != started || found->second.powerless) {
    return;
  }
  if (this->synchronous_replicas > 0 && found->second.position < this->acknowledged && !this->violation) {
    this->violation = endpoint + " became primary without an acknowledged commit";
  }
  this->primary = endpoint;
  this->primary_responds = true;
  ++this->term;
}

void VmFleet::Replicate() {
  const auto found = this->endpoints.find(this->primary);
  if (this->synchronous_replicas == 0 || found == this->endpoints.end() || found->second.powerless ||
      !this->primary_responds) {
    return;
  }
  LogPosition& end = found->second.position;
  if (this->PrimaryUsers() > 0) {
    end = {this->term, end.offset + 1};
  }
  for (auto& [name, endpoint] : this->endpoints) {
    if (name != this->primary && !endpoint.deaf && !endpoint.powerless) {
      endpoint.position = end;
      this->acknowledged = end;
    }
  }
}

LogPosition VmFleet::Position(const EndpointName& endpoint) const {
  if (this->synchronous_replicas > 0) {
    return this->endpoints.at(endpoint).position;
  }
  return {this->term, kLogEnd - (endpoint == this->primary ? 0 : this->replica_lag)};
}

failover::EndpointDirectory VmFleet::Directory() const {
  failover::EndpointDirectory directory;
  for (const auto& [name, endpoint] : this->endpoints) {
    if (endpoint.cut_from_store || endpoint.powerless) {
      continue;
    }
    failover::EndpointEntry entry;
    entry.name = name;
    entry.group = kGroup;
    entry.address = name;
    entry.draining = endpoint.draining;
    entry.incarnation = endpoint.incarnation;
    directory.emplace(name, entry);
  }
  return directory;
}

void VmFleet::SetCutFromPromotions(std::size_t vm, bool cut) {
  if (cut) {
    this->cut_from_promotions.insert(vm);
    return;
  }
  this->cut_from_promotions.erase(vm);
  for (auto held = this->held_orders.begin(); held != this->held_orders.end();) {
    if (held->vm != vm) {
      ++held;
      continue;
    }
    this->ReceiveOrder(vm, held->order);
    held = this->held_orders.erase(held);
  }
}

void VmFleet::SetDeaf(const EndpointName& endpoint, bool deaf) { this->endpoints.at(endpoint).deaf = deaf; }

void VmFleet::SetDraining(const EndpointName& endpoint, bool draining) {
  this->endpoints.at(endpoint).draining = draining;
}

void VmFleet::SetAbsent(const EndpointName& endpoint, bool absent) {
  auto& from = absent ? this->endpoints : this->absent_endpoints;
  auto& to = absent ? this->absent_endpoints : this->endpoints;
  to.insert(from.extract(endpoint));
}

void VmFleet::SetCutFromStore(const EndpointName& endpoint, bool cut) {
  this->endpoints.at(endpoint).cut_from_store = cut;
}

void VmFleet::SetPowerless(const EndpointName& endpoint, bool powerless) {
  this->endpoints.at(endpoint).powerless = powerless;
  if (endpoint == this->primary) {
    this->primary_responds = !powerless;
  }
}

void VmFleet::StartAgain(const EndpointName& endpoint) {
  Endpoint& started = this->endpoints.at(endpoint);
  started.position = {};
  // It registers itself.
  started.cut_from_store = false;
  ++started.incarnation;
}

void VmFleet::Kill(std::size_t vm) {
  this->vms[vm].alive = false;
  // The kernel resets the connections of a process that was killed.
  this->EndOrders(vm, true);
}

void VmFleet::Restart(std::size_t vm) {
  if (!this->vms[vm].alive) {
    this->Start(vm);
  }
}

void VmFleet::BeginShutdown(std::size_t vm) { this->vms[vm].leaving = true; }

void VmFleet::Replace(std::size_t vm) {
  this->Kill(vm);
  this->vms[vm].name = "vm-" + std::to_string(vm) + "-" + std::to_string(++this->replaced_vms);
  this->vms[vm].frozen = false;
  this->vms[vm].isolated = false;
  this->Start(vm);
}

void VmFleet::SetFrozen(std::size_t vm, bool frozen) { this->vms[vm].frozen = frozen; }

void VmFleet::SetPartition(std::set<std::size_t> side) { this->partition = std::move(side); }

bool VmFleet::CanDeliver(std::size_t from, std::size_t to) const {
  return !this->vms[from].isolated && !this->vms[to].isolated &&
         this->partition.count(from) == this->partition.count(to);
}

void VmFleet::SetIsolated(std::size_t vm, bool isolated) { this->vms[vm].isolated = isolated; }

std::size_t VmFleet::PrimaryUsers() const {
  return static_cast<std::size_t>(std::count_if(this->vms.begin(), this->vms.end(), [this](const Vm& vm) {
    return vm.alive && vm.system->MayUsePrimary(kGroup, this->now);
  }));
}

std::optional<std::size_t> VmFleet::Coordinator() const {
  std::optional<std::size_t> coordinator;
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    if (this->vms[vm].alive && this->vms[vm].system->IsCoordinator()) {
      if (coordinator) {
        return std::nullopt;
      }
      coordinator = vm;
    }
  }
  return coordinator;
}

const CoordinationSystem& VmFleet::System(std::size_t vm) const { return *this->vms[vm].system; }

TimePoint VmFleet::Now() const { return this->now; }

std::size_t VmFleet::VmCount() const { return this->vms.size(); }

const VmName& VmFleet::Name(std::size_t vm) const { return this->vms[vm].name; }

Incarnation VmFleet::RunningIncarnation(std::size_t vm) const { return this->vms[vm].incarnation; }

bool VmFleet::Runs(std::size_t vm) const { return this->vms[vm].alive && !this->vms[vm].frozen; }

const failover::PrimaryChangeSystem& VmFleet::Failover(std::size_t vm) const { return *this->vms[vm].failover; }

}  // namespace amaranthlane::coordination
