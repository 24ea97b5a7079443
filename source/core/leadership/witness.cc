#include "core/leadership/witness.h"

#include <algorithm>
#include <chrono>

namespace amaranthlane::leadership {

namespace {

// Whether this process knows every closing of `epoch` that it took part in, in this life or an earlier one.
bool IsConfirmed(const WitnessRow& row, Epoch epoch) { return row.platform_confirmed || row.peer_confirmed == epoch; }

bool HoldsPromise(const WitnessRow& row, TimePoint now) { return now < row.expires_at; }

// Rounded up, so that the asker never waits too short a time.
std::chrono::milliseconds RemainingPromise(const WitnessRow& row, TimePoint now) {
  return std::chrono::ceil<std::chrono::milliseconds>(row.expires_at - now);
}

void StartInquiry(GroupRow& group, Epoch epoch) {
  WitnessRow& row = group.witness;
  if (row.inquired == epoch) {
    return;
  }
  group.touched = true;
  row.inquired = epoch;
  row.inquiry_answers.clear();
  row.next_inquiry = TimePoint::min();
}

void Grant(LeadershipTables& tables, TimePoint now, WitnessRow& row, const Holder& holder, Ballot ballot) {
  row.floor = ballot;
  row.promised = ballot;
  row.holder = holder;
  row.granted_at = now;
  row.expires_at = now + tables.settings.promise_length;
}

}  // namespace

PromiseReply DecidePromise(LeadershipTables& tables, TimePoint now, const Holder& holder, const PromiseAsk& ask) {
  GroupRow& group = tables.groups[ask.group];
  WitnessRow& row = group.witness;
  PromiseReply reply{.group = ask.group, .ballot = ask.ballot, .granted = false, .floor = row.floor};
  if (ask.release) {
    if (row.holder == holder && row.promised <= ask.ballot) {
      row.expires_at = std::min(row.expires_at, now);
      group.touched = true;
    }
    reply.granted = true;
    return reply;
  }
  if (!IsConfirmed(row, ask.ballot.epoch)) {
    StartInquiry(group, ask.ballot.epoch);
    return reply;
  }
  // One holder at a time, whatever the ballots: within one set of witnesses this alone keeps two holders apart.
  const bool promised_to_other = HoldsPromise(row, now) && row.holder != holder;
  if (ask.ballot < row.floor || promised_to_other) {
    return reply;
  }
  Grant(tables, now, row, holder, ask.ballot);
  reply.granted = true;
  reply.floor = row.floor;
  return reply;
}

CloseAnswer DecideClose(LeadershipTables& tables, TimePoint now, const CloseRequest& request) {
  WitnessRow& row = tables.groups[request.group].witness;
  const bool promised_to_other = HoldsPromise(row, now) && row.holder != request.closer;
  CloseAnswer answer;
  answer.witness = tables.self.vm;
  answer.group = request.group;
  answer.ballot = request.ballot;
  answer.recovering = !IsConfirmed(row, request.ballot.epoch);
  answer.holder_alive = !request.decided && promised_to_other && now < row.granted_at + tables.settings.holder_silence;
  if (request.ballot >= row.floor && !answer.holder_alive) {
    answer.accepted = true;
    row.floor = request.ballot;
    answer.remaining = promised_to_other ? RemainingPromise(row, now) : std::chrono::milliseconds(0);
  }
  answer.floor = row.floor;
  return answer;
}

void AnswerRequest(LeadershipTables& tables, TimePoint now, const PromiseRequestReceived& event) {
  if (now < tables.silent_until) {
    tables.actions.emplace_back(DropRequest{event.reply_id});
    return;
  }
  AnswerPromise action{.reply_id = event.reply_id, .answer = {.witness = tables.self.vm, .replies = {}}};
  for (const PromiseAsk& ask : event.request.asks) {
    action.answer.replies.push_back(DecidePromise(tables, now, event.request.holder, ask));
  }
  tables.actions.emplace_back(std::move(action));
}

void AnswerRequest(LeadershipTables& tables, TimePoint now, const CloseRequestReceived& event) {
  if (now < tables.silent_until) {
    tables.actions.emplace_back(DropRequest{event.reply_id});
    return;
  }
  tables.actions.emplace_back(AnswerClose{event.reply_id, DecideClose(tables, now, event.request)});
}

void ConfirmByPlatform(WitnessRow& row, Epoch epoch) {
  if (row.platform_confirmed) {
    return;
  }
  row.platform_confirmed = true;
  row.inquired = 0;
  // A former life may have closed all that is below this epoch.
  row.floor = std::max(row.floor, Ballot{.epoch = epoch, .rank = 0});
}

void TakeInquiryAnswer(LeadershipTables& tables, GroupRow& group, const CloseAnswerReceived& event) {
  WitnessRow& row = group.witness;
  const CloseAnswer& answer = event.answer;
  const bool asked = row.inquired != 0 && answer.ballot == Ballot{.epoch = row.inquired, .rank = 0};
  if (!asked || answer.recovering || event.sent_at < tables.silent_until || !group.record) {
    return;
  }
  const std::vector<VmName>& witnesses = group.record->witnesses;
  const bool is_witness = std::find(witnesses.begin(), witnesses.end(), answer.witness) != witnesses.end();
  if (group.record->epoch != row.inquired || !is_witness || answer.witness == tables.self.vm) {
    return;
  }
  row.floor = std::max(row.floor, answer.floor);
  row.inquiry_answers.insert(answer.witness);
  // So many that every majority which closed the epoch with this VM's former life has one of them.
  const std::size_t needed = witnesses.size() - Majority(witnesses.size()) + 1;
  if (row.inquiry_answers.size() >= needed) {
    row.peer_confirmed = row.inquired;
    row.inquired = 0;
  }
}

void RunInquiry(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group) {
  WitnessRow& row = group.witness;
  const bool wanted = row.inquired != 0 && group.record && group.record->epoch == row.inquired;
  if (!wanted || !tables.IsDue(now, std::max(row.next_inquiry, tables.silent_until))) {
    return;
  }
  row.next_inquiry = now + tables.settings.platform_retry;
  tables.Wake(row.next_inquiry);
  for (const VmName& witness : group.record->witnesses) {
    if (witness != tables.self.vm && !row.inquiry_answers.contains(witness)) {
      const CloseRequest request{
          .group = name, .ballot = {.epoch = row.inquired, .rank = 0}, .closer = tables.self, .decided = false};
      tables.actions.emplace_back(SendCloseRequest{witness, request});
    }
  }
}

}  // namespace amaranthlane::leadership
