#include <algorithm>
#include <set>
#include <utility>

#include "proxy/node.h"

// The endpoints that a node knows, its connections to them, and the gateways of each group.
namespace amaranthlane::proxy {

namespace {

// A primary is queried for its position when the newest one known, from statements or from members, is older than this,
// which is well below the maximum staleness of any route.
constexpr std::chrono::milliseconds kPositionQueryAge{400};
// The same on VMs to which members report positions: they query the primary only if the reports fail to arrive.
constexpr std::chrono::milliseconds kPositionFallbackQueryAge{900};
// The longest time without an exchange with an endpoint, so that its reachability is known before a statement needs it.
constexpr std::chrono::milliseconds kPrimaryProbeInterval{2000};
constexpr std::chrono::milliseconds kReplicaProbeInterval{5000};
// Longer than the two seconds for which entries can be missing after an outage of the store.
constexpr std::chrono::milliseconds kEndpointRemovalDelay{2600};

// How often an endpoint that has left the directory is tried again, and after which time without queries its connection
// is closed.
constexpr std::chrono::milliseconds kDepartedRetryInterval{500};
constexpr std::chrono::seconds kDepartedQueryTimeout{5};

constexpr std::size_t kMaxGatewaysTried = 3;
// Up to this number of gateways, each queries the primary's position itself.
constexpr std::size_t kMaxQueryingGateways = 5;
// After this time without a lease, or during a change of primary, statements that need the primary are refused at once.
// Members that fail are replaced in less time.
constexpr std::chrono::milliseconds kRefusePrimaryRequestsAfter{1000};
// The number of members that keep a connection to each endpoint even if they aren't gateways, to know the positions and
// which endpoint is primary.
constexpr std::size_t kMembersProbingEndpoints = 3;
// How often gateways are chosen again. Groups and their connection limits seldom change.
constexpr std::chrono::milliseconds kPlanUpdateInterval{500};
// Bulk statements that all VMs together may run at an endpoint, for each of its slots.
constexpr double kStatementsPerSlot = 2;

}  // namespace

void Node::OnDirectory(DirectorySnapshot newer) {
  this->coordination.OnStoreEra(newer.revision.era, BootClock::now());
  if (this->directory_known && newer.revision < this->directory.revision) {
    if (this->endpoint_log_limiter.Admit(BootClock::now())) {
      logging::Write(logging::Level::kInfo, "ignoring an older directory",
                     {{"revision", newer.revision.revision},
                      {"era", newer.revision.era},
                      {"known_revision", this->directory.revision.revision},
                      {"known_era", this->directory.revision.era}});
    }
    return;
  }
  const bool restored = this->directory_known && newer.revision.era != this->directory.revision.era;
  const bool same = this->directory_known && newer.endpoints == this->directory.endpoints && !restored;
  if (!same) {
    this->directory_change_log.Append(this->directory.endpoints, newer.endpoints, newer.revision);
  }
  if (restored) {
    logging::Write(logging::Level::kWarning, "using the directory of the restored store",
                   {{"era", newer.revision.era},
                    {"revision", newer.revision.revision},
                    {"former_era", this->directory.revision.era},
                    {"former_revision", this->directory.revision.revision},
                    {"endpoints", newer.endpoints.size()},
                    {"former_endpoints", this->directory.endpoints.size()}});
    this->draining_endpoints.OnRestore(this->known_directory, newer.endpoints);
  }
  this->directory = std::move(newer);
  if (same) {
    this->store_sync.SetDirectory(this->directory.revision, this->store_sync.Versions().directory_digest);
    return;
  }
  this->directory_known = true;
  this->store_sync.SetDirectory(this->directory.revision, failover::DirectoryDigest(this->directory.endpoints));
  this->UseDirectory(this->store_sync.Currency().directory_at);
}

bool Node::AddNamedGroups(const Configuration& update) {
  const std::size_t former_count = this->named_groups.size();
  for (const auto& [group, group_settings] : update.groups) {
    this->named_groups.insert(group);
  }
  for (const auto& [database, route] : update.routes) {
    this->named_groups.insert(route.group);
  }
  return this->named_groups.size() > former_count;
}

failover::EndpointDirectory Node::EndpointsOfNamedGroups() const {
  failover::EndpointDirectory endpoints;
  for (const auto& [name, entry] : this->directory.endpoints) {
    if (this->named_groups.count(entry.group) > 0) {
      endpoints.emplace(name, entry);
    }
  }
  return endpoints;
}

void Node::UseDirectory(TimePoint former_current_at) {
  const TimePoint now = BootClock::now();
  this->known_directory = this->draining_endpoints.Apply(this->EndpointsOfNamedGroups());
  const failover::EndpointDirectory& update = this->known_directory;
  this->failover.OnDirectory(update, this->synchronous_replicas, now);
  for (const auto& [name, entry] : update) {
    const auto found = this->endpoints.find(name);
    const bool moved = found != this->endpoints.end() &&
                       (found->second.entry.address != entry.address || found->second.entry.group != entry.group);
    if (moved) {
      found->second.dispatcher->RemovePool(name);
      this->endpoints.erase(found);
    }
    if (found == this->endpoints.end() || moved) {
      this->AddEndpoint(entry, former_current_at, now);
      continue;
    }
    if (found->second.entry.draining != entry.draining || found->second.missing_since) {
      logging::Write(logging::Level::kInfo, "endpoint changed",
                     {{"endpoint", name}, {"draining", entry.draining}, {"group", entry.group}});
    }
    found->second.entry = entry;
    found->second.missing_since.reset();
    found->second.pool->SetEndpoint(entry, former_current_at);
  }
  for (auto& [name, known] : this->endpoints) {
    if (update.count(name) == 0 && !known.missing_since) {
      known.missing_since = now;
      logging::Write(logging::Level::kInfo, "endpoint's directory entry is missing", {{"endpoint", name}});
    }
  }
  // The pools of new endpoints have no limits yet.
  this->UpdatePlans();
  this->ApplyPoolLimits();
  this->ScheduleDispatch();
}

void Node::AddEndpoint(const failover::EndpointEntry& entry, TimePoint former_current_at, TimePoint now) {
  if (this->endpoint_log_limiter.Admit(now)) {
    logging::Write(logging::Level::kInfo, "endpoint added",
                   {{"endpoint", entry.name},
                    {"group", entry.group},
                    {"address", entry.address},
                    {"lines_suppressed", this->endpoint_log_limiter.TakeSuppressedCount()}});
  }
  auto& dispatcher = this->dispatchers[entry.group];
  if (dispatcher == nullptr) {
    dispatcher = std::make_unique<Dispatcher>(
        this->settings.data_centre, [this, group = entry.group](TimePoint at) { return this->GetPrimary(group, at); });
  }
  KnownEndpoint known;
  known.entry = entry;
  known.pool = std::make_unique<EndpointPool>(this->loop, this->codec, this->settings.vm, entry, PoolSettings{},
                                              this->MakePoolEvents(entry));
  known.dispatcher = dispatcher.get();
  known.pool->SetEndpoint(entry, former_current_at);
  dispatcher->AddPool(entry.name, known.pool.get());
  this->endpoints.emplace(entry.name, std::move(known));
}

PoolEvents Node::MakePoolEvents(const failover::EndpointEntry& entry) {
  PoolEvents events;
  events.availability_changed = [this] { this->ScheduleDispatch(); };
  events.position_reported = [this, group = entry.group](const failover::EndpointEntry& endpoint, TimePoint sent_at,
                                                         const LogPosition& position) {
    this->FindDispatcher(group)->UpdatePosition(endpoint.name, sent_at, position, BootClock::now());
    this->failover.OnPosition(endpoint.name, position);
  };
  events.status_received = [this, group = entry.group](const failover::EndpointEntry& endpoint,
                                                       const failover::EndpointStatus& status, TimePoint sent_at) {
    this->failover.OnStatus(group, endpoint.name, status, sent_at);
  };
  events.process_ended = [this](const failover::EndpointEntry& endpoint) {
    this->failover.OnEndpointEnded(endpoint.name, BootClock::now());
  };
  events.lagging_changed = [](const failover::EndpointEntry& endpoint, bool lagging, const LogPosition& known) {
    logging::Write(
        logging::Level::kInfo,
        lagging ? "replica lags behind the position that reads require" : "replica has caught up",
        {{"endpoint", endpoint.name}, {"group", endpoint.group}, {"term", known.term}, {"offset", known.offset}});
  };
  events.reachability_changed = [](const failover::EndpointEntry& endpoint, bool reachable, const std::string& reason) {
    logging::Write(reachable ? logging::Level::kInfo : logging::Level::kWarning,
                   reachable ? "endpoint is reachable again" : "endpoint is unreachable",
                   {{"endpoint", endpoint.name}, {"group", endpoint.group}, {"why", reason}});
  };
  return events;
}

void Node::QueryDepartedEndpoint(const failover::QueryDepartedEndpoint& action, TimePoint now) {
  if (EndpointPool* pool = this->FindPool(action.log.endpoint)) {
    // Its entry has gone so recently that its pool is kept.
    pool->QueryStatus(now);
    return;
  }
  DepartedEndpoint& departed = this->departed_endpoints[action.log.endpoint];
  if (departed.pool == nullptr) {
    failover::EndpointEntry entry;
    entry.name = action.log.endpoint;
    entry.group = action.group;
    entry.address = action.log.address;
    entry.incarnation = action.log.incarnation;
    PoolSettings pool_settings;
    pool_settings.retry_interval = kDepartedRetryInterval;
    PoolEvents events = this->MakePoolEvents(entry);
    events.availability_changed = nullptr;
    events.position_reported = nullptr;
    departed.pool = std::make_unique<EndpointPool>(this->loop, this->codec, this->settings.vm, entry, pool_settings,
                                                   std::move(events));
    departed.pool->SetLimits(1, 1);
  }
  departed.last_query = now;
  departed.pool->QueryStatus(now);
}

void Node::TickDepartedEndpoints(TimePoint now) {
  for (auto found = this->departed_endpoints.begin(); found != this->departed_endpoints.end();) {
    if (now > found->second.last_query + kDepartedQueryTimeout || this->FindPool(found->first) != nullptr) {
      found = this->departed_endpoints.erase(found);
    } else {
      found->second.pool->Tick(now, kDepartedQueryTimeout);
      ++found;
    }
  }
}

void Node::TickEndpoints(TimePoint now) {
  this->TickDepartedEndpoints(now);
  const coordination::CoordinationRecord* record = this->coordination.Record();
  const bool member = record != nullptr && record->IsMember(this->settings.vm);
  if (now >= this->next_plan_update) {
    this->next_plan_update = now + kPlanUpdateInterval;
    this->UpdatePlans();
  }
  for (auto found = this->endpoints.begin(); found != this->endpoints.end();) {
    KnownEndpoint& known = found->second;
    if (known.missing_since && now > *known.missing_since + kEndpointRemovalDelay) {
      logging::Write(logging::Level::kInfo, "endpoint removed", {{"endpoint", found->first}});
      known.dispatcher->RemovePool(found->first);
      found = this->endpoints.erase(found);
      continue;
    }
    if (!known.pool->Quiescent()) {
      const PrimaryStatus primary = this->GetPrimary(known.entry.group, now);
      const bool is_primary = primary.name == found->first;
      const auto plan = this->plans.find(known.entry.group);
      const bool queries_primary = member || (plan != this->plans.end() && plan->second.gateways_query_primary);
      const TimePoint last_query = known.dispatcher->History().LastQueriedAt();
      const bool query_position = is_primary && primary.usable &&
                                  now > last_query + (queries_primary ? kPositionQueryAge : kPositionFallbackQueryAge);
      known.pool->Tick(
          now, query_position ? kPositionQueryAge : (is_primary ? kPrimaryProbeInterval : kReplicaProbeInterval));
    }
    ++found;
  }
}

Node::GroupPlan Node::MakePlan(const GroupName& group, const gateways::FleetCounts& counts) const {
  std::size_t connections = 1;
  if (this->configuration && this->configuration->groups.count(group) > 0) {
    connections = this->configuration->groups.at(group).max_connections;
  }
  GroupPlan plan;
  plan.gateway_plan = gateways::PlanGateways(connections, counts);
  if (plan.gateway_plan.gateways > 0) {
    plan.gateways = gateways::ChooseGateways(group, this->fleet, plan.gateway_plan.gateways);
    plan.serves_group =
        std::any_of(plan.gateways.begin(), plan.gateways.end(),
                    [this](const gateways::FleetVm& gateway) { return gateway.vm == this->settings.vm; });
    plan.gateways_query_primary = plan.gateway_plan.gateways <= kMaxQueryingGateways;
  }
  return plan;
}

void Node::UpdatePlans() {
  const coordination::CoordinationRecord* record = this->coordination.Record();
  const PlanInputs inputs{this->fleet_digest, std::max(this->coordination.FleetSize(), this->fleet.size()),
                          this->configuration ? this->configuration->version : 0, this->dispatchers.size(),
                          record != nullptr && record->MemberIndex(this->settings.vm) < kMembersProbingEndpoints};
  if (inputs == this->planned_inputs) {
    return;
  }
  this->planned_inputs = inputs;
  std::set<std::string> data_centres;
  for (const gateways::FleetVm& vm : this->fleet) {
    data_centres.insert(vm.data_centre);
  }
  const gateways::FleetCounts counts{inputs.fleet_size, data_centres.size(), this->dispatchers.size()};
  this->plans.clear();
  this->reported_groups.clear();
  this->groups_reported_to_all.clear();
  this->connected_groups.clear();
  for (const auto& [group, dispatcher] : this->dispatchers) {
    const GroupPlan& plan = this->plans.emplace(group, this->MakePlan(group, counts)).first->second;
    if (plan.gateway_plan.gateways == 0) {
      this->groups_reported_to_all.push_back(group);
    } else if (!plan.gateways_query_primary) {
      for (const gateways::FleetVm& gateway : plan.gateways) {
        this->reported_groups[gateway.vm].push_back(group);
      }
    }
    if (plan.serves_group || (inputs.probes_endpoints && !plan.gateways_query_primary)) {
      this->connected_groups.push_back(group);
    }
  }
  this->ApplyPoolLimits();
}

void Node::ApplyPoolLimits() {
  for (auto& [name, known] : this->endpoints) {
    const GroupPlan& plan = this->plans.at(known.entry.group);
    const std::size_t connected_vms =
        plan.gateway_plan.gateways == 0 ? this->planned_inputs.fleet_size : plan.gateway_plan.gateways;
    const double concurrency = static_cast<double>(known.entry.slots) * kStatementsPerSlot /
                               static_cast<double>(std::max<std::size_t>(connected_vms, 1));
    // Until the fleet is known, this VM gets no connections: it may be one of many that share them.
    const std::size_t probe_connections =
        this->planned_inputs.probes_endpoints && !this->fleet.empty() && !plan.gateways_query_primary ? 1 : 0;
    const std::size_t max_connections =
        !this->fleet.empty() && plan.serves_group ? plan.gateway_plan.connections_per_vm : probe_connections;
    known.pool->SetLimits(max_connections, static_cast<std::size_t>(std::max(1.0, concurrency)));
  }
}

bool Node::ServesGroup(const GroupName& group) const {
  const auto found = this->plans.find(group);
  return found == this->plans.end() || found->second.serves_group;
}

void Node::UpdateFleet(std::vector<gateways::FleetVm> update) {
  std::sort(update.begin(), update.end(), [](const auto& left, const auto& right) { return left.vm < right.vm; });
  const std::string digest = gateways::FleetDigest(update);
  if (digest != this->fleet_digest) {
    logging::Write(logging::Level::kInfo, "fleet changed", {{"vms", update.size()}, {"digest", digest}});
    this->fleet = std::move(update);
    this->fleet_digest = digest;
    this->UpdatePlans();
  }
}

std::vector<gateways::FleetVm> Node::GatewaysFor(const GroupName& group, const OrganisationName& organisation) {
  const auto found = this->plans.find(group);
  if (found == this->plans.end() || (organisation.empty() && found->second.serves_group)) {
    return {};
  }
  if (!organisation.empty()) {
    return this->GatewaysOfOrganisation(found->second.gateways, organisation);
  }
  std::vector<gateways::FleetVm> near;
  std::vector<gateways::FleetVm> far;
  for (const gateways::FleetVm& gateway : found->second.gateways) {
    if (!gateway.relay_address.empty()) {
      (gateway.data_centre == this->settings.data_centre ? near : far).push_back(gateway);
    }
  }
  // Gateways are used in turn to spread the load. A session tries a few of them before it is served here.
  ++this->relay_rotation;
  for (std::vector<gateways::FleetVm>* vms : {&near, &far}) {
    if (!vms->empty()) {
      std::rotate(vms->begin(), vms->begin() + static_cast<std::ptrdiff_t>(this->relay_rotation % vms->size()),
                  vms->end());
    }
  }
  near.insert(near.end(), far.begin(), far.end());
  near.resize(std::min(near.size(), kMaxGatewaysTried));
  return near;
}

std::vector<gateways::FleetVm> Node::GatewaysOfOrganisation(const std::vector<gateways::FleetVm>& gateways,
                                                            const OrganisationName& organisation) const {
  std::vector<gateways::FleetVm> ordered =
      gateways::OrderForOrganisation(organisation, this->settings.data_centre, gateways);
  std::erase_if(ordered, [](const gateways::FleetVm& gateway) { return gateway.relay_address.empty(); });
  const auto self = std::find_if(ordered.begin(), ordered.end(),
                                 [this](const gateways::FleetVm& gateway) { return gateway.vm == this->settings.vm; });
  // If the gateways before this VM fail, it serves the session itself.
  ordered.erase(self, ordered.end());
  ordered.resize(std::min(ordered.size(), kMaxGatewaysTried));
  return ordered;
}

EndpointPool* Node::FindPool(const EndpointName& endpoint) const {
  const auto found = this->endpoints.find(endpoint);
  return found == this->endpoints.end() ? nullptr : found->second.pool.get();
}

PrimaryStatus Node::GetPrimary(const GroupName& group, TimePoint now) const {
  const coordination::CoordinationRecord* record = this->coordination.Record();
  if (record == nullptr || record->groups.count(group) == 0) {
    return {};
  }
  const auto changing = this->changing_since.find(group);
  std::string unavailable_reason;
  if (this->without_lease_since && now > *this->without_lease_since + kRefusePrimaryRequestsAfter) {
    unavailable_reason = "too few members grant this VM a lease; it is probably partitioned off";
  } else if (changing != this->changing_since.end() && now > changing->second + kRefusePrimaryRequestsAfter) {
    unavailable_reason = "the change of primary is taking too long";
  }
  return {this->coordination.MayUsePrimary(group, now), record->groups.at(group).primary, unavailable_reason};
}

}  // namespace amaranthlane::proxy
