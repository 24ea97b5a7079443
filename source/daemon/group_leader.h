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

// One database group for as long as this VM leads it.
class GroupLeader {
 public:
  using PromoteCallback = std::function<void(promotion::PlannedOutcome)>;

  GroupLeader(GroupContext& context, const GroupName& group, const std::string& update_id_prefix,
              TimePoint valid_until);
  ~GroupLeader();
  GroupLeader(const GroupLeader&) = delete;
  GroupLeader& operator=(const GroupLeader&) = delete;

  // Runs the work, or refuses it as not run when the leadership isn't valid now.
  void Submit(WorkRequest request, WorkCallback callback);
  // Changes the primary on an operator's behalf. Without a target the most advanced instance is chosen.
  void Promote(const std::optional<EndpointName>& target, PromoteCallback callback);

  void SetValidUntil(TimePoint until);
  // Takes the group's object as it came by the distribution of configuration.
  void GroupObjectSeen(ObjectVersion version, const replicas::GroupRecord& record);
  // Takes no further work; what is open goes on until `until`.
  void Drain(TimePoint until);
  void Tick(TimePoint now);

  bool Idle() const;
  scheduling::PressureReport Pressure(TimePoint now);
  // For operators.
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
