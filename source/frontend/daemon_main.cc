#include "frontend/daemon_main.h"

#include <popt.h>

#include <cstdlib>
#include <iostream>

#include "common/error.h"

namespace amaranthlane::frontend {

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

struct Arguments {
  SettingsSource source;
  bool check_only = false;
  bool print_reference = false;
};

// An invalid command line.
class UsageError : public Error {
 public:
  using Error::Error;
};

Arguments ParseArguments(const std::string& name, int argc, const char** argv, const std::string& default_path) {
  enum Option : int { kSettings = 1, kSet, kCheckSettings, kSettingsReference };
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, nullptr, kSettings, "the settings file (YAML)", "FILE"},
      {"set", '\0', POPT_ARG_STRING, nullptr, kSet, "overrides one setting", "KEY=VALUE"},
      {"check-settings", '\0', POPT_ARG_NONE, nullptr, kCheckSettings, "checks the settings and exits", nullptr},
      {"settings-reference", '\0', POPT_ARG_NONE, nullptr, kSettingsReference, "prints all settings as Markdown",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  Arguments arguments;
  arguments.source.path = default_path;
  poptContext context = poptGetContext(name.c_str(), argc, argv, options, 0);
  int option = 0;
  while ((option = poptGetNextOpt(context)) > 0) {
    char* value = poptGetOptArg(context);
    if (option == kSettings) {
      arguments.source.path = value;
    } else if (option == kSet) {
      arguments.source.overrides.push_back(ParseSettingOverride(value));
    } else if (option == kCheckSettings) {
      arguments.check_only = true;
    } else if (option == kSettingsReference) {
      arguments.print_reference = true;
    }
    std::free(value);  // NOLINT: popt returns memory allocated by malloc
  }
  const std::string bad_option = poptBadOption(context, 0) == nullptr ? "" : poptBadOption(context, 0);
  const bool has_unexpected_argument = poptPeekArg(context) != nullptr;
  poptFreeContext(context);
  if (option < -1) {
    throw UsageError(bad_option + ": " + poptStrerror(option));
  }
  if (has_unexpected_argument) {
    throw UsageError("unexpected argument; see --help");
  }
  return arguments;
}

}  // namespace

Settings SettingsSource::Load() const {
  return this->path.empty() ? ParseSettings("", "command line", this->overrides)
                            : LoadSettings(this->path, this->overrides);
}

int DaemonMain(const std::string& name, int argc, const char** argv, const std::string& default_path,
               const RunDaemon& run) {
  try {
    const Arguments arguments = ParseArguments(name, argc, argv, default_path);
    if (arguments.print_reference) {
      std::cout << SettingsReference();
      return EXIT_SUCCESS;
    }
    const Settings settings = arguments.source.Load();
    if (arguments.check_only) {
      std::cout << "settings are valid\n";
      return EXIT_SUCCESS;
    }
    return run(settings, arguments.source);
  } catch (const UsageError& failure) {
    std::cerr << name << ": " << failure.what() << '\n';
    return kExitUsage;
  } catch (const SettingsError& failure) {
    std::cerr << name << ": " << failure.what() << '\n';
    return kExitSettings;
  } catch (const Error& failure) {
    std::cerr << name << ": " << failure.what() << '\n';
    return kExitFailure;
  }
}

}  // namespace amaranthlane::frontend
