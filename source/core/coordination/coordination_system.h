#ifndef AMARANTHLANE_CORE_COORDINATION_COORDINATION_SYSTEM_H_
#define AMARANTHLANE_CORE_COORDINATION_COORDINATION_SYSTEM_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/coordination/grant_table.h"
#include "core/coordination/member_history.h"
#include "core/coordination/messages.h"
#include "core/coordination/primary_lease.h"
#include "core/coordination/record.h"
#include "core/coordination/settings.h"
#include "core/types.h"

namespace amaranthlane::coordination {

// Send a heartbeat to a member, which asks it to renew its grant.
struct SendHeartbeat {
  Member member;
  HeartbeatRequest heartbeat;
};
// Read the record from the store.
struct ReadRecord {};
// Write the record of the expected revision's era if the store still holds that revision of it; 0: if the store has no
// record of that era.
struct WriteRecord {
  CoordinationRecord record;
  StoreRevision expected_revision;
};
// Send the newest record to a VM that isn't a member of it.
struct SendRecordNotice {
  VmName vm;
  std::string address;
  CoordinationRecord record;
};
// This VM has adopted a newer record.
struct RecordAdopted {
  std::string source;
};
// A decision of this VM, for the log.
struct Decision {
  std::string event;
  std::string reason;
};
using Action = std::variant<SendHeartbeat, SendRecordNotice, ReadRecord, WriteRecord, RecordAdopted, Decision>;
using Actions = std::vector<Action>;

// This VM, as other VMs see it.
struct Self {
  VmName vm;
  Incarnation incarnation = 0;
  std::string address;
  std::string relay_address;
  std::string data_centre;
  Millicores processor_share = {};
};

// What this VM reports in its heartbeats, besides the version of its record.
struct LocalReport {
  std::vector<GroupName> groups_in_use;
  std::vector<EndpointName> unreachable_endpoints;
  std::vector<GroupName> reachable_groups;
  bool leaving = false;
  std::string fleet_digest;
  StoreVersions store;
  StoreCurrency store_currency;
};

// The outcome of a conditional write.
enum class WriteResult : std::uint8_t {
  kWritten,
  // The store holds another revision, or was restored from an older copy meanwhile.
  kConflict,
  // The write was rejected and has no effect.
  kRefused,
  // No answer: the write may take effect now, later, or never.
  kUnknown,
};

// Decides which VM orders changes of primary (the coordinator) and which VMs may use primaries. The record in the store
// names the members, of which the first is the coordinator. A VM may use primaries while it holds a lease, which takes
// grants from LeaseQuorum() of the members: from all, or from all but one if there are at least four.
// While a group is changing, each member declares the group released once every VM that it gave grants to has released
// it or its grant has expired. The coordinator changes the primary once so many members have declared the release that
// the grants of the others can't make up a lease. Nothing is written to the store while nothing changes, so leases
// outlast an outage of the store of up to `store_contact_timeout`, or `fresh_contact_timeout` where the grants don't
// include those of a set of members that a restore of the store may bring back (see MemberHistory).
// A restore of the store may lose records that VMs have acted on. Each era of the store therefore has a record of its
// own, which the coordinator, or whoever takes over from it, begins with the newest state that it knows. No primary may
// be used by that state until it is confirmed.
class CoordinationSystem {
 public:
  CoordinationSystem(Self self, const CoordinationSettings& settings);

  // Runs what is due: heartbeats, reads of the record, taking over as coordinator, replacing silent members.
  void Tick(TimePoint now, Actions& actions);

  // Answers a peer's heartbeat.
  HeartbeatReply OnHeartbeat(const HeartbeatRequest& heartbeat, TimePoint now, Actions& actions);
  void OnHeartbeatReply(const VmName& member, const HeartbeatReply& reply, TimePoint sent_at, TimePoint now,
                        Actions& actions);
  // No reply came. `connection_refused`: nothing listens at the member's address, so its process is dead rather than
  // unreachable.
  void OnHeartbeatFailed(const VmName& member, bool connection_refused, TimePoint now);
  // The coordinator sent a record to this VM.
  void OnRecordNotice(const CoordinationRecord& received, TimePoint now, Actions& actions);

