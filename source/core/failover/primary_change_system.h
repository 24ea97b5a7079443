#ifndef AMARANTHLANE_CORE_FAILOVER_PRIMARY_CHANGE_SYSTEM_H_
#define AMARANTHLANE_CORE_FAILOVER_PRIMARY_CHANGE_SYSTEM_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/coordination/coordination_system.h"
#include "core/failover/endpoint_status.h"
#include "core/failover/log_holders.h"
#include "core/types.h"

// Replaces primaries that are gone, unreachable or draining. Runs on the coordinator.
namespace amaranthlane::failover {

// Ask an endpoint for its status.
struct QueryStatus {
  EndpointName endpoint;
};
// Ask an endpoint for its status that the directory doesn't list any more.
struct QueryDepartedEndpoint {
  GroupName group;
  coordination::LogHolder log;
};
// Order the platform to make the endpoint the group's primary. An order that the platform hasn't received by the
// deadline must never reach it.
struct OrderPromotion {
  GroupName group;
  EndpointName endpoint;
  std::uint64_t fencing_token = 0;
  TimePoint deadline;
};
// End all promotion orders in flight at once, in the same way.
struct CancelPromotions {};
// Tell a former primary the term that replaced its own.
struct StepDown {
  EndpointName endpoint;
  Term term = 0;
};
// A step of a change of primary, for the log.
struct ChangeStep {
  GroupName group;
  std::string step;
  std::string reason;
};
using Action = std::variant<QueryStatus, QueryDepartedEndpoint, OrderPromotion, CancelPromotions, StepDown, ChangeStep>;
using Actions = std::vector<Action>;

struct FailoverSettings {
  // A primary is replaced once this share of the VMs can't reach it, if a replica is reachable from at least this share
  // more of the VMs, as a change interrupts the group's writes for all VMs. If no VM reaches the primary, a replica
  // that is reachable from any of them is enough.
  double unreachable_share = 0.3;
  // Between two queries of an endpoint during a change.
  Duration query_interval = std::chrono::milliseconds(40);
  // How long a change waits for all replicas to answer before it chooses among those that did. In a group with
  // synchronous replicas it waits without limit until the answers show each acknowledged commit, or the former primary
  // answers and a replica has its position.
  Duration choice_timeout = std::chrono::milliseconds(250);
  // How long a change waits for a replica to reach the position of a former primary that still answers. In a group with
  // synchronous replicas the former primary then stays for now, also if it is draining.
  Duration catch_up_timeout = std::chrono::milliseconds(1500);
  // In a group with synchronous replicas, a primary that hasn't answered a query for this long isn't waited for.
  Duration silence_timeout = std::chrono::milliseconds(600);
  // In a group with synchronous replicas, a draining primary that answers is replaced while a replica is at most this
  // far behind it.
  Duration max_replica_lag = std::chrono::milliseconds(300);
  // Between two queries of the endpoints by which that is known.
  Duration tracking_interval = std::chrono::milliseconds(100);
  // Between two queries of an endpoint that has left the directory with a log that may hold acknowledged commits.
  Duration departed_query_interval = std::chrono::milliseconds(1000);
  // The same during a change.
  Duration urgent_departed_query_interval = std::chrono::milliseconds(100);
  // How long a change waits for the most advanced replica to be matched by one that is reachable from more VMs.
  Duration reachability_timeout = std::chrono::milliseconds(300);
  // How long an accepted promotion order may take before a candidate is chosen again.
  Duration promotion_timeout = std::chrono::milliseconds(1500);
  // How long a promotion order may take until it is answered. It ends then, and is repeated. Together with the time in
  // which an order that the platform has received takes effect, this is less than
  // CoordinationSettings::promotion_window.
  Duration order_timeout = std::chrono::milliseconds(700);
  // How long an order that the platform received from a former coordinator may still take effect after that VM has
  // adopted the record of its successor, and with it ended the orders that the platform hadn't received.
  Duration inherited_order_window = std::chrono::milliseconds(1000);
  // How long the directory may show another primary than the record before the primary is changed.
  Duration disagreement_timeout = std::chrono::milliseconds(1000);
  // Between two promotion orders to the same candidate while the platform accepts none.
  Duration order_interval = std::chrono::milliseconds(200);
  // An endpoint whose entry has been missing for this long is gone. More than the two seconds that entries may take to
  // return after an outage of the store.
  Duration missing_entry_timeout = std::chrono::milliseconds(2600);
  // When no candidate was found, or no promotion order accepted, for this long, the coordinator asks another VM to take
  // over.
  Duration handover_timeout = std::chrono::milliseconds(1200);
  // How many times a former primary is told to step down, once per `step_down_interval`.
  int step_down_attempts = 8;
  Duration step_down_interval = std::chrono::milliseconds(400);
};

// The outcome of a promotion order.
enum class PromotionResult : std::uint8_t {
  kAccepted,
  // The endpoint isn't running.
  kRefused,
  // No answer, or the platform is busy. The order is repeated.
  kFailed,
};

class PrimaryChangeSystem {
 public:
  explicit PrimaryChangeSystem(const FailoverSettings& settings);

