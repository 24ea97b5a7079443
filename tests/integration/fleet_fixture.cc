#include "integration/fleet_fixture.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <thread>

#include "common/boot_clock.h"

namespace amaranthlane::testing {

namespace {

using Json = nlohmann::json;

constexpr char kGroup[] = "group-1";
constexpr char kRegion[] = "region-1";
constexpr char kCallerKey[] = "fixture-key";
// The SHA-256 of kOtherCallerKey.
constexpr char kOtherCallerKeyHash[] = "9a88bddc3086f55377d3eac77d1a8a2aeab59ec1426d064a013aca41a66ae057";
// The SHA-256 of kCallerKey.
constexpr char kCallerKeyHash[] = "66e7c82b49bb291dd09c8e020448311c4a7bb96aeb5c5db769f66812b13a50b5";
constexpr std::chrono::milliseconds kPollInterval{20};
constexpr std::chrono::milliseconds kControlTimeout{5000};
constexpr unsigned kStatusOk = 200;
constexpr char kUrnPrefix[] = "urn:amaranthlane:";

std::string DataCentre(std::size_t index, std::size_t data_centres) {
  return "dc-" + std::to_string(index % data_centres + 1);
}

Json Object(const std::string& kind, const std::string& name, Json value) {
  return Json{{"kind", kind}, {"name", name}, {"value", std::move(value)}};
}

Json Selector(const std::string& kind, Json owes) {
  return Object("selectors", kind,
                Json{{"priority", 10},
                     {"match", Json::array({Json{{"key", "kind.work"}, {"equals", kind}}})},
                     {"owes", std::move(owes)}});
}

Json KindLabel(const std::string& kind) {
  return Object("labels", kind,
                Json{{"groups", Json::array()},
                     {"callers", Json::array()},
                     {"kinds", Json::array({kind})},
                     {"labels", Json{{"work", kind}}}});
}

std::string ProblemType(const Json& body) {
  const std::string type = body.is_object() ? body.value("type", "") : "";
  return type.starts_with(kUrnPrefix) ? type.substr(sizeof(kUrnPrefix) - 1) : type;
}

}  // namespace

CallerStatement PutStatement(const std::string& key, const std::string& value, const std::string& idempotency_key) {
  CallerStatement statement;
  statement.statement = Json{{"op", "put"}, {"key", key}, {"value", value}};
  statement.idempotency_key = idempotency_key;
  return statement;
}

CallerStatement GetStatement(const std::string& kind, const std::string& key, const std::string& session_token) {
  CallerStatement statement;
  statement.kind = kind;
  statement.mode = "read";
  statement.statement = Json{{"op", "get"}, {"key", key}};
  statement.session_token = session_token;
  return statement;
}

FleetFixture::FleetFixture(const FleetOptions& options) : options(options) {
  this->platform_port = FreePort();
  for (std::size_t index = 0; index < options.endpoints; ++index) {
    RunningEndpoint endpoint;
    endpoint.name = "endpoint-" + std::to_string(index + 1);
    endpoint.port = FreePort();
    endpoint.control_port = FreePort();
    endpoint.source_ip = "127.0.2." + std::to_string(index + 1);
    this->AddRoute(endpoint.name, endpoint.port);
    this->endpoints.push_back(std::move(endpoint));
  }
  for (std::size_t index = 0; index < options.vms; ++index) {
    RunningVm vm;
    vm.name = "vm-" + std::to_string(index + 1);
    vm.data_centre = DataCentre(index, options.data_centres);
    vm.callers_port = FreePort();
    vm.source_ip = "127.0.1." + std::to_string(index + 1);
    vm.peers_port = FreePort();
    vm.operators_port = FreePort();
    this->AddRoute("platform-" + vm.name, this->platform_port);
    this->AddRoute("peers-" + vm.name, vm.peers_port);
    this->AddRoute("callers-" + vm.name, vm.callers_port);
    this->vms.push_back(std::move(vm));
  }
  this->StartProxy();
  this->StartPlatform();
  this->StartEndpoints();
  for (RunningVm& vm : this->vms) {
    vm.process = this->StartVm(vm);
  }
}

std::uint16_t FleetFixture::AddRoute(const std::string& name, std::uint16_t target) {
  const std::uint16_t port = FreePort();
  this->route_ports[name] = port;
  this->route_arguments.push_back("--route");
  this->route_arguments.push_back(name + ":" + std::to_string(port) + ":127.0.0.1:" + std::to_string(target));
  return port;
}

void FleetFixture::StartProxy() {
  this->proxy_control_port = FreePort();
  std::vector<std::string> arguments = {"--control-port", std::to_string(this->proxy_control_port)};
  arguments.insert(arguments.end(), this->route_arguments.begin(), this->route_arguments.end());
  this->proxy = std::make_unique<Process>(FAULT_PROXY, arguments);
}

Json FleetFixture::InitialObjects() const {
  Json instances = Json::array();
  for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
    instances.push_back(Json{{"endpoint", this->endpoints[index].name},
                             {"address", LoopbackAddress(this->route_ports.at(this->endpoints[index].name))},
                             {"data_centre", DataCentre(index, this->options.data_centres)},
                             {"state", "live"}});
  }
  Json objects = Json::array();
  objects.push_back(Object("database_groups", kGroup,
                           Json{{"group", kGroup},
                                {"region", kRegion},
                                {"term", 1},
                                {"primary", this->endpoints.front().name},
                                {"instances", std::move(instances)},
                                {"slots", this->options.slots},
                                {"connections", this->options.connections}}));
  objects.push_back(Object("callers", "caller-1", Json{{"key_sha256", Json::array({kCallerKeyHash})}}));
  objects.push_back(Object("callers", "caller-2", Json{{"key_sha256", Json::array({kOtherCallerKeyHash})}}));
  for (const char* kind : {"order", "note", "note-at-primary", "lookup", "exact"}) {
    objects.push_back(KindLabel(kind));
  }
  objects.push_back(
      Selector("order", Json{{"rank", "urgent"}, {"acknowledgement", "replicated"}, {"idempotent", false}}));
  objects.push_back(Selector("note", Json{{"rank", "normal"}, {"idempotent", true}, {"floor", 0.2}}));
  objects.push_back(
      Selector("note-at-primary", Json{{"rank", "normal"}, {"acknowledgement", "primary"}, {"idempotent", true}}));
  objects.push_back(Selector("lookup", Json{{"rank", "bulk"}, {"freshness_ms", 5000}, {"floor", 0.1}}));
  objects.push_back(Selector("exact", Json{{"rank", "normal"}, {"freshness_ms", 0}, {"floor", 0.2}}));
  return objects;
}

