#include "core/coordination/vm_fleet.h"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace amaranthlane::coordination {

namespace {

constexpr std::chrono::milliseconds kStep{10};
constexpr std::chrono::milliseconds kPromotionTakes{300};
constexpr std::chrono::milliseconds kAnswerLimit{600};
constexpr std::uint64_t kLogEnd = 5;
const GroupName kGroup = "group-1";
const std::array<EndpointName, 3> kEndpoints = {"e1", "e2", "e3"};

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

failover::EndpointDirectory Directory() {
  failover::EndpointDirectory directory;
  for (const EndpointName& name : kEndpoints) {
    failover::EndpointEntry entry;
    entry.name = name;
    entry.group = kGroup;
    directory.emplace(name, entry);
  }
  return directory;
}

}  // namespace

VmFleet::VmFleet(std::size_t count, std::uint64_t seed) : random(seed), now(std::chrono::seconds(100)) {
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
  vm.system = std::make_unique<CoordinationSystem>(
      Self{vm.name, vm.incarnation, vm.name, vm.name, "dc-" + std::to_string(index % 3)}, CoordinationSettings{});
  vm.failover = std::make_unique<failover::PrimaryChangeSystem>(failover::FailoverSettings{});
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
    if (event->due <= this->now && (event->vm == kWorld || !this->vms[event->vm].frozen)) {
      due.push_back(std::move(*event));
      event = this->events.erase(event);
    } else {
      ++event;
    }
  }
  for (const Event& event : due) {
    const Vm* vm = event.vm == kWorld ? nullptr : &this->vms[event.vm];
    if (vm == nullptr || (vm->alive && vm->incarnation == event.incarnation)) {
      event.run();
    }
  }
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    if (this->vms[vm].alive && !this->vms[vm].frozen) {
      this->Tick(vm);
    }
  }
  this->CheckUsers();
}

// A VM may use a primary only if it leads: at no time may one that was replaced be used.
void VmFleet::CheckUsers() {
  for (const Vm& vm : this->vms) {
    const bool uses = vm.alive && vm.system->MayUsePrimary(kGroup, this->now);
    if (uses && vm.system->Record()->groups.at(kGroup).term < this->term && !this->violation) {
      this->violation = vm.name + " may use a primary of term " +
                        std::to_string(vm.system->Record()->groups.at(kGroup).term) + " in term " +
                        std::to_string(this->term);
    }
  }
}

bool VmFleet::Answers(const EndpointName& endpoint, std::size_t vm) const {
  const auto silent = this->silent_to.find(endpoint);
  const bool dead = endpoint == this->primary && !this->primary_answers;
  return !dead && (silent == this->silent_to.end() || silent->second.count(vm) == 0);
}

LocalReport VmFleet::ReportOf(std::size_t vm) const {
  LocalReport report;
  const CoordinationRecord* record = this->vms[vm].system->Record();
  if (record == nullptr || record->groups.count(kGroup) == 0) {
    return report;
  }
  const EndpointName& recorded = record->groups.at(kGroup).primary;
  for (const EndpointName& endpoint : kEndpoints) {
    if (!this->Answers(endpoint, vm)) {
      report.suspects.push_back(endpoint);
    } else if (endpoint == recorded) {
      report.reaches.push_back(kGroup);
    }
  }
  return report;
}

void VmFleet::Tick(std::size_t index) {
  Vm& vm = this->vms[index];
  Actions actions;
  failover::Actions orders;
  vm.system->Report(this->ReportOf(index), this->now, actions);
  vm.system->Tick(this->now, actions);
  if (vm.system->Record() != nullptr) {
    vm.failover->Tick(Directory(), {}, *vm.system, this->now, actions, orders);
  }
  this->Perform(index, actions);
  this->PerformFailover(index, orders);
}

