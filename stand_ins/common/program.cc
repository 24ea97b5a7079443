#include "stand_ins/common/program.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>

namespace amaranthlane::stand_ins {

int RunProgram(const StartProgram& start) {
  try {
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
    std::signal(SIGPIPE, SIG_IGN);
    const std::shared_ptr<void> program = start(io);
    std::cout << "ready" << std::endl;
    io.run();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 1;
  }
}

}  // namespace amaranthlane::stand_ins