void FleetFixture::StartPlatform() {
  Json vm_objects = Json::array();
  for (const RunningVm& vm : this->vms) {
    vm_objects.push_back(Json{{"vm", vm.name},
                              {"data_centre", vm.data_centre},
                              {"region", kRegion},
                              {"address", LoopbackAddress(this->route_ports.at("peers-" + vm.name))},
                              {"state", "live"}});
  }
  const std::filesystem::path seed =
      std::filesystem::temp_directory_path() / ("fleet-" + std::to_string(this->platform_port) + ".json");
  std::ofstream(seed) << Json{{"objects", this->InitialObjects()}, {"vms", std::move(vm_objects)}}.dump();
  this->platform = std::make_unique<Process>(
      PLATFORM_STAND_IN,
      std::vector<std::string>{"--port", std::to_string(this->platform_port), "--load", seed.string()});
  std::filesystem::remove(seed);
}

void FleetFixture::StartEndpoints() {
  for (RunningEndpoint& endpoint : this->endpoints) {
    endpoint.process = std::make_unique<Process>(
        ENDPOINT_STAND_IN,
        std::vector<std::string>{"--name", endpoint.name, "--port", std::to_string(endpoint.port), "--control-port",
                                 std::to_string(endpoint.control_port), "--source-ip", endpoint.source_ip, "--slots",
                                 std::to_string(this->options.slots), "--connections",
                                 std::to_string(this->options.connections), "--service-us",
                                 std::to_string(this->options.service_time.count()), "--lag-ms",
                                 std::to_string(this->options.replication_lag.count())});
  }
}

