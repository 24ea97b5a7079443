#include "daemon/node.h"

#include <chrono>
#include <utility>

#include "common/error.h"
#include "common/json.h"
#include "core/replicas/group_record.h"
#include "daemon/problem.h"
#include "daemon/promotion_names.h"
#include "logging/log.h"

namespace amaranthlane::daemon {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kTickInterval{10};
// A graceful shutdown waits up to kFinishTimeout for the open work of the led groups, then up to kCloseTimeout until no
// request is in flight and no group is led for kQuietPeriod. In this period callers learn that connections close.
constexpr std::chrono::seconds kFinishTimeout{20};
constexpr std::chrono::seconds kCloseTimeout{10};
constexpr std::chrono::milliseconds kQuietPeriod{1000};
constexpr std::chrono::seconds kPromoteTimeout{10};
// How often the load of a group is reported to a peer that forwards work to it.
constexpr std::chrono::milliseconds kPressureReportInterval{100};

net::HttpServerLimits ServerLimitsOf(const Settings& settings) {
  net::HttpServerLimits limits;
  limits.max_connections = settings.max_caller_connections;
  limits.max_body_bytes = settings.max_body_bytes;
  return limits;
}

}  // namespace

Node::Node(boost::asio::io_context& loop, const Settings& settings, std::uint64_t seed)
    : loop(loop),
      settings(settings),
      generator(seed),
      incarnation(static_cast<Incarnation>(
          std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count())),
      tracer(std::make_shared<tracing::RingTracer>(settings.trace_ring_size, 0, this->generator())),
      traffic(this->metrics),
      platform(loop, net::ParseAddress(settings.platform_address), this->metrics, this->traffic),
      peers(loop, this->traffic),
      control_plane(settings, this->incarnation, BootClock::now(), this->platform, this->peers, this->MakeListener()),
      group_context{loop,
                    settings,
                    this->platform,
                    this->metrics,
                    this->traffic,
                    this->tracer,
                    this->generator,
                    this->connection_ids,
                    [this](configuration::PlatformObject object) {
                      this->control_plane.HandlePlatformObject(std::move(object));
                    }},
      request_forwarder(loop, settings, this->control_plane, this->peers, this->metrics, this->tracer, this->generator,
                        RequestForwarder::Host{[this](const GroupName& group) { return this->LocalLeader(group); }}),
      operators(settings, this->control_plane, this->metrics, this->tracer, this->MakeOperatorsHost()),
      timer(loop),
      caller_connections(this->metrics.GetGauge("amaranthlane_caller_connections", "Open connections of callers.")),
      groups_led(this->metrics.GetGauge("amaranthlane_groups_led", "Database groups that this VM leads.")) {}

Node::~Node() = default;

ControlPlane::Listener Node::MakeListener() {
  ControlPlane::Listener listener;
  listener.became_leader = [this](const GroupName& group, const leadership::Ballot& ballot, TimePoint valid_until) {
    this->BecameLeader(group, ballot, valid_until);
  };
  listener.validity_extended = [this](const GroupName& group, TimePoint valid_until) {
    if (GroupLeader* leader = this->LocalLeader(group)) {
      leader->SetValidUntil(valid_until);
    }
  };
  listener.lost_leadership = [this](const GroupName& group) { this->leaders.erase(group); };
  listener.objects_changed = [this] { this->ObjectsChanged(); };
  return listener;
}

OperatorsApi::Host Node::MakeOperatorsHost() {
  OperatorsApi::Host host;
  host.led_groups = [this] { return this->LedGroups(); };
  host.drain = [this] { this->Drain(); };
  host.promote = [this](const GroupName& group, const std::string& body,
                        const net::HttpServer::ResponseCallback& respond) { this->Promote(group, body, respond); };
  host.draining = [this] { return this->stage != Stage::kServing; };
  return host;
}

void Node::Start() {
  const net::HttpServerLimits limits = ServerLimitsOf(this->settings);
  this->callers_server = std::make_unique<net::HttpServer>(
      this->loop, net::ParseAddress(this->settings.callers_address), limits,
      [this](const net::HttpRequest& request, net::HttpServer::ResponseCallback respond) {
        this->request_forwarder.Handle(request, std::move(respond));
      });
  this->peers_server = std::make_unique<net::HttpServer>(
      this->loop, net::ParseAddress(this->settings.peers_address), limits,
      [this](const net::HttpRequest& request, net::HttpServer::ResponseCallback respond) {
        this->HandlePeerRequest(request, std::move(respond));
      });
  this->operators_server = std::make_unique<net::HttpServer>(
      this->loop, net::ParseAddress(this->settings.operators_address), limits,
      [this](const net::HttpRequest& request, net::HttpServer::ResponseCallback respond) {
        this->operators.Handle(request, std::move(respond));
      });
  this->callers_server->Start();
  this->peers_server->Start();
  this->operators_server->Start();
  logging::Write(logging::Level::kInfo, "listening",
                 {{"callers", this->settings.callers_address},
                  {"peers", this->settings.peers_address},
                  {"operators", this->settings.operators_address},
                  {"incarnation", this->incarnation}});
  this->control_plane.Start();
  this->ScheduleTick();
}

