#ifndef AMARANTHLANE_PROXY_NODE_H_
#define AMARANTHLANE_PROXY_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "common/settings.h"
#include "core/coordination/coordination_system.h"
#include "core/failover/primary_change_system.h"
#include "core/quotas/permit_allocator.h"
#include "core/quotas/permit_requester.h"
#include "core/store_sync/store_sync_system.h"
#include "logging/log.h"
#include "metrics/registry.h"
#include "net/http_pool.h"
#include "net/http_server.h"
#include "proxy/caller_session.h"
#include "proxy/directory_change_log.h"
#include "proxy/dispatcher.h"
#include "proxy/draining_endpoints.h"
#include "proxy/endpoint_pool.h"
#include "proxy/platform_services.h"
#include "proxy/relayed_session.h"
#include "proxy/session_context.h"

namespace amaranthlane::proxy {

// The statement proxy on one VM of the fleet: callers' sessions, connections to endpoints, and this VM's part in
// coordination. Used on one thread.
class Node : public SessionContext {
 public:
  Node(boost::asio::io_context& loop, const Settings& settings, Incarnation incarnation, const StatementCodec& codec,
       PlatformServices& platform);
  ~Node() override;

  void Start();
  // Accepts sessions until the load balancer has noticed the shutdown, lets statements and transactions finish within
  // the grace period, then stops the event loop.
  void Shutdown();
  void Reload(const Settings& update);

  const StatementCodec& Codec() const override;
  const Configuration* CurrentConfiguration() const override;
  const KnownConfiguration& NewestConfiguration() const override;
  void LearnConfiguration(const KnownConfiguration& known) override;
  Dispatcher* FindDispatcher(const GroupName& group) override;
  bool MayAcknowledgeCommit(const GroupName& group, const EndpointName& endpoint, TimePoint now) const override;
  std::uint64_t RecordVersion() const override;
  void ScheduleDispatch() override;
  std::vector<gateways::FleetVm> GatewaysFor(const GroupName& group, const OrganisationName& organisation) override;
  quotas::OperationId AcquirePermit(const OrganisationName& organisation, PermitCallback callback) override;
  void CancelPermit(quotas::OperationId id) override;
  void Relay(boost::asio::ip::tcp::socket socket, std::string initial_bytes, std::vector<gateways::FleetVm> gateways,
             const Route& route) override;
  void ServeLocally(boost::asio::ip::tcp::socket socket, std::string initial_bytes) override;
  void OnStatementFinished(const StatementReport& report) override;

 private:
  struct KnownEndpoint {
    failover::EndpointEntry entry;
    std::unique_ptr<EndpointPool> pool;
    Dispatcher* dispatcher = nullptr;
    // Since when the directory has had no entry for it.
    std::optional<TimePoint> missing_since;
  };
  struct DepartedEndpoint {
    std::unique_ptr<EndpointPool> pool;
    TimePoint last_query;
  };
  // Which VMs hold connections to a group's endpoints.
  struct GroupPlan {
    gateways::GatewayPlan gateway_plan;
    // The gateways. Empty: every VM holds connections.
    std::vector<gateways::FleetVm> gateways;
    // True when this VM is a gateway, or every VM holds connections.
    bool serves_group = true;
    // True when there are few enough gateways for each to query the primary's position. Otherwise members query it and
    // report it to the other VMs.
    bool gateways_query_primary = false;
  };
  // An operation that waits for a permit.
  struct PendingOperation {
    OrganisationName organisation;
    PermitCallback callback;
  };
  // What the plans depend on.
  struct PlanInputs {
    std::string fleet_digest;
    std::size_t fleet_size = 0;
    std::uint64_t configuration_version = 0;
    std::size_t groups = 0;
    bool probes_endpoints = false;

    bool operator==(const PlanInputs&) const = default;
  };