std::unique_ptr<Process> FleetFixture::StartVm(const RunningVm& vm) const {
  std::vector<std::string> arguments;
  const auto add_setting = [&arguments](const std::string& key, const std::string& value) {
    arguments.push_back("--set");
    arguments.push_back(key + "=" + value);
  };
  add_setting("vm", vm.name);
  add_setting("data_centre", vm.data_centre);
  add_setting("region", kRegion);
  add_setting("addresses.callers", LoopbackAddress(vm.callers_port));
  add_setting("addresses.peers", LoopbackAddress(vm.peers_port));
  add_setting("addresses.advertised_peers", LoopbackAddress(this->route_ports.at("peers-" + vm.name)));
  add_setting("addresses.operators", LoopbackAddress(vm.operators_port));
  // The fault proxy tells processes apart by the source address of their connections.
  add_setting("addresses.source_ip", vm.source_ip);
  add_setting("addresses.platform", LoopbackAddress(this->route_ports.at("platform-" + vm.name)));
  std::string seeds;
  for (const RunningVm& other : this->vms) {
    seeds += (seeds.empty() ? "" : ",") + LoopbackAddress(this->route_ports.at("peers-" + other.name));
  }
  add_setting("seeds", seeds);
  for (const std::string& setting : this->options.settings) {
    arguments.push_back("--set");
    arguments.push_back(setting);
  }
  return std::make_unique<Process>(AMARANTHLANED, arguments);
}

