#include "core/failover/primary_change_system.h"

#include <algorithm>
#include <utility>

#include "core/failover/tick_context.h"

namespace amaranthlane::failover {

using coordination::GroupState;

namespace {

// How long a candidate whose promotion the platform refused is excluded.
constexpr std::chrono::milliseconds kCandidateExclusionTime{1000};
// The number of groups whose primary is being discovered at the same time. Each needs new connections, and a new
// coordinator may have many groups.
constexpr std::size_t kMaxConcurrentDiscoveries = 16;
// How long a group is queried before other groups get their turn, and how long, at first, only endpoints that claim to
// be primary are queried.
constexpr std::chrono::milliseconds kDiscoveryTimeSlice{1000};
constexpr std::chrono::milliseconds kClaimsOnlyTime{300};

}  // namespace

PrimaryChangeSystem::PrimaryChangeSystem(const FailoverSettings& settings) : settings(settings) {}

Term PrimaryChangeSystem::NewestTerm(const GroupChange& change) {
  Term newest = 0;
  for (const auto& [name, known] : change.statuses) {
    newest = std::max(newest, known.status.term);
  }
  return newest;
}

bool PrimaryChangeSystem::AnsweredSince(const std::vector<const EndpointEntry*>& endpoints, const GroupChange& change,
                                        TimePoint since) {
  return std::all_of(endpoints.begin(), endpoints.end(), [&](const EndpointEntry* entry) {
    const auto known = change.statuses.find(entry->name);
    return known != change.statuses.end() && known->second.sent_at >= since;
  });
}

void PrimaryChangeSystem::Tick(const EndpointDirectory& directory,
                               const std::map<GroupName, std::uint64_t>& synchronous_replicas,
                               coordination::CoordinationSystem& coordination, TimePoint now,
                               coordination::Actions& coordination_actions, Actions& actions) {
  TickContext context{directory, synchronous_replicas, coordination, now, coordination_actions, actions};
  this->SendStepDowns(context);
  if (!coordination.IsCoordinator()) {
    this->changes.clear();
    coordination.RequestHandover(false);
    return;
  }
  if (std::exchange(this->coordinator_since, coordination.Record()->coordinator_since) !=
      coordination.Record()->coordinator_since) {
    // What this VM did before it took over, or began a new era of the store, counts as done by another coordinator.
    this->changes.clear();
  }
  std::set<GroupName> groups;
  for (const auto& [name, entry] : directory) {
    context.endpoints_by_group[entry.group].push_back(&entry);
    groups.insert(entry.group);
  }
  context.unreachable_counts = coordination.UnreachableCounts(now);
  for (const auto& [name, state] : coordination.Record()->groups) {
    groups.insert(name);
  }
  bool needs_handover = false;
  for (const GroupName& group : groups) {
    GroupChange& change = this->changes[group];
    const auto found = coordination.Record()->groups.find(group);
    if (found == coordination.Record()->groups.end()) {
      this->Discover(context, group, change);
      continue;
    }
    const GroupState state = found->second;
    if (state.changing && change.phase == Phase::kIdle) {
      change.phase = Phase::kReleasing;
      change.started_at = now;
      change.may_abort = true;
    }
    if (!state.changing && change.phase != Phase::kIdle) {
      change = {};
    }
    if (state.unconfirmed && change.may_abort && change.phase != Phase::kRecording &&
        coordination.OutlastedRestore(group, now)) {
      this->Finish(context, group, {state.term, state.primary, false}, "the lease outlasted the restore of the store",
                   change);
    }
    if (change.phase == Phase::kIdle) {
      this->CheckPrimary(context, group, state, change);
    }
    if (change.phase == Phase::kReleasing) {
      this->AwaitRelease(context, group, state, change);
    }
    if (change.phase == Phase::kChoosing) {
      this->ChooseCandidate(context, group, state, change);
    }
    if (change.phase == Phase::kPromoting) {
      this->PromoteCandidate(context, group, state, change);
    }
    if (change.phase == Phase::kRecording) {
      this->ProposeResult(context, group, state, change);
    }
    const bool candidate_overdue = change.phase == Phase::kChoosing && change.no_candidate_since &&
                                   now > *change.no_candidate_since + this->settings.handover_timeout;
    const bool order_overdue = change.phase == Phase::kPromoting && !change.order_accepted &&
                               now > change.chosen_at + this->settings.handover_timeout;
    needs_handover = needs_handover || candidate_overdue || order_overdue;
  }
  coordination.RequestHandover(needs_handover || coordination.WriteOverdue(now));
  this->Submit(context);
}

void PrimaryChangeSystem::Submit(TickContext& context) {
  const coordination::LogHoldersByGroup logs = this->log_holders.All();
  if (logs != context.coordination.Record()->logs) {
    context.reasons += context.reasons.empty() ? "the logs that may hold acknowledged commits have changed" : "";
  } else if (context.proposed.empty()) {
    return;
  }
  if (!context.coordination.ProposeGroups(context.proposed, logs, context.reasons, context.now,
                                          context.coordination_actions)) {
    return;
  }
  for (const auto& [group, state] : context.proposed) {
    GroupChange& change = this->changes[group];
    if (state.changing && !state.unconfirmed && change.phase == Phase::kIdle) {
      change.started_here = true;
      context.Log(group, "change of primary begins", change.reason);
    }
  }
}

void PrimaryChangeSystem::Discover(TickContext& context, const GroupName& group, GroupChange& change) {
  const EndpointName* primary = nullptr;
  Term term = 0;
  for (const auto& [name, known] : change.statuses) {
    if (known.status.is_primary && known.status.term > term) {
      primary = &name;
      term = known.status.term;
    }
  }
  // Otherwise the endpoint has been replaced and doesn't know it yet.
  const bool newest = term == NewestTerm(change);
  if (primary == nullptr || !newest) {
    this->QueryForPrimary(context, group, change);
    return;
  }
  // After a restore of the store, a lost record may have named a newer primary that doesn't answer now.
  const bool unconfirmed = context.coordination.RestoreUnsettled();
  context.Propose(group, {term, *primary, unconfirmed, 0, unconfirmed}, group + " has primary " + *primary);
}

void PrimaryChangeSystem::QueryForPrimary(TickContext& context, const GroupName& group, GroupChange& change) const {
  if (context.now < change.next_discovery_at || context.discoveries >= kMaxConcurrentDiscoveries) {
    return;
  }
  ++context.discoveries;
  if (!change.discovery_started_at) {
    change.discovery_started_at = context.now;
  } else if (context.now > *change.discovery_started_at + kDiscoveryTimeSlice) {
    change.next_discovery_at = context.now + kDiscoveryTimeSlice;
    change.discovery_started_at.reset();
    return;
  }
  if (context.now < change.next_query) {
    return;
  }
  change.next_query = context.now + this->settings.query_interval * 2;
  const std::vector<const EndpointEntry*> endpoints = context.Endpoints(group);
  const bool claimed =
      std::any_of(endpoints.begin(), endpoints.end(), [](const EndpointEntry* entry) { return entry->claims_primary; });
  const bool claims_only = claimed && context.now < *change.discovery_started_at + kClaimsOnlyTime;
  for (const EndpointEntry* entry : endpoints) {
    if (!claims_only || entry->claims_primary) {
      context.actions.emplace_back(QueryStatus{entry->name});
    }
  }
}

void PrimaryChangeSystem::CheckPrimary(TickContext& context, const GroupName& group, const GroupState& state,
                                       GroupChange& change) {
  const auto entry = context.directory.find(state.primary);
  const bool draining = entry != context.directory.end() && entry->second.draining;
  this->QueryDeparted(context, group, change, this->settings.departed_query_interval);
  if (context.SynchronousReplicas(group) > 0 && (draining || this->log_holders.AwaitsPosition(group))) {
    this->TrackReplicas(context, group, state, change);
  } else {
    change.tracked_since = kNever;
  }
  const std::string reason = this->ReasonToChange(context, group, state, change);
  if (reason.empty() || !context.coordination.MayPromote(context.now)) {
    change.waiting_logged = false;
    return;
  }
  if (!context.coordination.CanRelease(context.now)) {
    // A change that can't be completed would only interrupt the VMs that still reach the primary.
    if (!change.waiting_logged) {
      change.waiting_logged = true;
      context.Log(group, "no change of primary: too few members send heartbeats", reason);
    }
    return;
  }
  change.reason = reason;
  context.Propose(group, {state.term, state.primary, true}, reason);
}

std::string PrimaryChangeSystem::ReasonToChange(const TickContext& context, const GroupName& group,
                                                const GroupState& state, GroupChange& change) const {
  const std::vector<const EndpointEntry*> endpoints = context.Endpoints(group);
  const bool has_successor = std::any_of(endpoints.begin(), endpoints.end(), [&](const EndpointEntry* entry) {
    return entry->name != state.primary && !entry->draining;
  });
  if (!has_successor) {
    return {};
  }
  const auto entry = context.directory.find(state.primary);
  if (entry != context.directory.end()) {
    change.missing_since.reset();
    if (entry->second.draining && this->MayReplaceDraining(context, group, state, change)) {
      return state.primary + " is draining";
    }
  } else if (!change.missing_since) {
    change.missing_since = context.now;
  } else if (context.now > *change.missing_since + this->settings.missing_entry_timeout) {
    return state.primary + " has no directory entry";
  }
  if (this->DirectoryDisagrees(context, endpoints, state, change)) {
    return "another endpoint claims to be primary";
  }
  const double share = context.UnreachableShare(group, state.primary);
  if (share < this->settings.unreachable_share) {
    change.no_better_replica_logged = false;
    return {};
  }
  const std::string reason = state.primary + " is unreachable from a share of " + std::to_string(share) + " of the VMs";
  if (this->HasMoreReachableReplica(context, endpoints, state, share)) {
    return reason;
  }
  if (!std::exchange(change.no_better_replica_logged, true)) {
    context.Log(group, "no change of primary: no replica is reachable from enough more VMs", reason);
  }
  return {};
}

bool PrimaryChangeSystem::HasMoreReachableReplica(const TickContext& context,
                                                  const std::vector<const EndpointEntry*>& endpoints,
                                                  const GroupState& state, double share) const {
  const std::size_t unreachable = context.UnreachableCount(state.primary);
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const EndpointEntry* entry) {
    // This VM can't choose an endpoint that it can't query.
    if (entry->name == state.primary || entry->draining || context.coordination.IsUnreachable(entry->name)) {
      return false;
    }
    const std::size_t still_unreachable = context.UnreachableCount(entry->name);
    const double gained = share * (1 - static_cast<double>(still_unreachable) / static_cast<double>(unreachable));
    return still_unreachable < unreachable && (share >= 1 || gained >= this->settings.unreachable_share);
  });
}