  // node.cc
  void Accept(boost::asio::ip::tcp::acceptor& listener, SessionSource source);
  void Tick();
  void TickSessions(TimePoint now);
  void UpdateGauges(TimePoint now);
  // Reads the memory of the process, which costs system calls, for an operator who asks.
  void UpdateProcessGauges();
  void TickShutdown(TimePoint now);
  void AnswerOperatorRequest(const net::HttpRequest& request, const net::HttpServer::ResponseCallback& answer);
  bool Ready() const;
  // `source`: the store, or the address of the VM that the configuration was fetched from.
  void OnConfiguration(const Configuration& update, const std::string& source);

  // node_endpoints.cc
  void OnDirectory(DirectorySnapshot update);
  // Returns true if the configuration names a group that none before has named.
  bool AddNamedGroups(const Configuration& update);
  // The entries of the directory whose group a configuration has named. Another writer may have left any others.
  failover::EndpointDirectory EndpointsOfNamedGroups() const;
  // Adds, changes and removes endpoints by the directory. `former_current_at` as for EndpointPool::SetEndpoint.
  void UseDirectory(TimePoint former_current_at);
  void TickEndpoints(TimePoint now);
  // `former_current_at` as for EndpointPool::SetEndpoint.
  void AddEndpoint(const failover::EndpointEntry& entry, TimePoint former_current_at, TimePoint now);
  PoolEvents MakePoolEvents(const failover::EndpointEntry& entry);
  void QueryDepartedEndpoint(const failover::QueryDepartedEndpoint& action, TimePoint now);
  void TickDepartedEndpoints(TimePoint now);
  GroupPlan MakePlan(const GroupName& group, const gateways::FleetCounts& counts) const;
  bool ServesGroup(const GroupName& group) const;
  void UpdateFleet(std::vector<gateways::FleetVm> update);
  // Recomputes the plans of all groups if their inputs have changed.
  void UpdatePlans();
  // Sets the limits of each endpoint's pool as the plans require.
  void ApplyPoolLimits();
  // As GatewaysFor(), of these gateways.
  std::vector<gateways::FleetVm> GatewaysOfOrganisation(const std::vector<gateways::FleetVm>& gateways,
                                                        const OrganisationName& organisation) const;
  EndpointPool* FindPool(const EndpointName& endpoint) const;
  PrimaryStatus GetPrimary(const GroupName& group, TimePoint now) const;

  // node_quotas.cc
  static void LogConfigurationProblems(const Configuration& update);
  void ApplyRateLimits(const Configuration& update);
  // Logs which organisations have lost keys or got another rate limit.
  static void LogAccessChanges(const access::AccessTable& former, const Configuration& update);
  void TickQuotas(TimePoint now);
  // Updates which members allocate permits.
  void UpdatePermitMembers();
  void PerformQuotas(const quotas::Actions& actions);
  void SendPermitRequest(const quotas::SendPermitRequest& action);
  nlohmann::json AnswerPermitRequest(const nlohmann::json& document, TimePoint now);
  void CountOperation(const OrganisationName& organisation, const char* outcome);

  // node_coordination.cc
  void TickCoordination(TimePoint now);
  coordination::LocalReport MakeReport(TimePoint now);
  // True while statements of this VM are running at a primary that is being replaced. Closes their connections when the
  // primary is unreachable or kReleaseTimeout has passed.
  static bool StillUsesPrimary(TimePoint changing_from, EndpointPool* primary, TimePoint now);
  // Updates, from the record, which groups are changing their primary and since when.
  void UpdateChangingGroups(TimePoint now);
  // Adds to the report whether this VM reaches the group's primary, and which endpoints it can't reach.
  void ReportReachability(const GroupName& group, const EndpointName& primary, coordination::LocalReport& report) const;
  void Perform(coordination::Actions& actions);
  void PerformHeartbeat(const coordination::SendHeartbeat& action);
  void PerformRecordNotice(const coordination::SendRecordNotice& action);
  void PerformRead();
  void PerformWrite(const coordination::WriteRecord& action);
  void PerformFailover(const failover::Actions& actions, TimePoint now);
  void AnswerPeerRequest(const net::HttpRequest& request, const net::HttpServer::ResponseCallback& answer);
  // What to report to the VM that sent this heartbeat.
  coordination::FleetView MakeFleetView(const coordination::HeartbeatRequest& heartbeat, TimePoint now) const;
  // True on a few members for each requester. If all members reported the positions of all groups, these would be most
  // of the traffic between VMs.
  bool ReportsPositionsTo(const VmName& requester) const;
  void OnFleetView(const coordination::FleetView& fleet_view, TimePoint sent_at);
  void PerformStoreSync(const store_sync::Actions& actions, TimePoint now);
  void FetchFromPeer(const std::string& address, const std::string& target, TimePoint now,
                     std::function<void(const nlohmann::json&)> apply);
  void OnRecordAdopted(const std::string& source);
  net::HttpPool& PeerPool(const std::string& address);