  // The store was seen to be in this era.
  void OnStoreEra(StoreEra era, TimePoint now);
  // The store answered a read in the era of `revision`. If it has no record of that era, the revision's number is 0 and
  // `record` is the newest of an earlier era; empty: there is none either.
  void OnRecordRead(const std::optional<CoordinationRecord>& record, const StoreRevision& revision, TimePoint now,
                    Actions& actions);
  void OnReadFailed(TimePoint now);
  // The write of the record with this update id ended. `revision` is the record's new revision after kWritten. Does
  // nothing if a read has confirmed that write already.
  void OnRecordWritten(const std::string& update_id, WriteResult result, const StoreRevision& revision, TimePoint now,
                       Actions& actions);

  // Replaces what this VM reports in its heartbeats, and sends heartbeats at once if the groups in use, the unreachable
  // endpoints or `leaving` changed.
  void Report(const LocalReport& report, TimePoint now, Actions& actions);

  // Writes new states of groups, and all logs that may hold acknowledged commits, to the record. Returns false when
  // this VM isn't the coordinator, another write is pending, or the record's revision is unknown.
  bool ProposeGroups(const std::map<GroupName, GroupState>& groups, const LogHoldersByGroup& logs,
                     const std::string& reason, TimePoint now, Actions& actions);

  // Asks the other members to take over as coordinator, or withdraws the request.
  void RequestHandover(bool wanted);

  // The address at which this VM serves its peers.
  const std::string& OwnAddress() const;
  // Null until a record is known.
  const CoordinationRecord* Record() const;
  bool IsCoordinator() const;
  // True when this VM may use the group's primary now.
  bool MayUsePrimary(const GroupName& group, TimePoint now) const;
  TimePoint LeaseExpiry() const;
  // True while this VM is the coordinator, its lease lasts for `promotion_window` at least, and it has had recent
  // contact to the store. A successor orders nothing until this VM has adopted its record or this VM's lease has
  // expired.
  bool MayPromote(TimePoint now) const;
  // When another VM was last heard to have adopted the record in which this VM became the coordinator; the epoch of the
  // clock if none was.
  TimePoint LastTakeoverAdoption() const;
  // For what members allocate to all VMs, such as rate limits: the number of equal shares into which it is divided, of
  // which this VM has one; none: this VM may not allocate. The VMs that may allocate at one time all belong to one set
  // of members, so that their shares sum up to the whole at most. After a restore of the store that has lost a change
  // of members, both sets may allocate for one grant duration.
  std::optional<std::size_t> AllocationShareCount(TimePoint now) const;
  // True when this VM receives heartbeats of enough members for a primary to be released soon. Counts the current
  // members and the former ones whose grants may still be valid.
  bool CanRelease(TimePoint now) const;
  // True when no VM can still use the group's former primary, and no former coordinator can still order its change.
  bool Released(const GroupName& group, TimePoint now) const;
  // The VMs that keep Released() from being true: those that may still use the primary, and members that haven't
  // declared it released.
  std::vector<VmName> ReleaseBlockers(const GroupName& group, TimePoint now) const;
  // For each endpoint that some VM can't reach, the number of such VMs, this one included. Counts only VMs with recent
  // heartbeats.
  std::map<EndpointName, std::size_t> UnreachableCounts(TimePoint now) const;
  // The number of VMs with recent heartbeats, this one included, that reach the group's primary.
  std::size_t ReachableCount(const GroupName& group, TimePoint now) const;
  // True when this VM, the coordinator, has begun the record of the store's era, and the group's primary can't have
  // been changed, nor can be, by a record of an earlier era that the store has lost.
  bool OutlastedRestore(const GroupName& group, TimePoint now) const;
  // True while a VM may use primaries by a record that the store has lost, and that names members of whom the known
  // records tell nothing. No primary may be changed meanwhile.
  bool LostRecordsInUse(TimePoint now) const;
  // True until the record says that no VM can act on one that a restore of the store has lost.
  bool RestoreUnsettled() const;
  // From when on nobody but this VM, the coordinator, can order a change of primary, nor can an earlier order take
  // effect, though not all VMs may have released the primaries.
  TimePoint EarlierOrdersEndAt() const;
  // The newest era of the store that this VM knows of.
  StoreEra NewestStoreEra() const;
  // True when this VM itself can't reach the endpoint.
  bool IsUnreachable(const EndpointName& endpoint) const;
  bool WritePending() const;
  // True when the outcome of a write has been unknown for longer than two reply timeouts.
  bool WriteOverdue(TimePoint now) const;
  // The number of live VMs, counted anew at most once in a heartbeat interval.
  std::size_t FleetSize() const;
  const GrantTable& Grants() const;