// A promotion ordered by a former coordinator can take effect after the record was updated.
bool PrimaryChangeSystem::DirectoryDisagrees(const TickContext& context,
                                             const std::vector<const EndpointEntry*>& endpoints,
                                             const GroupState& state, GroupChange& change) const {
  bool recorded_claims = false;
  bool other_claims = false;
  for (const EndpointEntry* entry : endpoints) {
    (entry->name == state.primary ? recorded_claims : other_claims) |= entry->claims_primary;
  }
  if (recorded_claims || !other_claims) {
    change.directory_disagrees_since.reset();
  } else if (!change.directory_disagrees_since) {
    change.directory_disagrees_since = context.now;
  }
  return change.directory_disagrees_since &&
         context.now > *change.directory_disagrees_since + this->settings.disagreement_timeout;
}

// Ends the wait for the release of a primary that is well, if nobody else can have ordered a change of which the
// endpoints don't tell. It may be used though VMs that are gone for good have released nothing. Returns true if the
// wait ended.
bool PrimaryChangeSystem::ConfirmPrimary(const TickContext& context, const GroupName& group, const GroupState& state,
                                         GroupChange& change) {
  const TimePoint orders_ended_at = context.coordination.EarlierOrdersEndAt();
  const std::vector<const EndpointEntry*> endpoints = context.Endpoints(group);
  if (change.started_here || !change.may_abort || context.now < orders_ended_at ||
      !AnsweredSince(endpoints, change, orders_ended_at)) {
    return false;
  }
  const Term newest_term = NewestTerm(change);
  const auto primary = std::find_if(endpoints.begin(), endpoints.end(), [&](const EndpointEntry* entry) {
    const EndpointStatus& status = change.statuses.at(entry->name).status;
    return status.is_primary && status.term == newest_term && newest_term >= state.term && !entry->draining &&
           context.UnreachableShare(group, entry->name) < this->settings.unreachable_share;
  });
  if (primary == endpoints.end()) {
    return false;
  }
  this->Finish(context, group, {newest_term, (*primary)->name, false},
               "all endpoints have answered, and no order by a lost record can be under way", change);
  return true;
}

