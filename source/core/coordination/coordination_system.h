#ifndef AMARANTHLANE_CORE_COORDINATION_COORDINATION_SYSTEM_H_
#define AMARANTHLANE_CORE_COORDINATION_COORDINATION_SYSTEM_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/coordination/ledger.h"
#include "core/coordination/messages.h"
#include "core/coordination/record.h"
#include "core/coordination/rights.h"
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
  std::vector<GroupName> suspects;
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
// primaries while all members promise, and the holder changes a primary once every VM has released it or its promise
// has ended. Nothing is written to the store while nothing changes, so an outage of the store ends no right.
class CoordinationSystem {
 public:
  CoordinationSystem(Self self, const CoordinationSettings& settings);

  // Runs what is due: beats, reads of the record, taking the duty over, replacing silent members.
  void Tick(TimePoint now, Actions& actions);

  // Answers a peer's beat.
  BeatReply OnBeat(const Beat& beat, TimePoint now, Actions& actions);
  void OnBeatReply(const VmName& member, const BeatReply& reply, TimePoint sent_at, TimePoint now, Actions& actions);
  void OnBeatFailed(const VmName& member, TimePoint now);
  // The holder told this VM of a record.
  void OnNotice(const CoordinationRecord& told, TimePoint now, Actions& actions);

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
  void WantRelief(bool wanted);

  // Null until a record is known.
  const CoordinationRecord* Record() const;
  bool IsHolder() const;
  // True when this VM may use the group's primary now.
  bool MayUsePrimary(const GroupName& group, TimePoint now) const;
  TimePoint RightsUntil() const;
  // True when this VM holds the duty and nobody else can have taken it over.
  bool MayPromote(TimePoint now) const;
  // True when no VM can still use the group's former primary.
  bool Released(const GroupName& group, TimePoint now) const;
  std::vector<VmName> Holdouts(const GroupName& group, TimePoint now) const;
  // Of the VMs heard from lately that have connections to the group, the share that can't reach its primary.
  double SuspectShare(const GroupName& group, TimePoint now) const;
  bool WritePending() const;
  // True when the store hasn't settled a write for long.
  bool WriteStuck(TimePoint now) const;
  std::size_t FleetSize() const;
  const PromiseLedger& Ledger() const;

 private:
  struct PendingWrite {
    CoordinationRecord record;
    ObjectVersion expected_revision = 0;
    TimePoint since;
    bool answered = true;
  };
  struct MemberContact {
    TimePoint last_reply;
    TimePoint next_beat;
    bool outstanding = false;
    bool resend = false;
    std::uint64_t version = 0;
    bool wants_relief = false;
    std::uint64_t fleet_size = 0;
  };

  void Adopt(const CoordinationRecord& record, const std::string& source, TimePoint now, Actions& actions);
  void NoteGroups(const CoordinationRecord& newer);
  void BeatTo(const Member& member, TimePoint now, Actions& actions);
  void SendBeats(TimePoint now, Actions& actions);
  void PollStore(TimePoint now, Actions& actions);
  void RepairMembers(TimePoint now, Actions& actions);
  void ConsiderTakeover(TimePoint now, Actions& actions);
  // The reason to take the duty over, or an empty text.
  std::string TakeoverReason(TimePoint now) const;
  std::vector<Member> ChooseMembers(TimePoint now, const std::vector<Member>& preferred, bool keep_holder) const;
  void Propose(CoordinationRecord record, TimePoint now, Actions& actions);
  void FinishWrite(ObjectVersion revision, TimePoint now, Actions& actions);
  bool Silent(const VmName& member, Duration limit, TimePoint now) const;

  Self self;
  CoordinationSettings settings;
  std::optional<CoordinationRecord> record;
  // The store's revision of the record, when known.
  std::optional<ObjectVersion> revision;
  // False until the record came from the store itself in this life of the process.
  bool confirmed = false;
  PrimaryRights rights;
  PromiseLedger ledger;
  std::map<VmName, MemberContact> contacts;
  LocalReport report;
  std::optional<PendingWrite> pending;
  std::uint64_t updates = 0;
  bool read_outstanding = false;
  TimePoint next_read;
  TimePoint last_store_contact;
  // When this VM became a member; promises given before that aren't in its ledger.
  TimePoint joined_at = kNever;
  // Members of the epoch that this VM took over from outside; until one of them is known to have followed, they may
  // still promise.
  std::vector<VmName> unfollowed;
  TimePoint unfollowed_limit;
  // The version from which a group's change counts as told.
  std::map<GroupName, std::uint64_t> changing_since;
  // The version from which suspicions concern the group's present primary.
  std::map<GroupName, std::uint64_t> serving_since;
  TimePoint next_repair;
  bool relief_wanted = false;
};

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_COORDINATION_SYSTEM_H_
