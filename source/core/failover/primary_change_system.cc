#include "core/failover/primary_change_system.h"

#include <algorithm>
#include <utility>

namespace amaranthlane::failover {

using coordination::GroupState;

namespace {

std::string PositionText(const LogPosition& position) {
  return std::to_string(position.term) + "." + std::to_string(position.offset);
}

// A candidate that the platform refused isn't tried again for so long.
constexpr std::chrono::milliseconds kExclusion{1000};
// Groups whose primary is looked for at a time: each needs new connections, and a new holder may have many groups.
constexpr std::size_t kDiscoveriesAtOnce = 16;
// How long a group is looked at until others have their turn, and how long only those endpoints are asked that say of
// themselves that they lead.
constexpr std::chrono::milliseconds kDiscoveryTurn{1000};
constexpr std::chrono::milliseconds kClaimsOnly{300};

}  // namespace

// What one run of the system works on.
struct PrimaryChangeSystem::View {
  const EndpointDirectory& directory;
  const std::map<GroupName, std::uint64_t>& synchronous_replicas;
  coordination::CoordinationSystem& coordination;
  TimePoint now;
  coordination::Actions& updates;
  Actions& actions;
  // Filled on the holder of the duty only.
  std::map<GroupName, std::vector<const EndpointEntry*>> by_group = {};
  std::map<EndpointName, std::size_t> suspicions = {};
  // What the record is to say; all of it goes into one update.
  std::map<GroupName, GroupState> proposed = {};
  std::string reasons = {};
  std::size_t discoveries = 0;