void PrimaryChangeSystem::AwaitRelease(const TickContext& context, const GroupName& group, const GroupState& state,
                                       GroupChange& change) {
  const bool lost_records_in_use = context.coordination.LostRecordsInUse(context.now);
  this->QueryEndpoints(context, group, change,
                       lost_records_in_use ? this->settings.tracking_interval : this->settings.query_interval);
  if (this->ConfirmPrimary(context, group, state, change)) {
    return;
  }
  if (lost_records_in_use) {
    if (!std::exchange(change.lost_records_logged, true)) {
      context.Log(group, "waiting until no VM can use the primary by a record that the store has lost", change.reason);
    }
    return;
  }
  const std::vector<VmName> blockers = context.coordination.ReleaseBlockers(group, context.now);
  // Every VM has adopted the record of this coordinator, and has thereby ended its own orders, or has been without a
  // lease for so long that its last order has taken effect. The former are waited for here.
  const TimePoint orders_ended = std::max(change.started_at, context.coordination.LastTakeoverAdoption());
  if (blockers.empty() && !change.started_here && context.now < orders_ended + this->settings.inherited_order_window) {
    return;
  }
  if (blockers.empty()) {
    change.phase = Phase::kChoosing;
    change.released_at = context.now;
    change.abort_allowed_from = change.started_here ? context.now : context.now + this->settings.inherited_order_window;
    change.next_query = context.now;
    context.Log(group, "all VMs released the primary", change.reason);
    this->QueryEndpoints(context, group, change, this->settings.query_interval);
  } else if (!change.waiting_logged) {
    change.waiting_logged = true;
    context.Log(group, "waiting for VMs to release the primary", blockers.front());
  }
}

