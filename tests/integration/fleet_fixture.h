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

// Configuration of a test fleet: one database group `group-1`, served by a few VMs behind the fault-injecting proxy.
struct FleetOptions {
  std::size_t vms = 3;
  // VMs and endpoints are distributed evenly over the data centres.
  std::size_t data_centres = 3;
  std::size_t endpoints = 3;
  std::size_t slots = 5;
  std::size_t connections = 35;
  std::chrono::microseconds service_time{500};
  std::chrono::milliseconds replication_lag{0};
  // Additional `key=value` settings of every VM.
  std::vector<std::string> settings = {};
};

// The response to a caller.
struct CallerResponse {
  unsigned status = 0;
  // `done`, `not_run` or `unknown`. Without a response: `not_run` if the connection was refused, else `unknown`.
  std::string outcome = "unknown";
  // The problem type without the URN prefix; empty for status 200; `not-sent` or `no-answer` without a response.
  std::string problem;
  nlohmann::json body;
  std::string session_token;
};

// A caller's statement.
struct CallerStatement {
  // Kinds in the fixture's configuration: `order` (urgent, replicated, not idempotent), `note` (normal, idempotent),
  // `note-at-primary` (like `note`, but acknowledged by the primary alone), `lookup` (reads at most 5 s stale), `exact`
  // (reads from the primary).
  std::string kind = "order";
  std::string mode = "write";
  nlohmann::json statement;
  std::string idempotency_key;
  std::string session_token;
  std::chrono::milliseconds time_limit{3000};
};

// The bearer key of the fixture's `caller-2`.
inline constexpr char kOtherCallerKey[] = "fixture-key-2";

// Returns a write of the kind `order` that sets a key.
CallerStatement PutStatement(const std::string& key, const std::string& value, const std::string& idempotency_key);
// Returns a read of a key, for a kind such as `lookup` or `exact`. `session_token` may be empty.
CallerStatement GetStatement(const std::string& kind, const std::string& key, const std::string& session_token);

// A running fleet. Routes of the proxy: `platform-vm-N` (VM N to the platform), `peers-vm-N` (other VMs to VM N),
// `callers-vm-N` (callers to VM N), `endpoint-N` (VMs and replicas to endpoint N). VMs and endpoints are numbered
// from 1.
class FleetFixture {
 public:
  explicit FleetFixture(const FleetOptions& options);

  // Waits until every VM is ready and the group's primary serves reads. Throws ProcessError after 20 s.
  void AwaitReady();
  // Polls until `condition` holds; returns false on timeout.
  static bool Await(const std::function<bool()>& condition,
                    std::chrono::milliseconds timeout = std::chrono::seconds(10));

  // Sends a statement through the proxy's route to the VM. A failed call is reported in the outcome, not thrown.
  CallerResponse Execute(std::size_t vm, const CallerStatement& statement);
  // Sends a write of the kind `order` that adds 1 to a counter.
  CallerResponse Add(std::size_t vm, const std::string& counter, const std::string& idempotency_key,
                     std::chrono::milliseconds time_limit = std::chrono::seconds(3));
  // Reads a key from the primary through any VM that responds. Null when the key is absent or no read succeeds in time.
  nlohmann::json ReadExact(const std::string& key);
  // Calls the callers' interface. Adds the bearer key of `caller-1` unless `headers` has an `Authorization` header.
  CallerResponse Call(std::size_t vm, const std::string& method, const std::string& target, const nlohmann::json& body,
                      const std::vector<HttpHeader>& headers, std::chrono::milliseconds timeout);

  // Calls the operators' interface directly, bypassing the proxy.
  HttpResponse CallOperators(std::size_t vm, const std::string& method, const std::string& target,
                             const nlohmann::json& body = nullptr);
  nlohmann::json Status(std::size_t vm);
  // The number of the VM that leads the group according to the VM `seen_by`; 0 when it knows of none.
  std::size_t Leader(std::size_t seen_by = 1);
  // The number of the endpoint that is the group's primary according to the leader; 0 when unknown.
  std::size_t Primary();

  // Sets a route's mode, such as `cut` or `freeze`; see docs/PROTOCOLS.md.
  void SetRoute(const std::string& route, const nlohmann::json& mode);
  // Makes the proxy drop the responses to the next `count` requests on the route that contain `match`. The requests
  // still take effect.
  void DropResponses(const std::string& route, std::size_t count, const std::string& match = "");
  // Sends a control call to the platform stand-in.
  void ControlPlatform(const std::string& call, const nlohmann::json& body);
  // Calls the platform stand-in directly, bypassing the proxy.
  HttpResponse Platform(const std::string& method, const std::string& target, const nlohmann::json& body = nullptr);
  // Sends a control call to an endpoint stand-in.
  HttpResponse ControlEndpoint(std::size_t endpoint, const std::string& method, const std::string& call,
                               const nlohmann::json& body = nullptr);

  Process& Vm(std::size_t vm);
  Process& Endpoint(std::size_t endpoint);
  // Restarts the VM's daemon, which must have exited.
  void RestartVm(std::size_t vm);
  std::size_t VmCount() const;
  std::size_t EndpointCount() const;
  // The callers' port of the VM, through the proxy.
  std::uint16_t CallersPort(std::size_t vm) const;
  // The callers' port of the VM itself; unlike the proxy's port it refuses connections while the VM is down.
  std::uint16_t DirectCallersPort(std::size_t vm) const;
  // The `ip:port` of the VM's operators' interface.
  std::string OperatorsAddress(std::size_t vm) const;

 private:
  struct RunningVm {
    std::string name;
    std::string data_centre;
    std::uint16_t callers_port = 0;
    // Source address of its connections: 127.0.1.N for VM N.
    std::string source_ip;
    std::uint16_t peers_port = 0;
    std::uint16_t operators_port = 0;
    std::unique_ptr<Process> process;
  };
  struct RunningEndpoint {
    std::string name;
    std::uint16_t port = 0;
    std::uint16_t control_port = 0;
    // Source address of its replication connections: 127.0.2.N for endpoint N.
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
