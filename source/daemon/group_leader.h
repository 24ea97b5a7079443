#ifndef AMARANTHLANE_DAEMON_GROUP_LEADER_H_
#define AMARANTHLANE_DAEMON_GROUP_LEADER_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "daemon/group_supervisor.h"
#include "daemon/group_work.h"

namespace amaranthlane::daemon {

// Serves one database group while this VM leads it.
class GroupLeader {
 public:
  using PromoteCallback = std::function<void(promotion::PlannedOutcome)>;

  GroupLeader(GroupContext& context, const GroupName& group, const std::string& update_id_prefix,
              TimePoint valid_until);
  ~GroupLeader();
  GroupLeader(const GroupLeader&) = delete;
  GroupLeader& operator=(const GroupLeader&) = delete;

  // Runs the work. Refuses it with kNotLeader and the outcome kNotRun if the leadership isn't valid now, or, while
  // draining, if it is a statement outside a transaction or opens a transaction.
  void Submit(WorkRequest request, WorkCallback callback);
  // Changes the primary at an operator's request. Without a target the most advanced instance is chosen. While a change
  // is running, the callback gets kBusy.
  void Promote(const std::optional<EndpointName>& target, PromoteCallback callback);

  void SetValidUntil(TimePoint until);
  // Handles a version of the group's object that arrived by configuration distribution.
  void GroupObjectReceived(ObjectVersion version, const replicas::GroupRecord& record);
  // Refuses statements outside a transaction and new transactions. Open transactions may continue until `until`.
  void Drain(TimePoint until);
  void Tick(TimePoint now);

  bool Idle() const;
  scheduling::PressureReport Pressure(TimePoint now);
  // The group's state for the operators' API.
  nlohmann::json Status(TimePoint now);

 private:
  GroupSupervisor::Listener MakeListener();

  GroupName group;
  TimePoint valid_until;
  bool draining = false;
  PromoteCallback promote_callback;
  std::shared_ptr<GroupSupervisor> supervisor;
  GroupWork work;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_GROUP_LEADER_H_
