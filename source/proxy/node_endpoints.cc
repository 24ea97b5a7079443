#include <algorithm>
#include <set>
#include <utility>

#include "proxy/node.h"

// The endpoints that a node knows, and its connections to them.
namespace amaranthlane::proxy {

namespace {

// A primary is asked for its position when the newest one known, from statements or from members, is this old; well
// within any route's greatest age.
constexpr std::chrono::milliseconds kPositionAge{400};
// Other VMs learn positions from members, so they ask only when that fails.
constexpr std::chrono::milliseconds kPositionAgeOfOthers{900};
// The longest time without a question to an endpoint, so that its reachability is known before work needs it.
constexpr std::chrono::milliseconds kPrimaryProbe{2000};
constexpr std::chrono::milliseconds kReplicaProbe{5000};
// Entries vanish for up to two seconds after an outage of the store.
constexpr std::chrono::milliseconds kForgetEndpointAfter{2600};

constexpr std::size_t kCarriersTried = 3;
// Up to so many carriers ask a primary for its position themselves.
constexpr std::size_t kCarriersThatAsk = 5;
// A VM that has had too few promises for so long refuses work for primaries at once. Members are replaced sooner.
constexpr std::chrono::milliseconds kGiveUpAfter{1000};
// So many members keep a connection to each endpoint in any case, to know positions and who leads.
constexpr std::size_t kMembersInTouch = 3;
// How often carriers are chosen anew; groups and their connections change seldom.
constexpr std::chrono::milliseconds kCarrierChoiceInterval{500};
// Bulk statements that all VMs together have at an endpoint, for each of its slots.
constexpr double kWorkPerSlot = 2;

}  // namespace

void Node::OnDirectory(KnownDirectory newer) {
  if (this->directory_known && newer.revision < this->directory.revision) {
    return;
  }
  const bool same = this->directory_known && newer.endpoints == this->directory.endpoints;
  if (!same) {
    this->directory_changes.Note(this->directory.endpoints, newer.endpoints, newer.revision);
  }
  this->directory = std::move(newer);
  if (same) {
    return;
  }
  const TimePoint now = BootClock::now();
  const failover::EndpointDirectory& update = this->directory.endpoints;
  this->directory_known = true;
  this->directory_digest = failover::DirectoryDigest(update);
  for (const auto& [name, entry] : update) {
    const auto found = this->endpoints.find(name);
    const bool moved = found != this->endpoints.end() &&
                       (found->second.entry.address != entry.address || found->second.entry.group != entry.group);
    if (moved) {
      found->second.dispatcher->RemovePool(name);
      this->endpoints.erase(found);
    }
    if (found == this->endpoints.end() || moved) {
      this->AddEndpoint(entry, now);
      continue;
    }
    if (found->second.entry.draining != entry.draining || found->second.missing_since) {
      logging::Write(logging::Level::kInfo, "endpoint changed",
                     {{"endpoint", name}, {"draining", entry.draining}, {"group", entry.group}});
    }
    found->second.entry = entry;
    found->second.missing_since.reset();
    found->second.pool->SetEndpoint(entry, now);
  }
  for (auto& [name, known] : this->endpoints) {
    if (update.count(name) == 0 && !known.missing_since) {
      known.missing_since = now;
      logging::Write(logging::Level::kInfo, "endpoint's entry is missing", {{"endpoint", name}});
    }
  }
  // New endpoints have no limits yet.
  this->ChooseCarriers();
  this->LimitPools();
  this->PumpSoon();
}

void Node::AddEndpoint(const failover::EndpointEntry& entry, TimePoint now) {
  if (this->belief_lines.Admit(now)) {
    logging::Write(logging::Level::kInfo, "endpoint added",
                   {{"endpoint", entry.name},
                    {"group", entry.group},
                    {"address", entry.address},
                    {"lines_suppressed", this->belief_lines.TakeSuppressedCount()}});
  }
  auto& dispatcher = this->dispatchers[entry.group];
  if (dispatcher == nullptr) {
    dispatcher = std::make_unique<Dispatcher>(
        this->settings.data_centre, [this, group = entry.group](TimePoint at) { return this->PrimaryOf(group, at); });
  }
  KnownEndpoint known;
  known.entry = entry;
  known.pool = std::make_unique<EndpointPool>(this->loop, this->codec, this->settings.vm, entry, PoolSettings{},
                                              this->EventsOf(entry));
  known.dispatcher = dispatcher.get();
  known.pool->SetEndpoint(entry, now);
  dispatcher->AddPool(entry.name, known.pool.get());
  this->endpoints.emplace(entry.name, std::move(known));
}

PoolEvents Node::EventsOf(const failover::EndpointEntry& entry) {
  PoolEvents events;
  events.changed = [this] { this->PumpSoon(); };
  events.position = [this, group = entry.group](const failover::EndpointEntry& endpoint, TimePoint sent_at,
                                                const LogPosition& position) {
    this->FindDispatcher(group)->NotePosition(endpoint.name, sent_at, position, BootClock::now());
  };
  events.status = [this, group = entry.group](const failover::EndpointEntry& endpoint,
                                              const failover::EndpointStatus& status, TimePoint sent_at) {
    this->failover.OnStatus(group, endpoint.name, status, sent_at);
  };
  events.lagging = [](const failover::EndpointEntry& endpoint, bool lagging, const LogPosition& known) {
    logging::Write(
        logging::Level::kInfo, lagging ? "replica lacks what reads are owed" : "replica has caught up",
        {{"endpoint", endpoint.name}, {"group", endpoint.group}, {"term", known.term}, {"offset", known.offset}});
  };
  events.reachability = [](const failover::EndpointEntry& endpoint, bool reachable, const std::string& why) {
    logging::Write(reachable ? logging::Level::kInfo : logging::Level::kWarning,
                   reachable ? "endpoint is in reach again" : "endpoint is out of reach",
                   {{"endpoint", endpoint.name}, {"group", endpoint.group}, {"why", why}});
  };
  return events;
}

void Node::TickEndpoints(TimePoint now) {
  const coordination::CoordinationRecord* record = this->coordination.Record();
  const bool member = record != nullptr && record->IsMember(this->settings.vm);
  if (now >= this->next_carrier_choice) {
    this->next_carrier_choice = now + kCarrierChoiceInterval;
    this->ChooseCarriers();
  }
  for (auto found = this->endpoints.begin(); found != this->endpoints.end();) {
    KnownEndpoint& known = found->second;
    if (known.missing_since && now > *known.missing_since + kForgetEndpointAfter) {
      logging::Write(logging::Level::kInfo, "endpoint removed", {{"endpoint", found->first}});
      known.dispatcher->RemovePool(found->first);
      found = this->endpoints.erase(found);
      continue;
    }
    if (!known.pool->Asleep()) {
      const KnownPrimary primary = this->PrimaryOf(known.entry.group, now);
      const bool is_primary = primary.name == found->first;
      const auto plan = this->plans.find(known.entry.group);
      const bool asks = member || (plan != this->plans.end() && plan->second.ask_themselves);
      const TimePoint asked = known.dispatcher->History().LastAsked();
      const bool ask = is_primary && primary.usable && now > asked + (asks ? kPositionAge : kPositionAgeOfOthers);
      known.pool->Tick(now, ask ? kPositionAge : (is_primary ? kPrimaryProbe : kReplicaProbe));
    }
    ++found;
  }
}

Node::GroupPlan Node::PlanFor(const GroupName& group, const carriers::FleetShape& shape) const {
  std::size_t connections = 1;
  if (this->configuration && this->configuration->groups.count(group) > 0) {
    connections = this->configuration->groups.at(group).connections;
  }
  GroupPlan plan;
  plan.plan = carriers::PlanCarriers(connections, shape);
  if (plan.plan.carriers > 0) {
    plan.carriers = carriers::ChooseCarriers(group, this->fleet, plan.plan.carriers);
    plan.carried = std::any_of(plan.carriers.begin(), plan.carriers.end(),
                               [this](const carriers::FleetVm& carrier) { return carrier.vm == this->settings.vm; });
    plan.ask_themselves = plan.plan.carriers <= kCarriersThatAsk;
  }
  return plan;
}

void Node::ChooseCarriers() {
  const coordination::CoordinationRecord* record = this->coordination.Record();
  const PlanInputs inputs{this->fleet_digest, std::max(this->coordination.FleetSize(), this->fleet.size()),
                          this->configuration ? this->configuration->version : 0, this->dispatchers.size(),
                          record != nullptr && record->Place(this->settings.vm) < kMembersInTouch};
  if (inputs == this->planned_for) {
    return;
  }
  this->planned_for = inputs;
  std::set<std::string> data_centres;
  for (const carriers::FleetVm& vm : this->fleet) {
    data_centres.insert(vm.data_centre);
  }
  const carriers::FleetShape shape{inputs.fleet_size, data_centres.size(), this->dispatchers.size()};
  this->plans.clear();
  this->told_groups.clear();
  this->groups_told_to_all.clear();
  this->own_groups.clear();
  for (const auto& [group, dispatcher] : this->dispatchers) {
    const GroupPlan& plan = this->plans.emplace(group, this->PlanFor(group, shape)).first->second;
    if (plan.plan.carriers == 0) {
      this->groups_told_to_all.push_back(group);
    } else if (!plan.ask_themselves) {
      for (const carriers::FleetVm& carrier : plan.carriers) {
        this->told_groups[carrier.vm].push_back(group);
      }
    }
    if (plan.carried || (inputs.in_touch && !plan.ask_themselves)) {
      this->own_groups.push_back(group);
    }
  }
  this->LimitPools();
}

void Node::LimitPools() {
  for (auto& [name, known] : this->endpoints) {
    const GroupPlan& plan = this->plans.at(known.entry.group);
    const std::size_t holders = plan.plan.carriers == 0 ? this->planned_for.fleet_size : plan.plan.carriers;
    const double concurrency =
        static_cast<double>(known.entry.slots) * kWorkPerSlot / static_cast<double>(std::max<std::size_t>(holders, 1));
    // Until the fleet is known this VM may be one of many.
    const std::size_t in_touch = this->planned_for.in_touch && !this->fleet.empty() && !plan.ask_themselves ? 1 : 0;
    const std::size_t own = !this->fleet.empty() && plan.carried ? plan.plan.connections : in_touch;
    known.pool->SetLimits(own, static_cast<std::size_t>(std::max(1.0, concurrency)));
  }
}

bool Node::Carries(const GroupName& group) const {
  const auto found = this->plans.find(group);
  return found == this->plans.end() || found->second.carried;
}

void Node::UpdateFleet(std::vector<carriers::FleetVm> update) {
  std::sort(update.begin(), update.end(), [](const auto& left, const auto& right) { return left.vm < right.vm; });
  const std::string digest = carriers::FleetDigest(update);
  if (digest != this->fleet_digest) {
    logging::Write(logging::Level::kInfo, "fleet changed", {{"vms", update.size()}, {"digest", digest}});
    this->fleet = std::move(update);
    this->fleet_digest = digest;
    this->ChooseCarriers();
  }
}

std::vector<std::string> Node::CarriersOf(const GroupName& group) {
  const auto found = this->plans.find(group);
  if (found == this->plans.end() || found->second.carried) {
    return {};
  }
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const carriers::FleetVm& carrier : found->second.carriers) {
    if (!carrier.relay_address.empty()) {
      (carrier.data_centre == this->settings.data_centre ? near : far).push_back(carrier.relay_address);
    }
  }
  // Sessions take turns, so that carriers share the load; each tries a few carriers before it is served here.
  ++this->relay_turn;
  for (std::vector<std::string>* addresses : {&near, &far}) {
    if (!addresses->empty()) {
      std::rotate(addresses->begin(),
                  addresses->begin() + static_cast<std::ptrdiff_t>(this->relay_turn % addresses->size()),
                  addresses->end());
    }
  }
  near.insert(near.end(), far.begin(), far.end());
  near.resize(std::min(near.size(), kCarriersTried));
  return near;
}

EndpointPool* Node::FindPool(const EndpointName& endpoint) const {
  const auto found = this->endpoints.find(endpoint);
  return found == this->endpoints.end() ? nullptr : found->second.pool.get();
}

KnownPrimary Node::PrimaryOf(const GroupName& group, TimePoint now) const {
  const coordination::CoordinationRecord* record = this->coordination.Record();
  if (record == nullptr || record->groups.count(group) == 0) {
    return {};
  }
  const auto changing = this->changing_since.find(group);
  std::string hopeless;
  if (this->without_promises_since && now > *this->without_promises_since + kGiveUpAfter) {
    hopeless = "too few members promise: this VM is probably cut off";
  } else if (changing != this->changing_since.end() && now > changing->second + kGiveUpAfter) {
    hopeless = "the change of primary takes long";
  }
  return {this->coordination.MayUsePrimary(group, now), record->groups.at(group).primary, hopeless};
}

}  // namespace amaranthlane::proxy
