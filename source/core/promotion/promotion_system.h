#ifndef AMARANTHLANE_CORE_PROMOTION_PROMOTION_SYSTEM_H_
#define AMARANTHLANE_CORE_PROMOTION_PROMOTION_SYSTEM_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/promotion/acknowledgement_guard.h"
#include "core/promotion/group_object_access.h"
#include "core/promotion/instance_requests.h"
#include "core/promotion/messages.h"
#include "core/promotion/planned_change.h"
#include "core/promotion/suspicion.h"
#include "core/types.h"

// Decides when a group's primary is replaced, and by which instance.
namespace amaranthlane::promotion {

struct PromotionSettings {
  // How often the daemon probes the primary on an open connection, and how long such a probe, or a statement that the
  // primary should have answered, may remain unanswered before the connection counts as unresponsive.
  Duration primary_probe_interval = std::chrono::milliseconds(50);
  Duration progress_timeout = std::chrono::milliseconds(200);
  // How long a new connection to a suspected primary may remain unanswered before the primary counts as failed. If new
  // connections fail sooner, how many must fail in a row, and the pause between them.
  Duration new_connection_timeout = std::chrono::milliseconds(150);
  std::uint32_t required_failed_connections = 2;
  Duration reconnect_delay = std::chrono::milliseconds(50);
  // How long a probe of another instance may take, and how long the choice waits for further instances once one covers
  // every acknowledged position.
  Duration position_probe_timeout = std::chrono::milliseconds(200);
  Duration collect_window = std::chrono::milliseconds(30);
  Duration configure_timeout = std::chrono::milliseconds(300);
  // The delay before the first retry, and the limit up to which it doubles.
  Duration first_retry_delay = std::chrono::milliseconds(50);
  Duration max_retry_delay = std::chrono::seconds(1);
  // How long to wait for the reply to an update or read of the group's object.
  Duration platform_timeout = std::chrono::milliseconds(500);
  // How long, in a planned change, running work may take to finish, and then the target to catch up.
  Duration drain_timeout = std::chrono::seconds(2);
  // The interval between probes of the target's position while it catches up.
  Duration catch_up_interval = std::chrono::milliseconds(10);
  // The pause after a planned change that failed, before the next one away from a leaving primary.
  Duration planned_retry_delay = std::chrono::milliseconds(500);
  // How long a primary may be without confirmations before ReplicationStalled is reported, how long the replicas may
  // then take to answer, and the minimum time between two such changes of primary.
  Duration replication_stall_timeout = std::chrono::milliseconds(600);
  Duration stall_collect_timeout = std::chrono::milliseconds(400);
  Duration stall_change_interval = std::chrono::seconds(10);
};

// The promotion of one led group during one leadership; each new leadership starts a new PromotionSystem.
class PromotionSystem {
 public:
  // `update_id_prefix` must be unique to this leadership, for instance VM, incarnation and epoch.
  PromotionSystem(PromotionSettings settings, GroupName group, std::string update_id_prefix);

  std::vector<Action> Tick(TimePoint now, std::span<const Event> events);
  // When Tick is due next without an event; kNever if it isn't.
  TimePoint NextDeadline() const;

  // Whether a reply of the primary of `term`, with its commit at `position`, may be returned as acknowledged. To be
  // called right before the reply is returned, and only for commits that are replicated; a position for which it
  // returned true is remembered, and later primaries cover it.
  bool MayAcknowledge(Term term, const LogPosition& position);
  // Whether a reply that needs no replication may be returned; nothing is remembered.
  bool MayReturnToCaller(Term term) const;
  // Whether statements may be sent to the primary of the current term.
  bool MaySend() const;

  Term CurrentTerm() const;
  const EndpointName& Primary() const;
  Phase CurrentPhase() const;
  WaitReason CurrentReason() const;

 private:
  // The latest reply of an instance.
  struct LatestReply {
    TimePoint sent_at;
    replicas::PositionReply reply;
  };

  using Step = void (PromotionSystem::*)(TimePoint now);
  struct PhaseStep {
    Phase phase;
    Step step;
  };
  static const std::array<PhaseStep, 6> kPhaseSteps;

