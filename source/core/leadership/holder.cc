#include "core/leadership/holder.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "core/leadership/witness.h"

namespace amaranthlane::leadership {

namespace {

bool Contains(const std::vector<VmName>& vms, const VmName& vm) {
  return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

Duration ValidityLength(const LeadershipSettings& settings) {
  return settings.grant_duration - settings.clock_drift_margin;
}

void BeginBallot(HolderState& holder, Phase phase, Ballot ballot, const LeadershipRecord& record) {
  holder.phase = phase;
  holder.ballot = ballot;
  holder.witnesses = record.witnesses;
  holder.close_quorums.clear();
  holder.lower_grants_end = TimePoint::min();
  holder.granted_sent_at.clear();
  holder.refusing_witnesses.clear();
  holder.no_holder_sent_at.clear();
  holder.next_request = TimePoint::min();
}

void AddUnclosedEpochs(HolderState& holder, const LeadershipRecord& record) {
  for (const UnclosedEpoch& unclosed : record.unclosed) {
    holder.close_quorums.push_back({.witnesses = unclosed.witnesses, .accepted_sent_at = {}, .closed = false});
  }
}

// Whether so many of `witnesses` have refused that no majority is left.
bool CannotReachMajority(const HolderState& holder, const std::vector<VmName>& witnesses) {
  const auto refusals =
      static_cast<std::size_t>(std::count_if(witnesses.begin(), witnesses.end(), [&holder](const VmName& witness) {
        return holder.refusing_witnesses.contains(witness);
      }));
  return !witnesses.empty() && refusals + Majority(witnesses.size()) > witnesses.size();
}

void HandleRefusal(HolderState& holder, const VmName& witness, Ballot floor) {
  if (floor <= holder.ballot) {
    return;
  }
  holder.refusing_witnesses.insert(witness);
  bool majority_unreachable = CannotReachMajority(holder, holder.witnesses);
  for (const CloseQuorum& quorum : holder.close_quorums) {
    majority_unreachable = majority_unreachable || (!quorum.closed && CannotReachMajority(holder, quorum.witnesses));
  }
  if (majority_unreachable) {
    holder.superseded_ballot = std::max(holder.superseded_ballot, holder.ballot);
  }
}

// Accepts whose requests were sent longer ago than the grant duration less the drift margin don't count: a witness that
// has restarted since then is silent for one grant duration, then asks the other witnesses what they have closed, and
// learns of this closing only if they have accepted it by then.
void UpdateClosed(const LeadershipState& state, TimePoint now, CloseQuorum& quorum) {
  const TimePoint oldest = now - ValidityLength(state.settings);
  std::size_t count = 0;
  for (const VmName& witness : quorum.witnesses) {
    const auto accepted = quorum.accepted_sent_at.find(witness);
    if (accepted != quorum.accepted_sent_at.end() && accepted->second >= oldest) {
      ++count;
    }
  }
  quorum.closed = count >= Majority(quorum.witnesses.size());
}

// The time until which a majority of the witnesses makes no grant to another holder, counted from when the requests
// were sent.
TimePoint ComputeValidUntil(const LeadershipState& state, const HolderState& holder) {
  const std::size_t majority = Majority(holder.witnesses.size());
  if (holder.granted_sent_at.size() < majority) {
    return TimePoint::min();
  }
  std::vector<TimePoint> sent;
  for (const auto& [witness, sent_at] : holder.granted_sent_at) {
    sent.push_back(sent_at);
  }
  std::sort(sent.begin(), sent.end(), std::greater<>());
  return sent[majority - 1] + ValidityLength(state.settings);
}

void ExtendValidity(LeadershipState& state, TimePoint now, const GroupName& name, HolderState& holder) {
  const TimePoint valid_until = ComputeValidUntil(state, holder);
  if (valid_until <= std::max(now, holder.valid_until)) {
    return;
  }
  holder.valid_until = valid_until;
  holder.valid_ballot = holder.ballot;
  if (holder.leading) {
    state.actions.emplace_back(ValidityExtended{name, holder.ballot, valid_until});
    return;
  }
  holder.leading = true;
  state.actions.emplace_back(BecameLeader{name, holder.ballot, valid_until});
}

void HandleGrantReplyEntry(LeadershipState& state, TimePoint now, const VmName& witness, TimePoint sent_at,
                           const GrantReplyEntry& entry) {
  const auto found = state.groups.find(entry.group);
  if (found == state.groups.end()) {
    return;
  }
  GroupState& group = found->second;
  group.dirty = true;
  if (group.release) {
    group.release->pending.erase(witness);
    return;
  }
  HolderState& holder = group.holder;
  const bool expected = holder.phase == Phase::kHolding && entry.ballot == holder.ballot;
  if (!expected || !Contains(holder.witnesses, witness)) {
    return;
  }
  if (!entry.granted) {
    HandleRefusal(holder, witness, entry.floor);
    return;
  }
  TimePoint& granted_sent_at = holder.granted_sent_at.try_emplace(witness, sent_at).first->second;
  granted_sent_at = std::max(granted_sent_at, sent_at);
  ExtendValidity(state, now, entry.group, holder);
}

void HandleClosingReply(LeadershipState& state, TimePoint now, HolderState& holder, const CloseReplyReceived& event) {
  const CloseReply& reply = event.reply;
  if (!reply.accepted) {
    HandleRefusal(holder, reply.witness, reply.floor);
    return;
  }
  for (CloseQuorum& quorum : holder.close_quorums) {
    if (!quorum.closed && Contains(quorum.witnesses, reply.witness)) {
      quorum.accepted_sent_at[reply.witness] = event.sent_at;
      holder.lower_grants_end = std::max(holder.lower_grants_end, now + reply.remaining);
      UpdateClosed(state, now, quorum);
    }
  }
}

void HandleProbeReply(HolderState& holder, const CloseReplyReceived& event) {
  if (event.reply.holder_alive) {
    holder.no_holder_sent_at.erase(event.reply.witness);
  } else {
    holder.no_holder_sent_at[event.reply.witness] = event.sent_at;
  }
}

void SendClose(LeadershipState& state, TimePoint now, const VmName& witness, const CloseRequest& request) {
  if (witness != state.self.vm) {
    state.actions.emplace_back(SendCloseRequest{witness, request});
    return;
  }
  if (now >= state.silent_until) {
    HandleCloseReply(state, now, {.sent_at = now, .reply = DecideClose(state, now, request)});
  }
}

// A terminated VM makes no more grants, so it counts as having accepted; a grant that it made before has to expire.
void CountTerminated(const LeadershipState& state, TimePoint now, HolderState& holder) {
  for (CloseQuorum& quorum : holder.close_quorums) {
    for (const VmName& witness : quorum.witnesses) {
      if (!quorum.closed && state.terminated.contains(witness)) {
        const bool first = quorum.accepted_sent_at.insert_or_assign(witness, now).second;
        if (first) {
          holder.lower_grants_end = std::max(holder.lower_grants_end, now + state.settings.grant_duration);
        }
        UpdateClosed(state, now, quorum);
      }
    }
  }
}

bool AllClosed(const HolderState& holder) {
  return std::all_of(holder.close_quorums.begin(), holder.close_quorums.end(),
                     [](const CloseQuorum& quorum) { return quorum.closed; });
}

// The witnesses to ask: all of each set that isn't closed, since earlier accepts become too old to count.
std::set<VmName> PendingCloses(const HolderState& holder) {
  std::set<VmName> pending;
  for (const CloseQuorum& quorum : holder.close_quorums) {
    if (!quorum.closed) {
      pending.insert(quorum.witnesses.begin(), quorum.witnesses.end());
    }
  }
  return pending;
}

void RunClosing(LeadershipState& state, TimePoint now, const GroupName& name, HolderState& holder) {
  CountTerminated(state, now, holder);
  if (!AllClosed(holder) && state.DueOrSchedule(now, holder.next_request)) {
    holder.next_request = now + state.settings.retry_interval;
    const CloseRequest request{.group = name, .ballot = holder.ballot, .closer = state.self, .decided = holder.decided};
    for (const VmName& witness : PendingCloses(holder)) {
      SendClose(state, now, witness, request);
    }
  }
  if (!AllClosed(holder)) {
    state.ScheduleTick(holder.next_request);
    return;
  }
  if (state.DueOrSchedule(now, holder.lower_grants_end)) {
    holder.phase = Phase::kHolding;
    holder.next_request = now;
  }
}

void RunProbing(LeadershipState& state, TimePoint now, const GroupName& name, HolderState& holder) {
  if (!state.DueOrSchedule(now, holder.next_request)) {
    return;
  }
  holder.next_request = now + state.settings.retry_interval;
  state.ScheduleTick(holder.next_request);
  const CloseRequest request{.group = name, .ballot = holder.ballot, .closer = state.self, .decided = false};
  for (const VmName& witness : holder.witnesses) {
    SendClose(state, now, witness, request);
  }
}

void RunHolding(LeadershipState& state, TimePoint now, const GroupName& name, HolderState& holder) {
  const TimePoint due = holder.leading ? state.next_renewal : holder.next_request;
  if (!state.DueOrSchedule(now, due)) {
    return;
  }
  holder.next_request = now + state.settings.retry_interval;
  state.ScheduleTick(holder.leading ? now + state.settings.renewal_interval : holder.next_request);
  for (const VmName& witness : holder.witnesses) {
    GrantRequest& request = state.requests[witness];
    request.holder = state.self;
    request.entries.push_back({.group = name, .ballot = holder.ballot, .release = false});
  }
}

// All witnesses that may have made a grant to this holder, including those for its earlier ballot.
std::set<VmName> GrantingWitnesses(const HolderState& holder) {
  std::set<VmName> witnesses(holder.witnesses.begin(), holder.witnesses.end());
  for (const CloseQuorum& quorum : holder.close_quorums) {
    witnesses.insert(quorum.witnesses.begin(), quorum.witnesses.end());
  }
  return witnesses;
}

void RunRelease(LeadershipState& state, TimePoint now, const GroupName& name, Release& release) {
  const bool over = release.pending.empty() || now >= release.grants_end;
  if (over || !state.DueOrSchedule(now, release.next_request)) {
    return;
  }
  release.next_request = now + state.settings.retry_interval;
  state.ScheduleTick(release.next_request);
  for (const VmName& witness : release.pending) {
    GrantRequest& request = state.requests[witness];
    request.holder = state.self;
    request.entries.push_back({.group = name, .ballot = release.ballot, .release = true});
  }
}

GrantReply ReplyToOwnRequest(LeadershipState& state, TimePoint now, const GrantRequest& request) {
  GrantReply reply{.witness = state.self.vm, .entries = {}};
  for (const GrantRequestEntry& entry : request.entries) {
    reply.entries.push_back(DecideGrant(state, now, request.holder, entry));
  }
  return reply;
}

}  // namespace

void BeginDecidedEpoch(HolderState& holder, const LeadershipRecord& record) {
  BeginBallot(holder, Phase::kClosing, {.epoch = record.epoch, .rank = 0}, record);
  holder.decided = true;
  AddUnclosedEpochs(holder, record);
}

void BeginTakeover(HolderState& holder, const LeadershipRecord& record, std::uint32_t rank) {
  BeginBallot(holder, Phase::kClosing, {.epoch = record.epoch, .rank = rank}, record);
  holder.decided = false;
  AddUnclosedEpochs(holder, record);
  holder.close_quorums.push_back({.witnesses = record.witnesses, .accepted_sent_at = {}, .closed = false});
}

void BeginProbing(HolderState& holder, const LeadershipRecord& record) {
  BeginBallot(holder, Phase::kProbing, {.epoch = record.epoch, .rank = 0}, record);
  holder.decided = false;
}

bool ProbeSucceeded(const LeadershipState& state, TimePoint now, const HolderState& holder) {
  std::size_t without_holder = 0;
  for (const VmName& witness : holder.witnesses) {
    const auto found = holder.no_holder_sent_at.find(witness);
    const bool reported_no_holder =
        found != holder.no_holder_sent_at.end() && found->second >= now - ValidityLength(state.settings);
    if (reported_no_holder || state.terminated.contains(witness)) {
      ++without_holder;
    }
  }
  return without_holder >= Majority(holder.witnesses.size());
}

void HandleGrantReply(LeadershipState& state, TimePoint now, const GrantReplyReceived& event) {
  for (const GrantReplyEntry& entry : event.reply.entries) {
    HandleGrantReplyEntry(state, now, event.reply.witness, event.sent_at, entry);
  }
}

void HandleCloseReply(LeadershipState& state, TimePoint now, const CloseReplyReceived& event) {
  const auto found = state.groups.find(event.reply.group);
  if (found == state.groups.end()) {
    return;
  }
  found->second.dirty = true;
  HandleInquiryReply(state, found->second, event);
  HolderState& holder = found->second.holder;
  if (event.reply.ballot != holder.ballot) {
    return;
  }
  if (holder.phase == Phase::kClosing) {
    HandleClosingReply(state, now, holder, event);
  } else if (holder.phase == Phase::kProbing) {
    HandleProbeReply(holder, event);
  }
}

void ExpireLeadership(LeadershipState& state, TimePoint now) {
  for (auto& [name, group] : state.groups) {
    if (group.holder.leading && now >= group.holder.valid_until) {
      group.holder.leading = false;
      group.dirty = true;
      state.actions.emplace_back(LostLeadership{name});
    }
  }
}

void RunHolder(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group) {
  HolderState& holder = group.holder;
  if (holder.leading) {
    state.ScheduleTick(holder.valid_until);
  }
  const bool superseded = holder.superseded_ballot >= holder.ballot;
  if (superseded && !holder.leading && holder.phase != Phase::kProbing) {
    holder.phase = Phase::kIdle;
  }
  if (holder.phase == Phase::kProbing) {
    RunProbing(state, now, name, holder);
  }
  if (holder.phase == Phase::kClosing) {
    RunClosing(state, now, name, holder);
  }
  if (holder.phase == Phase::kHolding && !superseded) {
    RunHolding(state, now, name, holder);
  }
  if (group.release) {
    RunRelease(state, now, name, *group.release);
  }
}

void ReleaseGroup(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group) {
  HolderState& holder = group.holder;
  if (holder.phase == Phase::kHolding || holder.leading) {
    group.release = Release{.ballot = holder.ballot,
                            .pending = GrantingWitnesses(holder),
                            .next_request = now,
                            .grants_end = now + state.settings.grant_duration};
  }
  if (holder.leading) {
    state.actions.emplace_back(LostLeadership{name});
  }
  holder.leading = false;
  holder.valid_until = TimePoint::min();
  holder.phase = Phase::kIdle;
}

void FlushGrantRequests(LeadershipState& state, TimePoint now) {
  const std::map<VmName, GrantRequest> requests = std::exchange(state.requests, {});
  for (const auto& [witness, request] : requests) {
    if (witness != state.self.vm) {
      state.actions.emplace_back(SendGrantRequest{witness, request});
    } else if (now >= state.silent_until) {
      HandleGrantReply(state, now, {.sent_at = now, .reply = ReplyToOwnRequest(state, now, request)});
      // The next tick acts on the reply.
      state.ScheduleTick(now);
    }
  }
}

}  // namespace amaranthlane::leadership
