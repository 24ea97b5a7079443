#include "common/settings_table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <sstream>
#include <type_traits>

#include "common/ip_address.h"
#include "common/names.h"

namespace amaranthlane {

namespace {

constexpr std::uint64_t kMaxTimingMs = 60UL * 1000;
constexpr std::uint64_t kMaxRequestTimeoutMs = 10UL * 60 * 1000;
constexpr std::uint64_t kMaxCallerConnections = 1000UL * 1000;
constexpr std::uint64_t kMaxBodyBytes = 64ULL * 1024 * 1024;
constexpr std::uint64_t kMillicoresPerCore = 1000;
constexpr std::uint64_t kMaxMillicores = 1024 * kMillicoresPerCore;
constexpr std::uint64_t kMaxTraceSpans = 1000UL * 1000;

bool IsSchedulingPolicy(std::string_view text) {
  return text == "floors" || text == "strict_priority" || text == "first_come";
}

bool IsLogLevel(std::string_view text) {
  constexpr std::array<std::string_view, 5> kLevels = {"debug", "info", "warning", "error", "fatal"};
  return std::find(kLevels.begin(), kLevels.end(), text) != kLevels.end();
}

constexpr TextRule kNameRule = {IsValidName, kNameFormat};
constexpr TextRule kAddressRule = {IsIpAndPort, "an address as ip:port"};
constexpr TextRule kIpRule = {IsIpAddress, "an IP address"};
constexpr TextRule kPolicyRule = {IsSchedulingPolicy, "floors, strict_priority or first_come"};
constexpr TextRule kLogLevelRule = {IsLogLevel, "debug, info, warning, error or fatal"};

const std::array kDeclarations = {
    SettingDeclaration{.key = "vm",
                       .member = &Settings::vm,
                       .rule = &kNameRule,
                       .required = true,
                       .help = "Name of this VM, unique in the fleet."},
    SettingDeclaration{.key = "data_centre",
                       .member = &Settings::data_centre,
                       .rule = &kNameRule,
                       .required = true,
                       .help = "Data centre of this VM."},
    SettingDeclaration{.key = "region",
                       .member = &Settings::region,
                       .rule = &kNameRule,
                       .required = true,
                       .help = "Region of the data centre."},
    SettingDeclaration{.key = "addresses.callers",
                       .member = &Settings::callers_address,
                       .rule = &kAddressRule,
                       .help = "Address that callers connect to."},
    SettingDeclaration{.key = "addresses.peers",
                       .member = &Settings::peers_address,
                       .rule = &kAddressRule,
                       .help = "Address that other VMs connect to; they must be able to reach it."},
    SettingDeclaration{.key = "addresses.operators",
                       .member = &Settings::operators_address,
                       .rule = &kAddressRule,
                       .help = "Address that operators and metrics scrapers connect to."},
    SettingDeclaration{
        .key = "addresses.relay",
        .member = &Settings::relay_address,
        .rule = &kAddressRule,
        .help = "Address to which other VMs relay callers' sessions for the groups that this VM is a gateway for."},
    SettingDeclaration{.key = "addresses.platform",
                       .member = &Settings::platform_address,
                       .rule = &kAddressRule,
                       .required = true,
                       .help = "Address of the platform's object API."},
    SettingDeclaration{.key = "addresses.promotion",
                       .member = &Settings::promotion_address,
                       .rule = &kAddressRule,
                       .help = "Address that promotion requests are sent to, if it differs from addresses.platform."},
    SettingDeclaration{
        .key = "addresses.advertised_peers",
        .member = &Settings::advertised_peers_address,
        .rule = &kAddressRule,
        .help =
            "Address at which other VMs reach addresses.peers, if it differs, for example behind address translation."},
    SettingDeclaration{.key = "addresses.source_ip",
                       .member = &Settings::source_ip,
                       .rule = &kIpRule,
                       .help = "IP address that this VM's outgoing connections come from."},
    SettingDeclaration{.key = "seeds",
                       .member = &Settings::seeds,
                       .rule = &kAddressRule,
                       .help = "Addresses of peers to learn from when the platform is unavailable at startup."},
    SettingDeclaration{.key = "capacity.cores",
                       .member = &Settings::processor_share,
                       .minimum = 0,
                       .maximum = kMaxMillicores,
                       .help =
                           "Processor cores that this VM may use, such as 0.25. VMs with more of them become members "
                           "and gateways first. 0: unknown."},
    SettingDeclaration{.key = "limits.caller_connections",
                       .member = &Settings::max_caller_connections,
                       .minimum = 1,
                       .maximum = kMaxCallerConnections,
                       .help = "Maximum number of open caller connections."},
    SettingDeclaration{.key = "limits.body_bytes",
                       .member = &Settings::max_body_bytes,
                       .minimum = 1024,
                       .maximum = kMaxBodyBytes,
                       .help = "Maximum size of a request body, in bytes."},
    SettingDeclaration{.key = "limits.default_time_limit_ms",
                       .member = &Settings::default_request_timeout,
                       .minimum = 1,
                       .maximum = kMaxRequestTimeoutMs,
                       .help = "Time limit of a request when neither the request nor a selector sets one."},
    SettingDeclaration{.key = "leadership.beat_ms",
                       .member = &Settings::leadership_renewal_interval,
                       .minimum = 10,
                       .maximum = kMaxTimingMs,
                       .help = "Interval between a leader's requests for lease grants."},
    SettingDeclaration{.key = "leadership.promise_ms",
                       .member = &Settings::leadership_grant_duration,
                       .minimum = 100,
                       .maximum = kMaxTimingMs,
                       .help = "Duration of a lease grant, during which the witness makes no grant to another leader."},
    SettingDeclaration{.key = "leadership.margin_ms",
                       .member = &Settings::leadership_clock_drift_margin,
                       .minimum = 1,
                       .maximum = kMaxTimingMs,
                       .help = "How long before its lease grants expire a leader stops, to allow for clock drift."},
    SettingDeclaration{.key = "leadership.detection_ms",
                       .member = &Settings::leadership_detection_timeout,
                       .minimum = 20,
                       .maximum = kMaxTimingMs,
                       .help = "How long a leader may be silent before a successor considers it failed."},
    SettingDeclaration{.key = "promotion.silence_ms",
                       .member = &Settings::promotion_progress_timeout,
                       .minimum = 10,
                       .maximum = kMaxTimingMs,
                       .help = "How long a primary may leave a request unanswered before a new connection is tried."},
    SettingDeclaration{.key = "promotion.probe_ms",
                       .member = &Settings::promotion_probe_interval,
                       .minimum = 10,
                       .maximum = kMaxTimingMs,
                       .help = "Interval at which an idle primary is queried for its log position."},
    SettingDeclaration{.key = "promotion.stall_ms",
                       .member = &Settings::promotion_stall_timeout,
                       .minimum = 100,
                       .maximum = kMaxTimingMs,
                       .help = "How long replicas may confirm nothing new; must be above the usual replication lag."},
    SettingDeclaration{
        .key = "scheduling.policy",
        .member = &Settings::scheduling_policy,
        .rule = &kPolicyRule,
        .help = "How ranks share a group's slots; the policies other than floors are baselines for benchmarks."},
    SettingDeclaration{.key = "shutdown.grace_ms",
                       .member = &Settings::shutdown_grace_period,
                       .minimum = 100,
                       .maximum = kMaxTimingMs,
                       .help = "How long open work may continue after SIGTERM, at most the process supervisor's stop "
                               "timeout; also accepted in seconds (6s)."},
    SettingDeclaration{.key = "log.level",
                       .member = &Settings::log_level,
                       .rule = &kLogLevelRule,
                       .help = "Minimum level of messages that are logged."},
    SettingDeclaration{.key = "trace.ring_size",
                       .member = &Settings::trace_ring_size,
                       .minimum = 1,
                       .maximum = kMaxTraceSpans,
                       .help = "Number of finished spans kept for GET /v1/traces."},
};

bool ParseUnsigned(std::string_view text, std::uint64_t& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size();
}

// Parses a decimal number from 0 and converts it to thousandths.
bool ParseThousandths(std::string_view text, std::uint64_t& thousandths) {
  constexpr double kThousandthsPerUnit = 1000;
  constexpr double kMaxUnits = 1e15;
  double units = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), units);
  const bool valid = error == std::errc() && end == text.data() + text.size() && units >= 0 && units <= kMaxUnits;
  thousandths = valid ? static_cast<std::uint64_t>(std::round(units * kThousandthsPerUnit)) : 0;
  return valid;
}