  std::vector<const EndpointEntry*> Endpoints(const GroupName& group) const {
    const auto found = this->by_group.find(group);
    return found == this->by_group.end() ? std::vector<const EndpointEntry*>{} : found->second;
  }
  std::size_t SuspectedBy(const EndpointName& endpoint) const {
    const auto found = this->suspicions.find(endpoint);
    return found == this->suspicions.end() ? 0 : found->second;
  }
  // Of the VMs with connections to the group, the share that can't reach its primary.
  double SuspectShare(const GroupName& group, const EndpointName& primary) const {
    const std::size_t suspecting = this->SuspectedBy(primary);
    if (suspecting == 0) {
      return 0;
    }
    const std::size_t all = suspecting + this->coordination.Reaching(group, this->now);
    return static_cast<double>(suspecting) / static_cast<double>(all);
  }
  void Propose(const GroupName& group, const GroupState& state, const std::string& reason) {
    this->proposed[group] = state;
    this->reasons += (this->reasons.empty() ? "" : "; ") + reason;
  }
  void Log(const GroupName& group, const std::string& step, const std::string& why) const {
    this->actions.emplace_back(ChangeStep{group, step, why});
  }
};

PrimaryChangeSystem::PrimaryChangeSystem(const FailoverSettings& settings) : settings(settings) {}

void PrimaryChangeSystem::Tick(const EndpointDirectory& directory,
                               const std::map<GroupName, std::uint64_t>& synchronous_replicas,
                               coordination::CoordinationSystem& coordination, TimePoint now,
                               coordination::Actions& updates, Actions& actions) {
  View view{directory, synchronous_replicas, coordination, now, updates, actions};
  this->SendStepDowns(view);
  if (!coordination.IsHolder()) {
    this->changes.clear();
    coordination.WantRelief(false);
    return;
  }
  std::set<GroupName> groups;
  for (const auto& [name, entry] : directory) {
    view.by_group[entry.group].push_back(&entry);
    groups.insert(entry.group);
  }
  view.suspicions = coordination.Suspicions(now);
  for (const auto& [name, state] : coordination.Record()->groups) {
    groups.insert(name);
  }
  bool stuck = false;
  for (const GroupName& group : groups) {
    GroupChange& change = this->changes[group];
    const auto found = coordination.Record()->groups.find(group);
    if (found == coordination.Record()->groups.end()) {
      this->Discover(view, group, change);
      continue;
    }
    const GroupState state = found->second;
    if (state.changing && change.phase == Phase::kSteady) {
      change.phase = Phase::kReleasing;
      change.started = now;
      change.may_abort = true;
    }
    if (!state.changing && change.phase != Phase::kSteady) {
      change = {};
    }
    if (change.phase == Phase::kSteady) {
      this->Steady(view, group, state, change);
    }
    if (change.phase == Phase::kReleasing) {
      this->Release(view, group, change);
    }
    if (change.phase == Phase::kChoosing) {
      this->Choose(view, group, state, change);
    }
    if (change.phase == Phase::kPromoting) {
      this->Promote(view, group, state, change);
    }
    if (change.phase == Phase::kRecording) {
      this->Record(view, group, state, change);
    }
    const bool choosing = change.phase == Phase::kChoosing && change.nobody_since &&
                          now > *change.nobody_since + this->settings.stuck_limit;
    const bool ordering = change.phase == Phase::kPromoting && !change.order_accepted &&
                          now > change.chosen_at + this->settings.stuck_limit;
    stuck = stuck || choosing || ordering;
  }
  coordination.WantRelief(stuck || coordination.WriteStuck(now));
  this->Submit(view);
}

void PrimaryChangeSystem::Submit(View& view) {
  if (view.proposed.empty() || !view.coordination.ProposeGroups(view.proposed, view.reasons, view.now, view.updates)) {
    return;
  }
  for (const auto& [group, state] : view.proposed) {
    GroupChange& change = this->changes[group];
    if (state.changing && change.phase == Phase::kSteady) {
      change.own = true;
      view.Log(group, "change of primary begins", change.reason);
    }
  }
}

void PrimaryChangeSystem::Discover(View& view, const GroupName& group, GroupChange& change) {
  const EndpointName* primary = nullptr;
  Term term = 0;
  for (const auto& [name, known] : change.statuses) {
    if (known.status.is_primary && known.status.term > term) {
      primary = &name;
      term = known.status.term;
    }
  }
  if (primary == nullptr) {
    this->Search(view, group, change);
    return;
  }
  view.Propose(group, {term, *primary, false}, group + " is led by " + *primary);
}

void PrimaryChangeSystem::Search(View& view, const GroupName& group, GroupChange& change) const {
  if (view.now < change.search_from || view.discoveries >= kDiscoveriesAtOnce) {
    return;
  }
  ++view.discoveries;
  if (!change.searched_since) {
    change.searched_since = view.now;
  } else if (view.now > *change.searched_since + kDiscoveryTurn) {
    change.search_from = view.now + kDiscoveryTurn;
    change.searched_since.reset();
    return;
  }
  if (view.now < change.next_query) {
    return;
  }
  change.next_query = view.now + this->settings.query_interval * 2;
  const std::vector<const EndpointEntry*> endpoints = view.Endpoints(group);
  const bool claimed =
      std::any_of(endpoints.begin(), endpoints.end(), [](const EndpointEntry* entry) { return entry->claims_primary; });
  const bool claims_only = claimed && view.now < *change.searched_since + kClaimsOnly;
  for (const EndpointEntry* entry : endpoints) {
    if (!claims_only || entry->claims_primary) {
      view.actions.emplace_back(QueryStatus{entry->name});
    }
  }
}

void PrimaryChangeSystem::Steady(View& view, const GroupName& group, const GroupState& state, GroupChange& change) {
  const std::string reason = this->ReasonToChange(view, group, state, change);
  if (reason.empty() || !view.coordination.MayPromote(view.now)) {
    change.waiting_logged = false;
    return;
  }
  if (!view.coordination.CanRelease(view.now)) {
    // A change that can't be finished would only stop those who use the primary well.
    if (!change.waiting_logged) {
      change.waiting_logged = true;
      view.Log(group, "no change of primary: too few members are heard", reason);
    }
    return;
  }
  change.reason = reason;
  view.Propose(group, {state.term, state.primary, true}, reason);
}

std::string PrimaryChangeSystem::ReasonToChange(const View& view, const GroupName& group, const GroupState& state,
                                                GroupChange& change) const {
  const std::vector<const EndpointEntry*> endpoints = view.Endpoints(group);
  const bool successor = std::any_of(endpoints.begin(), endpoints.end(), [&](const EndpointEntry* entry) {
    return entry->name != state.primary && !entry->draining;
  });
  if (!successor) {
    return {};
  }
  const auto entry = view.directory.find(state.primary);
  if (entry != view.directory.end()) {
    change.missing_since.reset();
    if (entry->second.draining) {
      return state.primary + " is draining";
    }
  } else if (!change.missing_since) {
    change.missing_since = view.now;
  } else if (view.now > *change.missing_since + this->settings.missing_limit) {
    return state.primary + " has no entry";
  }
  if (this->Disagrees(view, endpoints, state, change)) {
    return "another endpoint says that it leads";
  }
  const double share = view.SuspectShare(group, state.primary);
  if (share < this->settings.suspect_share) {
    change.kept_logged = false;
    return {};
  }
  const std::string reason = state.primary + " is out of reach for a share of " + std::to_string(share) + " of the VMs";
  if (this->ReachedBetter(view, endpoints, state, share)) {
    return reason;
  }
  if (!std::exchange(change.kept_logged, true)) {
    view.Log(group, "no change of primary: no replica is reached by enough more VMs", reason);
  }
  return {};
}

bool PrimaryChangeSystem::ReachedBetter(const View& view, const std::vector<const EndpointEntry*>& endpoints,
                                        const GroupState& state, double share) const {
  const std::size_t suspecting = view.SuspectedBy(state.primary);
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const EndpointEntry* entry) {
    // What this VM can't ask, it can't choose.
    if (entry->name == state.primary || entry->draining || view.coordination.Suspects(entry->name)) {
      return false;
    }
    const std::size_t left = view.SuspectedBy(entry->name);
    const double gained = share * (1 - static_cast<double>(left) / static_cast<double>(suspecting));
    return left < suspecting && (share >= 1 || gained >= this->settings.suspect_share);
  });
}

