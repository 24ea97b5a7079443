#ifndef AMARANTHLANE_CORE_REPLICAS_REPLICA_TABLE_H_
#define AMARANTHLANE_CORE_REPLICAS_REPLICA_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/replicas/acknowledgement_waits.h"
#include "core/replicas/age_history.h"
#include "core/replicas/group_record.h"
#include "core/replicas/position_reply.h"
#include "core/replicas/term_history.h"
#include "core/types.h"

// What the leader of a group knows of the group's instances: their positions, the age of their data, and which of them
// may serve a read.
namespace amaranthlane::replicas {

struct ReplicaSettings {
  // The number of samples of the primary kept for age bounds.
  std::size_t age_samples = 512;
  // The initial and minimum value of an instance's expected read time.
  Duration min_read_time = std::chrono::milliseconds(1);
  // A replica whose probe remains unanswered for longer gets no reads. Must be longer than a long poll may be held.
  Duration probe_timeout = std::chrono::milliseconds(1500);
};

// One row of the table.
struct InstanceState {
  Instance instance;
  Role role = Role::kUnconfigured;
  Term term = 0;
  LogPosition position;
  Term synced_term = 0;
  // When the latest answered probe was sent, and when its reply arrived. Empty before the first reply.
  std::optional<TimePoint> answered_probe_sent_at;
  std::optional<TimePoint> reply_received_at;
  // When the oldest unanswered probe was sent; empty when there is none.
  std::optional<TimePoint> pending_probe_sent_at;
  // The latest probe failed.
  bool probe_failed = false;
  // The expected time from sending a read to its reply.
  Duration read_time = Duration::zero();
};

// The number of reads and writes that run or wait at an instance.
struct InstanceLoad {
  EndpointName endpoint;
  std::uint32_t active_statements = 0;
};

// The requirements of a read.
struct ReadRequest {
  // The maximum age of the reply; zero: the read must go to the primary.
  Duration max_staleness = Duration::zero();
  // The position in the caller's session token, if the read must cover it.
  std::optional<LogPosition> token;
  // Replicas in this data centre are preferred among equally loaded ones.
  std::string data_centre;
};

// The reply of an instance to a read.
struct ReadReply {
  EndpointName endpoint;
  // The term that the statement was sent under.
  Term term = 0;
  // The last entry of the instance's log when the read ran.
  LogPosition position;
  TimePoint sent_at;
};

enum class ReadOutcome : std::uint8_t {
  kReplica,
  kPrimary,
  // The log of the current term doesn't hold the token's position: a failover has lost it.
  kPositionLost,
  // The known history is too short to tell whether the token's position was lost.
  kPositionUnknown,
};

struct ReadChoice {
  ReadOutcome outcome = ReadOutcome::kPrimary;
  // Empty unless the outcome is kReplica or kPrimary.
  EndpointName endpoint;
  // The age bound at the time of choice; zero at the primary.
  Duration age_bound = Duration::zero();
};

// The instances of one led group. The daemon reports probes and their replies; all ages are counted from send times.
class ReplicaTable {
 public:
  explicit ReplicaTable(ReplicaSettings settings);

  // Applies the group's record. A new term clears the age history and ends the waits for acknowledgements as unknown.
  // Returns the waits that ended. A record of an older term is ignored.
  std::vector<AcknowledgementResult> ApplyRecord(const GroupRecord& record);
  // Sets the exact base of the current term, observed at its primary before any write in the term (action
  // PrimaryChanged).
  void SetTermBase(const TermBase& base);

  void ProbeSent(const EndpointName& endpoint, TimePoint sent_at);
  void ProbeFailed(const EndpointName& endpoint, TimePoint sent_at);
  // Applies the reply to a probe sent at `sent_at`. Returns the waits that it ended.
  std::vector<AcknowledgementResult> ProbeAnswered(TimePoint now, TimePoint sent_at, const PositionReply& reply);
  // Updates the expected read time of an endpoint with a read that took `took`.
  void ReadFinished(const EndpointName& endpoint, Duration took);

  // The maximum age of the data in a reply. Empty when it can't be bounded, which includes a change of term since the
  // read was sent. At the primary the age is counted from the time that the read was sent.
  std::optional<Duration> AgeBound(TimePoint now, const ReadReply& reply) const;
  // The same for data up to the position that an instance last reported; zero at the primary.
  std::optional<Duration> AgeBound(TimePoint now, const EndpointName& endpoint) const;
  ReadChoice ChooseReadEndpoint(TimePoint now, const ReadRequest& request, const std::vector<InstanceLoad>& load) const;
  // Whether a reply may be returned to the caller at `now`: it covers the token, and it came from the primary or its
  // age is within the request's `max_staleness`.
  bool MayReturnToCaller(TimePoint now, const ReadRequest& request, const ReadReply& reply) const;

  // Whether a replica synced in the current term is known to hold `position`, and acknowledgements aren't frozen.
  // `term` as for AwaitReplicated.
  bool IsReplicated(Term term, const LogPosition& position) const;
  // Waits until a replica synced in the current term holds `position`. `term` is the one that the commit was sent
  // under; a replayed commit may be at a position of an older term. Returns the result at once when it is already
  // known.
  std::optional<AcknowledgementResult> AwaitReplicated(StatementId statement, Term term, const LogPosition& position,
                                                       TimePoint deadline);
  // Since when no replica has confirmed more of the primary's log although there is more; empty when all of it is
  // confirmed.
  std::optional<TimePoint> StalledSince() const;
  // While acknowledgements are frozen no wait resolves as replicated; waits still end at their deadlines. Unfreezing
  // returns the waits that have been confirmed meanwhile.
  void FreezeAcknowledgements();
  std::vector<AcknowledgementResult> UnfreezeAcknowledgements();
  // Ends the waits whose deadlines have passed as unknown.
  std::vector<AcknowledgementResult> Tick(TimePoint now);
  TimePoint NextDeadline() const;

  Term CurrentTerm() const;
  const EndpointName& Primary() const;
  // Null when there is no such instance.
  const InstanceState* Find(const EndpointName& endpoint) const;
  const std::vector<InstanceState>& Instances() const;

 private:
  InstanceState* FindMutable(const EndpointName& endpoint);
  bool IsPrimary(const InstanceState& state) const;
  // The instance follows the primary of the current term, and its log is a prefix of that primary's.
  bool IsSynced(const InstanceState& state) const;
  bool MayServe(TimePoint now, const ReadRequest& request, const InstanceState& state) const;
  // The highest offset that a synced replica is known to hold; empty when no replica is synced.
  std::optional<std::uint64_t> ConfirmedOffset() const;
  Coverage TokenCoverage(const ReadRequest& request) const;
  void UpdateStall(TimePoint now, std::uint64_t confirmed_before);

  ReplicaSettings settings;
  GroupRecord record;
  std::vector<InstanceState> instances;
  AgeHistory ages;
  TermHistory terms;
  AcknowledgementWaits waits;
  bool frozen = false;
  std::optional<TimePoint> stalled_since;
};

}  // namespace amaranthlane::replicas

#endif  // AMARANTHLANE_CORE_REPLICAS_REPLICA_TABLE_H_