void Node::HandlePeerRequest(const net::HttpRequest& request, net::HttpServer::ResponseCallback respond) {
  const std::string_view path = net::TargetPath(request.target);
  if (path == "/v1/peer/work") {
    this->HandleWork(request, respond);
    return;
  }
  const std::string kind(PeerTrafficKind(request.target));
  const auto count_and_respond = [this, kind, respond = std::move(respond)](net::HttpResponse response) {
    this->traffic.CountResponse(kind, response);
    respond(std::move(response));
  };
  this->traffic.CountRequest(kind, request);
  this->HandleControlMessage(path, request, count_and_respond);
}

void Node::HandleControlMessage(std::string_view path, const net::HttpRequest& request,
                                net::HttpServer::ResponseCallback respond) {
  if (path == "/v1/peer/beat") {
    this->control_plane.HandleHeartbeat(request.body, respond);
  } else if (path == "/v1/peer/promise") {
    this->control_plane.HandleGrantRequest(request.body, std::move(respond));
  } else if (path == "/v1/peer/close") {
    this->control_plane.HandleCloseRequest(request.body, std::move(respond));
  } else if (path == "/v1/peer/objects") {
    this->control_plane.HandleDifferencesRequest(request.body, respond);
  } else if (path == "/v1/peer/promote") {
    GroupLeader* leader = this->LocalLeader(net::QueryParameter(request.target, "group"));
    if (leader == nullptr) {
      respond(ProblemResponse(503, "not-leader", "this VM does not lead the group"));
      return;
    }
    this->PromoteLocally(*leader, request.body, respond);
  } else {
    respond(ProblemResponse(404, "unknown-call", "unknown path"));
  }
}

void Node::HandleWork(const net::HttpRequest& request, const net::HttpServer::ResponseCallback& respond) {
  const TimePoint now = BootClock::now();
  WorkRequest work;
  try {
    work = ParseWorkRequest(request.body, now);
  } catch (const ParseError& failure) {
    respond(ProblemResponse(400, "invalid-message", failure.what()));
    return;
  }
  work.traceparent = std::string(net::FindHeader(request.headers, "traceparent"));
  GroupLeader* leader = this->LocalLeader(work.group);
  if (leader == nullptr) {
    respond(JsonResponse(FormatWorkReply(MakeFailedReply(WorkProblem::kNotLeader))));
    return;
  }
  const std::string pressure_key = work.group + "/" + std::string(net::FindHeader(request.headers, "from-vm"));
  const GroupName group = work.group;
  leader->Submit(std::move(work), [this, respond, pressure_key, group](WorkReply result) {
    const TimePoint answered_at = BootClock::now();
    GroupLeader* current_leader = this->LocalLeader(group);
    TimePoint& next_report_at = this->next_pressure_report_at[pressure_key];
    if (current_leader != nullptr && answered_at >= next_report_at) {
      next_report_at = answered_at + kPressureReportInterval;
      result.pressure = current_leader->Pressure(answered_at);
    }
    respond(JsonResponse(FormatWorkReply(result)));
  });
}

void Node::Promote(const GroupName& group, const std::string& body, const net::HttpServer::ResponseCallback& respond) {
  if (GroupLeader* leader = this->LocalLeader(group)) {
    this->PromoteLocally(*leader, body, respond);
    return;
  }
  const std::optional<VmName> leader = this->control_plane.Leadership().CurrentLeader(group);
  const std::string address = leader ? this->control_plane.AddressOf(*leader) : std::string();
  if (address.empty()) {
    respond(ProblemResponse(503, "no-leader", "the group currently has no leader"));
    return;
  }
  this->peers.SendControlMessage(address, "/v1/peer/promote?group=" + net::EncodePathSegment(group), body,
                                 BootClock::now() + kPromoteTimeout, [respond](net::CallResult result) {
                                   if (result.status == net::CallStatus::kAnswered) {
                                     respond(std::move(result.response));
                                   } else {
                                     respond(ProblemResponse(504, "no-answer", "the group's leader did not answer"));
                                   }
                                 });
}

