#include "core/leadership/witness.h"

#include <algorithm>
#include <chrono>

namespace amaranthlane::leadership {

namespace {

// Whether this process knows every closing of `epoch` that this VM took part in, before and after its restart.
bool IsConfirmed(const WitnessState& witness_state, Epoch epoch) {
  return witness_state.platform_confirmed || witness_state.peer_confirmed_epoch == epoch;
}

bool HasActiveGrant(const WitnessState& witness_state, TimePoint now) { return now < witness_state.expires_at; }

// Rounded up, so that the requester never waits too briefly.
std::chrono::milliseconds RemainingGrant(const WitnessState& witness_state, TimePoint now) {
  return std::chrono::ceil<std::chrono::milliseconds>(witness_state.expires_at - now);
}

void StartInquiry(GroupState& group, Epoch epoch) {
  WitnessState& witness_state = group.witness;
  if (witness_state.inquiry_epoch == epoch) {
    return;
  }
  group.dirty = true;
  witness_state.inquiry_epoch = epoch;
  witness_state.inquiry_replies.clear();
  witness_state.next_inquiry = TimePoint::min();
}

void Grant(LeadershipState& state, TimePoint now, WitnessState& witness_state, const Holder& holder, Ballot ballot) {
  witness_state.floor = ballot;
  witness_state.granted_ballot = ballot;
  witness_state.holder = holder;
  witness_state.granted_at = now;
  witness_state.expires_at = now + state.settings.grant_duration;
}

}  // namespace

GrantReplyEntry DecideGrant(LeadershipState& state, TimePoint now, const Holder& holder,
                            const GrantRequestEntry& entry) {
  GroupState& group = state.groups[entry.group];
  WitnessState& witness_state = group.witness;
  GrantReplyEntry reply{.group = entry.group, .ballot = entry.ballot, .granted = false, .floor = witness_state.floor};
  if (entry.release) {
    if (witness_state.holder == holder && witness_state.granted_ballot <= entry.ballot) {
      witness_state.expires_at = std::min(witness_state.expires_at, now);
      group.dirty = true;
    }
    reply.granted = true;
    return reply;
  }
  if (!IsConfirmed(witness_state, entry.ballot.epoch)) {
    StartInquiry(group, entry.ballot.epoch);
    return reply;
  }
  // One holder at a time, regardless of the ballots: among holders with the same witnesses, this rule alone prevents
  // two valid holders.
  const bool granted_to_other = HasActiveGrant(witness_state, now) && witness_state.holder != holder;
  if (entry.ballot < witness_state.floor || granted_to_other) {
    return reply;
  }
  Grant(state, now, witness_state, holder, entry.ballot);
  reply.granted = true;
  reply.floor = witness_state.floor;
  return reply;
}

CloseReply DecideClose(LeadershipState& state, TimePoint now, const CloseRequest& request) {
  WitnessState& witness_state = state.groups[request.group].witness;
  const bool granted_to_other = HasActiveGrant(witness_state, now) && witness_state.holder != request.closer;
  CloseReply reply;
  reply.witness = state.self.vm;
  reply.group = request.group;
  reply.ballot = request.ballot;
  reply.recovering = !IsConfirmed(witness_state, request.ballot.epoch);
  reply.holder_alive =
      !request.decided && granted_to_other && now < witness_state.granted_at + state.settings.holder_timeout;
  if (request.ballot >= witness_state.floor && !reply.holder_alive) {
    reply.accepted = true;
    witness_state.floor = request.ballot;
    reply.remaining = granted_to_other ? RemainingGrant(witness_state, now) : std::chrono::milliseconds(0);
  }
  reply.floor = witness_state.floor;
  return reply;
}

void ReplyToRequest(LeadershipState& state, TimePoint now, const GrantRequestReceived& event) {
  if (now < state.silent_until) {
    state.actions.emplace_back(RejectRequest{event.reply_id});
    return;
  }
  SendGrantReply action{.reply_id = event.reply_id, .reply = {.witness = state.self.vm, .entries = {}}};
  for (const GrantRequestEntry& entry : event.request.entries) {
    action.reply.entries.push_back(DecideGrant(state, now, event.request.holder, entry));
  }
  state.actions.emplace_back(std::move(action));
}

void ReplyToRequest(LeadershipState& state, TimePoint now, const CloseRequestReceived& event) {
  if (now < state.silent_until) {
    state.actions.emplace_back(RejectRequest{event.reply_id});
    return;
  }
  state.actions.emplace_back(SendCloseReply{event.reply_id, DecideClose(state, now, event.request)});
}

void ConfirmByPlatform(WitnessState& witness_state, Epoch epoch) {
  if (witness_state.platform_confirmed) {
    return;
  }
  witness_state.platform_confirmed = true;
  witness_state.inquiry_epoch = 0;
  // An earlier process on this VM may have closed all ballots below this epoch.
  witness_state.floor = std::max(witness_state.floor, Ballot{.epoch = epoch, .rank = 0});
}

void HandleInquiryReply(LeadershipState& state, GroupState& group, const CloseReplyReceived& event) {
  WitnessState& witness_state = group.witness;
  const CloseReply& reply = event.reply;
  const bool asked =
      witness_state.inquiry_epoch != 0 && reply.ballot == Ballot{.epoch = witness_state.inquiry_epoch, .rank = 0};
  if (!asked || reply.recovering || event.sent_at < state.silent_until || !group.record) {
    return;
  }
  const std::vector<VmName>& witnesses = group.record->witnesses;
  const bool is_witness = std::find(witnesses.begin(), witnesses.end(), reply.witness) != witnesses.end();
  if (group.record->epoch != witness_state.inquiry_epoch || !is_witness || reply.witness == state.self.vm) {
    return;
  }
  witness_state.floor = std::max(witness_state.floor, reply.floor);
  witness_state.inquiry_replies.insert(reply.witness);
  // With this many replies, every majority that included an earlier process on this VM includes a witness that replied.
  const std::size_t needed = witnesses.size() - Majority(witnesses.size()) + 1;
  if (witness_state.inquiry_replies.size() >= needed) {
    witness_state.peer_confirmed_epoch = witness_state.inquiry_epoch;
    witness_state.inquiry_epoch = 0;
  }
}

void RunInquiry(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group) {
  WitnessState& witness_state = group.witness;
  const bool wanted =
      witness_state.inquiry_epoch != 0 && group.record && group.record->epoch == witness_state.inquiry_epoch;
  if (!wanted || !state.DueOrSchedule(now, std::max(witness_state.next_inquiry, state.silent_until))) {
    return;
  }
  witness_state.next_inquiry = now + state.settings.platform_retry_interval;
  state.ScheduleTick(witness_state.next_inquiry);
  for (const VmName& witness : group.record->witnesses) {
    if (witness != state.self.vm && !witness_state.inquiry_replies.contains(witness)) {
      const CloseRequest request{.group = name,
                                 .ballot = {.epoch = witness_state.inquiry_epoch, .rank = 0},
                                 .closer = state.self,
                                 .decided = false};
      state.actions.emplace_back(SendCloseRequest{witness, request});
    }
  }
}

}  // namespace amaranthlane::leadership
