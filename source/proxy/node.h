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
#include "logging/log.h"
#include "metrics/registry.h"
#include "net/http_pool.h"
#include "net/http_server.h"
#include "proxy/caller_session.h"
#include "proxy/directory_changes.h"
#include "proxy/dispatcher.h"
#include "proxy/endpoint_pool.h"
#include "proxy/relayed_session.h"
#include "proxy/services.h"
#include "proxy/session_context.h"

namespace amaranthlane::proxy {

// One VM of the fleet that speaks statements: callers' sessions, connections to endpoints, and its part in
// coordination. Used on one thread.
class Node : public SessionContext {
 public:
  Node(boost::asio::io_context& loop, const Settings& settings, Incarnation incarnation, const StatementCodec& codec,
       PlatformServices& platform);
  ~Node() override;

  void Start();
  // Takes no new sessions once the balancer has noticed, lets open work end, then stops the event loop.
  void Shutdown();
  void Reload(const Settings& update);

  const StatementCodec& Codec() const override;
  const Configuration* CurrentConfiguration() const override;
  Dispatcher* FindDispatcher(const GroupName& group) override;
  bool MayAcknowledge(const GroupName& group, const EndpointName& endpoint, TimePoint now) const override;
  std::uint64_t RecordVersion() const override;
  void PumpSoon() override;
  std::vector<std::string> CarriersOf(const GroupName& group) override;
  void Relay(boost::asio::ip::tcp::socket socket, std::string beginning, std::vector<std::string> carriers,
             Duration statement_limit) override;
  void ServeHere(boost::asio::ip::tcp::socket socket, std::string beginning) override;
  void OnStatementEnd(const StatementEnd& end) override;

 private:
  struct KnownEndpoint {
    failover::EndpointEntry entry;
    std::unique_ptr<EndpointPool> pool;
    Dispatcher* dispatcher = nullptr;
    // Since when its entry is missing from the directory.
    std::optional<TimePoint> missing_since;
  };
  // Who holds connections to a group.
  struct GroupPlan {
    carriers::CarrierPlan plan;
    // Empty: every VM.
    std::vector<carriers::FleetVm> carriers;
    // This VM does.
    bool carried = true;
    // The carriers are so few that each asks the primary for its position. Otherwise members do, and tell the others.
    bool ask_themselves = false;
  };
  // What plans depend on.
  struct PlanInputs {
    std::string fleet_digest;
    std::size_t fleet_size = 0;
    std::uint64_t configuration_version = 0;
    std::size_t groups = 0;
    bool in_touch = false;

    bool operator==(const PlanInputs&) const = default;
  };

  // node.cc
  void Accept(boost::asio::ip::tcp::acceptor& door, bool may_relay);
  void Tick();
  void TickSessions(TimePoint now);
  void UpdateGauges(TimePoint now);
  void TickShutdown(TimePoint now);
  void AnswerReadiness(const net::HttpRequest& request, const net::HttpServer::ResponseCallback& answer);
  bool Ready() const;
  void OnConfiguration(Configuration update);

  // node_endpoints.cc
  void OnDirectory(KnownDirectory update);
  void TickEndpoints(TimePoint now);
  void AddEndpoint(const failover::EndpointEntry& entry, TimePoint now);
  PoolEvents EventsOf(const failover::EndpointEntry& entry);
  GroupPlan PlanFor(const GroupName& group, const carriers::FleetShape& shape) const;
  bool Carries(const GroupName& group) const;
  void UpdateFleet(std::vector<carriers::FleetVm> update);
  // Plans all groups anew when anything that plans depend on has changed.
  void ChooseCarriers();
  // Gives each endpoint's connections the limits that the plans say.
  void LimitPools();
  EndpointPool* FindPool(const EndpointName& endpoint) const;
  KnownPrimary PrimaryOf(const GroupName& group, TimePoint now) const;