void Node::PromoteLocally(GroupLeader& leader, const std::string& body,
                          const net::HttpServer::ResponseCallback& respond) {
  std::optional<EndpointName> target;
  try {
    const Json message = json::Parse(body.empty() ? "{}" : body, "promote request");
    const json::ObjectReader reader(message, "promote request");
    reader.RejectUnknown({"target"});
    if (reader.Has("target")) {
      target = reader.String("target");
    }
  } catch (const ParseError& failure) {
    respond(ProblemResponse(400, "invalid-request", failure.what()));
    return;
  }
  leader.Promote(target, [respond](promotion::PlannedOutcome outcome) {
    const char* name = PlannedOutcomeName(outcome);
    if (outcome == promotion::PlannedOutcome::kDone) {
      respond(JsonResponse(R"({"outcome":"done"})"));
    } else {
      respond(ProblemResponse(409, name,
                              "the planned change of primary did not take place; the problem type gives the reason"));
    }
  });
}

void Node::BecameLeader(const GroupName& group, const leadership::Ballot& ballot, TimePoint valid_until) {
  const std::string prefix = this->settings.vm + "/" + std::to_string(this->incarnation) + "/" +
                             std::to_string(ballot.epoch) + "." + std::to_string(ballot.rank);
  this->leaders[group] = std::make_unique<GroupLeader>(this->group_context, group, prefix, valid_until);
  this->group_versions.erase(group);
  this->ObjectsChanged();
}

void Node::ObjectsChanged() {
  this->request_forwarder.ObjectsChanged();
  for (const auto& [group, leader] : this->leaders) {
    const configuration::PlatformObject* object =
        this->control_plane.Objects().Find(configuration::kDatabaseGroupsKind, group);
    if (object == nullptr || this->group_versions[group] >= object->version) {
      continue;
    }
    this->group_versions[group] = object->version;
    try {
      leader->GroupObjectReceived(object->version, replicas::ParseGroupRecord(object->value));
    } catch (const ParseError& failure) {
      logging::Write(logging::Level::kError, "malformed database group object",
                     {{"group", group}, {"error", failure.what()}});
    }
  }
}

GroupLeader* Node::LocalLeader(const GroupName& group) {
  const auto found = this->leaders.find(group);
  return found == this->leaders.end() ? nullptr : found->second.get();
}

Json Node::LedGroups() {
  Json groups = Json::array();
  for (const auto& [group, leader] : this->leaders) {
    groups.push_back(leader->Status(BootClock::now()));
  }
  return groups;
}

void Node::ScheduleTick() {
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->Tick(BootClock::now());
      this->ScheduleTick();
    }
  });
}

void Node::Tick(TimePoint now) {
  this->control_plane.Tick(now);
  for (const auto& [group, leader] : this->leaders) {
    leader->Tick(now);
  }
  this->request_forwarder.Tick(now);
  this->caller_connections.value = static_cast<double>(this->callers_server->OpenConnections());
  this->groups_led.value = static_cast<double>(this->leaders.size());
  if (this->stage != Stage::kServing) {
    this->AdvanceDrain(now);
  }
}

void Node::Drain() {
  if (this->stage != Stage::kServing) {
    return;
  }
  logging::Write(logging::Level::kInfo, "draining");
  this->stage = Stage::kFinishing;
  this->stage_deadline = BootClock::now() + kFinishTimeout;
  this->control_plane.AnnounceLeaving();
  this->callers_server->StopAccepting();
  for (const auto& [group, leader] : this->leaders) {
    leader->Drain(this->stage_deadline);
  }
}

bool Node::LeadersIdle() const {
  for (const auto& [group, leader] : this->leaders) {
    if (!leader->Idle()) {
      return false;
    }
  }
  return true;
}

void Node::AdvanceDrain(TimePoint now) {
  if (this->stage == Stage::kFinishing) {
    if (this->LeadersIdle() || now >= this->stage_deadline) {
      this->stage = Stage::kClosing;
      this->stage_deadline = now + kCloseTimeout;
      this->quiet_until = now + kQuietPeriod;
      this->control_plane.ReleaseLeadership();
    }
    return;
  }
  const bool quiet = this->callers_server->RequestsInFlight() == 0 && this->leaders.empty();
  if (!quiet) {
    this->quiet_until = now + kQuietPeriod;
  }
  if (now >= this->quiet_until || now >= this->stage_deadline) {
    logging::Write(logging::Level::kInfo, "drained");
    this->timer.cancel();
    this->loop.stop();
  }
}

}  // namespace amaranthlane::daemon