  void On(const ConnectionUnresponsive& event, TimePoint now);
  void On(const PositionReceived& event, TimePoint now);
  void On(const ProbeFailed& event, TimePoint now);
  void On(const HigherTermSeen& event, TimePoint now);
  void On(const GroupObjectRead& event, TimePoint now);
  void On(const GroupObjectReadFailed& event, TimePoint now);
  void On(const UpdateApplied& event, TimePoint now);
  void On(const UpdateConflicted& event, TimePoint now);
  void On(const UpdateOutcomeUnknown& event, TimePoint now);
  void On(const ConfigureAccepted& event, TimePoint now);
  void On(const ConfigureRefused& event, TimePoint now);
  void On(const ConfigureFailed& event, TimePoint now);
  void On(const PrimaryIdle& event, TimePoint now);
  void On(const ReplicationStalled& event, TimePoint now);
  void On(const PromoteRequested& event, TimePoint now);

  // The steps of the phases, one for each.
  void Collect(TimePoint now);
  void Serve(TimePoint now);
  void Drain(TimePoint now);
  void AwaitUpdate(TimePoint now);
  void AwaitConfiguration(TimePoint now);

  // Applies a newer version of the group's object.
  void Adopt(ObjectVersion version, const replicas::GroupRecord& newer, TimePoint now);
  void AdoptTerm(ObjectVersion version, const replicas::GroupRecord& newer);
  // Stops sending and acknowledging, and asks all instances for their positions.
  void EnterCollecting(TimePoint now, bool primary_failed);
  void ObserveTerm(Term term, TimePoint now);
  void HandleVerdict(Verdict verdict, TimePoint now);
  // The primary's reply that allows its term to be activated; null when there is none.
  const replicas::PositionReply* ActivatingReply() const;
  bool KnowsNewestTerm() const;
  void ActivateTerm(const replicas::PositionReply& reply, TimePoint now);
  void Resume();
  void StartUpdate(const replicas::PositionReply& chosen, TimePoint now);
  void StartConfiguring(TimePoint now);
  void ConfigureReplicas(TimePoint now);
  void ForgetRemovedInstances(const replicas::GroupRecord& older);
  void Suspend(bool planned, TimePoint drain_deadline);
  void Freeze(TimePoint now);

  void StartPlannedChange(PlannedChange change, TimePoint now);
  // The most advanced live instance that could take over in a planned change; if `wanted` is set, only that instance is
  // considered. Empty when there is none.
  std::optional<EndpointName> ChoosePlannedTarget(const std::optional<EndpointName>& wanted) const;
  void DrainAfterRead(TimePoint now);
  void CatchUp(TimePoint now);
  // Ends a planned change without a new primary; the current one keeps serving.
  void CancelPlannedChange(PlannedOutcome outcome, TimePoint now);
  void EndPlannedChange(PlannedOutcome outcome);

  void AddDueRequests(TimePoint now);
  void ReportStatus();
  // The latest reply of an instance, if its probe was sent at `fresh_since` or later; otherwise null.
  const replicas::PositionReply* FreshReply(const EndpointName& endpoint) const;
  std::vector<replicas::PositionReply> FreshReplies() const;
  std::string AddressOf(const EndpointName& endpoint) const;

  PromotionSettings settings;
  GroupName group;
  std::string update_id_prefix;
  std::uint64_t updates = 0;
  RequestId last_request = 0;

  Phase phase = Phase::kStarting;
  WaitReason reason = WaitReason::kNone;
  StatusChanged reported;
  std::vector<Action> actions;

  std::optional<replicas::GroupRecord> record;
  ObjectVersion version = 0;
  // This leadership has read the object itself since it learned of `highest_term`.
  bool record_confirmed = false;
  Term highest_term = 0;
  // The primary of the record's term has been reported by PrimaryChanged.
  bool activated = false;
  TimePoint activated_at;
  bool suspended = false;
  bool started = false;
  TimePoint ticked_at;

  AcknowledgementGuard guard;
  GroupObjectAccess object;
  InstanceRequests probes;
  InstanceRequests configurations;
  Suspicion suspicion;
  std::map<EndpointName, LatestReply> latest_replies;

  // Replies to probes sent before `fresh_since` aren't used: it is when acknowledgements were frozen or, later, when
  // the new primary accepted its configuration. While collecting, `choice_due_at` is when the choice is due.
  TimePoint fresh_since;
  TimePoint choice_due_at = kNever;
  bool primary_failed = false;
  // Set while the primary may be replaced because of stalled replication; if the replicas don't answer by then, it
  // keeps serving.
  std::optional<TimePoint> stall_deadline;
  TimePoint earliest_stall_change;
  // While configuring: whether the primary has accepted its configuration, and when it becomes suspected if it hasn't.
  bool primary_accepted = false;
  TimePoint configure_deadline = kNever;

  std::optional<PlannedChange> planned;
  TimePoint earliest_planned_change;
};

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_PROMOTION_SYSTEM_H_