// An order of a former holder can take effect after the record was settled.
bool PrimaryChangeSystem::Disagrees(const View& view, const std::vector<const EndpointEntry*>& endpoints,
                                    const GroupState& state, GroupChange& change) const {
  bool own_claim = false;
  bool other_claim = false;
  for (const EndpointEntry* entry : endpoints) {
    (entry->name == state.primary ? own_claim : other_claim) |= entry->claims_primary;
  }
  if (own_claim || !other_claim) {
    change.disagrees_since.reset();
  } else if (!change.disagrees_since) {
    change.disagrees_since = view.now;
  }
  return change.disagrees_since && view.now > *change.disagrees_since + this->settings.disagreement_limit;
}

void PrimaryChangeSystem::Release(const View& view, const GroupName& group, GroupChange& change) {
  this->Query(view, group, change, this->settings.query_interval);
  const std::vector<VmName> holdouts = view.coordination.Holdouts(group, view.now);
  if (holdouts.empty() && !change.own && view.now < change.started + this->settings.inherited_orders) {
    return;
  }
  if (holdouts.empty()) {
    change.phase = Phase::kChoosing;
    change.released_at = view.now;
    change.abort_from = change.own ? view.now : view.now + this->settings.inherited_orders;
    change.next_query = view.now;
    view.Log(group, "all VMs released the primary", change.reason);
    this->Query(view, group, change, this->settings.query_interval);
  } else if (!change.waiting_logged) {
    change.waiting_logged = true;
    view.Log(group, "waiting for VMs to release the primary", holdouts.front());
  }
}

