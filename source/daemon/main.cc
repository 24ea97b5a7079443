#include <popt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/settings.h"
#include "daemon/node.h"
#include "logging/log.h"
#include "net/source_address.h"

// The daemon `amaranthlaned`: reads its settings and runs one node until it has drained.
namespace amaranthlane::daemon {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

struct Arguments {
  std::string settings_path;
  std::vector<SettingOverride> overrides;
  bool check_only = false;
  bool print_reference = false;
};

// The command line can't be used.
class UsageError : public Error {
 public:
  using Error::Error;
};

Arguments ParseArguments(int argc, const char** argv) {
  enum Option : int { kSettings = 1, kSet, kCheck, kReference };
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, nullptr, kSettings, "the settings file (YAML)", "FILE"},
      {"set", '\0', POPT_ARG_STRING, nullptr, kSet, "overrides one setting", "KEY=VALUE"},
      {"check-settings", '\0', POPT_ARG_NONE, nullptr, kCheck, "checks the settings and exits", nullptr},
      {"settings-reference", '\0', POPT_ARG_NONE, nullptr, kReference, "prints all settings as Markdown", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  Arguments arguments;
  poptContext context = poptGetContext("amaranthlaned", argc, argv, options, 0);
  int option = 0;
  while ((option = poptGetNextOpt(context)) > 0) {
    char* value = poptGetOptArg(context);
    if (option == kSettings) {
      arguments.settings_path = value;
    } else if (option == kSet) {
      arguments.overrides.push_back(ParseSettingOverride(value));
    } else if (option == kCheck) {
      arguments.check_only = true;
    } else if (option == kReference) {
      arguments.print_reference = true;
    }
    std::free(value);  // NOLINT: popt hands over memory from malloc
  }
  const std::string bad = poptBadOption(context, 0) == nullptr ? "" : poptBadOption(context, 0);
  const bool surplus = poptPeekArg(context) != nullptr;
  poptFreeContext(context);
  if (option < -1) {
    throw UsageError(bad + ": " + poptStrerror(option));
  }
  if (surplus) {
    throw UsageError("unexpected argument; see --help");
  }
  return arguments;
}

std::uint64_t DrawSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

int RunNode(const Settings& settings) {
  logging::Start(settings.vm, settings.log_level);
  net::SetSourceAddress(settings.source_ip);
  boost::asio::io_context loop(1);
  Node node(loop, settings, DrawSeed());
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

int Main(int argc, const char** argv) {
  try {
    const Arguments arguments = ParseArguments(argc, argv);
    if (arguments.print_reference) {
      std::cout << SettingsReference();
      return EXIT_SUCCESS;
    }
    const Settings settings = arguments.settings_path.empty()
                                  ? ParseSettings("", "command line", arguments.overrides)
                                  : LoadSettings(arguments.settings_path, arguments.overrides);
    if (arguments.check_only) {
      std::cout << "settings are valid\n";
      return EXIT_SUCCESS;
    }
    return RunNode(settings);
  } catch (const UsageError& failure) {
    std::cerr << "amaranthlaned: " << failure.what() << '\n';
    return kExitUsage;
  } catch (const SettingsError& failure) {
    std::cerr << "amaranthlaned: " << failure.what() << '\n';
    return kExitSettings;
  } catch (const Error& failure) {
    std::cerr << "amaranthlaned: " << failure.what() << '\n';
    return kExitFailure;
  }
}

}  // namespace
}  // namespace amaranthlane::daemon

int main(int argc, char** argv) { return amaranthlane::daemon::Main(argc, const_cast<const char**>(argv)); }
