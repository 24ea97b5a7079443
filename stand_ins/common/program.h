#ifndef AMARANTHLANE_STAND_INS_COMMON_PROGRAM_H_
#define AMARANTHLANE_STAND_INS_COMMON_PROGRAM_H_

#include <functional>
#include <memory>
#include <utility>

// Boost.Asio 1.74 needs <utility> before it in C++20.
#include <boost/asio/io_context.hpp>

namespace amaranthlane::stand_ins {

// Opens the listening ports of a program and returns the object that must stay alive while it runs.
using StartProgram = std::function<std::shared_ptr<void>(boost::asio::io_context&)>;

// Runs a stand-in: starts it, prints `ready`, serves until SIGTERM or SIGINT. Returns the exit status: 0, or 1 after an
// exception, whose message is written to standard error.
int RunProgram(const StartProgram& start);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_PROGRAM_H_
