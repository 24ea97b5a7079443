#ifndef AMARANTHLANE_DAEMON_CONTROL_PLANE_H_
#define AMARANTHLANE_DAEMON_CONTROL_PLANE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/settings.h"
#include "core/configuration/distribution_system.h"
#include "core/configuration/edit_system.h"
#include "core/configuration/object_store.h"
#include "core/leadership/leadership_system.h"
#include "core/membership/membership_system.h"
#include "daemon/heartbeat_message.h"
#include "daemon/peer_client.h"
#include "daemon/platform_client.h"
#include "daemon/system_runner.h"
#include "net/http_server.h"

namespace amaranthlane::daemon {

// Runs one VM's membership, leadership, configuration distribution and edit systems: passes events to them and executes
// their actions.
class ControlPlane {
 public:
  struct Listener {
    std::function<void(const GroupName&, const leadership::Ballot&, TimePoint valid_until)> became_leader;
    std::function<void(const GroupName&, TimePoint valid_until)> validity_extended;
    std::function<void(const GroupName&)> lost_leadership;
    // Objects in the store may have changed. Also called at each tick.
    std::function<void()> objects_changed;
  };
  using EditCallback = std::function<void(configuration::EditResult)>;

  ControlPlane(const Settings& settings, Incarnation incarnation, TimePoint started_at, PlatformClient& platform,
               PeerClient& peers, Listener listener);

  void Start();
  void Tick(TimePoint now);
  // Announces to the peers that this VM is shutting down; they assign it no new roles.
  void AnnounceLeaving();
  // Releases the leadership of all groups that this VM leads.
  void ReleaseLeadership();

  // Handlers of the interface for peers. Each calls `respond` once.
  void HandleHeartbeat(const std::string& body, const net::HttpServer::ResponseCallback& respond);
  void HandleGrantRequest(const std::string& body, net::HttpServer::ResponseCallback respond);
  void HandleCloseRequest(const std::string& body, net::HttpServer::ResponseCallback respond);
  void HandleDifferencesRequest(const std::string& body, const net::HttpServer::ResponseCallback& respond);

  // Changes an object on an operator's behalf.
  void SubmitEdit(configuration::EditRequest edit, TimePoint deadline, EditCallback callback);
  // Passes an object that this VM read from or wrote to the platform to the leadership and distribution systems.
  void HandlePlatformObject(configuration::PlatformObject object);

  const configuration::ObjectStore& Objects() const;
  const leadership::LeadershipSystem& Leadership() const;
  const membership::MembershipSystem& Membership() const;
  std::vector<configuration::AppliedVersion> AppliedVersions() const;
  // The address of a VM's interface for peers; empty if it isn't known.
  std::string AddressOf(const VmName& vm) const;
  bool PlatformReachable() const;
  // Until then this VM makes no lease grants as a witness, because it has just started. Restarting another VM earlier
  // would leave too few witnesses.
  TimePoint WitnessSilentUntil() const;

 private:
  void Execute(const membership::SendHeartbeat& action);
  void Execute(const membership::MembershipChanged& action);
  void Execute(const membership::VmTerminated& action);
  void Execute(const leadership::SendGrantRequest& action);
  void Execute(const leadership::SendGrantReply& action);
  void Execute(const leadership::SendCloseRequest& action);
  void Execute(const leadership::SendCloseReply& action);
  void Execute(const leadership::RejectRequest& action);
  void Execute(const leadership::UpdateRecord& action);
  void Execute(const leadership::ReadRecord& action);
  void Execute(const leadership::BecameLeader& action);
  void Execute(const leadership::ValidityExtended& action);
  void Execute(const leadership::LostLeadership& action);
  void Execute(const configuration::OpenWatch& action);
  void Execute(const configuration::CloseWatch& action);
  void Execute(const configuration::ListObjects& action);
  void Execute(const configuration::ReadObject& action);
  void Execute(const configuration::SendDigest& action);
  void Execute(const configuration::PullDifferences& action);
  void Execute(const configuration::EditWrite& action);
  void Execute(const configuration::EditRead& action);
  void Execute(const configuration::EditEnded& action);

  // Makes a heartbeat with only a summary of the configuration. A receiver that holds other objects replies with its
  // digest.
  HeartbeatMessage MakeHeartbeatMessage(membership::Heartbeat heartbeat) const;
  HeartbeatMessage MakeHeartbeatMessageWithDigest(membership::Heartbeat heartbeat) const;
  void SendHeartbeatMessage(const std::string& address, const HeartbeatMessage& message);
  void ProcessHeartbeatMessage(const HeartbeatMessage& message);
  void ProcessConfigurationDigest(const HeartbeatMessage& message);
  void UpdatePlatformReachable(PlatformStatus status);
  void ReportLeadershipRecords(const std::vector<configuration::PlatformObject>& objects);
  void ReportLeadershipRecord(const configuration::PlatformObject& object, leadership::RecordSource source);
  void NotifyDistribution(configuration::DistributionEvent event);
  void ProcessStoreChanges();
  void UpdateHeartbeatPeers();
  void PollVmList(TimePoint now);

  const Settings& settings;
  leadership::Holder self;
  TimePoint witness_silent_until;
  PlatformClient& platform;
  PeerClient& peers;
  Listener listener;
  configuration::ObjectStore store;
  membership::MembershipSystem membership_system;
  leadership::LeadershipSystem leadership_system;
  configuration::DistributionSystem distribution_system;
  configuration::EditSystem edit_system;
  SystemRunner<membership::MembershipSystem, membership::Event, membership::Action> membership_runner;
  SystemRunner<leadership::LeadershipSystem, leadership::Event, leadership::Action> leadership_runner;
  SystemRunner<configuration::DistributionSystem, configuration::DistributionEvent, configuration::DistributionAction>
      distribution_runner;
  SystemRunner<configuration::EditSystem, configuration::EditEvent, configuration::EditAction> edit_runner;

  std::map<std::uint64_t, net::HttpServer::ResponseCallback> pending_replies;
  std::uint64_t next_reply_id = 1;
  std::map<std::uint64_t, EditCallback> pending_edits;
  std::uint64_t next_edit_id = 1;
  std::map<GroupName, leadership::Ballot> led_groups;
  std::uint64_t applied_groups_revision = 0;
  std::uint64_t applied_leadership_revision = 0;
  TimePoint next_vm_list_at = TimePoint::min();
  bool platform_reachable = true;
  bool leaving = false;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_CONTROL_PLANE_H_
