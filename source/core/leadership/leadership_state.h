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

// The state of the leadership system of one VM.
namespace amaranthlane::leadership {

// This VM's state as a witness of one group.
struct WitnessState {
  // The witness grants nothing below this ballot.
  Ballot floor;
  // The ballot and holder of the latest grant, which is valid until `expires_at` on this VM's clock.
  Ballot granted_ballot;
  Holder holder;
  TimePoint granted_at = TimePoint::min();
  TimePoint expires_at = TimePoint::min();
  // This process has received the record from the platform, and so knows every closing since then.
  bool platform_confirmed = false;
  // The epoch for which enough other witnesses have reported what was closed; 0 for none.
  Epoch peer_confirmed_epoch = 0;
  // The epoch about which this restarted witness queries the other witnesses; 0 for none.
  Epoch inquiry_epoch = 0;
  std::set<VmName> inquiry_replies;
  TimePoint next_inquiry = TimePoint::min();
};

// The steps of this VM towards leading a group.
enum class Phase : std::uint8_t {
  // Another VM leads, or none does.
  kIdle,
  // Asks the record's witnesses whether a holder still renews its grants, before raising the epoch.
  kProbing,
  // Asks the witnesses of lower ballots to close these.
  kClosing,
  // Requests grants from its witnesses and renews them every `renewal_interval`.
  kHolding,
};

// A set of witnesses of which a majority has to close the ballots below this VM's.
struct CloseQuorum {
  std::vector<VmName> witnesses;
  // When the accepted request was sent to each witness. Accepts count only if their requests were sent within one grant
  // duration of each other.
  std::map<VmName, TimePoint> accepted_sent_at;
  bool closed = false;
};

// This VM's state as holder or candidate of one group.
struct HolderState {
  Phase phase = Phase::kIdle;
  // The ballot that this VM holds or tries to obtain; while probing, the record's.
  Ballot ballot;
  // True: the record names this process as the leader for `ballot`. False: a takeover by a successor.
  bool decided = false;
  std::vector<VmName> witnesses;
  std::vector<CloseQuorum> close_quorums;
  // All grants to holders of lower ballots have expired by then.
  TimePoint lower_grants_end = TimePoint::min();
  // When the latest granted request for `ballot` was sent to each witness.
  std::map<VmName, TimePoint> granted_sent_at;
  // Witnesses that refused because they have closed `ballot`.
  std::set<VmName> refusing_witnesses;
  // When the probe was sent to each witness that reported no live holder.
  std::map<VmName, TimePoint> no_holder_sent_at;
  // The end of this VM's leadership. It is kept when the ballot changes, since the grants for the earlier ballot remain
  // valid until then.
  TimePoint valid_until = TimePoint::min();
  // The ballot whose grants determine `valid_until`.
  Ballot valid_ballot;
  bool leading = false;
  TimePoint next_request = TimePoint::min();
  // The highest ballot that has lost its majority, because too many witnesses refused it. Lower ballots count as
  // superseded too.
  Ballot superseded_ballot;
};

// A conditional update in flight.
struct PendingUpdate {
  ObjectVersion expected_version = 0;
  LeadershipRecord record;
  TimePoint deadline;
  // No reply was received; a read shows whether the update took effect.
  bool outcome_unknown = false;
};

// The witnesses that a draining process has yet to inform that it no longer acts as leader.
struct Release {
  Ballot ballot;
  std::set<VmName> pending;
  TimePoint next_request = TimePoint::min();
  // All grants have expired by then, with or without the release.
  TimePoint grants_end = TimePoint::min();
};

// One database group.
struct GroupState {
  std::string region;
  // The group is among those that this fleet serves.
  bool listed = false;
  // The platform has reported the record, or that there is none.
  bool record_known = false;
  ObjectVersion version = 0;
  std::optional<LeadershipRecord> record;
  WitnessState witness;
  HolderState holder;
  std::optional<PendingUpdate> update;
  // When the read in flight counts as failed; empty when there is none.
  std::optional<TimePoint> read_deadline;
  TimePoint next_platform_attempt = TimePoint::min();
  // Since when the group is without a usable leader; empty while it has one.
  std::optional<TimePoint> leaderless_since;
  // Since when the witnesses or successors in the record should be replaced; empty while they are suitable.
  std::optional<TimePoint> unsuitable_since;
  // The highest ballot reported by another VM, and its holder.
  Ballot reported_ballot;
  Holder reported_holder;
  std::optional<Release> release;
  // This VM's index in the order of candidates, empty if it is none, and the VM generation and record version for which
  // it was computed.
  std::optional<std::size_t> candidate_index;
  std::uint64_t candidate_index_generation = 0;
  ObjectVersion candidate_index_version = 0;
  // The VM generation and record version for which the witnesses and successors were found suitable.
  std::uint64_t suitable_generation = 0;
  ObjectVersion suitable_version = 0;
  // An event has affected this group since it was last processed.
  bool dirty = true;
  // When the group has to be processed next without an event.
  TimePoint next_due = TimePoint::min();
};

struct LeadershipState {
  Holder self;
  LeadershipSettings settings;
  // As a witness this VM answers no request before then.
  TimePoint silent_until;
  std::map<GroupName, GroupState> groups;
  std::map<VmName, VmView> vms;
  // Incremented with every change of `vms`.
  std::uint64_t vms_generation = 0;
  // The regions with at least one VM that isn't leaving.
  std::set<std::string> regions;
  std::set<VmName> terminated;
  // The VM that creates the record of a group that has none.
  std::map<GroupName, VmName> preferred_leaders;
  bool draining = false;
  bool platform_reachable = true;
  std::uint64_t update_counter = 0;
  // When the grants of all groups led are renewed next. One time for all of them lets the requests to one witness go in
  // one message.
  TimePoint next_renewal = TimePoint::min();
  // The grant requests of the current tick, by witness.
  std::map<VmName, GrantRequest> requests;
  // The actions of the current tick.
  std::vector<Action> actions;
  // An event has affected all groups: the current tick processes every one.
  bool all_dirty = true;
  // The earliest time for which the current tick has scheduled further work.
  TimePoint next_deadline = kNever;

  // Schedules the next tick for `when` at the latest.
  void ScheduleTick(TimePoint when) { this->next_deadline = std::min(this->next_deadline, when); }

  // Returns whether `when` has been reached; if not, schedules a tick for it.
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
