#ifndef AMARANTHLANE_TESTS_STAND_INS_ENDPOINT_FIXTURE_H_
#define AMARANTHLANE_TESTS_STAND_INS_ENDPOINT_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "integration/json_client.h"
#include "integration/process_fixture.h"

namespace amaranthlane::testing {

// A running endpoint stand-in process.
class EndpointProcess {
 public:
  explicit EndpointProcess(const std::string& name, const std::vector<std::string>& arguments = {});

  // Sends a request to the control port; `call` is the last segment of the path, such as `lag`.
  void Control(const std::string& call, const nlohmann::json& body);
  nlohmann::json State();
  // Sends a request over a new connection, as the caller of a new session would.
  HttpResponse Post(const std::string& target, const nlohmann::json& body);
  HttpResponse Get(const std::string& target);
  // Waits up to 3 s until the endpoint's log reaches `offset` and returns the body of the /v1/position response.
  nlohmann::json WaitForOffset(std::uint64_t offset);

  const std::string name;
  const std::uint16_t port;
  const std::uint16_t control_port;
  Process process;
};

// An autocommit statement.
nlohmann::json Autocommit(std::uint64_t term, const nlohmann::json& statement, const std::string& key = "");
// A statement in the connection's transaction.
nlohmann::json InTransaction(std::uint64_t term, const nlohmann::json& statement);
nlohmann::json TransactionEnd(std::uint64_t term);
nlohmann::json Add(const std::string& key, int amount);
nlohmann::json Get(const std::string& key);

// Three endpoints of one database group.
class EndpointGroup {
 public:
  EndpointGroup();

  // Configures an endpoint for `term` with the given primary. Endpoints are indexed from 0.
  HttpResponse Configure(std::size_t endpoint, std::uint64_t term, std::size_t primary);
  void ConfigureAll(std::uint64_t term, std::size_t primary);
  // The value of a row at an endpoint.
  nlohmann::json ReadValue(std::size_t endpoint, std::uint64_t term, const std::string& key);

  std::vector<std::unique_ptr<EndpointProcess>> endpoints;
};

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_STAND_INS_ENDPOINT_FIXTURE_H_
