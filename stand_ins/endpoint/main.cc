// The endpoint stand-in: an in-memory database instance with transactions, idempotency keys and asynchronous
// replication.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "stand_ins/common/command_line.h"
#include "stand_ins/common/program.h"
#include "stand_ins/endpoint/endpoint_control.h"
#include "stand_ins/endpoint/endpoint_server.h"

namespace {

using amaranthlane::stand_ins::EndpointControl;
using amaranthlane::stand_ins::EndpointServer;
using amaranthlane::stand_ins::EndpointSettings;

// The process runs one endpoint, or several on consecutive ports.
struct Options {
  EndpointSettings settings;
  std::uint64_t instances = 1;
};

Options ParseOptions(int argc, const char** argv) {
  Options options;
  EndpointSettings& settings = options.settings;
  amaranthlane::stand_ins::CommandLine command_line;
  command_line.AddText("name", "name of the endpoint", &settings.name);
  command_line.AddText("address", "IP address to listen on", &settings.address);
  command_line.AddPort("port", "main port", &settings.port);
  command_line.AddPort("control-port", "port of the fault-injection API", &settings.control_port);
  command_line.AddText("source-ip", "local IP address of outgoing connections", &settings.source_ip);
  command_line.AddNumber("slots", "maximum number of statements that run concurrently", &settings.slots);
  command_line.AddNumber("connections", "maximum number of connections", &settings.max_connections);
  command_line.AddMicroseconds("service-us", "service time of a statement, in microseconds", &settings.service_time);
  command_line.AddMilliseconds("connect-delay-ms",
                               "minimum age of a connection before its first request is handled, in milliseconds",
                               &settings.connect_delay);
  command_line.AddMilliseconds("lag-ms", "replication lag while this instance is a replica, in milliseconds",
                               &settings.lag);
  command_line.AddNumber("instances", "number of endpoints to run, named NAME-1, NAME-2, ... on consecutive ports",
                         &options.instances);
  command_line.Parse(argc, argv);
  return options;
}

// An endpoint with its main and control ports.
struct Endpoint {
  Endpoint(boost::asio::io_context& io, const EndpointSettings& settings)
      : server(io, settings), control(io, settings, this->server) {}

  EndpointServer server;
  EndpointControl control;
};

// The settings of every endpoint that the process runs.
std::vector<EndpointSettings> MakeEndpointSettings(const Options& options) {
  std::vector<EndpointSettings> endpoint_settings(options.instances, options.settings);
  for (std::uint16_t index = 0; options.instances > 1 && index < options.instances; ++index) {
    endpoint_settings[index].name += "-" + std::to_string(index + 1);
    endpoint_settings[index].port = static_cast<std::uint16_t>(endpoint_settings[index].port + index);
    endpoint_settings[index].control_port = static_cast<std::uint16_t>(endpoint_settings[index].control_port + index);
  }
  return endpoint_settings;
}

}  // namespace

int main(int argc, const char** argv) {
  return amaranthlane::stand_ins::RunProgram([&](boost::asio::io_context& io) {
    auto endpoints = std::make_shared<std::vector<std::unique_ptr<Endpoint>>>();
    for (const EndpointSettings& settings : MakeEndpointSettings(ParseOptions(argc, argv))) {
      endpoints->push_back(std::make_unique<Endpoint>(io, settings));
    }
    return endpoints;
  });
}
