#ifndef AMARANTHLANE_DAEMON_REQUEST_FORWARDER_H_
#define AMARANTHLANE_DAEMON_REQUEST_FORWARDER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <random>
#include <unordered_map>

#include "common/settings.h"
#include "core/configuration/caller_directory.h"
#include "core/configuration/requirements_resolver.h"
#include "core/outcomes/forwarding_policy.h"
#include "core/scheduling/entry_admission.h"
#include "core/sessions/session_token.h"
#include "daemon/caller_request.h"
#include "daemon/control_plane.h"
#include "daemon/group_leader.h"
#include "daemon/peer_client.h"
#include "daemon/request_metrics.h"
#include "net/http_server.h"
#include "tracing/ring_tracer.h"

namespace amaranthlane::daemon {

// Handles callers' requests at the entry VM: authenticates the caller, resolves the service requirements of the
// request, and forwards it to the leader of its group.
class RequestForwarder {
 public:
  struct Host {
    // Returns null if this VM doesn't lead the group.
    std::function<GroupLeader*(const GroupName&)> local_leader;
  };

  RequestForwarder(boost::asio::io_context& loop, const Settings& settings, ControlPlane& control_plane,
                   PeerClient& peers, metrics::Registry& metrics, std::shared_ptr<tracing::RingTracer> tracer,
                   std::mt19937_64& generator, Host host);

  // Handles a request of the callers' interface.
  void Handle(const net::HttpRequest& request, net::HttpServer::ResponseCallback respond);
  // Reloads labels, selectors and callers from the object store if they changed.
  void ObjectsChanged();
  // Abandons attempts that were forwarded to another VM if their group now has a different leader.
  void Tick(TimePoint now);

 private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;

  CallPointer Parse(const net::HttpRequest& request, net::HttpServer::ResponseCallback& respond);
  bool Resolve(Call& call, const CallerRequest& request, std::string_view session_token);
  void Forward(const CallPointer& call);
  void ForwardToPeer(const CallPointer& call, const VmName& leader);
  void HandlePeerResult(const CallPointer& call, const net::CallResult& result);
  void HandleReply(const CallPointer& call, WorkReply reply);
  void Decide(const CallPointer& call, outcomes::ForwardEvent event, WorkReply reply);
  void ScheduleForward(const CallPointer& call, TimePoint not_before);
  void Finish(const CallPointer& call, WorkReply reply);
  net::HttpResponse SuccessResponse(Call& call, const WorkReply& reply) const;

  boost::asio::io_context& loop;
  const Settings& settings;
  ControlPlane& control_plane;
  PeerClient& peers;
  std::shared_ptr<tracing::RingTracer> tracer;
  std::mt19937_64& generator;
  Host host;
  RequestMetrics metrics;
  configuration::CallerDirectory callers;
  configuration::RequirementsResolver resolver;
  outcomes::ForwardingPolicy forwarding;
  scheduling::EntryAdmission admission;
  // The calls that wait for a reply from another VM, by id.
  std::unordered_map<outcomes::RequestId, CallPointer> forwarded;
  outcomes::RequestId next_call = 1;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_REQUEST_FORWARDER_H_
