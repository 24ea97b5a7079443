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
#include "core/types.h"

// Replaces primaries that are gone, unreachable or leaving. Runs on the VM that holds the duty.
namespace amaranthlane::failover {

// Ask an endpoint for its status.
struct QueryStatus {
  EndpointName endpoint;
};
// Order the platform to make the endpoint the group's primary.
struct OrderPromotion {
  GroupName group;
  EndpointName endpoint;
  std::uint64_t fencing_token = 0;
};
// Tell a former primary of the term that replaced its own.
struct StepDown {
  EndpointName endpoint;
  Term term = 0;
};
// A step of a change, for the log.
struct ChangeStep {
  GroupName group;
  std::string step;
  std::string why;
};
using Action = std::variant<QueryStatus, OrderPromotion, StepDown, ChangeStep>;
using Actions = std::vector<Action>;

struct FailoverSettings {
  // The share of VMs that can't reach a primary from which it is replaced, if so many of them reach the next one: a
  // change stops the group's writes for all.
  double unreachable_share = 0.3;
  // How often endpoints are asked during a change.
  Duration query_interval = std::chrono::milliseconds(40);
  // How long all replicas may take to answer before the choice is made among those that did.
  Duration choice_timeout = std::chrono::milliseconds(250);
  // How long a planned change waits for a replica to have all that the old primary has.
  Duration catch_up_timeout = std::chrono::milliseconds(1500);
  // How long a change waits for a replica that more VMs reach than the most advanced one, to have what that one has.
  Duration reachability_wait = std::chrono::milliseconds(300);
  // How long an ordered promotion may take until it is ordered again.
  Duration promotion_timeout = std::chrono::milliseconds(1500);
  // How long an order of a former holder may still take effect after that holder lost the duty.
  Duration inherited_order_window = std::chrono::milliseconds(1000);
  // How long endpoints may say of themselves that another one leads than the record says.
  Duration disagreement_timeout = std::chrono::milliseconds(1000);
  // Between two orders that the platform didn't accept.
  Duration order_interval = std::chrono::milliseconds(200);
  // An entry that is missing for so long means that the endpoint is gone; above the two seconds that entries may take
  // to return after an outage of the store.
  Duration missing_entry_timeout = std::chrono::milliseconds(2600);
  // Without any replica in reach for so long, the holder asks another VM to take the duty over.
  Duration handover_delay = std::chrono::milliseconds(1200);
  // The former primary is told to step down so often, at `step_down_interval`.
  int step_down_attempts = 8;
  Duration step_down_interval = std::chrono::milliseconds(400);
};

// How an order to promote ended.
enum class PromotionResult : std::uint8_t {
  kAccepted,
  // The endpoint isn't running.
  kRefused,
  // No answer, or the platform is busy: to be ordered again.
  kFailed,
};

class PrimaryChangeSystem {
 public:
  explicit PrimaryChangeSystem(const FailoverSettings& settings);

  // Decides for each group. Updates of the record go through `coordination`.
  void Tick(const EndpointDirectory& directory, const std::map<GroupName, std::uint64_t>& synchronous_replicas,
            coordination::CoordinationSystem& coordination, TimePoint now, coordination::Actions& coordination_actions,
            Actions& actions);

  // The endpoint answered a query sent at `sent_at`.
  void OnStatus(const GroupName& group, const EndpointName& endpoint, const EndpointStatus& status, TimePoint sent_at);
  void OnPromotionResult(const GroupName& group, const EndpointName& endpoint, PromotionResult result, TimePoint now);

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
    TimePoint next_order;
    TimePoint chosen_at;
    TimePoint ordered_at;
    bool order_accepted = false;
    // This VM began the change, so no other VM's order is under way.
    bool started_here = false;
    // It has ordered nothing yet, so the old primary may stay, from the time on when no other VM's order is under way.
    bool may_abort = false;
    TimePoint abort_allowed_from = kNever;
    // Since when the primary of a group without a record is looked for, and when the next turn begins.
    std::optional<TimePoint> search_started_at;
    TimePoint next_search_at;
    // Since when no replica is known that could lead.
    std::optional<TimePoint> no_candidate_since;
    // Since when the directory disagrees with the record.
    std::optional<TimePoint> directory_disagrees_since;
    EndpointName candidate;
    // Candidates that the platform refused, with the end of their exclusion.
    std::map<EndpointName, TimePoint> excluded;
    std::map<EndpointName, KnownStatus> statuses;
    // When the primary's entry was first missed.
    std::optional<TimePoint> missing_since;
    // What the record is to say at the end.
    coordination::GroupState result;
    bool waiting_logged = false;
    bool no_candidate_logged = false;
    bool no_better_replica_logged = false;
  };
  struct PendingStepDown {
    EndpointName endpoint;
    Term term = 0;
    int remaining = 0;
    TimePoint next_send;
  };
  struct TickContext;

  // Writes what the groups' systems propose.
  void Submit(TickContext& context);
  void Discover(TickContext& context, const GroupName& group, GroupChange& change);
  // Asks the endpoints of a group that the record doesn't have yet.
  void QueryForPrimary(TickContext& context, const GroupName& group, GroupChange& change) const;
  void CheckPrimary(TickContext& context, const GroupName& group, const coordination::GroupState& state,
                    GroupChange& change);
  std::string ReasonToChange(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                             GroupChange& change) const;
  // True when a change pays: a replica that could lead reaches enough VMs that the primary doesn't, which is out of
  // reach for this share of them.
  bool HasMoreReachableReplica(const TickContext& context, const std::vector<const EndpointEntry*>& endpoints,
                               const coordination::GroupState& state, double share) const;
  bool DirectoryDisagrees(const TickContext& context, const std::vector<const EndpointEntry*>& endpoints,
                          const coordination::GroupState& state, GroupChange& change) const;
  void AwaitRelease(const TickContext& context, const GroupName& group, GroupChange& change);
  void ChooseCandidate(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                       GroupChange& change);
  // What the replicas say that can lead.
  struct Candidates {
    std::size_t replicas = 0;
    std::size_t answered = 0;
    // The most advanced one; of several, the one that most VMs reach. Empty: none.
    EndpointName best;
    LogPosition position;
    // True when another one is reached by more VMs, which hasn't answered yet or is behind.
    bool more_reachable_exists = false;
  };
  Candidates FindCandidates(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                            const GroupChange& change) const;
  bool FinishIfResolved(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                        GroupChange& change);
  void PromoteCandidate(const TickContext& context, const GroupName& group, const coordination::GroupState& state,
                        GroupChange& change);
  void Finish(const TickContext& context, const GroupName& group, const coordination::GroupState& next,
              const std::string& why, GroupChange& change);
  void ProposeResult(TickContext& context, const GroupName& group, const coordination::GroupState& state,
                     GroupChange& change);
  void QueryEndpoints(const TickContext& context, const GroupName& group, GroupChange& change, Duration interval) const;
  void SendStepDowns(const TickContext& context);

  FailoverSettings settings;
  std::map<GroupName, GroupChange> changes;
  std::vector<PendingStepDown> pending_step_downs;
};

}  // namespace amaranthlane::failover

#endif  // AMARANTHLANE_CORE_FAILOVER_PRIMARY_CHANGE_SYSTEM_H_
