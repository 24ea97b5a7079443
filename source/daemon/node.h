#ifndef AMARANTHLANE_DAEMON_NODE_H_
#define AMARANTHLANE_DAEMON_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <random>

#include "common/settings.h"
#include "daemon/control_plane.h"
#include "daemon/control_traffic.h"
#include "daemon/group_context.h"
#include "daemon/group_leader.h"
#include "daemon/operators_api.h"
#include "daemon/peer_client.h"
#include "daemon/platform_client.h"
#include "daemon/request_forwarder.h"
#include "metrics/registry.h"
#include "net/http_server.h"
#include "tracing/ring_tracer.h"

namespace amaranthlane::daemon {

// The daemon of one VM: runs its HTTP interfaces, its control plane, the handling of callers' requests and the groups
// that it leads on one event loop.
class Node {
 public:
  // `seed` initializes the random generator, which supplies transaction ids, jitter and the seeds of other components.
  Node(boost::asio::io_context& loop, const Settings& settings, std::uint64_t seed);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Listens on the ports for callers, peers and operators. Throws net::ListenError.
  void Start();
  // Starts a graceful shutdown. The event loop is stopped when all open work has ended, or after a timeout.
  void Drain();

 private:
  enum class Stage : std::uint8_t {
    kServing,
    // Open work continues; the groups that this VM leads accept no new work.
    kFinishing,
    // Leadership has been released; the last responses are sent.
    kClosing,
  };

  void HandlePeerRequest(const net::HttpRequest& request, net::HttpServer::ResponseCallback respond);
  void HandleControlMessage(std::string_view path, const net::HttpRequest& request,
                            net::HttpServer::ResponseCallback respond);
  void HandleWork(const net::HttpRequest& request, const net::HttpServer::ResponseCallback& respond);
  void Promote(const GroupName& group, const std::string& body, const net::HttpServer::ResponseCallback& respond);
  void PromoteLocally(GroupLeader& leader, const std::string& body, const net::HttpServer::ResponseCallback& respond);
  void BecameLeader(const GroupName& group, const leadership::Ballot& ballot, TimePoint valid_until);
  void ObjectsChanged();
  GroupLeader* LocalLeader(const GroupName& group);
  nlohmann::json LedGroups();
  void ScheduleTick();
  void Tick(TimePoint now);
  void AdvanceDrain(TimePoint now);
  bool LeadersIdle() const;
  ControlPlane::Listener MakeListener();
  OperatorsApi::Host MakeOperatorsHost();

  boost::asio::io_context& loop;
  const Settings& settings;
  std::mt19937_64 generator;
  Incarnation incarnation;
  metrics::Registry metrics;
  std::shared_ptr<tracing::RingTracer> tracer;
  ControlTraffic traffic;
  PlatformClient platform;
  PeerClient peers;
  ConnectionIdGenerator connection_ids;
  ControlPlane control_plane;
  GroupContext group_context;
  std::map<GroupName, std::unique_ptr<GroupLeader>> leaders;
  std::map<GroupName, ObjectVersion> group_versions;
  // When a group's load is next reported to a VM that forwards work to it, by `group/vm`.
  std::map<std::string, TimePoint> next_pressure_report_at;
  RequestForwarder request_forwarder;
  OperatorsApi operators;
  std::unique_ptr<net::HttpServer> callers_server;
  std::unique_ptr<net::HttpServer> peers_server;
  std::unique_ptr<net::HttpServer> operators_server;
  boost::asio::steady_timer timer;
  metrics::Gauge& caller_connections;
  metrics::Gauge& groups_led;
  Stage stage = Stage::kServing;
  TimePoint stage_deadline = kNever;
  // While closing: the end of the quiet period, extended while a request is in flight or a group is still led.
  TimePoint quiet_until = kNever;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_NODE_H_