// Parses a whole number of milliseconds, or seconds such as "6s" or "1.5s".
bool ParseDuration(std::string_view text, std::uint64_t& milliseconds) {
  return text.ends_with('s') ? ParseThousandths(text.substr(0, text.size() - 1), milliseconds)
                             : ParseUnsigned(text, milliseconds);
}

bool HoldsTime(const SettingDeclaration& declaration) {
  return std::holds_alternative<std::chrono::milliseconds Settings::*>(declaration.member);
}

bool HoldsCores(const SettingDeclaration& declaration) {
  return std::holds_alternative<Millicores Settings::*>(declaration.member);
}

bool ParseInRange(const SettingDeclaration& declaration, std::string_view text, std::uint64_t& number) {
  bool parsed = false;
  if (HoldsTime(declaration)) {
    parsed = ParseDuration(text, number);
  } else if (HoldsCores(declaration)) {
    parsed = ParseThousandths(text, number);
  } else {
    parsed = ParseUnsigned(text, number);
  }
  return parsed && number >= declaration.minimum && number <= declaration.maximum;
}

}  // namespace

std::span<const SettingDeclaration> SettingDeclarations() { return kDeclarations; }

const SettingDeclaration* FindSetting(std::string_view key) {
  for (const SettingDeclaration& declaration : kDeclarations) {
    if (declaration.key == key) {
      return &declaration;
    }
  }
  return nullptr;
}

