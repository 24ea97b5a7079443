#ifndef AMARANTHLANE_COMMON_SETTINGS_H_
#define AMARANTHLANE_COMMON_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"
#include "common/millicores.h"

namespace amaranthlane {

// The settings of one VM's daemon. The settings file overrides the defaults below, and the command line overrides the
// file. The table in settings_table.h declares the range and meaning of each setting; docs/SETTINGS.md is generated
// from it.
struct Settings {
  std::string vm;
  std::string data_centre;
  std::string region;
  std::string callers_address = "127.0.0.1:7400";
  std::string peers_address = "127.0.0.1:7500";
  std::string operators_address = "127.0.0.1:7600";
  // Empty: other VMs do not relay sessions to this VM.
  std::string relay_address;
  std::string platform_address;
  // Empty: `platform_address` is used.
  std::string promotion_address;
  // Empty: `peers_address` is used.
  std::string advertised_peers_address;
  // Empty: the system chooses the address.
  std::string source_ip;
  std::vector<std::string> seeds;
  Millicores processor_share{};

  std::uint64_t max_caller_connections = 8192;
  std::uint64_t max_body_bytes = 1024UL * 1024;
  std::chrono::milliseconds default_request_timeout{5000};

  std::chrono::milliseconds leadership_renewal_interval{400};
  std::chrono::milliseconds leadership_grant_duration{2000};
  std::chrono::milliseconds leadership_clock_drift_margin{100};
  std::chrono::milliseconds leadership_detection_timeout{1000};

  std::chrono::milliseconds promotion_progress_timeout{200};
  std::chrono::milliseconds promotion_probe_interval{100};
  std::chrono::milliseconds promotion_stall_timeout{5000};

  // The name of a policy in scheduling/rank_policy.h.
  std::string scheduling_policy = "floors";

  std::chrono::milliseconds shutdown_grace_period{6000};

  std::string log_level = "info";
  std::uint64_t trace_ring_size = 4096;
};

// An invalid settings file or command line.
class SettingsError : public Error {
 public:
  // `source` is the file name or "command line", `line` is the line number, counted from 1, or 0 if there is none,
  // `key` is the setting's dotted key, and `expected` describes a valid value.
  SettingsError(std::string source, std::size_t line, std::string key, std::string expected);

  std::string source;
  std::size_t line;
  std::string key;
  std::string expected;
};

// One `--set key=value` of the command line.
struct SettingOverride {
  std::string key;
  std::string value;
};

// Applies the text of a settings file to the defaults, then the overrides, and checks that the settings are consistent.
// `source` names the file in errors. Throws SettingsError.
Settings ParseSettings(std::string_view text, const std::string& source,
                       const std::vector<SettingOverride>& overrides = {});

// Reads the file and parses it. Throws SettingsError, also when the file can't be read.
Settings LoadSettings(const std::string& path, const std::vector<SettingOverride>& overrides = {});

// Splits "key=value". Throws SettingsError.
SettingOverride ParseSettingOverride(std::string_view argument);

// Reference documentation of all settings, as a Markdown document.
std::string SettingsReference();

}  // namespace amaranthlane

#endif  // AMARANTHLANE_COMMON_SETTINGS_H_