  boost::asio::io_context& loop;
  Settings settings;
  const StatementCodec& codec;
  PlatformServices& platform;
  metrics::Registry registry;

  boost::asio::ip::tcp::acceptor acceptor;
  // Accepts sessions that other VMs relay to this one.
  boost::asio::ip::tcp::acceptor relay_acceptor;
  std::set<std::shared_ptr<Session>> sessions;
  net::HttpServer operators_server;
  net::HttpServer peers_server;
  boost::asio::steady_timer timer;
  bool dispatch_scheduled = false;

  std::optional<Configuration> configuration;
  KnownConfiguration newest_configuration;
  std::map<EndpointName, KnownEndpoint> endpoints;
  // Connections to endpoints that have left the directory with a log that may hold acknowledged commits.
  std::map<EndpointName, DepartedEndpoint> departed_endpoints;
  bool directory_known = false;
  DirectorySnapshot directory;
  DirectoryChangeLog directory_change_log;
  // The groups that a configuration has named since the process started.
  std::set<GroupName> named_groups;
  // The endpoints of these groups, with what this VM knows besides: those that had begun to drain before a restore of
  // the store.
  failover::EndpointDirectory known_directory;
  DrainingEndpoints draining_endpoints;
  // True when a peer's changes could not be applied to this VM's directory.
  bool full_directory_needed = false;
  std::map<GroupName, std::unique_ptr<Dispatcher>> dispatchers;

  coordination::CoordinationSystem coordination;
  failover::PrimaryChangeSystem failover;
  store_sync::StoreSyncSystem store_sync;
  quotas::PermitRequester permit_requester;
  quotas::PermitAllocator permit_allocator;
  // The operations that wait for a permit.
  std::map<quotas::OperationId, PendingOperation> pending_operations;
  std::map<VmName, std::string> permit_member_addresses;
  TimePoint next_permit_member_update;
  // The organisations that have metrics of their own.
  std::set<OrganisationName> counted_organisations;
  std::map<std::string, std::unique_ptr<net::HttpPool>> peer_pools;
  // The version of the record that was adopted last. For the log.
  std::uint64_t adopted_version = 0;
  // The number of replicas that a commit waits for, for each group of the configuration.
  std::map<GroupName, std::uint64_t> synchronous_replicas;
  // Groups that are changing their primary, and since when this VM knows of it.
  std::map<GroupName, TimePoint> changing_since;

  std::vector<gateways::FleetVm> fleet;
  std::string fleet_digest;
  TimePoint next_fleet_update;
  // Since when this VM has been a member.
  std::optional<TimePoint> member_since;
  std::map<GroupName, GroupPlan> plans;
  PlanInputs planned_inputs;
  // The groups whose positions a member reports to each VM. The second list holds the groups that every VM serves.
  std::map<VmName, std::vector<GroupName>> reported_groups;
  std::vector<GroupName> groups_reported_to_all;
  // The groups to whose endpoints this VM keeps connections open.
  std::vector<GroupName> connected_groups;
  std::size_t relay_rotation = 0;
  TimePoint next_plan_update;

  std::optional<TimePoint> shutdown_at;
  TimePoint next_session_tick;
  // When the timer is due; none: it wasn't set yet.
  TimePoint next_tick;
  Duration longest_stall{};
  // Since when this VM has had no lease; none: it has one.
  std::optional<TimePoint> without_lease_since;
  logging::RateLimiter statement_log_limiter;
  logging::RateLimiter endpoint_log_limiter;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_NODE_H_