bool IsSettingSection(std::string_view section) {
  const std::string prefix = std::string(section) + ".";
  return std::any_of(kDeclarations.begin(), kDeclarations.end(),
                     [&prefix](const SettingDeclaration& declaration) { return declaration.key.starts_with(prefix); });
}

bool IsListSetting(const SettingDeclaration& declaration) {
  return std::holds_alternative<std::vector<std::string> Settings::*>(declaration.member);
}

std::string DescribeExpectedValue(const SettingDeclaration& declaration) {
  if (declaration.rule != nullptr) {
    return IsListSetting(declaration) ? std::string("a list, each ") + declaration.rule->expected
                                      : declaration.rule->expected;
  }
  if (HoldsCores(declaration)) {
    return "a number of cores from " + std::to_string(declaration.minimum / kMillicoresPerCore) + " to " +
           std::to_string(declaration.maximum / kMillicoresPerCore);
  }
  return "a whole number " + std::string(HoldsTime(declaration) ? "of milliseconds " : "") + "from " +
         std::to_string(declaration.minimum) + " to " + std::to_string(declaration.maximum);
}

bool AssignSetting(const SettingDeclaration& declaration, std::string_view text, Settings& settings) {
  const auto assign = [&](auto member) {
    using Value = std::remove_reference_t<decltype(settings.*member)>;
    if constexpr (std::is_same_v<Value, std::string> || std::is_same_v<Value, std::vector<std::string>>) {
      if (!declaration.rule->accepts(text)) {
        return false;
      }
      if constexpr (std::is_same_v<Value, std::string>) {
        settings.*member = text;
      } else {
        (settings.*member).emplace_back(text);
      }
      return true;
    } else {
      std::uint64_t number = 0;
      const bool in_range = ParseInRange(declaration, text, number);
      if (in_range) {
        settings.*member = Value{number};
      }
      return in_range;
    }
  };
  return std::visit(assign, declaration.member);
}

void ClearListSetting(const SettingDeclaration& declaration, Settings& settings) {
  if (const auto* member = std::get_if<std::vector<std::string> Settings::*>(&declaration.member)) {
    (settings.**member).clear();
  }
}

std::string FormatSettingValue(const SettingDeclaration& declaration, const Settings& settings) {
  const auto text = [&settings](auto member) -> std::string {
    using Value = std::remove_cvref_t<decltype(settings.*member)>;
    if constexpr (std::is_same_v<Value, std::string>) {
      return settings.*member;
    } else if constexpr (std::is_same_v<Value, std::uint64_t>) {
      return std::to_string(settings.*member);
    } else if constexpr (std::is_same_v<Value, std::chrono::milliseconds>) {
      return std::to_string((settings.*member).count());
    } else if constexpr (std::is_same_v<Value, Millicores>) {
      std::ostringstream cores;
      cores << static_cast<double>((settings.*member).count) / static_cast<double>(kMillicoresPerCore);
      return cores.str();
    } else {
      std::string joined;
      for (const std::string& element : settings.*member) {
        joined += (joined.empty() ? "" : ",") + element;
      }
      return joined;
    }
  };
  return std::visit(text, declaration.member);
}

}  // namespace amaranthlane