void VmFleet::Post(std::size_t vm, Duration delay, std::function<void()> run) {
  this->events.push_back({this->now + delay, vm, this->vms[vm].incarnation, std::move(run)});
}

Duration VmFleet::Delay() { return std::chrono::milliseconds(1 + this->random() % 30); }

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
  const Overloaded perform = {[&](const SendBeat& action) { this->DeliverBeat(vm, action); },
                              [&](const SendNotice& action) {
                                const std::size_t to = this->Find(action.vm).value();
                                if (this->Passes(vm, to)) {
                                  this->Post(to, this->Delay(), [this, to, record = action.record] {
                                    Actions more;
                                    this->vms[to].system->OnNotice(record, this->now, more);
                                    this->Perform(to, more);
                                  });
                                }
                              },
                              [&](const ReadRecord&) { this->DoRead(vm); },
                              [&](const WriteRecord& action) { this->DoWrite(vm, action); },
                              [](const RecordAdopted&) {},
                              [](const Decision&) {}};
  for (const Action& action : std::exchange(actions, {})) {
    std::visit(perform, action);
  }
}

void VmFleet::DeliverBeat(std::size_t from, const SendBeat& action) {
  const std::size_t to = this->Find(action.member.vm).value();
  const TimePoint sent_at = this->now;
  // The sender gives up in the end, whatever became of the beat or its reply.
  const auto answered = std::make_shared<bool>(false);
  this->Post(from, kAnswerLimit, [this, from, answered, member = action.member.vm] {
    if (!std::exchange(*answered, true)) {
      this->vms[from].system->OnBeatFailed(member, false, this->now);
    }
  });
  if (!this->Passes(from, to) || !this->vms[to].alive) {
    return;
  }
  const Incarnation asker = this->vms[from].incarnation;
  this->Post(to, this->Delay(), [this, from, to, asker, beat = action.beat, sent_at, answered] {
    Actions more;
    const BeatReply reply = this->vms[to].system->OnBeat(beat, this->now, more);
    this->Perform(to, more);
    this->Post(from, this->Delay(), [this, from, to, asker, reply, sent_at, answered] {
      if (std::exchange(*answered, true) || this->vms[from].incarnation != asker) {
        return;
      }
      Actions after;
      this->vms[from].system->OnBeatReply(this->vms[to].name, reply, sent_at, this->now, after);
      this->Perform(from, after);
    });
  });
}

void VmFleet::DoRead(std::size_t vm) {
  if (this->store_down || this->vms[vm].cut || this->without_store.count(vm) > 0) {
    this->Post(vm, kAnswerLimit, [this, vm] { this->vms[vm].system->OnReadFailed(this->now); });
    return;
  }
  this->Post(vm, this->Delay(), [this, vm] {
    Actions more;
    this->vms[vm].system->OnRecordRead(this->stored, this->revision, this->now, more);
    this->Perform(vm, more);
  });
}

bool VmFleet::Apply(const WriteRecord& action) {
  if (action.expected_revision != this->revision) {
    return false;
  }
  this->stored = action.record;
  ++this->revision;
  return true;
}

void VmFleet::DoWrite(std::size_t vm, const WriteRecord& action) {
  const auto answer = [this, vm](WriteResult result, ObjectVersion written) {
    return [this, vm, result, written] {
      Actions more;
      this->vms[vm].system->OnRecordWritten(result, written, this->now, more);
      this->Perform(vm, more);
    };
  };
  if (this->store_down || this->vms[vm].cut || this->without_store.count(vm) > 0) {
    this->Post(vm, kAnswerLimit, answer(WriteResult::kUnknown, 0));
    return;
  }
  if (this->Chance(this->write_answer_loss)) {
    // The change takes effect, now or seconds later, and its writer hears nothing. It needs no VM to be alive.
    if (this->lost_writes_are_late && this->Chance(0.5)) {
      this->events.push_back({this->now + std::chrono::milliseconds(1000 + this->random() % 4000), kWorld, 0,
                              [this, action] { this->Apply(action); }});
    } else {
      this->Apply(action);
    }
    this->Post(vm, kAnswerLimit, answer(WriteResult::kUnknown, 0));
    return;
  }
  const bool written = this->Apply(action);
  this->Post(vm, this->Delay(), answer(written ? WriteResult::kWritten : WriteResult::kConflict, this->revision));
}