bool FleetFixture::Await(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
  const TimePoint deadline = BootClock::now() + timeout;
  while (BootClock::now() < deadline) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

void FleetFixture::AwaitReady() {
  const bool ready = Await(
      [this] {
        for (std::size_t vm = 1; vm <= this->vms.size(); ++vm) {
          try {
            if (this->CallOperators(vm, "GET", "/ready").status != kStatusOk) {
              return false;
            }
          } catch (const HttpCallError&) {
            return false;
          }
        }
        const CallerResponse readiness_read = this->Execute(1, GetStatement("exact", "ready", ""));
        return readiness_read.outcome == "done";
      },
      std::chrono::seconds(20));
  if (!ready) {
    throw ProcessError("fleet", "VMs or primary not ready within 20 s");
  }
}

CallerResponse FleetFixture::Call(std::size_t vm, const std::string& method, const std::string& target,
                                  const Json& body, const std::vector<HttpHeader>& headers,
                                  std::chrono::milliseconds timeout) {
  std::vector<HttpHeader> all_headers;
  const bool has_authorization = std::any_of(headers.begin(), headers.end(),
                                             [](const HttpHeader& header) { return header.name == "Authorization"; });
  if (!has_authorization) {
    all_headers.push_back({"Authorization", std::string("Bearer ") + kCallerKey});
  }
  all_headers.insert(all_headers.end(), headers.begin(), headers.end());
  CallerResponse response;
  try {
    JsonClient client(this->CallersPort(vm), timeout);
    const HttpResponse http_response = client.Call(method, target, body, all_headers);
    response.status = http_response.status;
    response.body = http_response.body;
    response.outcome = http_response.body.is_object() ? http_response.body.value("outcome", "unknown") : "unknown";
    response.problem = http_response.status == kStatusOk ? "" : ProblemType(http_response.body);
    response.session_token = http_response.Header("Session-Token");
  } catch (const HttpCallError& failure) {
    response.outcome = failure.refused ? "not_run" : "unknown";
    response.problem = failure.refused ? "not-sent" : "no-answer";
  }
  return response;
}

CallerResponse FleetFixture::Execute(std::size_t vm, const CallerStatement& statement) {
  const Json body{{"kind", statement.kind},
                  {"mode", statement.mode},
                  {"statement", statement.statement},
                  {"time_limit_ms", statement.time_limit.count()}};
  std::vector<HttpHeader> headers;
  if (!statement.idempotency_key.empty()) {
    headers.push_back({"Idempotency-Key", statement.idempotency_key});
  }
  if (!statement.session_token.empty()) {
    headers.push_back({"Session-Token", statement.session_token});
  }
  return this->Call(vm, "POST", std::string("/v1/groups/") + kGroup + "/statements", body, headers,
                    statement.time_limit + std::chrono::seconds(2));
}

CallerResponse FleetFixture::Add(std::size_t vm, const std::string& counter, const std::string& idempotency_key,
                                 std::chrono::milliseconds time_limit) {
  CallerStatement statement;
  statement.statement = Json{{"op", "add"}, {"key", counter}, {"amount", 1}};
  statement.idempotency_key = idempotency_key;
  statement.time_limit = time_limit;
  return this->Execute(vm, statement);
}

Json FleetFixture::ReadExact(const std::string& key) {
  Json value;
  Await([this, &key, &value] {
    for (std::size_t vm = 1; vm <= this->vms.size(); ++vm) {
      if (!this->Vm(vm).Running()) {
        continue;
      }
      const CallerResponse response = this->Execute(vm, GetStatement("exact", key, ""));
      if (response.outcome == "done") {
        value = response.body.at("result").at("value");
        return true;
      }
    }
    return false;
  });
  return value;
}

HttpResponse FleetFixture::CallOperators(std::size_t vm, const std::string& method, const std::string& target,
                                         const Json& body) {
  JsonClient client(this->vms.at(vm - 1).operators_port, kControlTimeout);
  return client.Call(method, target, body);
}

Json FleetFixture::Status(std::size_t vm) {
  try {
    return this->CallOperators(vm, "GET", "/v1/status").body;
  } catch (const HttpCallError&) {
    return Json();
  }
}

std::size_t FleetFixture::Leader(std::size_t seen_by) {
  const Json status = this->Status(seen_by);
  if (!status.is_object()) {
    return 0;
  }
  for (const Json& row : status.at("leaders")) {
    for (std::size_t vm = 1; vm <= this->vms.size(); ++vm) {
      if (row.at("leader") == this->vms[vm - 1].name) {
        return vm;
      }
    }
  }
  return 0;
}

std::size_t FleetFixture::Primary() {
  for (std::size_t vm = 1; vm <= this->vms.size(); ++vm) {
    if (!this->Vm(vm).Running()) {
      continue;
    }
    const Json status = this->Status(vm);
    if (!status.is_object() || status.at("led_groups").empty()) {
      continue;
    }
    for (std::size_t endpoint = 1; endpoint <= this->endpoints.size(); ++endpoint) {
      if (status.at("led_groups").front().at("primary") == this->endpoints[endpoint - 1].name) {
        return endpoint;
      }
    }
  }
  return 0;
}

void FleetFixture::SetRoute(const std::string& route, const Json& mode) {
  JsonClient(this->proxy_control_port, kControlTimeout).Post("/control/route/" + route, mode);
}

void FleetFixture::DropResponses(const std::string& route, std::size_t count, const std::string& match) {
  JsonClient(this->proxy_control_port, kControlTimeout)
      .Post("/control/route/" + route + "/lose_answer", Json{{"count", count}, {"match", match}});
}

void FleetFixture::ControlPlatform(const std::string& call, const Json& body) {
  JsonClient(this->platform_port, kControlTimeout).Post("/control/" + call, body);
}

HttpResponse FleetFixture::Platform(const std::string& method, const std::string& target, const Json& body) {
  return JsonClient(this->platform_port, kControlTimeout).Call(method, target, body);
}

HttpResponse FleetFixture::ControlEndpoint(std::size_t endpoint, const std::string& method, const std::string& call,
                                           const Json& body) {
  return JsonClient(this->endpoints.at(endpoint - 1).control_port, kControlTimeout)
      .Call(method, "/control/" + call, body);
}

Process& FleetFixture::Vm(std::size_t vm) { return *this->vms.at(vm - 1).process; }

Process& FleetFixture::Endpoint(std::size_t endpoint) { return *this->endpoints.at(endpoint - 1).process; }

void FleetFixture::RestartVm(std::size_t vm) {
  RunningVm& restarted = this->vms.at(vm - 1);
  restarted.process = nullptr;
  restarted.process = this->StartVm(restarted);
}

std::size_t FleetFixture::VmCount() const { return this->vms.size(); }

std::size_t FleetFixture::EndpointCount() const { return this->endpoints.size(); }

std::uint16_t FleetFixture::CallersPort(std::size_t vm) const {
  return this->route_ports.at("callers-" + this->vms.at(vm - 1).name);
}

std::uint16_t FleetFixture::DirectCallersPort(std::size_t vm) const { return this->vms.at(vm - 1).callers_port; }

std::string FleetFixture::OperatorsAddress(std::size_t vm) const {
  return LoopbackAddress(this->vms.at(vm - 1).operators_port);
}

}  // namespace amaranthlane::testing