// Ends the change if an endpoint has become primary already, or if the former primary is back. Returns true if it
// ended.
bool PrimaryChangeSystem::FinishIfResolved(const TickContext& context, const GroupName& group, const GroupState& state,
                                           GroupChange& change) {
  // A promotion that this VM ordered may still take effect after that of another endpoint.
  const bool ordered = !change.candidate.empty() && !change.may_abort &&
                       context.now < change.ordered_at + this->settings.promotion_timeout;
  const Term newest_term = NewestTerm(change);
  for (const auto& [name, known] : change.statuses) {
    // A term has only one primary, so the same term under another name means that the former primary's server was
    // restarted. Where the recorded primary is unconfirmed, it may have been promoted once more.
    const bool newer = known.status.term > state.term || (known.status.term == state.term && name != state.primary);
    const bool promoted_again = state.unconfirmed && change.order_accepted && name == change.candidate &&
                                known.sent_at >= change.ordered_at + this->settings.inherited_order_window;
    const bool became_primary = known.sent_at >= change.released_at && known.status.is_primary &&
                                known.status.term == newest_term && (newer || promoted_again);
    if (became_primary && (!ordered || name == change.candidate)) {
      this->Finish(context, group, {known.status.term, name, false}, name + " is primary", change);
      return true;
    }
  }
  const auto former = change.statuses.find(state.primary);
  const auto entry = context.directory.find(state.primary);
  const bool former_is_primary = former != change.statuses.end() && former->second.sent_at >= change.released_at &&
                                 former->second.status.is_primary && former->second.status.term == state.term &&
                                 newest_term == state.term;
  const bool confirmed = !state.unconfirmed || AnsweredSince(context.Endpoints(group), change, change.released_at);
  // A draining primary stays if no replica could take its place without the loss of a commit.
  const bool may_stay =
      entry != context.directory.end() &&
      (!entry->second.draining ||
       (context.SynchronousReplicas(group) > 0 && context.now > change.released_at + this->settings.catch_up_timeout));
  if (former_is_primary && confirmed && change.may_abort && context.now >= change.abort_allowed_from && may_stay &&
      context.UnreachableShare(group, state.primary) < this->settings.unreachable_share) {
    this->Finish(context, group, {state.term, state.primary, false}, "the former primary answers again", change);
    return true;
  }
  return false;
}

void PrimaryChangeSystem::PromoteCandidate(const TickContext& context, const GroupName& group, const GroupState& state,
                                           GroupChange& change) {
  if (this->FinishIfResolved(context, group, state, change)) {
    return;
  }
  this->QueryEndpoints(context, group, change, this->settings.query_interval);
  if (change.candidate.empty() ||
      (change.order_accepted && context.now > change.ordered_at + this->settings.promotion_timeout)) {
    change.candidate.clear();
    change.phase = Phase::kChoosing;
    change.released_at = context.now;
    return;
  }
  if (change.order_accepted || context.now < change.next_order || this->orders_in_flight.count(group) > 0 ||
      !context.coordination.MayPromote(context.now)) {
    return;
  }
  change.next_order = context.now + this->settings.order_interval;
  change.ordered_at = context.now;
  change.may_abort = false;
  this->orders_in_flight.insert(group);
  context.actions.emplace_back(OrderPromotion{group, change.candidate, context.coordination.Record()->fencing_token,
                                              context.now + this->settings.order_timeout});
}

