#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <random>

#include "common/settings.h"
#include "daemon/node.h"
#include "frontend/daemon_main.h"
#include "logging/log.h"
#include "net/source_address.h"

// The daemon `amaranthlaned`: reads its settings and runs one node until its graceful shutdown is complete.
namespace amaranthlane::daemon {
namespace {

std::uint64_t GenerateSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

int RunNode(const Settings& settings) {
  logging::Initialize(settings.vm, settings.log_level);
  net::SetSourceAddress(settings.source_ip);
  boost::asio::io_context loop(1);
  Node node(loop, settings, GenerateSeed());
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&node](boost::system::error_code error, int /*signal*/) {
    if (!error) {
      node.Drain();
    }
  });
  node.Start();
  loop.run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace amaranthlane::daemon

int main(int argc, char** argv) {
  return amaranthlane::frontend::DaemonMain(
      "amaranthlaned", argc, const_cast<const char**>(argv), "",
      [](const amaranthlane::Settings& settings, const amaranthlane::frontend::SettingsSource&) {
        return amaranthlane::daemon::RunNode(settings);
      });
}
