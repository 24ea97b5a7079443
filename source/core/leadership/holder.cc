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

Duration ValidityLength(const LeadershipSettings& settings) { return settings.promise_length - settings.margin; }

void BeginBallot(HolderRow& holder, Phase phase, Ballot ballot, const LeadershipRecord& record) {
  holder.phase = phase;
  holder.ballot = ballot;
  holder.witnesses = record.witnesses;
  holder.closings.clear();
  holder.wait_until = TimePoint::min();
  holder.granted_at.clear();
  holder.refused.clear();
  holder.silent_at.clear();
  holder.next_request = TimePoint::min();
}

void AddUnclosed(HolderRow& holder, const LeadershipRecord& record) {
  for (const UnclosedEpoch& unclosed : record.unclosed) {
    holder.closings.push_back({.witnesses = unclosed.witnesses, .accepted_at = {}, .closed = false});
  }
}

// Whether so many of `witnesses` refused that no majority is left.
bool LacksMajority(const HolderRow& holder, const std::vector<VmName>& witnesses) {
  const auto refused =
      static_cast<std::size_t>(std::count_if(witnesses.begin(), witnesses.end(), [&holder](const VmName& witness) {
        return holder.refused.contains(witness);
      }));
  return !witnesses.empty() && refused + Majority(witnesses.size()) > witnesses.size();
}

void NoteRefusal(HolderRow& holder, const VmName& witness, Ballot floor) {
  if (floor <= holder.ballot) {
    return;
  }
  holder.refused.insert(witness);
  bool lacking = LacksMajority(holder, holder.witnesses);
  for (const Closing& closing : holder.closings) {
    lacking = lacking || (!closing.closed && LacksMajority(holder, closing.witnesses));
  }
  if (lacking) {
    holder.superseded = std::max(holder.superseded, holder.ballot);
  }
}

// Answers older than one promise length don't count: a witness that restarted since is silent for just as long, and
// learns of this closing from the others only if they closed before it asks them.
void CheckClosed(const LeadershipTables& tables, TimePoint now, Closing& closing) {
  const TimePoint oldest = now - ValidityLength(tables.settings);
  std::size_t count = 0;
  for (const VmName& witness : closing.witnesses) {
    const auto accepted = closing.accepted_at.find(witness);
    if (accepted != closing.accepted_at.end() && accepted->second >= oldest) {
      ++count;
    }
  }
  closing.closed = count >= Majority(closing.witnesses.size());
}

// The moment until which a majority of witnesses help nobody else, counted from when they were asked.
TimePoint ComputeValidUntil(const LeadershipTables& tables, const HolderRow& holder) {
  const std::size_t majority = Majority(holder.witnesses.size());
  if (holder.granted_at.size() < majority) {
    return TimePoint::min();
  }
  std::vector<TimePoint> sent;
  for (const auto& [witness, sent_at] : holder.granted_at) {
    sent.push_back(sent_at);
  }
  std::sort(sent.begin(), sent.end(), std::greater<>());
  return sent[majority - 1] + ValidityLength(tables.settings);
}

void ExtendValidity(LeadershipTables& tables, TimePoint now, const GroupName& name, HolderRow& holder) {
  const TimePoint valid_until = ComputeValidUntil(tables, holder);
  if (valid_until <= std::max(now, holder.valid_until)) {
    return;
  }
  holder.valid_until = valid_until;
  holder.valid_ballot = holder.ballot;
  if (holder.leading) {
    tables.actions.emplace_back(ValidityExtended{name, holder.ballot, valid_until});
    return;
  }
  holder.leading = true;
  tables.actions.emplace_back(BecameLeader{name, holder.ballot, valid_until});
}

void TakePromiseReply(LeadershipTables& tables, TimePoint now, const VmName& witness, TimePoint sent_at,
                      const PromiseReply& reply) {
  const auto found = tables.groups.find(reply.group);
  if (found == tables.groups.end()) {
    return;
  }
  GroupRow& group = found->second;
  group.touched = true;
  if (group.release) {
    group.release->pending.erase(witness);
    return;
  }
  HolderRow& holder = group.holder;
  const bool expected = holder.phase == Phase::kHolding && reply.ballot == holder.ballot;
  if (!expected || !Contains(holder.witnesses, witness)) {
    return;
  }
  if (!reply.granted) {
    NoteRefusal(holder, witness, reply.floor);
    return;
  }
  TimePoint& granted_at = holder.granted_at.try_emplace(witness, sent_at).first->second;
  granted_at = std::max(granted_at, sent_at);
  ExtendValidity(tables, now, reply.group, holder);
}

void TakeClosingAnswer(LeadershipTables& tables, TimePoint now, HolderRow& holder, const CloseAnswerReceived& event) {
  const CloseAnswer& answer = event.answer;
  if (!answer.accepted) {
    NoteRefusal(holder, answer.witness, answer.floor);
    return;
  }
  for (Closing& closing : holder.closings) {
    if (!closing.closed && Contains(closing.witnesses, answer.witness)) {
      closing.accepted_at[answer.witness] = event.sent_at;
      holder.wait_until = std::max(holder.wait_until, now + answer.remaining);
      CheckClosed(tables, now, closing);
    }
  }
}