void PrimaryChangeSystem::OnPromotionResult(const GroupName& group, const EndpointName& endpoint,
                                            PromotionResult result, TimePoint now) {
  this->orders_in_flight.erase(group);
  const auto found = this->changes.find(group);
  if (found == this->changes.end() || found->second.candidate != endpoint) {
    return;
  }
  if (result == PromotionResult::kAccepted) {
    found->second.order_accepted = true;
    found->second.ordered_at = now;
  } else if (result == PromotionResult::kRefused) {
    found->second.excluded[endpoint] = now + kCandidateExclusionTime;
    found->second.candidate.clear();
  }
}

void PrimaryChangeSystem::OnDirectory(const EndpointDirectory& directory,
                                      const std::map<GroupName, std::uint64_t>& synchronous_replicas, TimePoint now) {
  this->log_holders.OnDirectory(directory, synchronous_replicas, now);
}

void PrimaryChangeSystem::OnPosition(const EndpointName& endpoint, const LogPosition& position) {
  this->log_holders.OnPosition(endpoint, position);
}

void PrimaryChangeSystem::OnEndpointEnded(const EndpointName& endpoint, TimePoint now) {
  this->log_holders.OnProcessEnded(endpoint, now);
}

void PrimaryChangeSystem::OnRecordAdopted(const coordination::CoordinationSystem& coordination, TimePoint now,
                                          Actions& actions) {
  this->log_holders.OnRecord(*coordination.Record(), now);
  const bool same_term =
      coordination.IsCoordinator() && coordination.Record()->coordinator_since == this->coordinator_since;
  if (!same_term && !this->orders_in_flight.empty()) {
    actions.emplace_back(CancelPromotions{});
  }
}

void PrimaryChangeSystem::Finish(const TickContext& context, const GroupName& group, const GroupState& next,
                                 const std::string& reason, GroupChange& change) {
  change.phase = Phase::kRecording;
  change.result = next;
  const auto& state = context.coordination.Record()->groups.at(group);
  if (next.primary != state.primary) {
    this->pending_step_downs.push_back({state.primary, next.term, this->settings.step_down_attempts, context.now});
  }
  context.Log(group, "change of primary decided",
              next.primary + " in term " + std::to_string(next.term) + ": " + reason);
}

void PrimaryChangeSystem::ProposeResult(TickContext& context, const GroupName& group, const GroupState& /*state*/,
                                        GroupChange& change) {
  context.Propose(group, change.result, "change of primary ends");
}

void PrimaryChangeSystem::QueryEndpoints(const TickContext& context, const GroupName& group, GroupChange& change,
                                         Duration interval) const {
  if (context.now < change.next_query) {
    return;
  }
  change.next_query = context.now + interval;
  for (const EndpointEntry* entry : context.Endpoints(group)) {
    context.actions.emplace_back(QueryStatus{entry->name});
  }
  this->QueryDeparted(context, group, change, this->settings.urgent_departed_query_interval);
}

void PrimaryChangeSystem::QueryDeparted(const TickContext& context, const GroupName& group, GroupChange& change,
                                        Duration interval) const {
  if (context.now < change.next_departed_query) {
    return;
  }
  change.next_departed_query = context.now + interval;
  for (const coordination::LogHolder& log : this->log_holders.Askable(group)) {
    context.actions.emplace_back(QueryDepartedEndpoint{group, log});
  }
}

void PrimaryChangeSystem::SendStepDowns(const TickContext& context) {
  for (PendingStepDown& pending : this->pending_step_downs) {
    if (context.now >= pending.next_send && context.directory.count(pending.endpoint) > 0) {
      context.actions.emplace_back(StepDown{pending.endpoint, pending.term});
    }
    if (context.now >= pending.next_send) {
      pending.next_send = context.now + this->settings.step_down_interval;
      --pending.remaining;
    }
  }
  std::erase_if(this->pending_step_downs, [](const PendingStepDown& pending) { return pending.remaining <= 0; });
}

void PrimaryChangeSystem::OnStatus(const GroupName& group, const EndpointName& endpoint, const EndpointStatus& status,
                                   TimePoint sent_at) {
  this->log_holders.OnPosition(endpoint, status.position);
  const auto found = this->changes.find(group);
  if (found == this->changes.end()) {
    return;
  }
  KnownStatus& known = found->second.statuses[endpoint];
  if (sent_at >= known.sent_at) {
    known = {status, sent_at};
  }
}

}  // namespace amaranthlane::failover
