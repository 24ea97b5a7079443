#include "daemon/operators_api.h"

#include <charconv>
#include <chrono>
#include <utility>

#include "common/error.h"
#include "common/json.h"
#include "daemon/problem.h"

namespace amaranthlane::daemon {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kEditTimeout{5};
constexpr char kDocument[] = "operator request";

const char* LivenessName(membership::Liveness liveness) {
  switch (liveness) {
    case membership::Liveness::kUnheard:
      return "unheard";
    case membership::Liveness::kLive:
      return "live";
    case membership::Liveness::kSuspected:
      return "suspected";
    case membership::Liveness::kDead:
      return "dead";
  }
  return "unheard";
}

std::optional<ObjectVersion> ParseVersion(const std::string& text) {
  ObjectVersion version = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return version;
}

// Converts the result of an edit into an HTTP response.
struct EditResponse {
  net::HttpResponse operator()(const configuration::EditApplied& applied) const {
    return JsonResponse(Json{{"version", applied.object.version}}.dump());
  }
  net::HttpResponse operator()(const configuration::EditInvalid& invalid) const {
    return ProblemResponse(400, "invalid-object", "'" + invalid.key + "': expected " + invalid.expected);
  }
  net::HttpResponse operator()(const configuration::EditConflict& conflict) const {
    Json submitted{
        {"kind", conflict.request.kind}, {"name", conflict.request.name}, {"deleted", conflict.request.remove}};
    if (!conflict.request.remove) {
      submitted["value"] = conflict.request.value;
    }
    const Json body{{"type", "urn:amaranthlane:conflict"},
                    {"title", "conflict"},
                    {"status", 409},
                    {"detail", "the object was changed since it was read"},
                    {"effect", configuration::EditEffectName(conflict.effect)},
                    {"mine", std::move(submitted)},
                    {"current", configuration::ToJson(conflict.current)}};
    return net::HttpResponse{409, {}, "application/problem+json", body.dump()};
  }
  net::HttpResponse operator()(const configuration::EditTimedOut& timed_out) const {
    const Json body{{"type", "urn:amaranthlane:platform-unavailable"},
                    {"title", "platform-unavailable"},
                    {"status", 503},
                    {"detail", "the platform did not answer in time"},
                    {"effect", configuration::EditEffectName(timed_out.effect)}};
    return net::HttpResponse{503, {}, "application/problem+json", body.dump()};
  }
};

Json ToJson(const tracing::SpanRecord& span) {
  Json tags = Json::object();
  for (const tracing::SpanTag& tag : span.tags) {
    tags[tag.key] = tag.value;
  }
  const auto start = std::chrono::duration_cast<std::chrono::microseconds>(span.start.time_since_epoch());
  return Json{{"trace_id", tracing::FormatTraceId(span.context)},
              {"span_id", tracing::FormatSpanId(span.context.span_id)},
              {"parent_span_id", tracing::FormatSpanId(span.parent_span_id)},
              {"operation", span.operation},
              {"start_us", start.count()},
              {"elapsed_us", span.elapsed.count()},
              {"tags", std::move(tags)}};
}

}  // namespace

OperatorsApi::OperatorsApi(const Settings& settings, ControlPlane& control_plane, metrics::Registry& metrics,
                           std::shared_ptr<tracing::RingTracer> tracer, Host host)
    : settings(settings),
      control_plane(control_plane),
      metrics(metrics),
      tracer(std::move(tracer)),
      host(std::move(host)) {}

const std::vector<OperatorsApi::Route>& OperatorsApi::Routes() {
  // `resource` is the first segment of the path, or the second if the first is "v1".
  static const std::vector<Route> routes = {
      {"GET", "health", 1, &OperatorsApi::Health},
      {"GET", "ready", 1, &OperatorsApi::Ready},
      {"GET", "metrics", 1, &OperatorsApi::Metrics},
      {"GET", "status", 2, &OperatorsApi::Status},
      {"POST", "drain", 2, &OperatorsApi::Drain},
      {"GET", "traces", 2, &OperatorsApi::Traces},
      {"POST", "groups", 4, &OperatorsApi::Promote},
      {"GET", "objects", 3, &OperatorsApi::ListObjects},
      {"GET", "objects", 4, &OperatorsApi::GetObject},
      {"PUT", "objects", 4, &OperatorsApi::PutObject},
      {"DELETE", "objects", 4, &OperatorsApi::DeleteObject},
  };
  return routes;
}