  // Decides for each group whether and how to change its primary. Updates the record through `coordination`.
  void Tick(const EndpointDirectory& directory, const std::map<GroupName, std::uint64_t>& synchronous_replicas,
            coordination::CoordinationSystem& coordination, TimePoint now, coordination::Actions& coordination_actions,
            Actions& actions);

  // The endpoint answered a query sent at `sent_at`.
  void OnStatus(const GroupName& group, const EndpointName& endpoint, const EndpointStatus& status, TimePoint sent_at);
  // The order has ended, whatever its result: the platform receives nothing of it any more.
  void OnPromotionResult(const GroupName& group, const EndpointName& endpoint, PromotionResult result, TimePoint now);
  // This VM has adopted a newer record. Must run before any other VM learns that it has: a successor relies on it that
  // the orders of a coordinator that has adopted its record have ended.
  void OnRecordAdopted(const coordination::CoordinationSystem& coordination, TimePoint now, Actions& actions);
  // The directory of endpoints or the numbers of synchronous replicas have changed.
  void OnDirectory(const EndpointDirectory& directory, const std::map<GroupName, std::uint64_t>& synchronous_replicas,
                   TimePoint now);
  // The endpoint has reported its position in any answer.
  void OnPosition(const EndpointName& endpoint, const LogPosition& position);
  // Nothing listens at the address of this endpoint any more, or another endpoint does.
  void OnEndpointEnded(const EndpointName& endpoint, TimePoint now);
  // The number of endpoints that have left with a log that may hold acknowledged commits.
  std::size_t DepartedLogCount() const;
  // The number of groups whose change waits for a log that may hold acknowledged commits which no replica that could
  // become primary is known to have. Their writes wait with it, and the operator has to act if the log doesn't return.
  std::size_t GroupsAwaitingLog() const;

 private:
  enum class Phase : std::uint8_t { kIdle, kReleasing, kChoosing, kPromoting, kRecording };
  struct KnownStatus {
    EndpointStatus status;
    TimePoint sent_at;
  };
  struct GroupChange {
    Phase phase = Phase::kIdle;
    std::string reason;
    TimePoint started_at;
    TimePoint released_at;
    TimePoint next_query;
    TimePoint next_departed_query;
    TimePoint next_order;
    TimePoint chosen_at;
    TimePoint ordered_at;
    bool order_accepted = false;
    // This VM began the change, so no order of another VM can be under way.
    bool started_here = false;
    // This VM has ordered no promotion yet, so the former primary may stay. From `abort_allowed_from` on, no order of
    // another VM can be under way either.
    bool may_abort = false;
    TimePoint abort_allowed_from = kNever;
    // For a group that isn't in the record: when the current time slice for discovering its primary began, and when the
    // next one may begin.
    std::optional<TimePoint> discovery_started_at;
    TimePoint next_discovery_at;
    // Since when no replica has been known that could become primary.
    std::optional<TimePoint> no_candidate_since;
    // Since when the directory has contradicted the record.
    std::optional<TimePoint> directory_disagrees_since;
    EndpointName candidate;
    // Candidates whose promotion the platform refused, with the end of their exclusion.
    std::map<EndpointName, TimePoint> excluded;
    std::map<EndpointName, KnownStatus> statuses;
    // Since when the primary's directory entry has been missing.
    std::optional<TimePoint> missing_since;
    // The group's state to record when the change ends.
    coordination::GroupState result;
    bool waiting_logged = false;
    bool lost_records_logged = false;
    bool no_candidate_logged = false;
    bool no_better_replica_logged = false;
    bool lag_logged = false;
    bool awaits_log = false;
    // Since when the replicas' positions have been compared with the primary's; kNever: they aren't.
    TimePoint tracked_since = kNever;
    // A position that the primary reported in answer to a query sent at `reference_at`.
    LogPosition reference;
    TimePoint reference_at;
    // When a replica that could become primary last had the reference position.
    TimePoint kept_up_at;
  };
  struct PendingStepDown {
    EndpointName endpoint;
    Term term = 0;
    int remaining = 0;
    TimePoint next_send;
  };
  struct TickContext;