void TakeProbeAnswer(HolderRow& holder, const CloseAnswerReceived& event) {
  if (event.answer.holder_alive) {
    holder.silent_at.erase(event.answer.witness);
  } else {
    holder.silent_at[event.answer.witness] = event.sent_at;
  }
}

void SendClose(LeadershipTables& tables, TimePoint now, const VmName& witness, const CloseRequest& request) {
  if (witness != tables.self.vm) {
    tables.actions.emplace_back(SendCloseRequest{witness, request});
    return;
  }
  if (now >= tables.silent_until) {
    TakeCloseAnswer(tables, now, {.sent_at = now, .answer = DecideClose(tables, now, request)});
  }
}

// A VM that is gone for good can promise nothing any more; what it had promised has to run out.
void CountTerminated(const LeadershipTables& tables, TimePoint now, HolderRow& holder) {
  for (Closing& closing : holder.closings) {
    for (const VmName& witness : closing.witnesses) {
      if (!closing.closed && tables.terminated.contains(witness)) {
        const bool first = closing.accepted_at.insert_or_assign(witness, now).second;
        if (first) {
          holder.wait_until = std::max(holder.wait_until, now + tables.settings.promise_length);
        }
        CheckClosed(tables, now, closing);
      }
    }
  }
}

bool AllClosed(const HolderRow& holder) {
  return std::all_of(holder.closings.begin(), holder.closings.end(),
                     [](const Closing& closing) { return closing.closed; });
}

// The witnesses that have yet to answer; all of an unclosed set, since its older answers grow too old.
std::set<VmName> PendingCloses(const HolderRow& holder) {
  std::set<VmName> pending;
  for (const Closing& closing : holder.closings) {
    if (!closing.closed) {
      pending.insert(closing.witnesses.begin(), closing.witnesses.end());
    }
  }
  return pending;
}

void RunClosing(LeadershipTables& tables, TimePoint now, const GroupName& name, HolderRow& holder) {
  CountTerminated(tables, now, holder);
  if (!AllClosed(holder) && tables.IsDue(now, holder.next_request)) {
    holder.next_request = now + tables.settings.retry;
    const CloseRequest request{
        .group = name, .ballot = holder.ballot, .closer = tables.self, .decided = holder.decided};
    for (const VmName& witness : PendingCloses(holder)) {
      SendClose(tables, now, witness, request);
    }
  }
  if (!AllClosed(holder)) {
    tables.Wake(holder.next_request);
    return;
  }
  if (tables.IsDue(now, holder.wait_until)) {
    holder.phase = Phase::kHolding;
    holder.next_request = now;
  }
}

void RunProbing(LeadershipTables& tables, TimePoint now, const GroupName& name, HolderRow& holder) {
  if (!tables.IsDue(now, holder.next_request)) {
    return;
  }
  holder.next_request = now + tables.settings.retry;
  tables.Wake(holder.next_request);
  const CloseRequest request{.group = name, .ballot = holder.ballot, .closer = tables.self, .decided = false};
  for (const VmName& witness : holder.witnesses) {
    SendClose(tables, now, witness, request);
  }
}

void RunHolding(LeadershipTables& tables, TimePoint now, const GroupName& name, HolderRow& holder) {
  const TimePoint due = holder.leading ? tables.next_beat : holder.next_request;
  if (!tables.IsDue(now, due)) {
    return;
  }
  holder.next_request = now + tables.settings.retry;
  tables.Wake(holder.leading ? now + tables.settings.beat : holder.next_request);
  for (const VmName& witness : holder.witnesses) {
    PromiseRequest& request = tables.requests[witness];
    request.holder = tables.self;
    request.asks.push_back({.group = name, .ballot = holder.ballot, .release = false});
  }
}

// All witnesses that may have a promise to this holder, those of its earlier ballot included.
std::set<VmName> HeldWitnesses(const HolderRow& holder) {
  std::set<VmName> witnesses(holder.witnesses.begin(), holder.witnesses.end());
  for (const Closing& closing : holder.closings) {
    witnesses.insert(closing.witnesses.begin(), closing.witnesses.end());
  }
  return witnesses;
}

void RunRelease(LeadershipTables& tables, TimePoint now, const GroupName& name, Release& release) {
  const bool over = release.pending.empty() || now >= release.given_up_at;
  if (over || !tables.IsDue(now, release.next_request)) {
    return;
  }
  release.next_request = now + tables.settings.retry;
  tables.Wake(release.next_request);
  for (const VmName& witness : release.pending) {
    PromiseRequest& request = tables.requests[witness];
    request.holder = tables.self;
    request.asks.push_back({.group = name, .ballot = release.ballot, .release = true});
  }
}