void OperatorsApi::Handle(const net::HttpRequest& request, net::HttpServer::ResponseCallback respond) {
  const Segments segments = net::PathSegments(net::TargetPath(request.target));
  const std::size_t resource_index = !segments.empty() && segments[0] == "v1" ? 1 : 0;
  for (const Route& route : Routes()) {
    if (segments.size() == route.segment_count && segments.size() > resource_index &&
        segments[resource_index] == route.resource && request.method == route.method) {
      try {
        (this->*route.handler)(request, segments, respond);
      } catch (const ParseError& failure) {
        respond(ProblemResponse(400, "invalid-request", failure.what()));
      }
      return;
    }
  }
  respond(ProblemResponse(404, "unknown-call", "unknown path or method"));
}

void OperatorsApi::Health(const net::HttpRequest& /*request*/, const Segments& /*segments*/,
                          const net::HttpServer::ResponseCallback& respond) {
  respond(JsonResponse(R"({"status":"ok"})"));
}

void OperatorsApi::Ready(const net::HttpRequest& /*request*/, const Segments& /*segments*/,
                         const net::HttpServer::ResponseCallback& respond) {
  if (this->host.draining()) {
    respond(ProblemResponse(503, "draining", "this VM is shutting down"));
    return;
  }
  if (BootClock::now() < this->control_plane.WitnessSilentUntil()) {
    respond(ProblemResponse(503, "starting", "this VM has just started and makes no lease grants as a witness yet"));
    return;
  }
  std::size_t groups = 0;
  std::string group_without_leader;
  this->control_plane.Objects().ForEach(
      configuration::kDatabaseGroupsKind,
      [this, &groups, &group_without_leader](const configuration::PlatformObject& object) {
        ++groups;
        if (!this->control_plane.Leadership().CurrentLeader(object.name)) {
          group_without_leader = object.name;
        }
      });
  if (groups == 0) {
    respond(ProblemResponse(503, "no-configuration", "no database group is known yet"));
  } else if (!group_without_leader.empty()) {
    respond(ProblemResponse(503, "no-leader", "group " + group_without_leader + " has no leader"));
  } else {
    respond(JsonResponse(R"({"status":"ready"})"));
  }
}

void OperatorsApi::Metrics(const net::HttpRequest& /*request*/, const Segments& /*segments*/,
                           const net::HttpServer::ResponseCallback& respond) {
  respond(net::HttpResponse{200, {}, "text/plain; version=0.0.4", this->metrics.Expose()});
}

void OperatorsApi::Status(const net::HttpRequest& /*request*/, const Segments& /*segments*/,
                          const net::HttpServer::ResponseCallback& respond) {
  Json vms = Json::array();
  for (const auto& [name, row] : this->control_plane.Membership().Vms()) {
    vms.push_back(Json{{"vm", name},
                       {"data_centre", row.data_centre},
                       {"address", row.address},
                       {"liveness", LivenessName(row.liveness)},
                       {"leaving", row.Leaving()}});
  }
  Json leaders = Json::array();
  this->control_plane.Objects().ForEach(
      configuration::kDatabaseGroupsKind, [this, &leaders](const configuration::PlatformObject& object) {
        const auto leader = this->control_plane.Leadership().CurrentLeader(object.name);
        leaders.push_back(Json{{"group", object.name}, {"leader", leader ? *leader : ""}});
      });
  Json applied_versions = Json::array();
  for (const configuration::AppliedVersion& entry : this->control_plane.AppliedVersions()) {
    applied_versions.push_back(
        Json{{"vm", entry.vm}, {"data_centre", entry.data_centre}, {"complete_through", entry.complete_through}});
  }
  const Json body{{"vm", this->settings.vm},
                  {"data_centre", this->settings.data_centre},
                  {"draining", this->host.draining()},
                  {"platform_reachable", this->control_plane.PlatformReachable()},
                  {"complete_through", this->control_plane.Objects().CompleteThrough()},
                  {"vms", std::move(vms)},
                  {"leaders", std::move(leaders)},
                  {"led_groups", this->host.led_groups()},
                  {"in_force", std::move(applied_versions)}};
  respond(JsonResponse(body.dump()));
}

