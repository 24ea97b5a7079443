#include "stand_ins/endpoint_fixture.h"

namespace amaranthlane::testing {

namespace {

constexpr std::size_t kGroupSize = 3;

std::vector<std::string> AddPortArguments(const EndpointProcess& endpoint, std::vector<std::string> arguments) {
  arguments.insert(arguments.end(), {"--name", endpoint.name, "--port", std::to_string(endpoint.port), "--control-port",
                                     std::to_string(endpoint.control_port)});
  return arguments;
}

nlohmann::json MakeStatementRequest(std::uint64_t term, const nlohmann::json& statement, bool autocommit) {
  const bool is_read = statement.at("op") == "get" || statement.at("op") == "list";
  return {{"request_id", 1},
          {"term", term},
          {"mode", is_read ? "read" : "write"},
          {"autocommit", autocommit},
          {"statement", statement}};
}

}  // namespace

EndpointProcess::EndpointProcess(const std::string& name, const std::vector<std::string>& arguments)
    : name(name),
      port(FreePort()),
      control_port(FreePort()),
      process(ENDPOINT_STAND_IN, AddPortArguments(*this, arguments)) {}

void EndpointProcess::Control(const std::string& call, const nlohmann::json& body) {
  JsonClient(this->control_port).Post("/control/" + call, body);
}

nlohmann::json EndpointProcess::State() { return JsonClient(this->control_port).Get("/control/state").body; }

HttpResponse EndpointProcess::Post(const std::string& target, const nlohmann::json& body) {
  return JsonClient(this->port).Post(target, body);
}

HttpResponse EndpointProcess::Get(const std::string& target) { return JsonClient(this->port).Get(target); }

nlohmann::json EndpointProcess::WaitForOffset(std::uint64_t offset) {
  return this->Get("/v1/position?after=" + std::to_string(offset - 1) + "&wait_ms=3000").body;
}

nlohmann::json Autocommit(std::uint64_t term, const nlohmann::json& statement, const std::string& key) {
  nlohmann::json request = MakeStatementRequest(term, statement, /*autocommit=*/true);
  if (!key.empty()) {
    request["idempotency_key"] = key;
  }
  return request;
}

nlohmann::json InTransaction(std::uint64_t term, const nlohmann::json& statement) {
  return MakeStatementRequest(term, statement, /*autocommit=*/false);
}

nlohmann::json TransactionEnd(std::uint64_t term) { return {{"request_id", 2}, {"term", term}}; }

nlohmann::json Add(const std::string& key, int amount) { return {{"op", "add"}, {"key", key}, {"amount", amount}}; }

nlohmann::json Get(const std::string& key) { return {{"op", "get"}, {"key", key}}; }

EndpointGroup::EndpointGroup() {
  for (std::size_t number = 0; number < kGroupSize; ++number) {
    this->endpoints.push_back(std::make_unique<EndpointProcess>("endpoint-" + std::to_string(number)));
  }
}

HttpResponse EndpointGroup::Configure(std::size_t endpoint, std::uint64_t term, std::size_t primary) {
  nlohmann::json instances = nlohmann::json::array();
  for (const auto& instance : this->endpoints) {
    instances.push_back({{"endpoint", instance->name}, {"address", LoopbackAddress(instance->port)}});
  }
  const nlohmann::json body = {
      {"term", term}, {"primary", this->endpoints[primary]->name}, {"instances", std::move(instances)}};
  return this->endpoints[endpoint]->Post("/v1/configure", body);
}

void EndpointGroup::ConfigureAll(std::uint64_t term, std::size_t primary) {
  for (std::size_t endpoint = 0; endpoint < this->endpoints.size(); ++endpoint) {
    this->Configure(endpoint, term, primary);
  }
}

nlohmann::json EndpointGroup::ReadValue(std::size_t endpoint, std::uint64_t term, const std::string& key) {
  return this->endpoints[endpoint]->Post("/v1/statement", Autocommit(term, Get(key))).body["result"]["value"];
}

}  // namespace amaranthlane::testing
