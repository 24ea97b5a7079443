#include "stand_ins/platform/platform_server.h"

#include <algorithm>
#include <memory>

#include "common/json.h"
#include "stand_ins/common/problem.h"

namespace amaranthlane::stand_ins {

namespace {

using boost::beast::http::verb;

constexpr unsigned kOk = 200;
constexpr std::size_t kKindIndex = 2;
constexpr std::size_t kNameIndex = 3;

bool Matches(const std::vector<std::string>& pattern, const std::vector<std::string>& path) {
  return std::equal(
      pattern.begin(), pattern.end(), path.begin(), path.end(),
      [](const std::string& expected, const std::string& part) { return expected == "*" || expected == part; });
}

nlohmann::json FormatObjects(std::uint64_t version, const std::vector<const PlatformObject*>& objects) {
  nlohmann::json list = nlohmann::json::array();
  for (const PlatformObject* object : objects) {
    list.push_back(object->ToJson());
  }
  return {{"version", version}, {"objects", std::move(list)}};
}

}  // namespace

PlatformServer::PlatformServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                               const Seed& seed)
    : io(io),
      watches(io),
      server(io, address,
             {.handle_request = [this](const HttpConnectionPtr& connection,
                                       const HttpRequest& request) { this->Handle(connection, request); },
              .handle_close = [this](std::uint64_t id) { this->watches.Remove(id); }}) {
  for (const SeedObject& object : seed.objects) {
    this->store.Put(object.key, std::nullopt, object.value);
  }
  for (const Vm& vm : seed.vms) {
    this->vms.AddChange(vm, BootClock::now());
  }
}

const std::vector<PlatformServer::Route>& PlatformServer::Routes() {
  static const std::vector<Route> routes = {
      {verb::get, {"v1", "objects", "*", "*"}, &PlatformServer::GetObject},
      {verb::get, {"v1", "objects", "*"}, &PlatformServer::ListObjects},
      {verb::put, {"v1", "objects", "*", "*"}, &PlatformServer::PutObject},
      {verb::delete_, {"v1", "objects", "*", "*"}, &PlatformServer::DeleteObject},
      {verb::get, {"v1", "watch"}, &PlatformServer::Watch},
      {verb::get, {"v1", "vms"}, &PlatformServer::ListVms},
      {verb::post, {"control", "outage"}, &PlatformServer::ControlOutage},
      {verb::post, {"control", "delay"}, &PlatformServer::ControlDelay},
      {verb::post, {"control", "lose_answers"}, &PlatformServer::ControlDropResponses},
      {verb::post, {"control", "vms"}, &PlatformServer::ControlVms},
      {verb::post, {"control", "vm_lag"}, &PlatformServer::ControlVmLag},
      {verb::get, {"control", "calls"}, &PlatformServer::ControlCalls},
  };
  return routes;
}