void OperatorsApi::Drain(const net::HttpRequest& /*request*/, const Segments& /*segments*/,
                         const net::HttpServer::ResponseCallback& respond) {
  respond(JsonResponse(R"({"status":"draining"})"));
  this->host.drain();
}

void OperatorsApi::Traces(const net::HttpRequest& request, const Segments& /*segments*/,
                          const net::HttpServer::ResponseCallback& respond) {
  Json spans = Json::array();
  for (const tracing::SpanRecord& span : this->tracer->Spans().Find(net::QueryParameter(request.target, "trace_id"))) {
    spans.push_back(ToJson(span));
  }
  respond(JsonResponse(Json{{"vm", this->settings.vm}, {"spans", std::move(spans)}}.dump()));
}

void OperatorsApi::Promote(const net::HttpRequest& request, const Segments& segments,
                           const net::HttpServer::ResponseCallback& respond) {
  if (segments[3] != "promote") {
    respond(ProblemResponse(404, "unknown-call", "unknown path or method"));
    return;
  }
  this->host.promote(segments[2], request.body, respond);
}

void OperatorsApi::ListObjects(const net::HttpRequest& /*request*/, const Segments& segments,
                               const net::HttpServer::ResponseCallback& respond) {
  Json objects = Json::array();
  this->control_plane.Objects().ForEach(segments[2], [&objects](const configuration::PlatformObject& object) {
    objects.push_back(configuration::ToJson(object));
  });
  respond(JsonResponse(Json{{"objects", std::move(objects)}}.dump()));
}

void OperatorsApi::GetObject(const net::HttpRequest& /*request*/, const Segments& segments,
                             const net::HttpServer::ResponseCallback& respond) {
  const configuration::PlatformObject* object = this->control_plane.Objects().Find(segments[2], segments[3]);
  if (object == nullptr) {
    respond(ProblemResponse(404, "not-found", "no such object"));
    return;
  }
  respond(JsonResponse(configuration::ToJson(*object).dump()));
}

void OperatorsApi::PutObject(const net::HttpRequest& request, const Segments& segments,
                             const net::HttpServer::ResponseCallback& respond) {
  const Json body = json::Parse(request.body, kDocument);
  const json::ObjectReader reader(body, kDocument);
  reader.RejectUnknown({"expected_version", "value"});
  configuration::EditRequest edit;
  edit.kind = segments[2];
  edit.name = segments[3];
  edit.value = reader.Object("value");
  if (reader.Has("expected_version")) {
    edit.expected_version = reader.Unsigned("expected_version");
  }
  this->Submit(std::move(edit), respond);
}

void OperatorsApi::DeleteObject(const net::HttpRequest& request, const Segments& segments,
                                const net::HttpServer::ResponseCallback& respond) {
  configuration::EditRequest edit;
  edit.kind = segments[2];
  edit.name = segments[3];
  edit.remove = true;
  edit.expected_version = ParseVersion(net::QueryParameter(request.target, "expected_version"));
  this->Submit(std::move(edit), respond);
}

void OperatorsApi::Submit(configuration::EditRequest edit, const net::HttpServer::ResponseCallback& respond) {
  this->control_plane.SubmitEdit(
      std::move(edit), BootClock::now() + kEditTimeout,
      [respond](const configuration::EditResult& result) { respond(std::visit(EditResponse{}, result)); });
}

}  // namespace amaranthlane::daemon
