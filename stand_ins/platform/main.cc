// The platform stand-in: an in-memory object store with versions, conditional updates and watches, served over HTTP.

#include <cstdint>
#include <memory>
#include <string>

#include "stand_ins/common/command_line.h"
#include "stand_ins/common/program.h"
#include "stand_ins/platform/platform_server.h"

namespace {

struct Options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::string load;
};

Options ParseOptions(int argc, const char** argv) {
  Options options;
  amaranthlane::stand_ins::CommandLine command_line;
  command_line.AddText("address", "IP address to listen on", &options.address);
  command_line.AddPort("port", "port to listen on", &options.port);
  command_line.AddText("load", "JSON file with the initial objects and VMs", &options.load);
  command_line.Parse(argc, argv);
  return options;
}

}  // namespace

int main(int argc, const char** argv) {
  using amaranthlane::stand_ins::PlatformServer;
  return amaranthlane::stand_ins::RunProgram([&](boost::asio::io_context& io) {
    const Options options = ParseOptions(argc, argv);
    amaranthlane::stand_ins::Seed seed;
    if (!options.load.empty()) {
      seed = amaranthlane::stand_ins::LoadSeed(options.load);
    }
    const boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address(options.address), options.port);
    return std::make_shared<PlatformServer>(io, address, seed);
  });
}