// Ends the change when an endpoint leads already, or when the old primary is back. Returns true when it ended.
bool PrimaryChangeSystem::Settled(const View& view, const GroupName& group, const GroupState& state,
                                  GroupChange& change) {
  // An order of this VM that is under way may take effect after another endpoint's.
  const bool ordered =
      !change.candidate.empty() && !change.may_abort && view.now < change.ordered_at + this->settings.promotion_limit;
  for (const auto& [name, known] : change.statuses) {
    // In the same term under another name it is the former primary's server, started again: a term has one primary.
    const bool newer = known.status.term > state.term || (known.status.term == state.term && name != state.primary);
    const bool leads = known.sent_at >= change.released_at && known.status.is_primary && newer;
    if (leads && (!ordered || name == change.candidate)) {
      this->Finish(view, group, {known.status.term, name, false}, name + " leads", change);
      return true;
    }
  }
  const auto former = change.statuses.find(state.primary);
  const auto entry = view.directory.find(state.primary);
  const bool leads = former != change.statuses.end() && former->second.sent_at >= change.released_at &&
                     former->second.status.is_primary && former->second.status.term == state.term;
  if (leads && change.may_abort && view.now >= change.abort_from && entry != view.directory.end() &&
      !entry->second.draining && view.SuspectShare(group, state.primary) < this->settings.suspect_share) {
    this->Finish(view, group, {state.term, state.primary, false}, "the primary answers again", change);
    return true;
  }
  return false;
}

PrimaryChangeSystem::Candidates PrimaryChangeSystem::FindCandidates(const View& view, const GroupName& group,
                                                                    const GroupState& state,
                                                                    const GroupChange& change) const {
  Candidates found;
  std::size_t best_suspected = 0;
  std::size_t least_suspected = SIZE_MAX;
  for (const EndpointEntry* entry : view.Endpoints(group)) {
    if (entry->name == state.primary) {
      continue;
    }
    ++found.replicas;
    const auto known = change.statuses.find(entry->name);
    const bool answered = known != change.statuses.end() && known->second.sent_at >= change.released_at;
    found.answered += answered ? 1 : 0;
    const auto excluded = change.excluded.find(entry->name);
    const bool usable = !entry->draining && (excluded == change.excluded.end() || excluded->second < view.now);
    const std::size_t suspected = view.SuspectedBy(entry->name);
    if (usable && !view.coordination.Suspects(entry->name)) {
      least_suspected = std::min(least_suspected, suspected);
    }
    if (!usable || !answered) {
      continue;
    }
    const LogPosition position = known->second.status.position;
    if (found.best.empty() || position > found.position || (position == found.position && suspected < best_suspected)) {
      found.best = entry->name;
      found.position = position;
      best_suspected = suspected;
    }
  }
  found.better_reached = !found.best.empty() && least_suspected < best_suspected;
  return found;
}

void PrimaryChangeSystem::Choose(const View& view, const GroupName& group, const GroupState& state,
                                 GroupChange& change) {
  this->Query(view, group, change, this->settings.query_interval);
  if (this->Settled(view, group, state, change)) {
    return;
  }
  const Candidates found = this->FindCandidates(view, group, state, change);
  if (!found.best.empty()) {
    change.nobody_since.reset();
  } else if (!change.nobody_since) {
    change.nobody_since = view.now;
  }
  const auto former = change.statuses.find(state.primary);
  const bool former_answers = former != change.statuses.end() && former->second.sent_at >= change.released_at &&
                              former->second.status.is_primary;
  const bool complete = !found.best.empty() && former_answers && found.position >= former->second.status.position;
  const auto synchronous = view.synchronous_replicas.find(group);
  const bool must_cover = synchronous != view.synchronous_replicas.end() && synchronous->second > 0;
  const Duration waited = view.now - change.released_at;
  const bool all = found.answered == found.replicas;
  const bool enough = all || (!must_cover && waited > this->settings.choice_limit);
  const bool caught_up = !former_answers || waited > this->settings.catch_up_limit;
  // A replica that has answered and is behind catches up only while the former primary lives.
  const bool reach_waits = found.better_reached && (former_answers || !all) && waited <= this->settings.reach_limit;
  const std::string told = found.best + " at " + PositionText(found.position) + ", " + std::to_string(found.answered) +
                           " of " + std::to_string(found.replicas) + " replicas answered";
  if (found.best.empty() || reach_waits || (!complete && (!enough || !caught_up))) {
    if (waited > this->settings.choice_limit && !std::exchange(change.choosing_logged, true)) {
      const std::string primary =
          former_answers ? ", the former primary is at " + PositionText(former->second.status.position) : "";
      view.Log(group, "no candidate yet", (found.best.empty() ? "nobody" : told) + primary);
    }
    return;
  }
  change.candidate = found.best;
  change.phase = Phase::kPromoting;
  change.next_order = view.now;
  change.chosen_at = view.now;
  change.ordered_at = view.now;
  change.order_accepted = false;
  view.Log(group, "candidate chosen", told);
}

