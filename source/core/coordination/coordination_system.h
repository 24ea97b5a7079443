#ifndef AMARANTHLANE_CORE_COORDINATION_COORDINATION_SYSTEM_H_
#define AMARANTHLANE_CORE_COORDINATION_COORDINATION_SYSTEM_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/coordination/lease_table.h"
#include "core/coordination/messages.h"
#include "core/coordination/primary_lease.h"
#include "core/coordination/record.h"
#include "core/coordination/settings.h"
#include "core/types.h"

namespace amaranthlane::coordination {

// Ask a member for its promise.
struct SendBeat {
  Member member;
  Beat beat;
};
// Read the record from the store.
struct ReadRecord {};
// Write the record if the store still holds `expected_revision`; 0: if there is none.
struct WriteRecord {
  CoordinationRecord record;
  ObjectVersion expected_revision = 0;
};
// Tell a VM that isn't a member of the newest record.
struct SendNotice {
  VmName vm;
  std::string address;
  CoordinationRecord record;
};
// This VM acts on a newer record from now on.
struct RecordAdopted {
  std::string source;
};
// What the VM believes has changed, for the log.
struct Decision {
  std::string what;
  std::string why;
};
using Action = std::variant<SendBeat, SendNotice, ReadRecord, WriteRecord, RecordAdopted, Decision>;
using Actions = std::vector<Action>;

// This VM, as others see it.
struct Self {
  VmName vm;
  Incarnation incarnation = 0;
  std::string address;
  std::string relay_address;
  std::string data_centre;
};

// What this VM tells in its beats beside the record's version.
struct LocalReport {
  std::vector<GroupName> busy;
  std::vector<EndpointName> suspects;
  std::vector<GroupName> reaches;
  bool leaving = false;
  std::string fleet_digest;
  StoreKnowledge store;
};

// How a conditional write ended.
enum class WriteResult : std::uint8_t {
  kWritten,
  // The store holds another revision.
  kConflict,
  // Provably nothing was written.
  kRefused,
  // No answer: it may be written now, later, or never.
  kUnknown,
};

// Who orders changes of primary, and who may use a primary. The record in the store names the members; a VM uses
// primaries while all members, or all but one, promise. Each member declares a group that is changing released once
// every VM that it gave promises to has released it or its promise has ended, and the holder changes the primary once
// so many declared that no VM can have enough promises of the others. Nothing is written to the store while nothing
// changes, so an outage of the store ends no right.
class CoordinationSystem {
 public:
  CoordinationSystem(Self self, const CoordinationSettings& settings);

  // Runs what is due: beats, reads of the record, taking the duty over, replacing silent members.
  void Tick(TimePoint now, Actions& actions);

  // Answers a peer's beat.
  BeatReply OnBeat(const Beat& beat, TimePoint now, Actions& actions);
  void OnBeatReply(const VmName& member, const BeatReply& reply, TimePoint sent_at, TimePoint now, Actions& actions);
  // No reply. `refused`: its VM answers that nothing listens there, so the process is dead, not out of reach.
  void OnBeatFailed(const VmName& member, bool connection_refused, TimePoint now);
  // The holder told this VM of a record.
  void OnNotice(const CoordinationRecord& received, TimePoint now, Actions& actions);

  // The store answered a read sent at `sent_at`; no record: it has none.
  void OnRecordRead(const std::optional<CoordinationRecord>& record, ObjectVersion revision, TimePoint now,
                    Actions& actions);
  void OnReadFailed(TimePoint now);
  // The store ended a write. `revision` is the new one after kWritten.
  void OnRecordWritten(WriteResult result, ObjectVersion revision, TimePoint now, Actions& actions);

  // Takes over what the beats report; a change is told at once.
  void Report(const LocalReport& report, TimePoint now, Actions& actions);

  // Changes groups in the record; returns false when this VM isn't the holder or another write is under way.
  bool ProposeGroups(const std::map<GroupName, GroupState>& groups, const std::string& why, TimePoint now,
                     Actions& actions);

  // Asks the other members to take the duty over, or takes that back.
  void RequestHandover(bool wanted);

