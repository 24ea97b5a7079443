#ifndef AMARANTHLANE_FRONTEND_DAEMON_MAIN_H_
#define AMARANTHLANE_FRONTEND_DAEMON_MAIN_H_

#include <functional>
#include <string>
#include <vector>

#include "common/settings.h"

// What the daemons' command lines share.
namespace amaranthlane::frontend {

// Where a daemon's settings come from, so that they can be read again.
struct SettingsSource {
  // Empty: the command line alone.
  std::string path;
  std::vector<SettingOverride> overrides;

  // Throws SettingsError.
  Settings Load() const;
};

// Runs a daemon with its settings and returns the exit code. It may throw Error.
using RunDaemon = std::function<int(const Settings& settings, const SettingsSource& source)>;

// Handles --settings, --set, --check-settings, --settings-reference and --help, then runs the daemon. `default_path` is
// the settings file when the command line names none; it may be empty. Errors go to standard error and end as exit
// codes: 1 for a failure, 2 for the command line, 3 for settings.
int DaemonMain(const std::string& name, int argc, const char** argv, const std::string& default_path,
               const RunDaemon& run);

}  // namespace amaranthlane::frontend

#endif  // AMARANTHLANE_FRONTEND_DAEMON_MAIN_H_
