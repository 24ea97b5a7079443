#include "core/leadership/witness.h"

#include <algorithm>
#include <chrono>

namespace amaranthlane::leadership {

namespace {

// Whether this process knows every closing of `epoch` that this VM took part in, before and after its restart.
bool IsConfirmed(const WitnessState& witness_state, Epoch epoch) {
  return witness_state.platform_confirmed || witness_state.peer_confirmed_epoch == epoch;
}

bool HoldsPromise(const WitnessState& witness_state, TimePoint now) { return now < witness_state.expires_at; }

// Rounded up, so that the requester never waits too briefly.
std::chrono::milliseconds RemainingPromise(const WitnessState& witness_state, TimePoint now) {
  return std::chrono::ceil<std::chrono::milliseconds>(witness_state.expires_at - now);
}

void StartInquiry(GroupState& group, Epoch epoch) {
  WitnessState& witness_state = group.witness;
  if (witness_state.inquiry_epoch == epoch) {
    return;
  }
  group.dirty = true;
  witness_state.inquiry_epoch = epoch;
  witness_state.inquiry_answers.clear();
  witness_state.next_inquiry = TimePoint::min();
}

void Grant(LeadershipState& state, TimePoint now, WitnessState& witness_state, const Holder& holder, Ballot ballot) {
  witness_state.floor = ballot;
  witness_state.promised = ballot;
  witness_state.holder = holder;
  witness_state.granted_at = now;
  witness_state.expires_at = now + state.settings.promise_length;
}

}  // namespace

PromiseAnswerEntry DecidePromise(LeadershipState& state, TimePoint now, const Holder& holder,
                                 const PromiseRequestEntry& entry) {
  GroupState& group = state.groups[entry.group];
  WitnessState& witness_state = group.witness;
  PromiseAnswerEntry answer{
      .group = entry.group, .ballot = entry.ballot, .granted = false, .floor = witness_state.floor};
  if (entry.release) {
    if (witness_state.holder == holder && witness_state.promised <= entry.ballot) {
      witness_state.expires_at = std::min(witness_state.expires_at, now);
      group.dirty = true;
    }
    answer.granted = true;
    return answer;
  }
  if (!IsConfirmed(witness_state, entry.ballot.epoch)) {
    StartInquiry(group, entry.ballot.epoch);
    return answer;
  }
  // One holder at a time, whatever the ballots: among holders with the same witnesses, this rule alone prevents two
  // valid holders.
  const bool promised_to_other = HoldsPromise(witness_state, now) && witness_state.holder != holder;
  if (entry.ballot < witness_state.floor || promised_to_other) {
    return answer;
  }
  Grant(state, now, witness_state, holder, entry.ballot);
  answer.granted = true;
  answer.floor = witness_state.floor;
  return answer;
}

CloseAnswer DecideClose(LeadershipState& state, TimePoint now, const CloseRequest& request) {
  WitnessState& witness_state = state.groups[request.group].witness;
  const bool promised_to_other = HoldsPromise(witness_state, now) && witness_state.holder != request.closer;
  CloseAnswer answer;
  answer.witness = state.self.vm;
  answer.group = request.group;
  answer.ballot = request.ballot;
  answer.recovering = !IsConfirmed(witness_state, request.ballot.epoch);
  answer.holder_alive =
      !request.decided && promised_to_other && now < witness_state.granted_at + state.settings.holder_silence;
  if (request.ballot >= witness_state.floor && !answer.holder_alive) {
    answer.accepted = true;
    witness_state.floor = request.ballot;
    answer.remaining = promised_to_other ? RemainingPromise(witness_state, now) : std::chrono::milliseconds(0);
  }
  answer.floor = witness_state.floor;
  return answer;
}

void AnswerRequest(LeadershipState& state, TimePoint now, const PromiseRequestReceived& event) {
  if (now < state.silent_until) {
    state.actions.emplace_back(DropRequest{event.reply_id});
    return;
  }
  AnswerPromise action{.reply_id = event.reply_id, .answer = {.witness = state.self.vm, .entries = {}}};
  for (const PromiseRequestEntry& entry : event.request.entries) {
    action.answer.entries.push_back(DecidePromise(state, now, event.request.holder, entry));
  }
  state.actions.emplace_back(std::move(action));
}

void AnswerRequest(LeadershipState& state, TimePoint now, const CloseRequestReceived& event) {
  if (now < state.silent_until) {
    state.actions.emplace_back(DropRequest{event.reply_id});
    return;
  }
  state.actions.emplace_back(AnswerClose{event.reply_id, DecideClose(state, now, event.request)});
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

void HandleInquiryAnswer(LeadershipState& state, GroupState& group, const CloseAnswerReceived& event) {
  WitnessState& witness_state = group.witness;
  const CloseAnswer& answer = event.answer;
  const bool asked =
      witness_state.inquiry_epoch != 0 && answer.ballot == Ballot{.epoch = witness_state.inquiry_epoch, .rank = 0};
  if (!asked || answer.recovering || event.sent_at < state.silent_until || !group.record) {
    return;
  }
  const std::vector<VmName>& witnesses = group.record->witnesses;
  const bool is_witness = std::find(witnesses.begin(), witnesses.end(), answer.witness) != witnesses.end();
  if (group.record->epoch != witness_state.inquiry_epoch || !is_witness || answer.witness == state.self.vm) {
    return;
  }
  witness_state.floor = std::max(witness_state.floor, answer.floor);
  witness_state.inquiry_answers.insert(answer.witness);
  // Enough that every majority that closed the epoch together with an earlier process on this VM includes one of them.
  const std::size_t needed = witnesses.size() - Majority(witnesses.size()) + 1;
  if (witness_state.inquiry_answers.size() >= needed) {
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
    if (witness != state.self.vm && !witness_state.inquiry_answers.contains(witness)) {
      const CloseRequest request{.group = name,
                                 .ballot = {.epoch = witness_state.inquiry_epoch, .rank = 0},
                                 .closer = state.self,
                                 .decided = false};
      state.actions.emplace_back(SendCloseRequest{witness, request});
    }
  }
}

}  // namespace amaranthlane::leadership