  // The newest term that an endpoint of the group has reported.
  static Term NewestTerm(const GroupChange& change);
  // True when all these endpoints have answered a query sent at `since` or later.
  static bool AnsweredSince(const std::vector<const EndpointEntry*>& endpoints, const GroupChange& change,
                            TimePoint since);
  // Writes the states that were proposed for the groups to the record.
  void Submit(TickContext& context);
  void Discover(TickContext& context, const GroupName& group, GroupChange& change);
  // Queries the endpoints of a group that isn't in the record, to discover its primary.
  void QueryForPrimary(TickContext& context, const GroupName& group, GroupChange& change) const;
  void CheckPrimary(TickContext& context, const GroupName& group, const coordination::GroupState& state,
                    GroupChange& change);
  std::string ReasonToChange(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                             GroupChange& change) const;
  // True when a change is worthwhile: a replica that could become primary is reachable from enough VMs that can't reach
  // the primary. `share` is the share of the VMs that can't reach the primary.
  bool HasMoreReachableReplica(const TickContext& context, const std::vector<const EndpointEntry*>& endpoints,
                               const coordination::GroupState& state, double share) const;
  bool DirectoryDisagrees(const TickContext& context, const std::vector<const EndpointEntry*>& endpoints,
                          const coordination::GroupState& state, GroupChange& change) const;
  // Ends a change that this VM didn't begin if the present primary is well and may stay. Returns true if it ended.
  bool ConfirmPrimary(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                      GroupChange& change);
  void AwaitRelease(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                    GroupChange& change);
  void ChooseCandidate(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                       GroupChange& change);
  // A replica that has answered and could become primary.
  struct Replica {
    // Empty: none.
    EndpointName name;
    LogPosition position;
    // The number of VMs that can't reach it.
    std::size_t unreachable_count = 0;
    bool present_primary = false;
  };
  // What the replicas of a group have answered.
  struct Candidates {
    std::size_t replicas = 0;
    std::size_t answered = 0;
    // The most advanced replica; among equals, the one that most VMs reach. Draining ones are kept apart.
    Replica best;
    Replica best_draining;
    // The number of endpoints that have answered as replicas, whether they could become primary or not, and the newest
    // position of any.
    std::size_t logs_answered = 0;
    LogPosition newest;
    // True when another replica, which hasn't answered yet or lags behind, is reachable from more VMs.
    bool more_reachable_exists = false;
    // True when a replica that hasn't answered is unreachable from this VM only.
    bool silent_only_here = false;

    void Add(const Replica& replica, bool draining);
  };
  // True when the answer tells what the log of the endpoint holds.
  bool ShowsLog(const EndpointName& endpoint, const KnownStatus& answer) const;
  // True when the answers show the newest commit that was acknowledged in a group with synchronous replicas.
  bool ShowsAcknowledgedCommits(const TickContext& context, const GroupName& group,
                                const coordination::GroupState& state, const Candidates& found) const;
  // Compares the replicas' positions with the primary's, while the primary is used.
  void TrackReplicas(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                     GroupChange& change);
  // True unless the draining primary still answers and no replica that could replace it has its log.
  bool MayReplaceDraining(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                          GroupChange& change) const;
  Candidates FindCandidates(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                            const GroupChange& change) const;
  bool FinishIfResolved(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                        GroupChange& change);
  void PromoteCandidate(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                        GroupChange& change);
  void Finish(const TickContext& context, const GroupName& group, const coordination::GroupState& next,
              const std::string& reason, GroupChange& change);
  void ProposeResult(TickContext& context, const GroupName& group, const coordination::GroupState& state,
                     GroupChange& change);
  void QueryEndpoints(const TickContext& context, const GroupName& group, GroupChange& change, Duration interval) const;
  void QueryDeparted(const TickContext& context, const GroupName& group, GroupChange& change, Duration interval) const;
  void SendStepDowns(const TickContext& context);

  FailoverSettings settings;
  // The version in which this VM became the coordinator that makes `changes`.
  std::uint64_t coordinator_since = 0;
  std::map<GroupName, GroupChange> changes;
  // The groups with a promotion order in flight. Each has one at most, so that no earlier order can follow a later one.
  std::set<GroupName> orders_in_flight;
  LogHolders log_holders;
  std::vector<PendingStepDown> pending_step_downs;
};

}  // namespace amaranthlane::failover

#endif  // AMARANTHLANE_CORE_FAILOVER_PRIMARY_CHANGE_SYSTEM_H_
