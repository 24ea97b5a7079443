#ifndef AMARANTHLANE_TESTS_INTEGRATION_FLEET_FIXTURE_H_
#define AMARANTHLANE_TESTS_INTEGRATION_FLEET_FIXTURE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "integration/json_client.h"
#include "integration/process_fixture.h"

namespace amaranthlane::testing {

// The shape of a fleet under test: one database group `group-1` before a few VMs, all behind the fault-injecting proxy.
struct FleetOptions {
  std::size_t vms = 3;
  // VMs and endpoints are spread evenly.
  std::size_t data_centres = 3;
  std::size_t endpoints = 3;
  std::size_t slots = 5;
  std::size_t connections = 35;
  std::chrono::microseconds service_time{500};
  std::chrono::milliseconds replication_lag{0};
  // Further `key=value` settings of every VM.
  std::vector<std::string> settings = {};
};

// What a caller was answered.
struct CallerResponse {
  unsigned status = 0;
  // `done`, `not_run` or `unknown`; `unknown` also when no answer came.
  std::string outcome = "unknown";
  // The last part of the problem's type; empty when done.
  std::string problem;
  nlohmann::json body;
  std::string session_token;
};

// A caller's statement.
struct CallerStatement {
  // Kinds in the fixture's configuration: `order` (urgent, replicated, never twice), `note` (normal, idempotent),
  // `note-at-primary` (the same, acknowledged by the primary alone),
  // `lookup` (read, at most 5 s old), `exact` (read from the primary).
  std::string kind = "order";
  std::string mode = "write";
  nlohmann::json statement;
  std::string idempotency_key;
  std::string session_token;
  std::chrono::milliseconds time_limit{3000};
};

// The bearer key of the fixture's `caller-2`.
inline constexpr char kOtherCallerKey[] = "fixture-key-2";

// A write of the kind `order` that puts a value.
CallerStatement PutStatement(const std::string& key, const std::string& value, const std::string& idempotency_key);
// A read of a key, such as by the kinds `lookup` and `exact`. `token` may be empty.
CallerStatement GetStatement(const std::string& kind, const std::string& key, const std::string& session_token);

// A running fleet. Routes of the proxy: `platform-vm-N` (VM N to the platform), `peers-vm-N` (other VMs to VM N),
// `callers-vm-N` (callers to VM N), `endpoint-N` (VMs and replicas to endpoint N). VMs and endpoints count from 1.
class FleetFixture {
 public:
  explicit FleetFixture(const FleetOptions& options);

  // Waits until every VM is ready and the group's primary serves.
  void AwaitReady();
  // Waits until `condition` holds; false when it didn't in time.
  static bool Await(const std::function<bool()>& condition,
                    std::chrono::milliseconds timeout = std::chrono::seconds(10));

  // Calls through the proxy's route to the VM. Never throws: no answer is `unknown`.
  CallerResponse Execute(std::size_t vm, const CallerStatement& statement);
  // A write of the kind `order` that adds 1 to a counter.
  CallerResponse Add(std::size_t vm, const std::string& counter, const std::string& idempotency_key,
                     std::chrono::milliseconds time_limit = std::chrono::seconds(3));
  // Reads a key from the primary by any VM that answers. Null when it isn't there.
  nlohmann::json ReadExact(const std::string& key);
  // Any call of the callers' interface; without an `Authorization` header, with the bearer key of `caller-1`.
  CallerResponse Call(std::size_t vm, const std::string& method, const std::string& target, const nlohmann::json& body,
                      const std::vector<HttpHeader>& headers, std::chrono::milliseconds timeout);

  // Any call of the operators' interface, past the proxy.
  HttpResponse CallOperators(std::size_t vm, const std::string& method, const std::string& target,
                             const nlohmann::json& body = nullptr);
  nlohmann::json Status(std::size_t vm);
  // The number of the VM that leads the group by what `seen_by` knows; 0 when none is known.
  std::size_t Leader(std::size_t seen_by = 1);
  // The number of the endpoint that is the group's primary, by the leader's word; 0 when it isn't known.
  std::size_t Primary();

  // Sets a route's mode, such as `cut` or `freeze`; see docs/PROTOCOLS.md.
  void SetRoute(const std::string& route, const nlohmann::json& mode);
  // The answers to the next `count` requests on the route that contain `match` are swallowed after their effect.
  void DropResponses(const std::string& route, std::size_t count, const std::string& match = "");
  // A control call of the platform stand-in.
  void ControlPlatform(const std::string& call, const nlohmann::json& body);
  // Any call of the platform stand-in, past the proxy.
  HttpResponse Platform(const std::string& method, const std::string& target, const nlohmann::json& body = nullptr);
  // A control call of an endpoint stand-in.
  HttpResponse ControlEndpoint(std::size_t endpoint, const std::string& method, const std::string& call,
                               const nlohmann::json& body = nullptr);

  Process& Vm(std::size_t vm);
  Process& Endpoint(std::size_t endpoint);
  // Starts the VM's daemon again after it ended.
  void RestartVm(std::size_t vm);
  std::size_t VmCount() const;
  std::size_t EndpointCount() const;
  // The callers' port of the VM, through the proxy.
  std::uint16_t CallersPort(std::size_t vm) const;
  // The callers' port of the VM, past the proxy, so that a refused connection is seen as such.
  std::uint16_t DirectCallersPort(std::size_t vm) const;
  // The `ip:port` of the VM's operators' interface.
  std::string OperatorsAddress(std::size_t vm) const;

 private:
  struct RunningVm {
    std::string name;
    std::string data_centre;
    std::uint16_t callers_port = 0;
    // Where its connections come from: 127.0.1.N for VM N.
    std::string source_ip;
    std::uint16_t peers_port = 0;
    std::uint16_t operators_port = 0;
    std::unique_ptr<Process> process;
  };
  struct RunningEndpoint {
    std::string name;
    std::uint16_t port = 0;
    std::uint16_t control_port = 0;
    // Where its replication comes from: 127.0.2.N for endpoint N.
    std::string source_ip;
    std::unique_ptr<Process> process;
  };

  std::uint16_t AddRoute(const std::string& name, std::uint16_t target);
  void StartPlatform();
  void StartEndpoints();
  void StartProxy();
  std::unique_ptr<Process> StartVm(const RunningVm& vm) const;
  nlohmann::json InitialObjects() const;

  FleetOptions options;
  std::uint16_t platform_port = 0;
  std::uint16_t proxy_control_port = 0;
  std::map<std::string, std::uint16_t> route_ports;
  std::vector<std::string> route_arguments;
  std::vector<RunningVm> vms;
  std::vector<RunningEndpoint> endpoints;
  std::unique_ptr<Process> platform;
  std::unique_ptr<Process> proxy;
};

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_INTEGRATION_FLEET_FIXTURE_H_