void VmFleet::PerformFailover(std::size_t vm, const failover::Actions& actions) {
  for (const failover::Action& action : actions) {
    if (const auto* query = std::get_if<failover::QueryStatus>(&action)) {
      if (!this->Answers(query->endpoint, vm)) {
        continue;
      }
      const bool leads = query->endpoint == this->primary;
      const TimePoint sent_at = this->now;
      failover::EndpointStatus status;
      status.is_primary = leads;
      status.term = this->term;
      status.position = {this->term, kLogEnd - (leads ? 0 : this->replicas_behind)};
      this->Post(vm, this->Delay(), [this, vm, name = query->endpoint, status, sent_at] {
        this->vms[vm].failover->OnStatus(kGroup, name, status, sent_at);
      });
    } else if (const auto* order = std::get_if<failover::OrderPromotion>(&action)) {
      this->Promote(vm, *order);
    }
  }
}

void VmFleet::Promote(std::size_t vm, const failover::OrderPromotion& order) {
  ++this->promotions;
  for (const Vm& other : this->vms) {
    const bool also = other.alive && other.name != this->vms[vm].name && other.system->MayPromote(this->now) &&
                      other.system->Released(kGroup, this->now);
    if (also && !this->violation) {
      this->violation = other.name + " may promote while " + this->vms[vm].name + " does";
    }
    if (other.alive && other.system->MayUsePrimary(kGroup, this->now) && !this->violation) {
      this->violation = other.name + " may use the primary while " + this->vms[vm].name + " replaces it";
    }
  }
  this->Post(vm, this->Delay(), [this, vm, order] {
    this->vms[vm].failover->OnPromotionResult(order.group, order.endpoint, failover::PromotionResult::kAccepted,
                                              this->now);
  });
  // The platform carries it out whatever becomes of the VM.
  if (order.endpoint != this->primary) {
    this->events.push_back({this->now + kPromotionTakes, kWorld, 0, [this, order] {
                              this->primary = order.endpoint;
                              this->primary_answers = true;
                              ++this->term;
                            }});
  }
}

void VmFleet::Kill(std::size_t vm) { this->vms[vm].alive = false; }

void VmFleet::Restart(std::size_t vm) {
  if (!this->vms[vm].alive) {
    this->Start(vm);
  }
}

void VmFleet::SetFrozen(std::size_t vm, bool frozen) { this->vms[vm].frozen = frozen; }

void VmFleet::SetApart(std::set<std::size_t> side) { this->apart = std::move(side); }

bool VmFleet::Passes(std::size_t from, std::size_t to) const {
  return !this->vms[from].cut && !this->vms[to].cut && this->apart.count(from) == this->apart.count(to);
}

void VmFleet::SetCut(std::size_t vm, bool cut) { this->vms[vm].cut = cut; }

std::size_t VmFleet::Users() const {
  return static_cast<std::size_t>(std::count_if(this->vms.begin(), this->vms.end(), [this](const Vm& vm) {
    return vm.alive && vm.system->MayUsePrimary(kGroup, this->now);
  }));
}

std::optional<std::size_t> VmFleet::Holder() const {
  std::optional<std::size_t> holder;
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    if (this->vms[vm].alive && this->vms[vm].system->IsHolder()) {
      if (holder) {
        return std::nullopt;
      }
      holder = vm;
    }
  }
  return holder;
}

const CoordinationSystem& VmFleet::System(std::size_t vm) const { return *this->vms[vm].system; }

}  // namespace amaranthlane::coordination
