#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "common/error.h"
#include "ctl/commands.h"

// `amaranthctl`: the command-line tool for operators.
namespace amaranthlane::ctl {
namespace {

constexpr char kDefaultVm[] = "127.0.0.1:7600";

struct Arguments {
  std::string vm = kDefaultVm;
  CommandOptions options;
  bool help = false;
  std::vector<std::string> positional;
};

Arguments ParseArguments(int argc, const char** argv) {
  enum Option : int { kVm = 1, kOutput, kTimeout, kHelp };
  const poptOption options[] = {
      {"vm", '\0', POPT_ARG_STRING, nullptr, kVm, "the VM's address for operators (default 127.0.0.1:7600)", "IP:PORT"},
      {"output", 'o', POPT_ARG_STRING, nullptr, kOutput, "output format: table (default) or json", "FORMAT"},
      {"limit-ms", '\0', POPT_ARG_STRING, nullptr, kTimeout,
       "timeout of each request, and how long wait-in-force polls, in milliseconds (default 10000)", "N"},
      {"help", 'h', POPT_ARG_NONE, nullptr, kHelp, "shows this help text", nullptr},
      POPT_TABLEEND};
  Arguments arguments;
  poptContext context = poptGetContext("amaranthctl", argc, argv, options, 0);
  int option = 0;
  while ((option = poptGetNextOpt(context)) > 0) {
    char* popt_value = poptGetOptArg(context);
    const std::string value = popt_value == nullptr ? "" : popt_value;
    std::free(popt_value);  // NOLINT: popt returns memory allocated by malloc
    if (option == kVm) {
      arguments.vm = value;
    } else if (option == kOutput && (value == "table" || value == "json")) {
      arguments.options.json = value == "json";
    } else if (option == kTimeout && !value.empty() && value.find_first_not_of("0123456789") == std::string::npos) {
      arguments.options.timeout = std::chrono::milliseconds(std::strtoull(value.c_str(), nullptr, 10));
    } else if (option == kHelp) {
      arguments.help = true;
    } else {
      poptFreeContext(context);
      throw UsageError("invalid option value '" + value +
                       "': --output accepts table or json, --limit-ms a whole number of milliseconds; see --help");
    }
  }
  const char* bad_option = poptBadOption(context, 0);
  const std::string bad_option_text = bad_option == nullptr ? "" : bad_option;
  while (const char* argument = poptGetArg(context)) {
    arguments.positional.emplace_back(argument);
  }
  poptFreeContext(context);
  if (option < -1) {
    throw UsageError(bad_option_text + ": " + poptStrerror(option));
  }
  return arguments;
}

int Main(int argc, const char** argv) {
  try {
    const Arguments arguments = ParseArguments(argc, argv);
    if (arguments.help) {
      std::cout << "Usage: amaranthctl [--vm IP:PORT] [--output table|json] [--limit-ms N] COMMAND\n\n"
                << CommandSummary()
                << "\nExit status: 0 done, 1 refused, 2 usage error, 3 conflict, 4 outcome unknown, 5 timed out\n";
      return EXIT_SUCCESS;
    }
    const OperatorClient client(net::ParseAddress(arguments.vm), arguments.options.timeout);
    return static_cast<int>(RunCommand(client, arguments.options, arguments.positional));
  } catch (const NoResponseError& error) {
    std::cerr << "amaranthctl: " << error.what() << '\n';
    return static_cast<int>(ExitCode::kUnknown);
  } catch (const Error& error) {
    std::cerr << "amaranthctl: " << error.what() << '\n';
    return static_cast<int>(ExitCode::kUsage);
  }
}

}  // namespace
}  // namespace amaranthlane::ctl

int main(int argc, char** argv) { return amaranthlane::ctl::Main(argc, const_cast<const char**>(argv)); }
