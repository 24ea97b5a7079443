// The fault-injecting proxy: forwards TCP connections and, on request, drops, holds or delays their bytes or closes
// them.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "stand_ins/common/command_line.h"
#include "stand_ins/common/program.h"
#include "stand_ins/fault_proxy/proxy_control.h"

namespace {

using amaranthlane::stand_ins::ParseRouteSettings;
using amaranthlane::stand_ins::ProxyControl;
using amaranthlane::stand_ins::RouteSettings;

struct Options {
  std::string address = "127.0.0.1";
  std::uint16_t control_port = 0;
  std::vector<std::string> routes;
};

Options ParseOptions(int argc, const char** argv) {
  Options options;
  amaranthlane::stand_ins::CommandLine command_line;
  command_line.AddText("address", "IP address to listen on", &options.address);
  command_line.AddPort("control-port", "port of the fault-injection API", &options.control_port);
  command_line.AddTextList("route", "route to forward, as NAME:LISTEN_PORT:TARGET_IP:PORT; may be repeated",
                           &options.routes);
  command_line.Parse(argc, argv);
  return options;
}

}  // namespace

int main(int argc, const char** argv) {
  return amaranthlane::stand_ins::RunProgram([&](boost::asio::io_context& io) {
    const Options options = ParseOptions(argc, argv);
    std::vector<RouteSettings> routes;
    for (const std::string& route : options.routes) {
      routes.push_back(ParseRouteSettings(route, options.address));
    }
    const boost::asio::ip::tcp::endpoint control(boost::asio::ip::make_address(options.address), options.control_port);
    return std::make_shared<ProxyControl>(io, control, routes);
  });
}
