#include <algorithm>
#include <utility>

#include "core/failover/tick_context.h"

// Which replica becomes primary, and when enough is known to choose it. Where commits wait for k replicas, each
// acknowledged one is in k + 1 logs. All logs but k of them therefore show the newest acknowledged commit, whichever
// they are. Every endpoint counts that may have such a log: draining ones, those that don't answer, and those that have
// left.
namespace amaranthlane::failover {

using coordination::GroupState;

namespace {

std::string PositionText(const LogPosition& position) {
  return std::to_string(position.term) + "." + std::to_string(position.offset);
}

}  // namespace

std::uint64_t PrimaryChangeSystem::TickContext::SynchronousReplicas(const GroupName& group) const {
  const auto found = this->synchronous_replicas.find(group);
  return found == this->synchronous_replicas.end() ? 0 : found->second;
}

void PrimaryChangeSystem::TrackReplicas(const TickContext& context, const GroupName& group, const GroupState& state,
                                        GroupChange& change) {
  if (change.tracked_since == kNever) {
    change.tracked_since = context.now;
  }
  this->QueryEndpoints(context, group, change, this->settings.tracking_interval);
  const auto primary = change.statuses.find(state.primary);
  const bool answered = primary != change.statuses.end() && primary->second.sent_at >= change.tracked_since;
  if (!answered || !primary->second.status.is_primary) {
    return;
  }
  if (context.now > change.reference_at + this->settings.max_replica_lag) {
    change.reference = primary->second.status.position;
    change.reference_at = primary->second.sent_at;
  }
  std::uint64_t reached = 0;
  for (const EndpointEntry* entry : context.Endpoints(group)) {
    const auto known = change.statuses.find(entry->name);
    // An earlier answer may be that of a log which the endpoint has lost since.
    if (entry->name == state.primary || known == change.statuses.end() || known->second.sent_at < change.reference_at ||
        known->second.status.position < change.reference) {
      continue;
    }
    ++reached;
    if (!entry->draining) {
      change.kept_up_at = context.now;
    }
  }
  if (reached >= context.SynchronousReplicas(group)) {
    this->log_holders.OnPositionReached(group, change.reference_at);
  }
}

bool PrimaryChangeSystem::MayReplaceDraining(const TickContext& context, const GroupName& group,
                                             const GroupState& state, GroupChange& change) const {
  if (context.SynchronousReplicas(group) == 0) {
    return true;
  }
  const auto primary = change.statuses.find(state.primary);
  const TimePoint answered_at = primary == change.statuses.end() ? TimePoint() : primary->second.sent_at;
  const bool tracked =
      change.tracked_since != kNever && context.now > change.tracked_since + this->settings.silence_timeout;
  const bool silent = tracked && context.now > answered_at + this->settings.silence_timeout;
  const bool keeps_up = context.now <= change.kept_up_at + this->settings.max_replica_lag;
  if (tracked && !silent && !keeps_up && !std::exchange(change.lag_logged, true)) {
    context.Log(group, "keeping the draining primary: no replica that could replace it has its log", state.primary);
  }
  return silent || keeps_up;
}

void PrimaryChangeSystem::Candidates::Add(const Replica& replica, bool draining) {
  Replica& known = draining ? this->best_draining : this->best;
  const bool equal = replica.position == known.position;
  // To promote the present primary once more changes nothing.
  const bool better_equal =
      equal && (replica.unreachable_count < known.unreachable_count ||
                (replica.unreachable_count == known.unreachable_count && replica.present_primary));
  if (known.name.empty() || replica.position > known.position || better_equal) {
    known = replica;
  }
}

PrimaryChangeSystem::Candidates PrimaryChangeSystem::FindCandidates(const TickContext& context, const GroupName& group,
                                                                    const GroupState& state,
                                                                    const GroupChange& change) const {
  Candidates found;
  const bool synchronous = context.SynchronousReplicas(group) > 0;
  std::size_t min_unreachable = SIZE_MAX;
  for (const EndpointEntry* entry : context.Endpoints(group)) {
    const auto known = change.statuses.find(entry->name);
    const bool answered = known != change.statuses.end() && known->second.sent_at >= change.released_at;
    // An unconfirmed primary is promoted once more where nothing shows that it wasn't replaced.
    const bool former = entry->name == state.primary && !state.unconfirmed;
    const bool came_back_as_replica = answered && !known->second.status.is_primary;
    const bool shows_log = answered && this->ShowsLog(entry->name, known->second);
    if (shows_log && (!former || came_back_as_replica)) {
      ++found.logs_answered;
      found.newest = std::max(found.newest, known->second.status.position);
    }
    if (former && !(synchronous && came_back_as_replica)) {
      continue;
    }
    ++found.replicas;
    found.answered += answered ? 1 : 0;
    const auto excluded = change.excluded.find(entry->name);
    const bool accepts_orders = excluded == change.excluded.end() || excluded->second < context.now;
    const std::size_t unreachable = context.UnreachableCount(entry->name);
    const bool unreachable_here = context.coordination.IsUnreachable(entry->name);
    if (!entry->draining && accepts_orders && !unreachable_here) {
      min_unreachable = std::min(min_unreachable, unreachable);
    }
    if (!answered) {
      found.silent_only_here = found.silent_only_here || (unreachable_here && unreachable == 1);
      continue;
    }
    if (accepts_orders && shows_log) {
      found.Add({entry->name, known->second.status.position, unreachable, entry->name == state.primary},
                entry->draining);
    }
  }
  // Endpoints that have left can't become primary, but may show that there is nothing newer.
  for (const coordination::LogHolder& departed : this->log_holders.Askable(group)) {
    const auto known = change.statuses.find(departed.endpoint);
    const bool answered = known != change.statuses.end() && known->second.sent_at >= change.released_at;
    const bool is_former = answered && departed.endpoint == state.primary && known->second.status.is_primary;
    if (answered && !is_former && this->ShowsLog(departed.endpoint, known->second)) {
      ++found.logs_answered;
      found.newest = std::max(found.newest, known->second.status.position);
    }
  }
  found.more_reachable_exists = !found.best.name.empty() && min_unreachable < found.best.unreachable_count;
  return found;
}

bool PrimaryChangeSystem::ShowsLog(const EndpointName& endpoint, const KnownStatus& answer) const {
  return this->log_holders.ShowsLog(endpoint, answer.status.position, answer.sent_at);
}

bool PrimaryChangeSystem::ShowsAcknowledgedCommits(const TickContext& context, const GroupName& group,
                                                   const GroupState& state, const Candidates& found) const {
  const std::vector<coordination::LogHolder> departed = this->log_holders.Departed(group);
  const bool primary_known =
      context.directory.count(state.primary) > 0 ||
      std::any_of(departed.begin(), departed.end(),
                  [&state](const coordination::LogHolder& log) { return log.endpoint == state.primary; });
  const std::size_t logs = context.Endpoints(group).size() + departed.size() + (primary_known ? 0 : 1);
  return found.logs_answered + context.SynchronousReplicas(group) >= logs;
}

void PrimaryChangeSystem::ChooseCandidate(const TickContext& context, const GroupName& group, const GroupState& state,
                                          GroupChange& change) {
  this->QueryEndpoints(context, group, change, this->settings.query_interval);
  if (this->FinishIfResolved(context, group, state, change)) {
    return;
  }
  const Candidates found = this->FindCandidates(context, group, state, change);
  const bool synchronous = context.SynchronousReplicas(group) > 0;
  const auto former = change.statuses.find(state.primary);
  // Where it is waited for without limit, it must go on answering.
  const TimePoint answered_since =
      synchronous ? std::max(change.released_at, context.now - this->settings.silence_timeout) : change.released_at;
  const bool former_answers =
      former != change.statuses.end() && former->second.sent_at >= answered_since && former->second.status.is_primary;
  const bool complete =
      !found.best.name.empty() && former_answers && found.best.position >= former->second.status.position;
  const Duration waited = context.now - change.released_at;
  const bool all_answered = found.answered == found.replicas;
  // A draining endpoint becomes primary only if nobody else has its log, and is replaced in its turn.
  const bool only_draining = synchronous && !former_answers && found.best_draining.position > found.best.position;
  const Replica& choice = only_draining ? found.best_draining : found.best;
  const bool has_acknowledged_commits =
      this->ShowsAcknowledgedCommits(context, group, state, found) && choice.position >= found.newest;
  const bool enough_answered =
      synchronous ? has_acknowledged_commits : all_answered || waited > this->settings.choice_timeout;
  // In a group with synchronous replicas, a change that waits for longer ends in FinishIfResolved.
  const bool caught_up = !former_answers || (!synchronous && waited > this->settings.catch_up_timeout);
  const bool choosable = complete ? !state.unconfirmed || enough_answered : enough_answered && caught_up;
  // A replica that has answered and lags behind catches up only while the former primary is alive.
  const bool waits_for_reachability =
      found.more_reachable_exists && (former_answers || !all_answered) && waited <= this->settings.reachability_timeout;
  const bool needs_other_coordinator = choice.name.empty() || (synchronous && !choosable && found.silent_only_here);
  if (!needs_other_coordinator) {
    change.no_candidate_since.reset();
  } else if (!change.no_candidate_since) {
    change.no_candidate_since = context.now;
  }
  const std::string summary = choice.name + " at " + PositionText(choice.position) + ", " +
                              std::to_string(found.answered) + " of " + std::to_string(found.replicas) +
                              " replicas answered";
  if (choice.name.empty() || waits_for_reachability || !choosable) {
    change.awaits_log = synchronous && waited > this->settings.choice_timeout;
    if (waited > this->settings.choice_timeout && !std::exchange(change.no_candidate_logged, true)) {
      const std::string primary =
          former_answers ? ", the former primary is at " + PositionText(former->second.status.position) : "";
      std::string missing;
      for (const coordination::LogHolder& departed : this->log_holders.Departed(group)) {
        missing += ", " + departed.endpoint + ", whose log may hold acknowledged commits, has left";
      }
      context.Log(group, "no candidate yet", (choice.name.empty() ? "nobody" : summary) + primary + missing);
    }
    return;
  }
  change.awaits_log = false;
  change.candidate = choice.name;
  change.phase = Phase::kPromoting;
  change.next_order = context.now;
  change.chosen_at = context.now;
  change.ordered_at = context.now;
  change.order_accepted = false;
  context.Log(group, "candidate chosen", summary);
}

std::size_t PrimaryChangeSystem::DepartedLogCount() const { return this->log_holders.DepartedCount(); }

std::size_t PrimaryChangeSystem::GroupsAwaitingLog() const {
  return static_cast<std::size_t>(std::count_if(this->changes.begin(), this->changes.end(),
                                                [](const auto& change) { return change.second.awaits_log; }));
}

}  // namespace amaranthlane::failover