void PlatformServer::Handle(const HttpConnectionPtr& connection, const HttpRequest& request) {
  const Call call = {connection, request, ParseTarget(request).PathSegments()};
  if (!call.path.empty() && call.path.front() == "control") {
    this->Dispatch(call);
    return;
  }
  if (this->delay == std::chrono::milliseconds::zero()) {
    this->HandleAfterDelay(call);
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(this->io, this->delay);
  timer->async_wait([this, timer, call](boost::system::error_code) {
    call.connection->RunWithErrorResponse([&] { this->HandleAfterDelay(call); });
  });
}

void PlatformServer::HandleAfterDelay(const Call& call) {
  if (this->outage) {
    call.connection->Disconnect();
    return;
  }
  this->Dispatch(call);
}

void PlatformServer::Dispatch(const Call& call) {
  for (const Route& route : PlatformServer::Routes()) {
    if (route.method == call.request.method() && Matches(route.path, call.path)) {
      (this->*route.handler)(call);
      return;
    }
  }
  const std::string target(call.request.target());
  throw UnknownCallError(target);
}

void PlatformServer::Respond(const Call& call, const nlohmann::json& body) {
  if (this->ShouldDropResponse(call)) {
    call.connection->Disconnect();
    return;
  }
  call.connection->Respond(kOk, body.dump());
}

bool PlatformServer::ShouldDropResponse(const Call& call) {
  const bool drop = call.path.front() == "v1" && this->responses_to_drop.count > 0 &&
                    call.request.method_string() == this->responses_to_drop.method;
  if (drop) {
    --this->responses_to_drop.count;
  }
  return drop;
}

void PlatformServer::GetObject(const Call& call) {
  ++this->counts.reads;
  this->Respond(call, this->store.Get({call.path[kKindIndex], call.path[kNameIndex]}).ToJson());
}

void PlatformServer::ListObjects(const Call& call) {
  ++this->counts.reads;
  const std::string& kind = call.path[kKindIndex];
  this->Respond(call, FormatObjects(this->store.LatestVersion(), this->store.ChangedAfter(0, {kind})));
}

void PlatformServer::PutObject(const Call& call) {
  ++this->counts.writes;
  const nlohmann::json body = json::Parse(call.request.body(), "put");
  const json::ObjectReader reader(body, "put");
  std::optional<std::uint64_t> expected_version;
  if (reader.Has("expected_version")) {
    expected_version = reader.Unsigned("expected_version");
  }
  const std::uint64_t version =
      this->store.Put({call.path[kKindIndex], call.path[kNameIndex]}, expected_version, reader.Object("value"));
  this->watches.Notify();
  this->Respond(call, {{"version", version}});
}

void PlatformServer::DeleteObject(const Call& call) {
  ++this->counts.writes;
  const std::uint64_t version = this->store.Delete({call.path[kKindIndex], call.path[kNameIndex]},
                                                   ParseTarget(call.request).Number("expected_version"));
  this->watches.Notify();
  this->Respond(call, {{"version", version}});
}

void PlatformServer::Watch(const Call& call) {
  ++this->counts.watches;
  const HttpTarget target = ParseTarget(call.request);
  const std::vector<std::string> kinds = Split(target.Text("kinds").value_or(""), ',');
  const std::uint64_t after = target.Number("after").value_or(0);
  this->watches.Add(call.connection, target.Milliseconds("wait_ms"), [this, call, kinds, after](bool expired) {
    const std::vector<const PlatformObject*> changed = this->store.ChangedAfter(after, kinds);
    if (changed.empty() && !expired) {
      return false;
    }
    this->Respond(call, FormatObjects(this->store.LatestVersion(), changed));
    return true;
  });
}

void PlatformServer::ListVms(const Call& call) {
  ++this->counts.reads;
  this->Respond(call, this->vms.FormatVisible(BootClock::now()));
}

void PlatformServer::ControlOutage(const Call& call) {
  const nlohmann::json body = json::Parse(call.request.body(), "outage");
  this->outage = json::ObjectReader(body, "outage").Bool("on");
  if (this->outage) {
    this->watches.DisconnectAll();
  }
  this->Respond(call, {{"on", this->outage}});
}

void PlatformServer::ControlDelay(const Call& call) {
  const nlohmann::json body = json::Parse(call.request.body(), "delay");
  this->delay = json::ObjectReader(body, "delay").Milliseconds("delay_ms");
  this->Respond(call, {{"delay_ms", this->delay.count()}});
}

void PlatformServer::ControlDropResponses(const Call& call) {
  const nlohmann::json body = json::Parse(call.request.body(), "lose_answers");
  const json::ObjectReader reader(body, "lose_answers");
  this->responses_to_drop = {reader.Unsigned("count"), reader.StringOr("method", "PUT")};
  this->Respond(call, {{"count", this->responses_to_drop.count}, {"method", this->responses_to_drop.method}});
}

void PlatformServer::ControlVms(const Call& call) {
  this->vms.AddChange(ParseVm(json::Parse(call.request.body(), "vm")), BootClock::now());
  this->Respond(call, nlohmann::json::object());
}

void PlatformServer::ControlVmLag(const Call& call) {
  const nlohmann::json body = json::Parse(call.request.body(), "vm_lag");
  const std::chrono::milliseconds lag = json::ObjectReader(body, "vm_lag").Milliseconds("lag_ms");
  this->vms.SetLag(lag);
  this->Respond(call, {{"lag_ms", lag.count()}});
}

void PlatformServer::ControlCalls(const Call& call) {
  this->Respond(call, {{"reads", this->counts.reads},
                       {"writes", this->counts.writes},
                       {"watches", this->counts.watches},
                       {"waiting_watches", this->watches.WaitingCount()}});
}

}  // namespace amaranthlane::stand_ins
