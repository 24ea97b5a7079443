#ifndef AMARANTHLANE_DAEMON_GROUP_SUPERVISOR_H_
#define AMARANTHLANE_DAEMON_GROUP_SUPERVISOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/promotion/promotion_system.h"
#include "core/replicas/replica_table.h"
#include "daemon/group_context.h"
#include "daemon/instance_prober.h"
#include "daemon/system_runner.h"

namespace amaranthlane::daemon {

// Monitors the instances of a led group and changes its primary: executes the actions of the promotion system and
// updates the replica table with the instances' positions.
class GroupSupervisor : public std::enable_shared_from_this<GroupSupervisor> {
 public:
  struct Listener {
    // A newer record of the group took effect. Its term may be higher.
    std::function<void(const replicas::GroupRecord&)> record_adopted;
    // No new requests may be sent to the primary. For a planned change, PrimaryIdle must be reported by
    // `drain_deadline`.
    std::function<void(bool planned, TimePoint drain_deadline)> primary_suspended;
    // The primary of the current term accepts statements.
    std::function<void()> primary_serving;
    std::function<void(const EndpointName&)> replace_connections;
    std::function<void(const std::vector<replicas::AcknowledgementResult>&)> acknowledged;
    std::function<void(promotion::PlannedOutcome)> planned_change_ended;
  };

  GroupSupervisor(GroupContext& context, const GroupName& group, const std::string& update_id_prefix,
                  Listener listener);

  // Runs the promotion system for the first time, with what this VM knows of the group.
  void Start();
  // Stops permanently: executes no further actions and calls no listener.
  void Stop();
  // Passes an event to the promotion system and executes the resulting actions.
  void Notify(const promotion::Event& event);
  // Runs what is due at `now`: timeouts of acknowledgements, timers of the promotion system and the check for stalled
  // replication.
  void Tick(TimePoint now);

  // Whether a commit at `position` may be acknowledged to the caller now. `term` is the term of the endpoint's reply;
  // the position of a replayed commit may belong to an older term. If the result is true for kReplicated, later
  // primaries must hold the commit.
  bool MayAcknowledge(AcknowledgementLevel level, Term term, const LogPosition& position);

  replicas::ReplicaTable& Replicas();
  promotion::PromotionSystem& Promotion();

 private:
  void Execute(const promotion::SuspendPrimary& action);
  void Execute(const promotion::ResumePrimary& action);
  void Execute(const promotion::FreezeAcknowledgements& action);
  void Execute(const promotion::UnfreezeAcknowledgements& action);
  void Execute(const promotion::ReplaceConnections& action);
  void Execute(const promotion::ProbeInstance& action);
  void Execute(const promotion::ReadGroupObject& action);
  void Execute(const promotion::UpdateGroupObject& action);
  void Execute(const promotion::ConfigureInstance& action);
  void Execute(const promotion::RecordAdopted& action);
  void Execute(const promotion::PrimaryChanged& action);
  void Execute(const promotion::StatusChanged& action);
  void Execute(const promotion::PlannedChangeEnded& action);

  void UpdateProbers(const replicas::GroupRecord& record);
  std::shared_ptr<InstanceProber> MakeProber(const replicas::Instance& instance);
  void FinishProbe(promotion::RequestId request, TimePoint sent_at, const net::CallResult& result);
  void FinishConfigure(promotion::RequestId request, const net::CallResult& result);
  void FinishRead(promotion::RequestId request, const PlatformReply& reply);
  void FinishUpdate(const std::string& update_id, const replicas::GroupRecord& record, const PlatformReply& reply);
  void ReportGroupObject(ObjectVersion version, const replicas::GroupRecord& record);

  GroupContext& context;
  GroupName group;
  Listener listener;
  replicas::ReplicaTable replica_table;
  promotion::PromotionSystem promotion_system;
  SystemRunner<promotion::PromotionSystem, promotion::Event, promotion::Action> runner;
  std::map<EndpointName, std::shared_ptr<InstanceProber>> probers;
  std::map<EndpointName, std::string> prober_addresses;
  bool stopped = false;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_GROUP_SUPERVISOR_H_
