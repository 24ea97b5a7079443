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
// A graceful shutdown waits so long for open work, and so long in quiet for callers to learn that connections close.
constexpr std::chrono::seconds kFinishLimit{20};
constexpr std::chrono::seconds kCloseLimit{10};
constexpr std::chrono::milliseconds kQuietTime{1000};
constexpr std::chrono::seconds kPromoteLimit{10};
// How often the load of a group is told to a peer that passes work on.
constexpr std::chrono::milliseconds kPressureInterval{100};

net::HttpServerLimits LimitsOf(const Settings& settings) {
  net::HttpServerLimits limits;
  limits.connections = settings.max_caller_connections;
  limits.body_bytes = settings.max_body_bytes;
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
      control(settings, this->incarnation, BootClock::now(), this->platform, this->peers, this->MakeListener()),
      group_context{loop,
                    settings,
                    this->platform,
                    this->metrics,
                    this->traffic,
                    this->tracer,
                    this->generator,
                    this->connection_ids,
                    [this](configuration::PlatformObject object) { this->control.ObjectReceived(std::move(object)); }},
      request_forwarder(loop, settings, this->control, this->peers, this->metrics, this->tracer, this->generator,
                        RequestForwarder::Host{[this](const GroupName& group) { return this->LocalLeader(group); }}),
      operators(settings, this->control, this->metrics, this->tracer, this->MakeOperatorsHost()),
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
  host.promote = [this](const GroupName& group, const std::string& body, const net::HttpServer::Answer& answer) {
    this->Promote(group, body, answer);
  };
  host.draining = [this] { return this->stage != Stage::kServing; };
  return host;
}

void Node::Start() {
  const net::HttpServerLimits limits = LimitsOf(this->settings);
  this->callers_server =
      std::make_unique<net::HttpServer>(this->loop, net::ParseAddress(this->settings.callers_address), limits,
                                        [this](const net::HttpRequest& request, net::HttpServer::Answer answer) {
                                          this->request_forwarder.Handle(request, std::move(answer));
                                        });
  this->peers_server =
      std::make_unique<net::HttpServer>(this->loop, net::ParseAddress(this->settings.peers_address), limits,
                                        [this](const net::HttpRequest& request, net::HttpServer::Answer answer) {
                                          this->HandlePeer(request, std::move(answer));
                                        });
  this->operators_server =
      std::make_unique<net::HttpServer>(this->loop, net::ParseAddress(this->settings.operators_address), limits,
                                        [this](const net::HttpRequest& request, net::HttpServer::Answer answer) {
                                          this->operators.Handle(request, std::move(answer));
                                        });
  this->callers_server->Start();
  this->peers_server->Start();
  this->operators_server->Start();
  logging::Write(logging::Level::kInfo, "listening",
                 {{"callers", this->settings.callers_address},
                  {"peers", this->settings.peers_address},
                  {"operators", this->settings.operators_address},
                  {"incarnation", this->incarnation}});
  this->control.Start();
  this->ScheduleTick();
}

void Node::HandlePeer(const net::HttpRequest& request, net::HttpServer::Answer answer) {
  const std::string_view path = net::TargetPath(request.target);
  if (path == "/v1/peer/work") {
    this->HandleWork(request, answer);
    return;
  }
  const std::string kind(PeerTrafficKind(request.target));
  const auto counted = [this, kind, answer = std::move(answer)](net::HttpResponse response) {
    this->traffic.CountAnswer(kind, response);
    answer(std::move(response));
  };
  this->traffic.CountRequest(kind, request);
  this->HandleControl(path, request, counted);
}

void Node::HandleControl(std::string_view path, const net::HttpRequest& request, net::HttpServer::Answer answer) {
  if (path == "/v1/peer/beat") {
    this->control.HandleBeat(request.body, answer);
  } else if (path == "/v1/peer/promise") {
    this->control.HandleGrantRequest(request.body, std::move(answer));
  } else if (path == "/v1/peer/close") {
    this->control.HandleClose(request.body, std::move(answer));
  } else if (path == "/v1/peer/objects") {
    this->control.HandleObjects(request.body, answer);
  } else if (path == "/v1/peer/promote") {
    GroupLeader* leader = this->LocalLeader(net::QueryParameter(request.target, "group"));
    if (leader == nullptr) {
      answer(ProblemResponse(503, "not-leader", "this VM does not lead the group"));
      return;
    }
    this->PromoteHere(*leader, request.body, answer);
  } else {
    answer(ProblemResponse(404, "unknown-call", "no such call"));
  }
}