  // Null until a record is known.
  const CoordinationRecord* Record() const;
  bool IsHolder() const;
  // True when this VM may use the group's primary now.
  bool MayUsePrimary(const GroupName& group, TimePoint now) const;
  TimePoint RightsUntil() const;
  // True when this VM holds the duty, and whoever takes it over waits until it has followed or its right has ended.
  bool MayPromote(TimePoint now) const;
  // True when this VM hears enough members, of those now and of former ones whose promises may last, for a primary to
  // be released soon.
  bool CanRelease(TimePoint now) const;
  // True when no VM can still use the group's former primary, nor another one order its change.
  bool Released(const GroupName& group, TimePoint now) const;
  // The VMs that Released() waits for: those that use the primary, or members that haven't declared it released.
  std::vector<VmName> ReleaseBlockers(const GroupName& group, TimePoint now) const;
  // How many VMs heard from lately, this one included, can't reach an endpoint; endpoints that all reach are left out.
  std::map<EndpointName, std::size_t> UnreachableCounts(TimePoint now) const;
  // How many of them reach the group's primary.
  std::size_t ReachableCount(const GroupName& group, TimePoint now) const;
  // True when this VM itself can't reach the endpoint.
  bool IsUnreachable(const EndpointName& endpoint) const;
  bool WritePending() const;
  // True when the store hasn't settled a write for long.
  bool WriteOverdue(TimePoint now) const;
  std::size_t FleetSize() const;
  const LeaseTable& Ledger() const;

 private:
  struct PendingWrite {
    CoordinationRecord record;
    ObjectVersion expected_revision = 0;
    TimePoint proposed_at;
    bool in_flight = true;
  };
  struct MemberContact {
    TimePoint last_reply;
    TimePoint next_heartbeat;
    bool awaiting_reply = false;
    bool resend_pending = false;
    std::uint64_t version = 0;
    // Since when it asks to be relieved; kNever: it doesn't.
    TimePoint handover_requested_since = kNever;
    bool connection_refused = false;
    std::uint64_t fleet_size = 0;
  };
  // What this VM knows of members that were replaced.
  struct Retirement {
    TimePoint first_seen;
    // When enough of them were known to have followed; kNever: not yet.
    TimePoint quorum_adopted_since = kNever;
  };

  void Adopt(const CoordinationRecord& record, const std::string& source, TimePoint now, Actions& actions);
  void MarkChangedGroupsInUse(const CoordinationRecord& newer);
  // Declares groups released whose last user by this VM's promises is gone, and tells the holder.
  void DeclareReleases(TimePoint now, Actions& actions);
  bool HasDeclaredRelease(const VmName& member, const GroupName& group) const;
  // True when the asker still owes or expects an answer of a group that this VM has declared released.
  bool UsesReleasedGroup(const Beat& beat) const;
  void UpdateRetirements(TimePoint now);
  // The members now and the former ones whose promises may last.
  std::vector<std::vector<VmName>> GrantingSets(TimePoint now) const;
  // True when no VM can use primaries by the promises of these members any more.
  bool GrantsExpired(const FormerMembers& former, TimePoint now) const;
  void SendHeartbeatTo(const Member& member, TimePoint now, Actions& actions);
  void SendHeartbeats(TimePoint now, Actions& actions);
  void PollStore(TimePoint now, Actions& actions);
  void ReplaceMembers(TimePoint now, Actions& actions);
  void ConsiderTakeover(TimePoint now, Actions& actions);
  // The reason to take the duty over, or an empty text.
  std::string TakeoverReason(TimePoint now) const;
  // The same for a member that is to succeed the holder.
  std::string SuccessionReason(TimePoint now) const;
  // The same for any VM that gets too few promises.
  std::string QuorumLossReason(TimePoint now) const;
  Duration QuorumLossTimeout(TimePoint now) const;
  // True when this VM hears more than half of the members whose processes aren't known to be dead.
  bool HearsMajority(TimePoint now) const;
  bool StoreReachable(TimePoint now) const;
  std::vector<Member> ChooseMembers(TimePoint now, const std::vector<Member>& preferred, bool keep_holder) const;
  void Propose(CoordinationRecord record, TimePoint now, Actions& actions);
  void FinishWrite(ObjectVersion revision, TimePoint now, Actions& actions);
  bool IsSilent(const VmName& member, Duration limit, TimePoint now) const;
  // True for another VM whose beats still come.
  bool HeardRecently(const VmName& vm, const LeaseEntry& entry, TimePoint now) const;

  Self self;
  CoordinationSettings settings;
  std::optional<CoordinationRecord> record;
  // The store's revision of the record, when known.
  std::optional<ObjectVersion> revision;
  // False until the record came from the store itself in this life of the process.
  bool store_confirmed = false;
  PrimaryLease primary_lease;
  LeaseTable lease_table;
  std::map<VmName, MemberContact> contacts;
  LocalReport report;
  std::optional<PendingWrite> pending_write;
  std::uint64_t update_count = 0;
  bool read_in_flight = false;
  TimePoint next_read;
  TimePoint last_store_contact;
  // When this process began; promises of a former one on this VM may last a little longer.
  TimePoint started_at = kNever;
  // The groups that this VM has declared released, and for which version. It gives no promise that contradicts one.
  std::map<GroupName, std::uint64_t> released_groups;
  // By the epoch of the members that were replaced.
  std::map<std::uint64_t, Retirement> retirements;
  TimePoint next_replacement;
  bool handover_requested = false;
};

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_COORDINATION_SYSTEM_H_