void PrimaryChangeSystem::Promote(const View& view, const GroupName& group, const GroupState& state,
                                  GroupChange& change) {
  if (this->Settled(view, group, state, change)) {
    return;
  }
  this->Query(view, group, change, this->settings.query_interval);
  if (change.candidate.empty() ||
      (change.order_accepted && view.now > change.ordered_at + this->settings.promotion_limit)) {
    change.candidate.clear();
    change.phase = Phase::kChoosing;
    change.released_at = view.now;
    return;
  }
  if (change.order_accepted || view.now < change.next_order || !view.coordination.MayPromote(view.now)) {
    return;
  }
  change.next_order = view.now + this->settings.order_interval;
  change.ordered_at = view.now;
  change.may_abort = false;
  view.actions.emplace_back(OrderPromotion{group, change.candidate, view.coordination.Record()->fencing_token});
}

void PrimaryChangeSystem::OnPromotionResult(const GroupName& group, const EndpointName& endpoint,
                                            PromotionResult result, TimePoint now) {
  const auto found = this->changes.find(group);
  if (found == this->changes.end() || found->second.candidate != endpoint) {
    return;
  }
  if (result == PromotionResult::kAccepted) {
    found->second.order_accepted = true;
    found->second.ordered_at = now;
  } else if (result == PromotionResult::kRefused) {
    found->second.excluded[endpoint] = now + kExclusion;
    found->second.candidate.clear();
  }
}

void PrimaryChangeSystem::Finish(const View& view, const GroupName& group, const GroupState& next,
                                 const std::string& why, GroupChange& change) {
  change.phase = Phase::kRecording;
  change.next = next;
  const auto& state = view.coordination.Record()->groups.at(group);
  if (next.primary != state.primary) {
    this->step_downs.push_back({state.primary, next.term, this->settings.step_downs, view.now});
  }
  view.Log(group, "change of primary decided", next.primary + " in term " + std::to_string(next.term) + ": " + why);
}

void PrimaryChangeSystem::Record(View& view, const GroupName& group, const GroupState& /*state*/, GroupChange& change) {
  view.Propose(group, change.next, "change of primary ends");
}

void PrimaryChangeSystem::Query(const View& view, const GroupName& group, GroupChange& change,
                                Duration interval) const {
  if (view.now < change.next_query) {
    return;
  }
  change.next_query = view.now + interval;
  for (const EndpointEntry* entry : view.Endpoints(group)) {
    view.actions.emplace_back(QueryStatus{entry->name});
  }
}

void PrimaryChangeSystem::SendStepDowns(const View& view) {
  for (PendingStepDown& pending : this->step_downs) {
    if (view.now >= pending.next && view.directory.count(pending.endpoint) > 0) {
      view.actions.emplace_back(StepDown{pending.endpoint, pending.term});
    }
    if (view.now >= pending.next) {
      pending.next = view.now + this->settings.step_down_interval;
      --pending.left;
    }
  }
  std::erase_if(this->step_downs, [](const PendingStepDown& pending) { return pending.left <= 0; });
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