void Node::HandleWork(const net::HttpRequest& request, const net::HttpServer::Answer& answer) {
  const TimePoint now = BootClock::now();
  WorkRequest work;
  try {
    work = ParseWorkRequest(request.body, now);
  } catch (const ParseError& failure) {
    answer(ProblemResponse(400, "invalid-message", failure.what()));
    return;
  }
  work.traceparent = std::string(net::FindHeader(request.headers, "traceparent"));
  GroupLeader* leader = this->LocalLeader(work.group);
  if (leader == nullptr) {
    answer(JsonResponse(FormatWorkReply(MakeFailedReply(WorkProblem::kNotLeader))));
    return;
  }
  const std::string pressure_key = work.group + "/" + std::string(net::FindHeader(request.headers, "from-vm"));
  const GroupName group = work.group;
  leader->Submit(std::move(work), [this, answer, pressure_key, group](WorkReply result) {
    const TimePoint answered = BootClock::now();
    GroupLeader* present = this->LocalLeader(group);
    TimePoint& due = this->pressure_due[pressure_key];
    if (present != nullptr && answered >= due) {
      due = answered + kPressureInterval;
      result.pressure = present->Pressure(answered);
    }
    answer(JsonResponse(FormatWorkReply(result)));
  });
}

void Node::Promote(const GroupName& group, const std::string& body, const net::HttpServer::Answer& answer) {
  if (GroupLeader* leader = this->LocalLeader(group)) {
    this->PromoteHere(*leader, body, answer);
    return;
  }
  const std::optional<VmName> leader = this->control.Leadership().CurrentLeader(group);
  const std::string address = leader ? this->control.AddressOf(*leader) : std::string();
  if (address.empty()) {
    answer(ProblemResponse(503, "no-leader", "the group has no leader at present"));
    return;
  }
  this->peers.Control(address, "/v1/peer/promote?group=" + net::EncodePathSegment(group), body,
                      BootClock::now() + kPromoteLimit, [answer](net::CallResult result) {
                        if (result.status == net::CallStatus::kAnswered) {
                          answer(std::move(result.response));
                        } else {
                          answer(ProblemResponse(504, "no-answer", "the group's leader did not answer"));
                        }
                      });
}

void Node::PromoteHere(GroupLeader& leader, const std::string& body, const net::HttpServer::Answer& answer) {
  std::optional<EndpointName> target;
  try {
    const Json message = json::Parse(body.empty() ? "{}" : body, "promote request");
    const json::ObjectReader reader(message, "promote request");
    reader.RejectUnknown({"target"});
    if (reader.Has("target")) {
      target = reader.String("target");
    }
  } catch (const ParseError& failure) {
    answer(ProblemResponse(400, "invalid-request", failure.what()));
    return;
  }
  leader.Promote(target, [answer](promotion::PlannedOutcome outcome) {
    const char* name = PlannedOutcomeName(outcome);
    if (outcome == promotion::PlannedOutcome::kDone) {
      answer(JsonResponse(R"({"outcome":"done"})"));
    } else {
      answer(ProblemResponse(409, name, "the primary was not changed as asked"));
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
        this->control.Objects().Find(configuration::kDatabaseGroupsKind, group);
    if (object == nullptr || this->group_versions[group] >= object->version) {
      continue;
    }
    this->group_versions[group] = object->version;
    try {
      leader->GroupObjectReceived(object->version, replicas::ParseGroupRecord(object->value));
    } catch (const ParseError& failure) {
      logging::Write(logging::Level::kError, "a database group's object is malformed",
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
  this->control.Tick(now);
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
  this->stage_deadline = BootClock::now() + kFinishLimit;
  this->control.AnnounceLeaving();
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
      this->stage_deadline = now + kCloseLimit;
      this->quiet_until = now + kQuietTime;
      this->control.ReleaseLeadership();
    }
    return;
  }
  const bool quiet = this->callers_server->RequestsInFlight() == 0 && this->leaders.empty();
  if (!quiet) {
    this->quiet_until = now + kQuietTime;
  }
  if (now >= this->quiet_until || now >= this->stage_deadline) {
    logging::Write(logging::Level::kInfo, "drained");
    this->timer.cancel();
    this->loop.stop();
  }
}

}  // namespace amaranthlane::daemon