 private:
  struct PendingWrite {
    CoordinationRecord record;
    StoreRevision expected_revision;
    TimePoint proposed_at;
    TimePoint sent_at;
    bool in_flight = true;
  };
  struct MemberContact {
    TimePoint last_reply;
    TimePoint next_heartbeat;
    bool awaiting_reply = false;
    bool resend_pending = false;
    std::uint64_t version = 0;
    // Since when the member asks for a handover; kNever: it doesn't.
    TimePoint handover_requested_since = kNever;
    bool connection_refused = false;
    std::uint64_t fleet_size = 0;
    // When the member last had an answer from the store, as far as this VM knows.
    TimePoint last_store_contact;
  };
  // What this VM knows of the record of an earlier era from which it began the current one.
  struct EraStart {
    std::uint64_t version = 0;
    std::vector<VmName> former_members;
    // The end of the lease that this VM held by that record.
    TimePoint lease_expiry;
    // The groups that weren't changing in that record.
    std::set<GroupName> settled_groups;
  };
  // What this VM knows of a set of replaced members.
  struct Retirement {
    TimePoint first_seen;
    // When a blocking quorum of them was first known to have adopted the record that replaced them; kNever: not yet.
    TimePoint quorum_adopted_since = kNever;
  };

  // Notes when the sender of a heartbeat is first heard to have adopted the record in which this VM became coordinator.
  void NoteTakeoverAdoption(const HeartbeatRequest& heartbeat, TimePoint now);
  void Adopt(const CoordinationRecord& record, const std::string& source, TimePoint now, Actions& actions);
  void MarkChangedGroupsInUse(const CoordinationRecord& newer);
  // Declares those changing groups released whose former primary no VM can use any more on the strength of this VM's
  // grants, and tells the coordinator.
  void DeclareReleases(TimePoint now, Actions& actions);
  bool HasDeclaredRelease(const VmName& member, const GroupName& group) const;
  // True when the sender still uses a group that this VM has declared released.
  bool UsesReleasedGroup(const HeartbeatRequest& heartbeat) const;
  void UpdateRetirements(TimePoint now);
  // The current members, and each set of former members whose grants may still be valid.
  std::vector<std::vector<VmName>> GrantingSets(TimePoint now) const;
  // True when no lease that is based on the grants of these members can still be valid.
  bool GrantsExpired(const FormerMembers& former, TimePoint now) const;
  void SendHeartbeatTo(const Member& member, TimePoint now, Actions& actions);
  void SendHeartbeats(TimePoint now, Actions& actions);
  void PollStore(TimePoint now, Actions& actions);
  void ReplaceMembers(TimePoint now, Actions& actions);
  void ConsiderTakeover(TimePoint now, Actions& actions);
  // The reason to take over as coordinator; empty if there is none.
  std::string TakeoverReason(TimePoint now) const;
  // The same when the coordinator doesn't begin a record for the store's era, though this VM has waited for `timeout`.
  // A VM without a lease waits longer, as it couldn't confirm the primaries.
  std::string MissingEraReason(Duration timeout, TimePoint now) const;
  // The same for a member in line to succeed the coordinator.
  std::string SuccessionReason(TimePoint now) const;
  // The same for any VM when too few members answer to make up a lease.
  std::string QuorumLossReason(TimePoint now) const;
  Duration QuorumLossTimeout(TimePoint now) const;
  // True when this VM hears more than half of the members, apart from those whose processes are known to be dead. Also
  // true when at most two members remain, because then silence doesn't show which of them is isolated.
  bool HearsMajority(TimePoint now) const;
  bool StoreReachable(TimePoint now) const;
  // When a member last had contact to the store, as far as this VM knows.
  TimePoint NewestStoreContact() const;
  void UpdateFleetSize(TimePoint now);
  std::vector<Member> ChooseMembers(TimePoint now, const std::vector<Member>& preferred, bool keep_coordinator) const;
  // The reason to replace a member other than this VM; empty if there is none.
  std::string ReasonToReplaceMember(TimePoint now) const;
  // Removes members whose place a larger VM of their data centre can take.
  std::vector<Member> WithoutOutsizedMembers(const std::vector<Member>& members, TimePoint now) const;
  // True when the VM sends heartbeats, isn't shutting down, and has at least kOutsizedFactor times this share of
  // processors. False if one of them is unknown.
  bool Outsizes(const VmName& vm, const Millicores& share, TimePoint now) const;
  // True when the first successor is so much larger than this VM that it should be the coordinator.
  bool HasLargerSuccessor(TimePoint now) const;
  void Propose(CoordinationRecord record, TimePoint now, Actions& actions);
  void FinishWrite(const StoreRevision& revision, TimePoint now, Actions& actions);
  // The store has no record of its current era. `earlier`: the newest one of an earlier era.
  void OnEraWithoutRecord(const std::optional<CoordinationRecord>& earlier, TimePoint now, Actions& actions);
  // Begins a record for the store's era if this VM is the coordinator and isn't isolated.
  void ConsiderNewEra(TimePoint now, Actions& actions);
  // Turns `next` into the first record of an era.
  void BeginEra(StoreEra era, CoordinationRecord& next);
  // How long after its last contact to the store a VM may act on a record of whose members a restored copy tells
  // nothing: use primaries, or have orders in flight.
  Duration MaxLostRecordUse() const;
  // Writes the record anew without former members whose grants have expired, and notes the end of LostRecordsInUse().
  // VMs that start later would wait for both again.
  void TidyRecord(TimePoint now, Actions& actions);
  // Sends a write whose outcome is unknown again if the store was read and still holds the revision that it expects.
  void RepeatWrite(TimePoint now, Actions& actions);
  bool IsSilent(const VmName& member, Duration limit, TimePoint now) const;
  // True for another VM whose heartbeats still arrive.
  bool HeardRecently(const VmName& vm, const GrantEntry& entry, TimePoint now) const;