  // node_coordination.cc
  void TickCoordination(TimePoint now);
  coordination::LocalReport MakeReport(TimePoint now);
  // True while statements of this VM are under way at the primary of a group that is changing. Ends them when they have
  // taken long enough.
  static bool OwesRelease(TimePoint changing_from, EndpointPool* primary, TimePoint now);
  // Notes which groups the record says are changing, and since when.
  void NoteChangingGroups(TimePoint now);
  // Notes which of the group's endpoints answer this VM.
  void ReportReach(const GroupName& group, const EndpointName& primary, coordination::LocalReport& report) const;
  void Perform(coordination::Actions& actions);
  void PerformBeat(const coordination::SendBeat& action);
  void PerformNotice(const coordination::SendNotice& action);
  void PerformRead();
  void PerformWrite(const coordination::WriteRecord& action);
  void PerformFailover(const failover::Actions& actions, TimePoint now);
  void AnswerPeer(const net::HttpRequest& request, const net::HttpServer::ResponseCallback& answer);
  // What to tell the VM that sent this beat.
  coordination::MemberKnowledge Knowledge(const coordination::Beat& beat, TimePoint now) const;
  // True for a few members by asker: positions of all groups from every member would be most of what VMs say.
  bool TellsPositionsTo(const VmName& asker) const;
  void OnKnowledge(const coordination::MemberKnowledge& knowledge, TimePoint asked_at);
  // Fetches from a peer what it has newer than this VM.
  void CatchUpWith(const std::string& address, const coordination::StoreKnowledge& store, TimePoint now);
  void Fetch(const std::string& address, const std::string& target, TimePoint now,
             std::function<void(const nlohmann::json&)> apply);
  coordination::StoreKnowledge OwnStoreKnowledge() const;
  void OnRecordAdopted(const std::string& source);
  net::HttpPool& PeerPool(const std::string& address);

  boost::asio::io_context& loop;
  Settings settings;
  const StatementCodec& codec;
  PlatformServices& platform;
  metrics::Registry registry;

  boost::asio::ip::tcp::acceptor acceptor;
  // Takes sessions that other VMs pass on.
  boost::asio::ip::tcp::acceptor relay_acceptor;
  std::set<std::shared_ptr<Session>> sessions;
  net::HttpServer readiness_server;
  net::HttpServer peers_server;
  boost::asio::steady_timer timer;
  bool pump_posted = false;

  std::optional<Configuration> configuration;
  std::map<EndpointName, KnownEndpoint> endpoints;
  bool directory_known = false;
  KnownDirectory directory;
  std::string directory_digest;
  DirectoryChanges directory_changes;
  // What a peer told of changes didn't fit.
  bool whole_directory_wanted = false;
  std::map<GroupName, std::unique_ptr<Dispatcher>> dispatchers;

  coordination::CoordinationSystem coordination;
  failover::PrimaryChangeSystem failover;
  std::map<std::string, std::unique_ptr<net::HttpPool>> peer_pools;
  // The version of the record that was adopted last, for the log.
  std::uint64_t adopted_version = 0;
  // Of each group of the configuration, how many replicas a commit waits for.
  std::map<GroupName, std::uint64_t> synchronous_replicas;
  // Since when the groups are changing, as this VM sees it.
  std::map<GroupName, TimePoint> changing_since;

  std::vector<carriers::FleetVm> fleet;
  std::string fleet_digest;
  TimePoint next_fleet_update;
  // Since when this VM is a member.
  std::optional<TimePoint> member_since;
  std::map<GroupName, GroupPlan> plans;
  PlanInputs planned_for;
  // The groups whose positions a member tells each VM; those of groups that every VM serves stand in the second list.
  std::map<VmName, std::vector<GroupName>> told_groups;
  std::vector<GroupName> groups_told_to_all;
  // The groups to whose endpoints this VM keeps connections.
  std::vector<GroupName> own_groups;
  std::size_t relay_turn = 0;
  TimePoint next_carrier_choice;

  std::optional<TimePoint> shutdown_at;
  TimePoint next_session_tick;
  TimePoint last_member_reply;
  // Since when this VM has been seen without enough promises; none: it has them.
  std::optional<TimePoint> without_promises_since;
  TimePoint next_refresh;
  TimePoint next_configuration_fetch;
  TimePoint next_directory_fetch;
  logging::RateLimiter statement_lines;
  logging::RateLimiter belief_lines;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_NODE_H_
