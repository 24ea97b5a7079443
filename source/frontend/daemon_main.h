#ifndef AMARANTHLANE_FRONTEND_DAEMON_MAIN_H_
#define AMARANTHLANE_FRONTEND_DAEMON_MAIN_H_

#include <functional>
#include <string>
#include <vector>

#include "common/settings.h"

// The entry point and command line that the daemons share.
namespace amaranthlane::frontend {

// Where a daemon's settings come from, so that they can be reloaded.
struct SettingsSource {
  // The settings file; empty if the settings come from the command line alone.
  std::string path;
  std::vector<SettingOverride> overrides;

  // Reads and parses the settings. Throws SettingsError.
  Settings Load() const;
};

// Runs a daemon with its settings and returns the exit code. May throw Error.
using RunDaemon = std::function<int(const Settings& settings, const SettingsSource& source)>;

// Handles --settings, --set, --check-settings, --settings-reference and --help, then runs the daemon. `default_path` is
// the settings file that is used without --settings; it may be empty. Errors are written to standard error. The exit
// code is 1 for a failure, 2 for an invalid command line and 3 for invalid settings.
int DaemonMain(const std::string& name, int argc, const char** argv, const std::string& default_path,
               const RunDaemon& run);

}  // namespace amaranthlane::frontend

#endif  // AMARANTHLANE_FRONTEND_DAEMON_MAIN_H_