  Self self;
  CoordinationSettings settings;
  std::optional<CoordinationRecord> record;
  // The newest era of the store that this VM knows of, and the store's revision of that era's record, if known.
  StoreEra store_era = 0;
  std::optional<StoreRevision> revision;
  // The newest era that is known to have a record.
  StoreEra recorded_era = 0;
  // Since when the store is known to have no record of its era; kNever: it has one, or isn't known to have none.
  TimePoint era_missing_since = kNever;
  // When this VM first knew of `store_era`. No VM has had contact to the store in an earlier era since.
  TimePoint era_known_since;
  // When this VM became the coordinator of the present era.
  TimePoint coordinator_from;
  MemberHistory member_history;
  std::optional<EraStart> era_start;
  // False until this process has read the record from the store or written it.
  bool store_confirmed = false;
  PrimaryLease primary_lease;
  GrantTable grant_table;
  TimePoint last_takeover_adoption;
  std::map<VmName, MemberContact> contacts;
  LocalReport report;
  std::optional<PendingWrite> pending_write;
  std::uint64_t update_count = 0;
  bool read_in_flight = false;
  TimePoint read_sent_at;
  TimePoint next_read;
  // When the store last answered, and when the call was sent by which it last showed this VM the newest record.
  TimePoint last_store_answer;
  TimePoint last_store_contact;
  // When this process started. Grants that an earlier process of this VM gave may still be valid then.
  TimePoint started_at = kNever;
  // The groups that this VM has declared released, each with the record version for which it did. This VM gives no
  // grant to a VM that still uses one of them.
  std::map<GroupName, std::uint64_t> released_groups;
  // Keyed by the epoch of the replaced members.
  std::map<std::uint64_t, Retirement> retirements;
  TimePoint next_replacement;
  TimePoint next_size_check;
  bool handover_requested = false;
  // The number of VMs that send heartbeats, this one included.
  std::size_t heard_vms = 1;
  TimePoint next_fleet_size_update;
};

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_COORDINATION_SYSTEM_H_
