#ifndef AMARANTHLANE_CTL_COMMANDS_H_
#define AMARANTHLANE_CTL_COMMANDS_H_

#include <chrono>
#include <string>
#include <vector>

#include "common/error.h"
#include "ctl/operator_client.h"

// The commands of `amaranthctl`.
namespace amaranthlane::ctl {

// How a command ended; the value is the process's exit status.
enum class ExitCode : int {
  kDone = 0,
  // The command was refused and had no effect. `apply` keeps the objects that it wrote before the refused one.
  kRefused = 1,
  // The command line, the edit file or a response is invalid.
  kUsage = 2,
  // HTTP status 409: the object was changed concurrently, or the primary was not moved as requested.
  kConflict = 3,
  // No response, or one that does not tell whether the command took effect: it may have.
  kUnknown = 4,
  // The awaited state was not reached within the timeout.
  kTimeout = 5,
};

// The command line is invalid.
class UsageError : public Error {
 public:
  using Error::Error;
};

struct CommandOptions {
  // Print JSON for programs instead of tables.
  bool json = false;
  std::chrono::milliseconds timeout{10000};
};

// Runs the command named `args[0]` with the arguments that follow and prints the result. Throws UsageError,
// NoResponseError or ParseError.
ExitCode RunCommand(const OperatorClient& client, const CommandOptions& options, const std::vector<std::string>& args);

// The part of the help text that lists the commands, one per line.
std::string CommandSummary();

}  // namespace amaranthlane::ctl

#endif  // AMARANTHLANE_CTL_COMMANDS_H_
