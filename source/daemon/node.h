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

// One VM's daemon: ties the interfaces, the control plane, the entry role and the led groups to one event loop.
class Node {
 public:
  // `seed` starts the generator of the incarnation, of transactions' names and of jitter.
  Node(boost::asio::io_context& loop, const Settings& settings, std::uint64_t seed);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Opens the three ports. Throws net::ListenError.
  void Start();
  // Starts a graceful shutdown; the event loop is stopped when nothing is open any more.
  void Drain();

 private:
  enum class Stage : std::uint8_t {
    kServing,
    // Work that is open goes on; what this VM leads takes no more.
    kFinishing,
    // Leadership was released; the last answers go out.
    kClosing,
  };

  void HandlePeer(const net::HttpRequest& request, net::HttpServer::Answer answer);
  void HandleControl(std::string_view path, const net::HttpRequest& request, net::HttpServer::Answer answer);
  void HandleWork(const net::HttpRequest& request, const net::HttpServer::Answer& answer);
  void Promote(const GroupName& group, const std::string& body, const net::HttpServer::Answer& answer);
  void PromoteHere(GroupLeader& leader, const std::string& body, const net::HttpServer::Answer& answer);
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
  ControlPlane control;
  GroupContext group_context;
  std::map<GroupName, std::unique_ptr<GroupLeader>> leaders;
  std::map<GroupName, ObjectVersion> group_versions;
  // When each group's load is to be told again to each VM that passes work on, by `group/vm`.
  std::map<std::string, TimePoint> pressure_due;
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
  // While closing: the end of the quiet time, moved on while anything is open.
  TimePoint quiet_until = kNever;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_NODE_H_