PromiseAnswer AnswerOwnRequest(LeadershipTables& tables, TimePoint now, const PromiseRequest& request) {
  PromiseAnswer answer{.witness = tables.self.vm, .replies = {}};
  for (const PromiseAsk& ask : request.asks) {
    answer.replies.push_back(DecidePromise(tables, now, request.holder, ask));
  }
  return answer;
}

}  // namespace

void BeginDecided(HolderRow& holder, const LeadershipRecord& record) {
  BeginBallot(holder, Phase::kClosing, {.epoch = record.epoch, .rank = 0}, record);
  holder.decided = true;
  AddUnclosed(holder, record);
}

void BeginTakeover(HolderRow& holder, const LeadershipRecord& record, std::uint32_t rank) {
  BeginBallot(holder, Phase::kClosing, {.epoch = record.epoch, .rank = rank}, record);
  holder.decided = false;
  AddUnclosed(holder, record);
  holder.closings.push_back({.witnesses = record.witnesses, .accepted_at = {}, .closed = false});
}

void BeginProbing(HolderRow& holder, const LeadershipRecord& record) {
  BeginBallot(holder, Phase::kProbing, {.epoch = record.epoch, .rank = 0}, record);
  holder.decided = false;
}

bool ProbeSucceeded(const LeadershipTables& tables, TimePoint now, const HolderRow& holder) {
  std::size_t silent = 0;
  for (const VmName& witness : holder.witnesses) {
    const auto found = holder.silent_at.find(witness);
    const bool heard_none = found != holder.silent_at.end() && found->second >= now - ValidityLength(tables.settings);
    if (heard_none || tables.terminated.contains(witness)) {
      ++silent;
    }
  }
  return silent >= Majority(holder.witnesses.size());
}

void TakePromiseAnswer(LeadershipTables& tables, TimePoint now, const PromiseAnswerReceived& event) {
  for (const PromiseReply& reply : event.answer.replies) {
    TakePromiseReply(tables, now, event.answer.witness, event.sent_at, reply);
  }
}

void TakeCloseAnswer(LeadershipTables& tables, TimePoint now, const CloseAnswerReceived& event) {
  const auto found = tables.groups.find(event.answer.group);
  if (found == tables.groups.end()) {
    return;
  }
  found->second.touched = true;
  TakeInquiryAnswer(tables, found->second, event);
  HolderRow& holder = found->second.holder;
  if (event.answer.ballot != holder.ballot) {
    return;
  }
  if (holder.phase == Phase::kClosing) {
    TakeClosingAnswer(tables, now, holder, event);
  } else if (holder.phase == Phase::kProbing) {
    TakeProbeAnswer(holder, event);
  }
}

void ExpireLeadership(LeadershipTables& tables, TimePoint now) {
  for (auto& [name, group] : tables.groups) {
    if (group.holder.leading && now >= group.holder.valid_until) {
      group.holder.leading = false;
      group.touched = true;
      tables.actions.emplace_back(LostLeadership{name});
    }
  }
}

void RunHolder(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group) {
  HolderRow& holder = group.holder;
  if (holder.leading) {
    tables.Wake(holder.valid_until);
  }
  const bool superseded = holder.superseded >= holder.ballot;
  if (superseded && !holder.leading && holder.phase != Phase::kProbing) {
    holder.phase = Phase::kIdle;
  }
  if (holder.phase == Phase::kProbing) {
    RunProbing(tables, now, name, holder);
  }
  if (holder.phase == Phase::kClosing) {
    RunClosing(tables, now, name, holder);
  }
  if (holder.phase == Phase::kHolding && !superseded) {
    RunHolding(tables, now, name, holder);
  }
  if (group.release) {
    RunRelease(tables, now, name, *group.release);
  }
}

void ReleaseGroup(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group) {
  HolderRow& holder = group.holder;
  if (holder.phase == Phase::kHolding || holder.leading) {
    group.release = Release{.ballot = holder.ballot,
                            .pending = HeldWitnesses(holder),
                            .next_request = now,
                            .given_up_at = now + tables.settings.promise_length};
  }
  if (holder.leading) {
    tables.actions.emplace_back(LostLeadership{name});
  }
  holder.leading = false;
  holder.valid_until = TimePoint::min();
  holder.phase = Phase::kIdle;
}

void FlushPromiseRequests(LeadershipTables& tables, TimePoint now) {
  const std::map<VmName, PromiseRequest> requests = std::exchange(tables.requests, {});
  for (const auto& [witness, request] : requests) {
    if (witness != tables.self.vm) {
      tables.actions.emplace_back(SendPromiseRequest{witness, request});
    } else if (now >= tables.silent_until) {
      TakePromiseAnswer(tables, now, {.sent_at = now, .answer = AnswerOwnRequest(tables, now, request)});
      // What follows from the answer is for the next tick.
      tables.Wake(now);
    }
  }
}

}  // namespace amaranthlane::leadership
