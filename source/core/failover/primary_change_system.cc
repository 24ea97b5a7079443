#include "core/failover/primary_change_system.h"

#include <algorithm>
#include <utility>

namespace amaranthlane::failover {

using coordination::GroupState;

namespace {

std::string PositionText(const LogPosition& position) {
  return std::to_string(position.term) + "." + std::to_string(position.offset);
}

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

// The inputs and results of one Tick.
struct PrimaryChangeSystem::TickContext {
  const EndpointDirectory& directory;
  const std::map<GroupName, std::uint64_t>& synchronous_replicas;
  coordination::CoordinationSystem& coordination;
  TimePoint now;
  coordination::Actions& coordination_actions;
  Actions& actions;
  // Filled on the coordinator only.
  std::map<GroupName, std::vector<const EndpointEntry*>> endpoints_by_group = {};
  std::map<EndpointName, std::size_t> unreachable_counts = {};
  // The states to record; all of them go into one update.
  std::map<GroupName, GroupState> proposed = {};
  std::string reasons = {};
  std::size_t discoveries = 0;

  std::vector<const EndpointEntry*> Endpoints(const GroupName& group) const {
    const auto found = this->endpoints_by_group.find(group);
    return found == this->endpoints_by_group.end() ? std::vector<const EndpointEntry*>{} : found->second;
  }
  std::size_t UnreachableCount(const EndpointName& endpoint) const {
    const auto found = this->unreachable_counts.find(endpoint);
    return found == this->unreachable_counts.end() ? 0 : found->second;
  }
  // The share of the VMs with connections to the group that can't reach its primary.
  double UnreachableShare(const GroupName& group, const EndpointName& primary) const {
    const std::size_t unreachable = this->UnreachableCount(primary);
    if (unreachable == 0) {
      return 0;
    }
    const std::size_t total = unreachable + this->coordination.ReachableCount(group, this->now);
    return static_cast<double>(unreachable) / static_cast<double>(total);
  }
  void Propose(const GroupName& group, const GroupState& state, const std::string& reason) {
    this->proposed[group] = state;
    this->reasons += (this->reasons.empty() ? "" : "; ") + reason;
  }
  void Log(const GroupName& group, const std::string& step, const std::string& reason) const {
    this->actions.emplace_back(ChangeStep{group, step, reason});
  }
};

PrimaryChangeSystem::PrimaryChangeSystem(const FailoverSettings& settings) : settings(settings) {}

Term PrimaryChangeSystem::NewestTerm(const GroupChange& change) {
  Term newest = 0;
  for (const auto& [name, known] : change.statuses) {
    newest = std::max(newest, known.status.term);
  }
  return newest;
}

bool PrimaryChangeSystem::AllAnswered(const TickContext& context, const GroupName& group, const GroupChange& change) {
  const std::vector<const EndpointEntry*> endpoints = context.Endpoints(group);
  return std::all_of(endpoints.begin(), endpoints.end(), [&change](const EndpointEntry* entry) {
    const auto known = change.statuses.find(entry->name);
    return known != change.statuses.end() && known->second.sent_at >= change.released_at;
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
      this->AwaitRelease(context, group, change);
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
  if (context.proposed.empty() || !context.coordination.ProposeGroups(context.proposed, context.reasons, context.now,
                                                                      context.coordination_actions)) {
    return;
  }
  for (const auto& [group, state] : context.proposed) {
    GroupChange& change = this->changes[group];
    if (state.changing && change.phase == Phase::kIdle) {
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
  context.Propose(group, {term, *primary, false}, group + " has primary " + *primary);
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
    if (entry->second.draining) {
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

void PrimaryChangeSystem::AwaitRelease(const TickContext& context, const GroupName& group, GroupChange& change) {
  this->QueryEndpoints(context, group, change, this->settings.query_interval);
  const std::vector<VmName> blockers = context.coordination.ReleaseBlockers(group, context.now);
  // Every VM has adopted the record of this coordinator, and has thereby ended its own orders, or has been without a
  // lease for so long that its last order has taken effect. The former are waited for here.
  const TimePoint orders_ended = std::max(change.started_at, context.coordination.LastAdoptionOfOwnTerm());
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
  const bool confirmed = !state.unconfirmed || AllAnswered(context, group, change);
  if (former_is_primary && confirmed && change.may_abort && context.now >= change.abort_allowed_from &&
      entry != context.directory.end() && !entry->second.draining &&
      context.UnreachableShare(group, state.primary) < this->settings.unreachable_share) {
    this->Finish(context, group, {state.term, state.primary, false}, "the former primary answers again", change);
    return true;
  }
  return false;
}

PrimaryChangeSystem::Candidates PrimaryChangeSystem::FindCandidates(const TickContext& context, const GroupName& group,
                                                                    const GroupState& state,
                                                                    const GroupChange& change) const {
  Candidates found;
  std::size_t best_unreachable = 0;
  std::size_t min_unreachable = SIZE_MAX;
  for (const EndpointEntry* entry : context.Endpoints(group)) {
    // An unconfirmed primary is promoted once more where nothing shows that it wasn't replaced.
    if (entry->name == state.primary && !state.unconfirmed) {
      continue;
    }
    ++found.replicas;
    const auto known = change.statuses.find(entry->name);
    const bool answered = known != change.statuses.end() && known->second.sent_at >= change.released_at;
    found.answered += answered ? 1 : 0;
    const auto excluded = change.excluded.find(entry->name);
    const bool usable = !entry->draining && (excluded == change.excluded.end() || excluded->second < context.now);
    const std::size_t unreachable = context.UnreachableCount(entry->name);
    if (usable && !context.coordination.IsUnreachable(entry->name)) {
      min_unreachable = std::min(min_unreachable, unreachable);
    }
    if (!usable || !answered) {
      continue;
    }
    const LogPosition position = known->second.status.position;
    const bool equal = position == found.position;
    // To promote the present primary once more changes nothing.
    const bool better_equal =
        equal && (unreachable < best_unreachable || (unreachable == best_unreachable && entry->name == state.primary));
    if (found.best.empty() || position > found.position || better_equal) {
      found.best = entry->name;
      found.position = position;
      best_unreachable = unreachable;
    }
  }
  found.more_reachable_exists = !found.best.empty() && min_unreachable < best_unreachable;
  return found;
}

void PrimaryChangeSystem::ChooseCandidate(const TickContext& context, const GroupName& group, const GroupState& state,
                                          GroupChange& change) {
  this->QueryEndpoints(context, group, change, this->settings.query_interval);
  if (this->FinishIfResolved(context, group, state, change)) {
    return;
  }
  const Candidates found = this->FindCandidates(context, group, state, change);
  if (!found.best.empty()) {
    change.no_candidate_since.reset();
  } else if (!change.no_candidate_since) {
    change.no_candidate_since = context.now;
  }
  const auto former = change.statuses.find(state.primary);
  const bool former_answers = former != change.statuses.end() && former->second.sent_at >= change.released_at &&
                              former->second.status.is_primary;
  const bool complete = !found.best.empty() && former_answers && found.position >= former->second.status.position;
  const auto synchronous = context.synchronous_replicas.find(group);
  const bool has_synchronous_replicas = synchronous != context.synchronous_replicas.end() && synchronous->second > 0;
  const Duration waited = context.now - change.released_at;
  const bool all_answered = found.answered == found.replicas;
  const bool enough_answered = all_answered || (!has_synchronous_replicas && waited > this->settings.choice_timeout);
  const bool caught_up = !former_answers || waited > this->settings.catch_up_timeout;
  const bool choosable = complete ? !state.unconfirmed || enough_answered : enough_answered && caught_up;
  // A replica that has answered and lags behind catches up only while the former primary is alive.
  const bool waits_for_reachability =
      found.more_reachable_exists && (former_answers || !all_answered) && waited <= this->settings.reachability_timeout;
  const std::string summary = found.best + " at " + PositionText(found.position) + ", " +
                              std::to_string(found.answered) + " of " + std::to_string(found.replicas) +
                              " replicas answered";
  if (found.best.empty() || waits_for_reachability || !choosable) {
    if (waited > this->settings.choice_timeout && !std::exchange(change.no_candidate_logged, true)) {
      const std::string primary =
          former_answers ? ", the former primary is at " + PositionText(former->second.status.position) : "";
      context.Log(group, "no candidate yet", (found.best.empty() ? "nobody" : summary) + primary);
    }
    return;
  }
  change.candidate = found.best;
  change.phase = Phase::kPromoting;
  change.next_order = context.now;
  change.chosen_at = context.now;
  change.ordered_at = context.now;
  change.order_accepted = false;
  context.Log(group, "candidate chosen", summary);
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

void PrimaryChangeSystem::OnRecordAdopted(const coordination::CoordinationSystem& coordination, Actions& actions) {
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
