#ifndef AMARANTHLANE_CORE_LEADERSHIP_LEADERSHIP_STATE_H_
#define AMARANTHLANE_CORE_LEADERSHIP_LEADERSHIP_STATE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/leadership/actions.h"
#include "core/leadership/events.h"
#include "core/leadership/record.h"
#include "core/leadership/settings.h"
#include "core/types.h"

// The state that the leadership systems run over.
namespace amaranthlane::leadership {

// What this VM promised as a witness of one group.
struct WitnessState {
  // Nothing below is granted any more.
  Ballot floor;
  // The last promise. It stands until `expires_at`, on this VM's clock.
  Ballot promised;
  Holder holder;
  TimePoint granted_at = TimePoint::min();
  TimePoint expires_at = TimePoint::min();
  // This process heard the record from the platform, so that every closing after that is remembered.
  bool platform_confirmed = false;
  // The epoch of which enough other witnesses told this one what was closed; 0 for none.
  Epoch peer_confirmed_epoch = 0;
  // The epoch that this restarted witness inquires about among the others; 0 for none.
  Epoch inquiry_epoch = 0;
  std::set<VmName> inquiry_answers;
  TimePoint next_inquiry = TimePoint::min();
};

// How far this VM has come on its way to lead a group.
enum class Phase : std::uint8_t {
  // Some other VM leads, or nobody does.
  kIdle,
  // It asks the witnesses of the record whether they still hear from a holder, before it raises the epoch.
  kProbing,
  // It has the witnesses of lower ballots close them.
  kClosing,
  // It asks its witnesses for promises and renews them every beat.
  kHolding,
};

// One set of witnesses that has to close what is below this VM's ballot.
struct CloseQuorum {
  std::vector<VmName> witnesses;
  // When the accepted request to each witness was sent. Only answers within one promise length of each other count.
  std::map<VmName, TimePoint> accepted_sent_at;
  bool closed = false;
};

// This VM's own part in one group.
struct HolderState {
  Phase phase = Phase::kIdle;
  // The ballot that it holds or wants; while probing, that of the record.
  Ballot ballot;
  // True: the record names this process for `ballot`. False: a takeover as a successor.
  bool decided = false;
  std::vector<VmName> witnesses;
  std::vector<CloseQuorum> close_quorums;
  // The promises to holders of lower ballots have all ended by then.
  TimePoint lower_promises_end = TimePoint::min();
  // When the granted request to each witness was sent, for `ballot`.
  std::map<VmName, TimePoint> granted_sent_at;
  // Witnesses that have closed `ballot`.
  std::set<VmName> refusing_witnesses;
  // When the request was sent to each witness that hears from no holder.
  std::map<VmName, TimePoint> no_holder_sent_at;
  // The end of the validity, kept over a change of ballot: the promises of the earlier ballot stand until then.
  TimePoint valid_until = TimePoint::min();
  // The ballot whose promises `valid_until` stands on.
  Ballot valid_ballot;
  bool leading = false;
  TimePoint next_request = TimePoint::min();
  // So many witnesses refused that this ballot and those below it can't be held any more.
  Ballot superseded_ballot;
};

// One conditional update on its way.
struct PendingUpdate {
  ObjectVersion expected_version = 0;
  LeadershipRecord record;
  TimePoint timeout_at;
  // The answer was lost: a read decides.
  bool outcome_unknown = false;
};

// The witnesses that a draining process still tells that it acts no more.
struct Release {
  Ballot ballot;
  std::set<VmName> pending;
  TimePoint next_request = TimePoint::min();
  // The promises have ended by themselves.
  TimePoint promises_end = TimePoint::min();
};

// One database group.
struct GroupState {
  std::string region;
  // In the list of groups that this fleet serves.
  bool listed = false;
  // Some RecordSeen came, if only to say that there is no record.
  bool record_known = false;
  ObjectVersion version = 0;
  std::optional<LeadershipRecord> record;
  WitnessState witness;
  HolderState holder;
  std::optional<PendingUpdate> update;
  // The read on its way counts as failed from then on; empty when there is none.
  std::optional<TimePoint> read_timeout_at;
  TimePoint next_platform_attempt = TimePoint::min();
  // Since when the group is without a usable leader; empty while it has one.
  std::optional<TimePoint> leaderless_since;
  // Since when the witnesses or successors in the record should be replaced; empty while they are good.
  std::optional<TimePoint> unsuitable_since;
  // The last holder heard of and its ballot, for routing.
  Ballot reported_ballot;
  Holder reported_holder;
  std::optional<Release> release;
  // This VM's turn in filling the vacancy, for the VMs and the record that it was worked out from.
  std::optional<std::size_t> candidate_index;
  std::uint64_t candidate_index_generation = 0;
  ObjectVersion candidate_index_version = 0;
  // The VMs and the record for which the witnesses and successors were found good.
  std::uint64_t suitable_generation = 0;
  ObjectVersion suitable_version = 0;
  // An event has concerned this group since the systems last ran over it.
  bool dirty = true;
  // When the systems have something to do for this group without an event.
  TimePoint next_due = TimePoint::min();
};

struct LeadershipState {
  Holder self;
  LeadershipSettings settings;
  // As a witness this VM is silent until then.
  TimePoint silent_until;
  std::map<GroupName, GroupState> groups;
  std::map<VmName, VmView> vms;
  // Rises with every change of `vms`.
  std::uint64_t vms_generation = 0;
  // The regions that have VMs which may take work.
  std::set<std::string> regions;
  std::set<VmName> terminated;
  // Who creates the record of a group that has none.
  std::map<GroupName, VmName> preferred_leaders;
  bool draining = false;
  bool platform_reachable = true;
  std::uint64_t update_counter = 0;
  // When the promises of all groups led are renewed next, so that the requests to one witness travel together.
  TimePoint next_renewal = TimePoint::min();
  // The promise requests of the running tick, by witness.
  std::map<VmName, PromiseRequest> requests;
  // The actions of the running tick.
  std::vector<Action> actions;
  // An event has concerned all groups: the systems run over every row.
  bool all_dirty = true;
  // The earliest moment that the running tick found something to wait for.
  TimePoint next_deadline = kNever;

  // Has the next tick come at `when` at the latest.
  void ScheduleTick(TimePoint when) { this->next_deadline = std::min(this->next_deadline, when); }

  // Whether `when` has come; if not, a tick will come then.
  bool DueOrSchedule(TimePoint now, TimePoint when) {
    if (when <= now) {
      return true;
    }
    this->ScheduleTick(when);
    return false;
  }
};

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_LEADERSHIP_STATE_H_
