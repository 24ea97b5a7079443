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
  // The fleet refused the command, and nothing changed.
  kRefused = 1,
  kUsage = 2,
  // Somebody else changed the object meanwhile.
  kConflict = 3,
  // No answer, or the platform is unavailable: the command may have taken effect.
  kUnknown = 4,
  // What was waited for didn't come in time.
  kTimeout = 5,
};

// A command's words can't be used.
class UsageError : public Error {
 public:
  using Error::Error;
};

struct CommandOptions {
  // Print JSON for programs instead of tables.
  bool json = false;
  std::chrono::milliseconds timeout{10000};
};

// Runs the command that `words` name and prints its outcome. Throws UsageError, NoResponseError or ParseError.
ExitCode RunCommand(const OperatorClient& client, const CommandOptions& options, const std::vector<std::string>& args);

// A line for each command.
std::string CommandSummary();

}  // namespace amaranthlane::ctl

#endif  // AMARANTHLANE_CTL_COMMANDS_H_
